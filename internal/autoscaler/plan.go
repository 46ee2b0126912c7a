// Package autoscaler plans the size of a cluster. From the demand for capacity, the existing and pending machines, and
// the options of the cloud, a plan decides which machines to provision, which idle machines to scale in, which busy
// on-demand machines to cordon so that they can be scaled in later, and which busy spot machines to deprioritize so
// that they become idle.
//
// Planning is a pure function: the package owns no state, performs no I/O and reads no clock. The caller carries out
// the plan, and may defer parts of it.
package autoscaler

import (
	"cmp"
	"math"
	"slices"
)

// Machine is an existing or pending machine.
type Machine struct {
	Option
	Name   string // "": the cloud has not named it yet
	Up     bool
	Idle   bool    // up and without tasks
	Retain bool    // an idle machine is kept for now: its deletion would be premature or save no cost
	Load   float64 // share of its CPUs in use
}

// Params limit how long tasks may wait before machines are provisioned, and set the reserve for future tasks.
type Params struct {
	// SpotBacklogS is the time in seconds within which the machines should clear a demand that spot machines serve, or
	// a demand that does not allow spot machines.
	SpotBacklogS float64
	// OnDemandBacklogS is the time in seconds within which the machines should clear a demand that allows spot machines
	// but is served by on-demand machines.
	OnDemandBacklogS float64
	// ReserveRatio is the capacity that is kept in addition to the demand, relative to the demand.
	ReserveRatio float64
}

// Input is the input of a plan.
type Input struct {
	Demands  []Demand
	Machines []Machine
	Options  []Option
	Params   Params
	// Allowed reports whether machines of an option may be requested from the cloud now.
	Allowed func(*Option) bool
}

// Launch is a number of machines to provision in one request.
type Launch struct {
	Option
	Count int
}

// Decision is a plan for the machines of a cluster.
type Decision struct {
	ScaleOut     []Launch
	ScaleIn      []string // idle machines to delete
	Cordon       []string // busy on-demand machines that get no new tasks, so that they can be deleted
	Deprioritize []string // busy spot machines that get no new tasks while others have free capacity
}

// onDemandRetention is the factor by which existing on-demand machines may exceed the demand for them before they are
// cordoned or scaled in. With a lower factor, machines would be provisioned and deleted in turns.
const onDemandRetention = 1.4

// Plan decides which machines of a cluster to provision, delete, cordon and deprioritize.
func Plan(input Input) Decision {
	options, optionOf := optionsInUse(input.Machines)
	order := preferenceOrder(input.Machines)
	demanded := newPool(input.Machines, optionOf, order)
	reserved := newPool(input.Machines, optionOf, order)
	scaleOut := launchPlan{input: &input}
	slots := make([]int, len(options))
	for i := range input.Demands {
		demand := &input.Demands[i]
		for k := range options {
			slots[k] = demand.Slots(options[k])
		}
		existing := demanded.allocate(slots, demandedSlots(demand, input.Params))
		reserve := math.Ceil(float64(demand.Tasks) * (1 + input.Params.ReserveRatio))
		reserved.allocate(slots, slotLimits{spot: reserve, onDemand: reserve})
		scaleOut.add(demand, existing)
	}
	decision := Decision{ScaleOut: scaleOut.requests()}
	for _, i := range slices.Backward(order) {
		machine := &input.Machines[i]
		assignedPool := reserved
		if !machine.Spot {
			assignedPool = demanded
		}
		if machine.Name != "" && machine.Up && assignedPool.unused(i) {
			decision.addSurplus(machine)
		}
	}
	return decision
}

// demandedSlots returns the number of slots that the demand justifies: as many as clear the demand in time, but not
// more than can be used concurrently. An on-demand machine is kept only while tasks would wait long without it, because
// only then are its slots worth their price.
func demandedSlots(demand *Demand, params Params) slotLimits {
	spot := min(float64(demand.Tasks), math.Ceil(demand.TaskSeconds/params.SpotBacklogS))
	onDemand := min(float64(demand.Tasks), math.Ceil(demand.TaskSeconds/params.OnDemandBacklogS))
	if !demand.Spot {
		onDemand = spot
	}
	return slotLimits{spot: spot, onDemand: min(spot, onDemand*onDemandRetention)}
}

// addSurplus adds the decision about a machine that no demand needs.
func (d *Decision) addSurplus(machine *Machine) {
	switch {
	case machine.Idle && machine.Retain:
	case machine.Idle:
		d.ScaleIn = append(d.ScaleIn, machine.Name)
	case machine.Spot:
		d.Deprioritize = append(d.Deprioritize, machine.Name)
	default:
		d.Cordon = append(d.Cordon, machine.Name)
	}
}

// optionsInUse returns the distinct options of the machines, and the index of the option of each machine.
func optionsInUse(machines []Machine) (options []*Option, optionOf []int) {
	optionOf = make([]int, len(machines))
	indexOf := map[OptionKey]int{}
	for i := range machines {
		option := &machines[i].Option
		index, known := indexOf[option.Key()]
		if !known {
			index = len(options)
			indexOf[option.Key()] = index
			options = append(options, option)
		}
		optionOf[i] = index
	}
	return options, optionOf
}

// preferenceOrder returns the indexes of the machines in the order in which they serve the demand: the cheapest price
// band first, and within a band the highest load first. The machines with the lowest load become idle soonest.
func preferenceOrder(machines []Machine) []int {
	order := make([]int, len(machines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := &machines[i], &machines[j]
		if c := cmp.Compare(a.priceBand(), b.priceBand()); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.idleRank(), b.idleRank()), cmp.Compare(b.Load, a.Load))
	})
	return order
}

// idleRank sorts machines in use before idle machines.
func (m *Machine) idleRank() int {
	if m.Idle {
		return 1
	}
	return 0
}
