package placement

import (
	"cmp"
	"container/heap"
)

// fallback is a candidate machine for tasks that get no machine in the bidding.
type fallback struct {
	machine        int
	unstartedTasks int
	avoidRank      int
	hasImage       bool
	freeCPUs       float64
}

// compare orders fallbacks, the best first: by avoid rank, then by the number of unstarted tasks, then machines that
// have the task's image or are fetching it (which saves a fetch), then by free CPUs, the fewest first, then by index.
func (f *fallback) compare(other *fallback) int {
	if f.avoidRank != other.avoidRank {
		return cmp.Compare(f.avoidRank, other.avoidRank)
	}
	if f.unstartedTasks != other.unstartedTasks {
		return cmp.Compare(f.unstartedTasks, other.unstartedTasks)
	}
	if f.hasImage != other.hasImage {
		if f.hasImage {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(f.freeCPUs, other.freeCPUs), cmp.Compare(f.machine, other.machine))
}

// fallbackHeap is a heap of candidate machines, the best on top. Push and Pop have the types that heap.Interface
// requires.
type fallbackHeap []fallback

// Len implements heap.Interface.
func (h fallbackHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h fallbackHeap) Less(i, j int) bool { return h[i].compare(&h[j]) < 0 }

// Swap implements heap.Interface.
func (h fallbackHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *fallbackHeap) Push(x any) { *h = append(*h, x.(fallback)) }

// Pop implements heap.Interface.
func (h *fallbackHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// assignFallbacks assigns each task that has no machine after the bidding to its best fallback.
func (p *placer) assignFallbacks(tasks []auctionTask) {
	byGroup := map[*Group]*fallbackHeap{}
	for i := range tasks {
		if tasks[i].machine != none {
			continue
		}
		group := tasks[i].group
		candidates := byGroup[group]
		if candidates == nil {
			candidates = p.fallbacksOf(group)
			byGroup[group] = candidates
		}
		for candidates.Len() > 0 && tasks[i].machine == none {
			machine := heap.Pop(candidates).(fallback).machine
			if p.owner[machine] == none {
				p.owner[machine], tasks[i].machine = i, machine
			}
		}
	}
}

// fallbacksOf returns the machines that admit a task of the group and have no task assigned in this auction.
func (p *placer) fallbacksOf(group *Group) *fallbackHeap {
	hasImage := p.machinesWithImage(group.Image)
	candidates := make(fallbackHeap, 0, len(p.Machines))
	for i, machine := range p.Machines {
		if p.owner[i] == none && p.admits(group, i) {
			candidates = append(candidates, fallback{
				machine:        i,
				unstartedTasks: machine.UnstartedTasks,
				avoidRank:      group.AvoidRank[machine.Name],
				hasImage:       hasImage[i],
				freeCPUs:       machine.Free.CPUs,
			})
		}
	}
	heap.Init(&candidates)
	return &candidates
}
