package leader

import (
	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// autoscalerState owns the machine types that the cloud offers and the state of each option that is kept between
// capacity plans.
type autoscalerState struct {
	types        map[string]wire.MachineType
	catalog      []wire.MachineType // the same types in the order of the cloud's catalog
	refusals     map[autoscaler.OptionKey]capacityRefusal
	bootFailures map[autoscaler.OptionKey]int // consecutive machines of the option that did not come up

	reconciledAt, plannedAt, catalogRequestedAt clock.Micros
}

func newAutoscalerState() autoscalerState {
	return autoscalerState{
		types: map[string]wire.MachineType{}, refusals: map[autoscaler.OptionKey]capacityRefusal{},
		bootFailures: map[autoscaler.OptionKey]int{},
	}
}

// capacityRefusal records until when an option is not requested because the cloud lacked capacity for it, and the
// backoff that led to this time.
type capacityRefusal struct{ retryAt, backoff clock.Micros }
