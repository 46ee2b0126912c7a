package placement

import (
	"math"
	"slices"
)

// edge connects a group with a machine for which the group's image has an affinity above η. The group's tasks bid on
// the machines of its edges.
type edge struct {
	machine int
	weight  float64
}

// edgeList holds the edges of one or more groups with the same image and the same edges. These groups share one list,
// which counts the tasks that bid on its edges.
type edgeList struct {
	edges   []edge
	bidders int // number of tasks that bid on these edges
}

// auction runs the paper's Algorithm 1 for at most as many tasks as machines. Tasks that the bidding leaves without a
// machine are assigned by the fallback.
func (p *placer) auction(tasks []auctionTask) {
	for i := range p.owner {
		p.owner[i], p.price[i] = none, 0
	}
	edges, bidders := p.selectBidders(tasks)
	p.runBidding(tasks, edges, bidders)
	p.assignFallbacks(tasks)
}

// edgesOf returns the edges of a group, ordered by machine. The weight is the affinity divided by the load (equation 4
// of the paper). edgesOf iterates over the visits, not the machines: an image has few visits, so the graph is sparse.
func (p *placer) edgesOf(group *Group) []edge {
	var edges []edge
	for _, v := range p.History.visits[group.Image] {
		i, known := p.indexOf[v.machine]
		if !known {
			continue
		}
		machine := p.Machines[i]
		if !p.admits(group, i) || group.AvoidRank[machine.Name] > 0 {
			continue
		}
		if affinity := p.History.affinity(v, machine, p.Params.DecayRate, p.Now); affinity > p.Params.Eta {
			edges = append(edges, edge{i, affinity / (float64(machine.UnstartedTasks) + p.Params.LoadOffset)})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return a.machine - b.machine })
	return edges
}

// selectBidders returns the edges of each group, and the tasks that bid. Of the tasks with the same edges, only as many
// bid as there are edges. Further tasks could not win, and would only raise the prices in steps of ε.
func (p *placer) selectBidders(tasks []auctionTask) (edgesByGroup map[*Group]*edgeList, bidders []int) {
	edgesByGroup = map[*Group]*edgeList{}
	listsByImage := map[string][]*edgeList{}
	for i, task := range tasks {
		list := edgesByGroup[task.group]
		if list == nil {
			list = sharedEdgeList(listsByImage, task.group.Image, p.edgesOf(task.group))
			edgesByGroup[task.group] = list
		}
		if list.bidders < len(list.edges) {
			list.bidders++
			bidders = append(bidders, i)
		}
	}
	return edgesByGroup, bidders
}

// sharedEdgeList returns the image's list with exactly these edges. If there is none, it adds a new list to
// listsByImage.
func sharedEdgeList(listsByImage map[string][]*edgeList, image string, edges []edge) *edgeList {
	lists := listsByImage[image]
	i := slices.IndexFunc(lists, func(list *edgeList) bool { return slices.Equal(list.edges, edges) })
	if i >= 0 {
		return lists[i]
	}
	list := &edgeList{edges: edges}
	listsByImage[image] = append(lists, list)
	return list
}

// runBidding lets tasks bid until no task is outbid. It also compares the change of the total weight with η, but a
// small change does not end the bidding while tasks are outbid.
func (p *placer) runBidding(tasks []auctionTask, edges map[*Group]*edgeList, bidders []int) {
	previousWeight := 0.0
	for queue := bidders; len(queue) > 0; {
		var outbid []int
		for _, i := range queue {
			if previous := p.bid(tasks, i, edges[tasks[i].group].edges); previous != none {
				outbid = append(outbid, previous)
			}
		}
		totalWeight := 0.0
		for _, i := range bidders {
			if tasks[i].machine != none {
				totalWeight += weightOf(edges[tasks[i].group].edges, tasks[i].machine)
			}
		}
		queue = outbid
		if math.Abs(totalWeight-previousWeight) < p.Params.Eta && len(outbid) == 0 {
			break
		}
		previousWeight = totalWeight
	}
}

// bid lets a task bid on the machine with the highest profit, which is the weight minus the price, and returns the task
// that is outbid, or none. A machine without profit is no better than the fallback, and gets no bid.
func (p *placer) bid(tasks []auctionTask, bidder int, edges []edge) (outbid int) {
	bestProfit, secondProfit, machine := math.Inf(-1), math.Inf(-1), none
	for _, e := range edges {
		if profit := e.weight - p.price[e.machine]; profit > bestProfit {
			bestProfit, secondProfit, machine = profit, bestProfit, e.machine
		} else if profit > secondProfit {
			secondProfit = profit
		}
	}
	if machine == none || bestProfit <= 0 {
		return none
	}
	outbid = p.owner[machine]
	if outbid != none {
		tasks[outbid].machine = none
	}
	p.price[machine] += bestProfit - max(secondProfit, 0) + p.Params.Epsilon
	p.owner[machine], tasks[bidder].machine = bidder, machine
	return outbid
}

// weightOf returns the weight of the edge to a machine, or 0 if there is none.
func weightOf(edges []edge, machine int) float64 {
	for _, e := range edges {
		if e.machine == machine {
			return e.weight
		}
	}
	return 0
}
