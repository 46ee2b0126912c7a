package autoscaler

// freeTolerance is the part of a machine that counts as nothing, to absorb rounding.
const freeTolerance = 1e-9

// pool assigns the capacity of machines to demands, in a fixed order of preference.
type pool struct {
	machines []Machine
	optionOf []int     // by machine: index of its option
	order    []int     // machine indexes, the preferred first
	free     []float64 // by machine: the part that is not assigned yet
	next     int       // all machines before it in the order are assigned
}

// slotLimits are how many slots a demand takes at most, in all: of spot machines, and of on-demand machines.
type slotLimits struct{ spot, onDemand float64 }

func (l slotLimits) of(machine *Machine) float64 {
	if machine.Spot {
		return l.spot
	}
	return l.onDemand
}

// slotCount is how many slots a demand has, and how many of these are on machines that are up.
type slotCount struct{ total, up float64 }

func newPool(machines []Machine, optionOf, order []int) *pool {
	p := &pool{machines: machines, optionOf: optionOf, order: order, free: make([]float64, len(machines))}
	for i := range p.free {
		p.free[i] = 1
	}
	return p
}

// unused reports whether nothing of a machine is assigned.
func (p *pool) unused(machine int) bool { return p.free[machine] == 1 }

// take assigns slots to a demand up to its limits, and returns those that it got. slots has by option how many tasks
// of the demand fit on one machine.
func (p *pool) take(slots []int, limits slotLimits) (taken slotCount) {
	for at := p.next; at < len(p.order); at++ {
		i := p.order[at]
		if p.free[i] <= 0 {
			if at == p.next {
				p.next++
			}
			continue
		}
		machine := &p.machines[i]
		limit := limits.of(machine)
		perMachine := float64(slots[p.optionOf[i]])
		if perMachine == 0 || taken.total >= limit {
			if taken.total >= limits.spot && taken.total >= limits.onDemand {
				break
			}
			continue
		}
		count := min(p.free[i]*perMachine, limit-taken.total)
		p.free[i] -= count / perMachine
		if p.free[i] < freeTolerance {
			p.free[i] = 0
		}
		taken.total += count
		if machine.Up {
			taken.up += count
		}
	}
	return taken
}
