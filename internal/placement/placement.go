// Package placement is the design's scheduling core, without I/O: decayed image
// affinity over load (paper Eq. 1-4) and successive auctions (Algorithm 1).
package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"swiftledge/internal/clock"
)

// Params are the values that the design leaves open.
type Params struct{ K, Eta, Epsilon, Small float64 }

// visits is how many machine visits are kept for an image (paper IV.A).
const visits = 10

type visit struct {
	machine string
	at      clock.Micros
	run     int // the machine's count of tasks run, at the visit
}

// Book keeps the latest machine visits of each image, newest first.
type Book struct {
	images map[string][]visit
	runs   map[string]int
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{images: map[string][]visit{}, runs: map[string]int{}} }

// Visit notes that a task with the image was given to the machine.
func (b *Book) Visit(image, machine string, at clock.Micros) {
	b.runs[machine]++
	b.note(image, machine, at)
}

func (b *Book) note(image, machine string, at clock.Micros) {
	l := slices.DeleteFunc(b.images[image], func(v visit) bool { return v.machine == machine })
	l = slices.Insert(l, 0, visit{machine, at, b.runs[machine]})
	b.images[image] = l[:min(len(l), visits)]
}

// Seen adds an image that a machine's report shows to be cached, once.
func (b *Book) Seen(image, machine string, at clock.Micros) {
	if !slices.ContainsFunc(b.images[image], func(v visit) bool { return v.machine == machine }) {
		b.note(image, machine, at)
	}
}

// Drop forgets a machine that is gone.
func (b *Book) Drop(machine string) {
	delete(b.runs, machine)
	for image, l := range b.images {
		b.images[image] = slices.DeleteFunc(l, func(v visit) bool { return v.machine == machine })
	}
}

// decayed is Eq. 2 with the design's alpha: affinity is 1 on a listed machine, and this is
// what is left of it.
func (b *Book) decayed(v visit, m *Machine, k float64, now clock.Micros) float64 {
	alpha := float64(m.Unstarted+b.runs[m.Name]-v.run) * k
	return math.Exp(-alpha * max(0, (now-v.at).Seconds()))
}

// Machine is a machine with its room.
type Machine struct {
	Name, Type, Zone   string
	Spot               bool
	CPUs, GPUs, Memory float64 // free
	Unstarted          int
	Images             *Cache   // what it is known to hold; nil: nothing
	Fetches            []string // images that its unstarted tasks wait for
}

// Cache is what is known of the images that a machine holds: those used there, the
// latest first, as far as they fit.
type Cache struct {
	names []string
	sizes []float64
}

// Use notes that an image is there and in use.
func (c *Cache) Use(image string, gb, most float64) {
	if i := slices.Index(c.names, image); i >= 0 {
		c.names, c.sizes = slices.Delete(c.names, i, i+1), slices.Delete(c.sizes, i, i+1)
	}
	c.names, c.sizes = slices.Insert(c.names, 0, image), slices.Insert(c.sizes, 0, gb)
	sum := 0.0
	for i, s := range c.sizes {
		if sum += s; sum > most && i > 0 {
			c.names, c.sizes = c.names[:i], c.sizes[:i]
			return
		}
	}
}

// Has says whether an image is known to be there.
func (c *Cache) Has(image string) bool { return c != nil && slices.Contains(c.names, image) }

// Group is a set of tasks that take the same and run in the same places; Key
// and the index in Indexes name a task.
type Group struct {
	Key                string
	Indexes            []int
	Image, Zone        string
	Types              []string
	Spot               bool
	CPUs, GPUs, Memory float64
	// Avoid names machines that are taken only when no other is left, the more so the
	// higher the number.
	Avoid map[string]int
}

// Fits says whether one task of g can be given to m now.
func (g *Group) Fits(m *Machine) bool {
	const slack = 1e-9
	return g.CPUs <= m.CPUs+slack && g.GPUs <= m.GPUs+slack && g.Memory <= m.Memory+slack && g.Allows(m)
}

// Allows says whether the job lets its tasks be on m.
func (g *Group) Allows(m *Machine) bool {
	return (g.Spot || !m.Spot) && (g.Zone == "" || g.Zone == m.Zone) &&
		(len(g.Types) == 0 || slices.Contains(g.Types, m.Type))
}

