// Package placement is the design's scheduling core, without I/O: decayed image
// affinity over load (paper Eq. 1-4) and successive auctions (Algorithm 1).
package placement

import (
	"cmp"
	"math"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/rebalancer"
)

// Params are the values that the design leaves open.
type Params struct {
	K, Eta, Epsilon, Small float64
	Spread                 *Spread // nil: machines are candidates whatever their load
}

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
	Capacity           rebalancer.Resources
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
	ImageGB            float64
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
	c := newCycle(machines, b, p, now)
	out, left := c.place(interleaved(groups))
	for len(left) > 0 {
		c.widen(left)
		var more []Match
		more, left = c.place(left)
		if len(more) == 0 {
			break // no bound lets them in: they are unplaced like those without room
		}
		out = append(out, more...)
	}
	return out
}

// place runs auctions until tasks or room within the bound run out. It gives the matches, and the tasks
// that have room only beyond the bound.
func (c *cycle) place(tasks []bidder) (out []Match, beyond []bidder) {
	machines := c.machines
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
			c.take(m, t.g)
			c.book.Visit(t.g.Image, m.Name, c.now)
			c.holders(t.g.Image)[t.at] = true
			out = append(out, Match{t.g, t.index, m})
		}
		// Room only shrinks: a group that fits nowhere now never will.
		rest := append(left, tasks[len(round):]...)
		fits := map[*Group]fit{}
		for _, t := range left {
			if _, ok := fits[t.g]; !ok {
				fits[t.g] = c.fit(t.g)
			}
		}
		tasks = slices.DeleteFunc(rest, func(t bidder) bool {
			f, ok := fits[t.g]
			if ok && f == fitsBeyond {
				beyond = append(beyond, t)
			}
			return ok && f != fitsWithin
		})
	}
	return out, beyond
}

// fit says where a group has room.
type fit int

const (
	fitsNowhere fit = iota
	fitsBeyond      // on machines over the bound only
	fitsWithin
)

func (c *cycle) fit(g *Group) fit {
	best := fitsNowhere
	for j, m := range c.machines {
		switch {
		case c.admits(g, j):
			return fitsWithin
		case g.Fits(m):
			best = fitsBeyond
		}
	}
	return best
}

// take takes a task's room off a machine.
func (c *cycle) take(m *Machine, g *Group) {
	spread := c.p.Spread
	if spread != nil {
		defer func(before float64) { spread.Mean.Change(before, m.Load()) }(m.Load())
	}
	m.CPUs -= g.CPUs
	m.GPUs -= g.GPUs
	m.Memory -= g.Memory
	m.Unstarted++
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
	bound    rebalancer.Bound  // with spreading
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
	if p.Spread != nil {
		c.bound = p.Spread.Bound
	}
	return c
}
