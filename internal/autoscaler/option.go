package autoscaler

import (
	"math"
	"slices"

	"swiftledge/wire"
)

// slotTolerance absorbs rounding errors in the number of tasks that fit on a machine.
const slotTolerance = 1e-9

// Option is a machine type in a zone, spot or on demand, that can be provisioned.
type Option struct {
	Type wire.MachineType
	Zone string
	Spot bool // false: on demand
	// DelayS is the expected boot delay of the machines beyond the usual boot time, because machines of the option
	// recently failed to boot. The delay raises the option's price per slot, so that other options that serve the
	// demand tend to come first. The number of machines does not depend on the delay.
	DelayS float64
}

// OptionKey identifies an option.
type OptionKey struct {
	Type, Zone string
	Spot       bool
}

// Key returns the key of the option.
func (o *Option) Key() OptionKey { return OptionKey{o.Type.Name, o.Zone, o.Spot} }

// Price returns the hourly price of one machine.
func (o *Option) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

func (o *Option) pricePerCPU() float64 { return o.Price() / max(o.Type.CPUs, 1e-6) }

// priceBand returns the number of the band that the price per CPU is in. Prices in one band differ by less than a
// factor of 1.5. Among machines in one band, the load is a better criterion for which machines to keep.
func (o *Option) priceBand() float64 {
	return math.Floor(math.Log(max(o.pricePerCPU(), 1e-9)) / math.Log(1.5))
}

// Demand is the demand for machines by tasks with the same resource requests and constraints.
type Demand struct {
	CPUs, GPUs, MemoryGB float64 // of one task
	Types                []string
	Zone                 string
	Spot                 bool    // spot machines are allowed, too
	Tasks                int     // number of tasks that could run concurrently within the teams' quotas
	TaskSeconds          float64 // remaining run time of all tasks
}

// Slots returns the number of slots for the demand on one machine of the option, or 0 if the constraints do not allow
// the option. A slot is the capacity for one task of a demand.
func (d *Demand) Slots(option *Option) int {
	if !d.allows(option) {
		return 0
	}
	slots := float64(wire.MaxTasksPerHeartbeat)
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
		(d.Types == nil || slices.Contains(d.Types, option.Type.Name))
}

// expectedUsageS is the assumed time in seconds for which a new machine is used. The boot time is billed, too, and its
// cost is spread over the time of use.
const expectedUsageS = 120

// pricePerSlot returns the hourly price of a slot for the demand on the option, including the cost of the boot time.
func (d *Demand) pricePerSlot(option *Option) float64 {
	slots := d.Slots(option)
	if slots == 0 {
		return math.Inf(1)
	}
	return option.Price() / float64(slots) * (1 + (option.Type.BootS+option.DelayS)/expectedUsageS)
}
