package autoscaler

import (
	"math"
	"slices"

	"swiftledge/wire"
)

// slotTolerance absorbs the rounding of how many tasks fit on a machine.
const slotTolerance = 1e-9

// Option is a kind of machine that can be provisioned.
type Option struct {
	Type wire.MachineType
	Zone string
	Spot bool // else on demand
	// DelayS is by how much longer than usual its machines are expected to boot, as some lately did not come up.
	// Other options that serve the demand are used before it; how many machines are needed does not depend on it.
	DelayS float64
}

// OptionKey is what distinguishes one option from another.
type OptionKey struct {
	Type, Zone string
	Spot       bool
}

// Key returns the key of the option.
func (o *Option) Key() OptionKey { return OptionKey{o.Type.Name, o.Zone, o.Spot} }

// Price returns the price of one machine per hour.
func (o *Option) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

func (o *Option) pricePerCPU() float64 { return o.Price() / max(o.Type.CPUs, 1e-6) }

// priceStep groups prices that differ by less than about half: what runs on the machines tells better which of them
// to keep.
func (o *Option) priceStep() float64 {
	return math.Floor(math.Log(max(o.pricePerCPU(), 1e-9)) / math.Log(1.5))
}

// Demand is work of one shape that wants machines.
type Demand struct {
	CPUs, GPUs, MemoryGB float64 // of one task
	Types                []string
	Zone                 string
	Spot                 bool    // it may run on spot machines, too
	Tasks                int     // that could run at once, within the teams' quotas
	TaskSeconds          float64 // of work left
}

// Slots returns how many tasks of the demand fit on one machine of the option; 0 if none may run there.
func (d *Demand) Slots(option *Option) int {
	if !d.allows(option) {
		return 0
	}
	slots := 1e6
	if d.CPUs > 0 {
		slots = min(slots, option.Type.CPUs/d.CPUs)
	}
	if d.GPUs > 0 {
		slots = min(slots, option.Type.GPUs/d.GPUs)
	}
	if d.MemoryGB > 0 {
		slots = min(slots, option.Type.MemoryGB/d.MemoryGB)
	}
	return int(slots + slotTolerance)
}

func (d *Demand) allows(option *Option) bool {
	return (d.Spot || !option.Spot) && (d.Zone == "" || d.Zone == option.Zone) &&
		(len(d.Types) == 0 || slices.Contains(d.Types, option.Type.Name))
}

// usageS is for how many seconds a new machine is taken to be used when the time that it boots, which is paid for
// too, is spread over its price.
const usageS = 120

// pricePerSlot returns what a slot for the demand costs on the option, its boot time included.
func (d *Demand) pricePerSlot(option *Option) float64 {
	slots := d.Slots(option)
	if slots == 0 {
		return math.Inf(1)
	}
	return option.Price() / float64(slots) * (1 + (option.Type.BootS+option.DelayS)/usageS)
}