// Match gives a task to a machine.
type Match struct {
	Group   *Group
	Index   int
	Machine *Machine
}

type bidder struct {
	g     *Group
	index int
	at    int // machine, or -1
}

// Cycle runs auctions of at most one task per machine until tasks or room run
// out. It takes the room off the machines and returns the matches; tasks go in
// the order of the groups.
func Cycle(groups []*Group, machines []*Machine, b *Book, p Params, now clock.Micros) []Match {
	if len(machines) == 0 {
		return nil // room that was offered may be gone by now; an auction without seats never ends
	}
	tasks := interleaved(groups)
	c := newCycle(machines, b, p, now)
	var out []Match
	for len(tasks) > 0 {
		round := tasks[:min(len(tasks), len(machines))]
		c.auction(round)
		var left []bidder
		for i := range round {
			t := &round[i]
			if t.at < 0 {
				left = append(left, *t)
				continue
			}
			m := machines[t.at]
			m.CPUs -= t.g.CPUs
			m.GPUs -= t.g.GPUs
			m.Memory -= t.g.Memory
			m.Unstarted++
			b.Visit(t.g.Image, m.Name, now)
			c.holders(t.g.Image)[t.at] = true
			out = append(out, Match{t.g, t.index, m})
		}
		// Room only shrinks: a group that fits nowhere now never will.
		rest := append(left, tasks[len(round):]...)
		fits := map[*Group]bool{}
		for _, t := range left {
			if _, ok := fits[t.g]; !ok {
				fits[t.g] = slices.ContainsFunc(machines, t.g.Fits)
			}
		}
		tasks = slices.DeleteFunc(rest, func(t bidder) bool {
			f, ok := fits[t.g]
			return ok && !f
		})
	}
	return out
}

// cycle is what the auctions of one cycle share.
type cycle struct {
	machines []*Machine
	at       map[string]int // by name: the machine's place
	book     *Book
	p        Params
	now      clock.Micros
	owner    []int // of each machine: who bids highest; -1: nobody
	price    []float64
	cached   map[string][]bool // by image: which machines are known to hold or fetch it
}

// interleaved are the groups' tasks, so that each auction has its share of every group.
// One group after the other would give each machine a task of each: several images to
// fetch at once where one would have done.
func interleaved(groups []*Group) []bidder {
	type place struct {
		bidder
		at float64 // within its group
	}
	var all []place
	for _, g := range groups {
		for k, i := range g.Indexes {
			all = append(all, place{bidder{g, i, -1}, (float64(k) + 0.5) / float64(len(g.Indexes))})
		}
	}
	slices.SortStableFunc(all, func(a, b place) int { return cmp.Compare(a.at, b.at) })
	out := make([]bidder, len(all))
	for i, p := range all {
		out[i] = p.bidder
	}
	return out
}

func newCycle(machines []*Machine, b *Book, p Params, now clock.Micros) *cycle {
	c := &cycle{machines: machines, at: make(map[string]int, len(machines)), book: b, p: p, now: now,
		owner: make([]int, len(machines)), price: make([]float64, len(machines)), cached: map[string][]bool{}}
	for j, m := range machines {
		c.at[m.Name] = j
	}
	return c
}

// edge is a machine that scores above eta for a group.
type edge struct {
	at     int
	weight float64
}

// row is what all tasks with the same edges share.
type row struct {
	edges   []edge
	bidders int
}

// edges are the group's machines above eta, in their order (Eq. 4: the affinity over
// the load). An image has few visits, so the graph is sparse and nothing here is done
// for every machine.
func (c *cycle) edges(g *Group) []edge {
	var out []edge
	for _, v := range c.book.images[g.Image] {
		j, ok := c.at[v.machine]
		if !ok {
			continue
		}
		m := c.machines[j]
		if !g.Fits(m) || g.Avoid[m.Name] > 0 {
			continue
		}
		if s := c.book.decayed(v, m, c.p.K, c.now); s > c.p.Eta {
			out = append(out, edge{j, s / (float64(m.Unstarted) + c.p.Small)})
		}
	}
	slices.SortFunc(out, func(a, b edge) int { return a.at - b.at })
	return out
}

