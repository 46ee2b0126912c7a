// Package autoscaler plans which machines a cluster is to have. From the demand for capacity, the machines that are
// there or coming, and the options that the cloud has, it decides what to scale out, which idle machines to scale
// in, which busy on-demand machines to cordon so that they can be scaled in later, and which busy spot machines to
// deprioritize so that they empty.
//
// A plan is a pure function: the package owns no state, performs no I/O and reads no clock. Whoever asks for a plan
// carries it out, and may leave parts of it for later.
package autoscaler

import (
	"cmp"
	"math"
	"slices"
)

// Machine is a machine that is there or coming.
type Machine struct {
	Option
	Name   string // "" while it has none
	Up     bool
	Idle   bool    // up, without a task
	Retain bool    // scaling it in now saves nothing or is not wanted yet
	Load   float64 // part of its processors in use
}

// Params bound the wait that is worth a machine, and the capacity that is kept free for work to come.
type Params struct {
	// SpotBacklogS is in how many seconds the machines are to clear the demand, as long as spot machines do it.
	SpotBacklogS float64
	// OnDemandBacklogS is the same for on-demand machines.
	OnDemandBacklogS float64
	// ReserveRatio is the capacity that is kept beyond the demand, relative to it.
	ReserveRatio float64
}

// Input is what a plan is made from.
type Input struct {
	Demands  []Demand
	Machines []Machine
	Options  []Option
	Params   Params
	// Allowed reports whether machines of an option may be requested now.
	Allowed func(*Option) bool
}

// Launch is a number of machines to provision in one request.
type Launch struct {
	Option
	Count int
}

// Decision is a plan.
type Decision struct {
	ScaleOut     []Launch
	ScaleIn      []string // idle machines to delete
	Cordon       []string // busy on-demand machines that get no more tasks, so that they can be deleted
	Deprioritize []string // busy spot machines that get no tasks while others have free capacity
}

// onDemandRetention is how far the demand for on-demand machines may fall before those that are there are given up:
// with less, machines would be provisioned and deleted in turns.
const onDemandRetention = 1.4

// Plan decides about the machines of a cluster.
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
		existing := demanded.take(slots, demandedSlots(demand, input.Params))
		reserve := math.Ceil(float64(demand.Tasks) * (1 + input.Params.ReserveRatio))
		reserved.take(slots, slotLimits{spot: reserve, onDemand: reserve})
		scaleOut.add(demand, existing)
	}
	decision := Decision{ScaleOut: scaleOut.requests()}
	for _, i := range slices.Backward(order) {
		machine := &input.Machines[i]
		surplus := reserved
		if !machine.Spot {
			surplus = demanded
		}
		if machine.Name != "" && machine.Up && surplus.unused(i) {
			decision.addSurplus(machine)
		}
	}
	return decision
}

// demandedSlots returns how many slots the demand is worth: as many as clear it in time, and never more than can be
// used at once. An on-demand machine is kept only while the wait without it would be long; its slots are then worth
// more than their price.
func demandedSlots(demand *Demand, params Params) slotLimits {
	spot := min(float64(demand.Tasks), math.Ceil(demand.TaskSeconds/params.SpotBacklogS))
	onDemand := min(float64(demand.Tasks), math.Ceil(demand.TaskSeconds/params.OnDemandBacklogS))
	if !demand.Spot {
		onDemand = spot
	}
	return slotLimits{spot: spot, onDemand: min(spot, onDemand*onDemandRetention)}
}

// addSurplus decides about a machine that no demand needs.
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

// optionsInUse returns the different options of the machines, and for each machine the index of its option.
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

// preferenceOrder returns the indexes of the machines in the order in which they are to serve the demand: those that
// cost least per hour first, of these the fullest. The others are those that empty soonest.
func preferenceOrder(machines []Machine) []int {
	order := make([]int, len(machines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := &machines[i], &machines[j]
		if c := cmp.Compare(a.priceStep(), b.priceStep()); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.idleRank(), b.idleRank()), cmp.Compare(b.Load, a.Load))
	})
	return order
}

// idleRank orders machines in use before idle ones.
func (m *Machine) idleRank() int {
	if m.Idle {
		return 1
	}
	return 0
}
