package placement

import (
	"cmp"
	"slices"

	"swiftledge/internal/load"
)

// none is the index that stands for no machine and for no task.
const none = -1

// auctionTask is one task in an auction.
type auctionTask struct {
	group     *Group
	taskIndex int
	machine   int // index of the assigned machine, or none
}

// placer is the state shared by the auctions of one cycle. Machines are identified by their index in the cycle.
type placer struct {
	Cycle
	indexOf  map[string]int    // machine index by name
	owner    []int             // by machine: index of its task in this auction, or none
	price    []float64         // by machine, in this auction
	hasImage map[string][]bool // by image and machine: whether the image is known to be cached or being fetched
	bound    load.Bound        // used only if Params.LoadBound is set
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

// interleaveTasks returns the tasks of the groups in an order that gives each auction a share of every group. If the
// groups came one after the other, each machine would get a task of each group, and would fetch several images at once
// instead of one.
func interleaveTasks(groups []*Group) []auctionTask {
	type ranked struct {
		auctionTask
		position float64 // within its group, from 0 to 1
	}
	var rankedTasks []ranked
	for _, group := range groups {
		for i, taskIndex := range group.TaskIndexes {
			position := (float64(i) + 0.5) / float64(len(group.TaskIndexes))
			rankedTasks = append(rankedTasks, ranked{auctionTask{group, taskIndex, none}, position})
		}
	}
	slices.SortStableFunc(rankedTasks, func(a, b ranked) int { return cmp.Compare(a.position, b.position) })
	tasks := make([]auctionTask, len(rankedTasks))
	for i, task := range rankedTasks {
		tasks[i] = task.auctionTask
	}
	return tasks
}

// place runs auctions until each task is placed or fits on no machine within the bound. It returns the matches, and the
// tasks that fit only on machines beyond the bound.
func (p *placer) place(tasks []auctionTask) (matches []Match, beyondBound []auctionTask) {
	for len(tasks) > 0 {
		auctioned := tasks[:min(len(tasks), len(p.Machines))]
		p.auction(auctioned)
		var unmatched []auctionTask
		matches, unmatched = p.commitAuction(auctioned, matches)
		// Free capacity only shrinks: a group that fits nowhere now fits nowhere later in this cycle, either.
		fits := map[*Group]fit{}
		p.findFits(unmatched, fits)
		remaining := append(unmatched, tasks[len(auctioned):]...)
		tasks = slices.DeleteFunc(remaining, func(task auctionTask) bool {
			groupFit, checked := fits[task.group]
			if !checked {
				return false
			}
			if groupFit == fitsBeyondBound {
				beyondBound = append(beyondBound, task)
			}
			return groupFit != fitsWithinBound
		})
	}
	return matches, beyondBound
}

// commitAuction allocates resources to the tasks that an auction has assigned to machines. It returns the matches with
// these tasks appended, and the tasks that were not assigned.
func (p *placer) commitAuction(auctioned []auctionTask, matches []Match) (_ []Match, unmatched []auctionTask) {
	for i := range auctioned {
		task := &auctioned[i]
		if task.machine == none {
			unmatched = append(unmatched, *task)
			continue
		}
		machine := p.Machines[task.machine]
		p.allocate(machine, task.group)
		p.History.RecordVisit(task.group.Image, machine.Name, p.Now)
		p.machinesWithImage(task.group.Image)[task.machine] = true
		matches = append(matches, Match{task.group, task.taskIndex, machine})
	}
	return matches, unmatched
}

// allocate subtracts the request of a task from the free capacity of a machine.
func (p *placer) allocate(machine *Machine, group *Group) {
	before := machine.Load()
	machine.Free = machine.Free.Minus(group.Request)
	machine.Tasks++
	machine.UnstartedTasks++
	if loadBound := p.Params.LoadBound; loadBound != nil {
		loadBound.Mean.Update(before, machine.Load())
	}
}

// fit says whether a task of a group fits on any machine, and whether it does so within the load bound.
type fit int

const (
	fitsNowhere fit = iota
	fitsBeyondBound
	fitsWithinBound
)

// findFits adds the fits of the tasks' groups to the map. The caller provides the map, so that the map stays off the
// heap.
func (p *placer) findFits(tasks []auctionTask, fits map[*Group]fit) {
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

// machinesWithImage returns, by machine, whether an image is known to be cached or being fetched on the machine.
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
