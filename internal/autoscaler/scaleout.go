package autoscaler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MaxMachinesPerRequest is the maximum number of machines in one provision request.
	MaxMachinesPerRequest = 50
	// maxMachinesPerPlan is the maximum number of machines of one option in a plan. It is limited because a plan is
	// made before the cloud's responses to its requests are known.
	maxMachinesPerPlan = 100
)

// launchPlan collects the launches of one plan.
type launchPlan struct {
	input    *Input
	launches []Launch
}

// add adds launches for the slots that a demand needs in addition to its slots on the input's machines.
func (l *launchPlan) add(demand *Demand, existing slotCount) {
	options := slices.Clone(l.input.Options)
	slices.SortStableFunc(options, func(a, b Option) int {
		return cmp.Compare(demand.pricePerSlot(&a), demand.pricePerSlot(&b))
	})
	postponed := false // whether machines of a preferred option are postponed to the next plan
	totalSlots := existing.total
	for i := range options {
		option := &options[i]
		slots := demand.Slots(option)
		if slots == 0 || !l.input.Allowed(option) || postponed && !option.Spot {
			continue
		}
		missing := l.missingSlots(demand, option, slotCount{totalSlots, existing.up})
		if missing <= 0 {
			continue
		}
		count := machinesFor(missing, slots)
		if count == 0 && totalSlots == 0 {
			count = 1 // no smaller number serves the demand
		}
		if limit := maxMachinesPerPlan - countRequested(l.launches, option); count > limit {
			count, postponed = limit, true
		}
		if count > 0 {
			l.launches = append(l.launches, Launch{*option, count})
			totalSlots += float64(count * slots)
		}
	}
}

// missingSlots returns the number of slots of an option that a demand needs in addition to its existing slots. It
// subtracts the work that running machines complete while a machine of the option boots.
func (l *launchPlan) missingSlots(demand *Demand, option *Option, existing slotCount) float64 {
	backlogS := l.input.Params.OnDemandBacklogS
	if option.Spot || !demand.Spot {
		backlogS = l.input.Params.SpotBacklogS
	}
	remainingS := demand.TaskSeconds - existing.up*option.Type.BootS
	return min(float64(demand.Tasks), math.Ceil(remainingS/backlogS)) - existing.total
}

// machinesFor returns the number of machines to launch for the missing slots. It omits the last machine if less than
// half of its slots would be used.
func machinesFor(missing float64, slotsPerMachine int) int {
	count := int(missing) / slotsPerMachine
	unserved := missing - float64(count*slotsPerMachine)
	if unserved > 0 && unserved*2 >= float64(slotsPerMachine) {
		count++
	}
	return count
}

// requests merges the launches of each option, and splits those that are too large for one request. The largest request
// is first, because the cloud accepts only a few requests per second.
func (l *launchPlan) requests() []Launch {
	var requests []Launch
	for i := range l.launches {
		option := &l.launches[i].Option
		if countRequested(requests, option) > 0 {
			continue
		}
		for remaining := countRequested(l.launches, option); remaining > 0; remaining -= MaxMachinesPerRequest {
			requests = append(requests, Launch{*option, min(remaining, MaxMachinesPerRequest)})
		}
	}
	slices.SortStableFunc(requests, func(a, b Launch) int {
		return cmp.Compare(float64(b.Count)*b.Type.CPUs, float64(a.Count)*a.Type.CPUs)
	})
	return requests
}

// countRequested returns the number of machines of an option in the launches.
func countRequested(launches []Launch, option *Option) (count int) {
	for i := range launches {
		if launches[i].Key() == option.Key() {
			count += launches[i].Count
		}
	}
	return count
}
