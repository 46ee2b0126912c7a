package placement

import (
	"cmp"
	"slices"

	"swiftledge/internal/load"
)

// none is the index of no machine and of no bidder.
const none = -1

// bidder is one task in an auction.
type bidder struct {
	group     *Group
	taskIndex int
	machine   int // index of the machine that it is assigned to, or none
}

// placer is the state that the auctions of one cycle share. Machines are named by their index in the cycle.
type placer struct {
	Cycle
	indexOf  map[string]int    // machine index by name
	owner    []int             // by machine: index of the bidder that it is assigned to in this auction, or none
	price    []float64         // by machine, in this auction
	hasImage map[string][]bool // by image and machine: known to be cached or being fetched there
	bound    load.Bound        // if Params.LoadBound is set
}

func newPlacer(cycle Cycle) *placer {
	p := &placer{
		Cycle:    cycle,
		indexOf:  make(map[string]int, len(cycle.Machines)),
		owner:    make([]int, len(cycle.Machines)),
		price:    make([]float64, len(cycle.Machines)),
		hasImage: map[string][]bool{},
	}
	for i, machine := range cycle.Machines {
		p.indexOf[machine.Name] = i
	}
	if loadBound := cycle.Params.LoadBound; loadBound != nil {
		p.bound = loadBound.Bound
	}
	return p
}

// interleaved returns the groups' tasks so that each auction has its share of every group. One group after the
// other would give each machine a task of each group: several images to fetch at once where one would have done.
func interleaved(groups []*Group) []bidder {
	type ranked struct {
		bidder
		position float64 // within its group, from 0 to 1
	}
	var all []ranked
	for _, group := range groups {
		for i, taskIndex := range group.TaskIndexes {
			position := (float64(i) + 0.5) / float64(len(group.TaskIndexes))
			all = append(all, ranked{bidder{group, taskIndex, none}, position})
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.position, b.position) })
	tasks := make([]bidder, len(all))
	for i, task := range all {
		tasks[i] = task.bidder
	}
	return tasks
}

// place runs auctions until all tasks are placed or fit on no machine within the bound. It returns the matches, and
// the tasks that fit only on machines beyond the bound.
func (p *placer) place(tasks []bidder) (matches []Match, beyondBound []bidder) {
	for len(tasks) > 0 {
		round := tasks[:min(len(tasks), len(p.Machines))]
		p.auction(round)
		var unmatched []bidder
		matches, unmatched = p.commit(round, matches)
		// Free capacity only shrinks: a group that fits nowhere now never will.
		fits := map[*Group]fit{}
		p.findFits(unmatched, fits)
		remaining := append(unmatched, tasks[len(round):]...)
		tasks = slices.DeleteFunc(remaining, func(task bidder) bool {
			where, checked := fits[task.group]
			if !checked {
				return false
			}
			if where == fitsBeyondBound {
				beyondBound = append(beyondBound, task)
			}
			return where != fitsWithinBound
		})
	}
	return matches, beyondBound
}

// commit takes the resources of the tasks that an auction has assigned off their machines. It appends them to the
// matches, and returns these and the tasks that were not assigned.
func (p *placer) commit(round []bidder, matches []Match) (_ []Match, unmatched []bidder) {
	for i := range round {
		task := &round[i]
		if task.machine == none {
			unmatched = append(unmatched, *task)
			continue
		}
		machine := p.Machines[task.machine]
		p.take(machine, task.group)
		p.History.RecordVisit(task.group.Image, machine.Name, p.Now)
		p.machinesWithImage(task.group.Image)[task.machine] = true
		matches = append(matches, Match{task.group, task.taskIndex, machine})
	}
	return matches, unmatched
}

// take takes a task's resources off a machine.
func (p *placer) take(machine *Machine, group *Group) {
	before := machine.Load()
	machine.Free = machine.Free.Minus(group.Request)
	machine.UnstartedTasks++
	if loadBound := p.Params.LoadBound; loadBound != nil {
		loadBound.Mean.Update(before, machine.Load())
	}
}

// fit tells where a group has free capacity.
type fit int

const (
	fitsNowhere fit = iota
	fitsBeyondBound
	fitsWithinBound
)

// findFits adds to fits where the groups of the tasks fit. The map is the caller's, to be kept off the heap.
func (p *placer) findFits(tasks []bidder, fits map[*Group]fit) {
	for _, task := range tasks {
		if _, known := fits[task.group]; !known {
			fits[task.group] = p.fitOf(task.group)
		}
	}
}

func (p *placer) fitOf(group *Group) fit {
	best := fitsNowhere
	for i, machine := range p.Machines {
		switch {
		case p.admits(group, i):
			return fitsWithinBound
		case group.Fits(machine):
			best = fitsBeyondBound
		}
	}
	return best
}

// machinesWithImage tells by machine whether an image is known to be cached or being fetched there.
func (p *placer) machinesWithImage(image string) []bool {
	has, known := p.hasImage[image]
	if !known {
		has = make([]bool, len(p.Machines))
		for i, machine := range p.Machines {
			has[i] = machine.CachedImages.Has(image) || slices.Contains(machine.FetchingImages, image)
		}
		p.hasImage[image] = has
	}
	return has
}
