package placement

import (
	"math"
	"slices"
)

// edge joins a group with a machine for which its affinity is above η.
type edge struct {
	machine int
	weight  float64
}

// edgeList holds the edges that all tasks of some groups have in common.
type edgeList struct {
	edges   []edge
	bidders int // how many tasks bid on them
}

// auction is the paper's Algorithm 1 for at most as many tasks as machines. Tasks that it leaves without a machine
// are assigned by the fallback.
func (p *placer) auction(tasks []bidder) {
	for i := range p.owner {
		p.owner[i], p.price[i] = none, 0
	}
	edges, bidders := p.selectBidders(tasks)
	p.runBidding(tasks, edges, bidders)
	p.assignFallbacks(tasks)
}

// edgesOf returns the edges of a group, by machine. The weight is the affinity divided by the load (equation 4 of
// the paper). An image has few visits: the graph is sparse, and nothing here is done for every machine.
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

// selectBidders finds the edges of each group, and the tasks that bid. Of the tasks with the same edges only as many
// bid as these have machines: more could not win, and would only drive the prices up by steps of ε.
func (p *placer) selectBidders(tasks []bidder) (byGroup map[*Group]*edgeList, bidders []int) {
	byGroup = map[*Group]*edgeList{}
	byImage := map[string][]*edgeList{}
	for i, task := range tasks {
		list := byGroup[task.group]
		if list == nil {
			list = sharedEdgeList(byImage, task.group.Image, p.edgesOf(task.group))
			byGroup[task.group] = list
		}
		if list.bidders < len(list.edges) {
			list.bidders++
			bidders = append(bidders, i)
		}
	}
	return byGroup, bidders
}

// sharedEdgeList returns the list of an image with just these edges, and adds it if there is none.
func sharedEdgeList(byImage map[string][]*edgeList, image string, edges []edge) *edgeList {
	lists := byImage[image]
	i := slices.IndexFunc(lists, func(list *edgeList) bool { return slices.Equal(list.edges, edges) })
	if i >= 0 {
		return lists[i]
	}
	list := &edgeList{edges: edges}
	byImage[image] = append(lists, list)
	return list
}

// runBidding lets tasks bid until none is outbid and the total weight changes by less than η.
func (p *placer) runBidding(tasks []bidder, edges map[*Group]*edgeList, bidders []int) {
	total := 0.0
	for queue := bidders; len(queue) > 0; {
		var outbid []int
		for _, i := range queue {
			if previous := p.bid(tasks, i, edges[tasks[i].group].edges); previous != none {
				outbid = append(outbid, previous)
			}
		}
		sum := 0.0
		for _, i := range bidders {
			if tasks[i].machine != none {
				sum += weightOf(edges[tasks[i].group].edges, tasks[i].machine)
			}
		}
		queue = outbid
		if math.Abs(sum-total) < p.Params.Eta && len(outbid) == 0 {
			break
		}
		total = sum
	}
}

// bid lets a task bid for the machine that gives it the highest profit, its weight less its price, and returns the
// task that is outbid, or none. A machine whose price leaves no profit is worth no more than the fallback, and gets
// no bid.
func (p *placer) bid(tasks []bidder, bidder int, edges []edge) (outbid int) {
	best, second, machine := math.Inf(-1), math.Inf(-1), none
	for _, e := range edges {
		if profit := e.weight - p.price[e.machine]; profit > best {
			best, second, machine = profit, best, e.machine
		} else if profit > second {
			second = profit
		}
	}
	if machine == none || best <= 0 {
		return none
	}
	outbid = p.owner[machine]
	if outbid != none {
		tasks[outbid].machine = none
	}
	p.price[machine] += best - max(second, 0) + p.Params.Epsilon
	p.owner[machine], tasks[bidder].machine = bidder, machine
	return outbid
}

// weightOf returns the weight of a machine among the edges; 0 if it is not among them.
func weightOf(edges []edge, machine int) float64 {
	for _, e := range edges {
		if e.machine == machine {
			return e.weight
		}
	}
	return 0
}
