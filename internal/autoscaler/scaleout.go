package autoscaler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MaxMachinesPerRequest is how many machines one request to the cloud may ask for.
	MaxMachinesPerRequest = 50
	// maxMachinesPerPlan is how many machines of one option a plan asks for, before the answers are seen.
	maxMachinesPerPlan = 100
)

// launchPlan collects the launches of one plan, demand by demand.
type launchPlan struct {
	input    *Input
	launches []Launch
}

// add adds the launches for what a demand wants beyond the slots that it has.
func (l *launchPlan) add(demand *Demand, existing slotCount) {
	options := slices.Clone(l.input.Options)
	slices.SortStableFunc(options, func(a, b Option) int {
		return cmp.Compare(demand.pricePerSlot(&a), demand.pricePerSlot(&b))
	})
	postponed := false // machines of a preferred option are left for the next plan
	total := existing.total
	for i := range options {
		option := &options[i]
		slots := demand.Slots(option)
		if slots == 0 || !l.input.Allowed(option) || postponed && !option.Spot {
			continue
		}
		missing := l.missingSlots(demand, option, slotCount{total, existing.up})
		if missing <= 0 {
			continue
		}
		count := machinesFor(missing, slots)
		if count == 0 && total == 0 {
			count = 1 // nothing smaller serves the demand
		}
		if limit := maxMachinesPerPlan - requested(l.launches, option); count > limit {
			count, postponed = limit, true
		}
		if count > 0 {
			l.launches = append(l.launches, Launch{*option, count})
			total += float64(count * slots)
		}
	}
}

// missingSlots returns how many slots of an option a demand wants beyond those that it has. A machine launched now
// finds only the work that the machines that are up leave until it has booted.
func (l *launchPlan) missingSlots(demand *Demand, option *Option, existing slotCount) float64 {
	backlogS := l.input.Params.OnDemandBacklogS
	if option.Spot || !demand.Spot {
		backlogS = l.input.Params.SpotBacklogS
	}
	left := demand.TaskSeconds - existing.up*option.Type.BootS
	return min(float64(demand.Tasks), math.Ceil(left/backlogS)) - existing.total
}

// machinesFor returns how many machines to launch for the missing slots. The last of them is not worth it if less
// than half of it would be used.
func machinesFor(missing float64, slotsPerMachine int) int {
	count := int(missing) / slotsPerMachine
	rest := missing - float64(count*slotsPerMachine)
	if rest > 0 && rest*2 >= float64(slotsPerMachine) {
		count++
	}
	return count
}

// requests returns the launches with one for each option, the largest first, as the cloud takes few requests a
// second; those too large for one request are divided.
func (l *launchPlan) requests() []Launch {
	var requests []Launch
	for i := range l.launches {
		option := &l.launches[i].Option
		if requested(requests, option) > 0 {
			continue
		}
		for left := requested(l.launches, option); left > 0; left -= MaxMachinesPerRequest {
			requests = append(requests, Launch{*option, min(left, MaxMachinesPerRequest)})
		}
	}
	slices.SortStableFunc(requests, func(a, b Launch) int {
		return cmp.Compare(float64(b.Count)*b.Type.CPUs, float64(a.Count)*a.Type.CPUs)
	})
	return requests
}

// requested returns how many machines of an option the launches ask for.
func requested(launches []Launch, option *Option) (count int) {
	for i := range launches {
		if launches[i].Key() == option.Key() {
			count += launches[i].Count
		}
	}
	return count
}
