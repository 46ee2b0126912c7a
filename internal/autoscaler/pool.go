package autoscaler

// freeTolerance is the free share below which a machine counts as fully assigned. It absorbs rounding errors.
const freeTolerance = 1e-9

// pool assigns the capacity of machines to demands in a fixed order of preference.
type pool struct {
	machines []Machine
	optionOf []int     // by machine: index of its option
	order    []int     // machine indexes, the most preferred first
	free     []float64 // by machine: the share that is not assigned yet
	next     int       // position in the order before which all machines are fully assigned
}

// slotLimits limits the slots of a demand. The demand gets slots on spot machines while it has fewer than spot slots in
// total, and on on-demand machines while it has fewer than onDemand slots in total.
type slotLimits struct{ spot, onDemand float64 }

func (l slotLimits) forMachine(machine *Machine) float64 {
	if machine.Spot {
		return l.spot
	}
	return l.onDemand
}

// slotCount is the number of slots assigned to a demand, in total and on machines that are up.
type slotCount struct{ total, up float64 }

func newPool(machines []Machine, optionOf, order []int) *pool {
	p := &pool{machines: machines, optionOf: optionOf, order: order, free: make([]float64, len(machines))}
	for i := range p.free {
		p.free[i] = 1
	}
	return p
}

// unused reports whether no capacity of a machine is assigned.
func (p *pool) unused(machine int) bool { return p.free[machine] == 1 }

// allocate assigns slots to a demand up to its limits, and returns the number of assigned slots. slots has, by option,
// the number of tasks of the demand that fit on one machine.
func (p *pool) allocate(slots []int, limits slotLimits) (allocated slotCount) {
	for position := p.next; position < len(p.order); position++ {
		i := p.order[position]
		if p.free[i] <= 0 {
			if position == p.next {
				p.next++
			}
			continue
		}
		machine := &p.machines[i]
		limit := limits.forMachine(machine)
		perMachine := float64(slots[p.optionOf[i]])
		if perMachine == 0 || allocated.total >= limit {
			if allocated.total >= limits.spot && allocated.total >= limits.onDemand {
				break
			}
			continue
		}
		count := min(p.free[i]*perMachine, limit-allocated.total)
		p.free[i] -= count / perMachine
		if p.free[i] < freeTolerance {
			p.free[i] = 0
		}
		allocated.total += count
		if machine.Up {
			allocated.up += count
		}
	}
	return allocated
}