// auction is Algorithm 1 for at most as many tasks as machines.
func (c *cycle) auction(tasks []bidder) {
	byGroup := map[*Group]*row{}
	byImage := map[string][]*row{}
	// Of tasks with the same row only as many bid as it has machines: more could not win,
	// and would only drive the prices up, a step of epsilon at a time.
	var queue []int
	for i, t := range tasks {
		r := byGroup[t.g]
		if r == nil {
			edges := c.edges(t.g)
			at := slices.IndexFunc(byImage[t.g.Image], func(o *row) bool { return slices.Equal(o.edges, edges) })
			if at < 0 {
				at = len(byImage[t.g.Image])
				byImage[t.g.Image] = append(byImage[t.g.Image], &row{edges: edges})
			}
			r = byImage[t.g.Image][at]
			byGroup[t.g] = r
		}
		if r.bidders < len(r.edges) {
			r.bidders++
			queue = append(queue, i)
		}
	}
	bidders := slices.Clone(queue)
	for j := range c.owner {
		c.owner[j], c.price[j] = -1, 0
	}
	weight := func(i int) float64 {
		for _, e := range byGroup[tasks[i].g].edges {
			if e.at == tasks[i].at {
				return e.weight
			}
		}
		return 0
	}
	total := 0.0
	for len(queue) > 0 {
		var outbid []int
		for _, i := range queue {
			best, second, at := math.Inf(-1), math.Inf(-1), -1
			for _, e := range byGroup[tasks[i].g].edges {
				if v := e.weight - c.price[e.at]; v > best {
					best, second, at = v, best, e.at
				} else if v > second {
					second = v
				}
			}
			// A machine whose price ate all profit is worth no more than the fallback.
			if at < 0 || best <= 0 {
				continue
			}
			second = max(second, 0)
			if o := c.owner[at]; o >= 0 {
				tasks[o].at = -1
				outbid = append(outbid, o)
			}
			c.price[at] += best - second + c.p.Epsilon
			c.owner[at], tasks[i].at = i, at
		}
		sum := 0.0
		for _, i := range bidders {
			if tasks[i].at >= 0 {
				sum += weight(i)
			}
		}
		queue = outbid
		if math.Abs(sum-total) < c.p.Eta && len(outbid) == 0 {
			break
		}
		total = sum
	}
	// Who has no machine above eta takes the fitting one with the fewest unstarted tasks.
	left := map[*Group]*seats{}
	for i := range tasks {
		if tasks[i].at >= 0 {
			continue
		}
		g := tasks[i].g
		s := left[g]
		if s == nil {
			s = c.seats(g)
			left[g] = s
		}
		for s.Len() > 0 && tasks[i].at < 0 {
			if at := heap.Pop(s).(seat).at; c.owner[at] < 0 {
				c.owner[at], tasks[i].at = i, at
			}
		}
	}
}

// seat is a machine as a fallback.
type seat struct {
	at, unstarted, avoided int
	cached                 bool
	cpus                   float64
}

// seats is a heap, the best fallback first: one that is not avoided; the fewest unstarted tasks; among these one
// that is known to hold or fetch the image, so that it is not fetched again; then the fullest.
type seats []seat

func (s seats) Len() int { return len(s) }
func (s seats) Less(i, j int) bool {
	a, b := &s[i], &s[j]
	switch {
	case a.avoided != b.avoided:
		return a.avoided < b.avoided
	case a.unstarted != b.unstarted:
		return a.unstarted < b.unstarted
	case a.cached != b.cached:
		return a.cached
	case a.cpus != b.cpus:
		return a.cpus < b.cpus
	}
	return a.at < b.at
}
func (s seats) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *seats) Push(x any)   { *s = append(*s, x.(seat)) }
func (s *seats) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// holders says which machines have an image or fetch it already.
func (c *cycle) holders(image string) []bool {
	has, ok := c.cached[image]
	if !ok {
		has = make([]bool, len(c.machines))
		for j, m := range c.machines {
			has[j] = m.Images.Has(image) || slices.Contains(m.Fetches, image)
		}
		c.cached[image] = has
	}
	return has
}

// seats are the machines that a group fits on and nobody owns.
func (c *cycle) seats(g *Group) *seats {
	has := c.holders(g.Image)
	out := make(seats, 0, len(c.machines))
	for j, m := range c.machines {
		if c.owner[j] < 0 && g.Fits(m) {
			out = append(out, seat{j, m.Unstarted, g.Avoid[m.Name], has[j], m.CPUs})
		}
	}
	heap.Init(&out)
	return &out
}
