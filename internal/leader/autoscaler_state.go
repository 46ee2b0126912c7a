package leader

import (
	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// autoscalerState owns the machine types that the cloud offers and what is remembered of each option between plans.
type autoscalerState struct {
	types        map[string]wire.MachineType
	catalog      []wire.MachineType // the same, in the cloud's order
	refusals     map[autoscaler.OptionKey]capacityRefusal
	bootFailures map[autoscaler.OptionKey]int // how many machines in a row did not come up

	reconciledAt, plannedAt, catalogRequestedAt clock.Micros
}

func newAutoscalerState() autoscalerState {
	return autoscalerState{
		types: map[string]wire.MachineType{}, refusals: map[autoscaler.OptionKey]capacityRefusal{},
		bootFailures: map[autoscaler.OptionKey]int{},
	}
}

// capacityRefusal is how long an option is left alone that the cloud had too little of.
type capacityRefusal struct{ until, wait clock.Micros }
