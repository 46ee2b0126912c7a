// Package placement is the design's scheduling core, without I/O: decayed image
// affinity over load (paper Eq. 1-4) and successive auctions (Algorithm 1).
package placement

import (
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

// Affinity is Eq. 2 with the design's alpha: 1 on a listed machine, decayed.
func (b *Book) Affinity(image string, m *Machine, k float64, now clock.Micros) float64 {
	for _, v := range b.images[image] {
		if v.machine == m.Name {
			alpha := float64(m.Unstarted+b.runs[m.Name]-v.run) * k
			return math.Exp(-alpha * max(0, (now-v.at).Seconds()))
		}
	}
	return 0
}

// Machine is a machine with its room.
type Machine struct {
	Name, Type, Zone   string
	Spot               bool
	CPUs, GPUs, Memory float64 // free
	Unstarted          int
	Images             *Cache // what it is known to hold; nil: nothing
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
	var tasks []bidder
	for _, g := range groups {
		for _, i := range g.Indexes {
			tasks = append(tasks, bidder{g, i, -1})
		}
	}
	var out []Match
	for len(tasks) > 0 {
		round := tasks[:min(len(tasks), len(machines))]
		auction(round, machines, b, p, now)
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
			out = append(out, Match{t.g, t.index, m})
		}
		matched := len(round) - len(left)
		rest := tasks[len(round):]
		if matched == 0 {
			// Nothing of this segment fits: only other groups may still.
			rest = slices.DeleteFunc(slices.Clone(rest), func(t bidder) bool {
				return slices.ContainsFunc(round, func(r bidder) bool { return r.g == t.g })
			})
			left = nil
		}
		next := make([]bidder, 0, len(left)+len(rest))
		tasks = append(append(next, left...), rest...)
		for i := range tasks {
			tasks[i].at = -1
		}
	}
	return out
}

// auction is Algorithm 1 for at most as many tasks as machines.
func auction(tasks []bidder, machines []*Machine, b *Book, p Params, now clock.Micros) {
	n := len(machines)
	weight := make([][]float64, len(tasks)) // NaN: does not fit
	byGroup := map[*Group][]float64{}
	for i, t := range tasks {
		row, ok := byGroup[t.g]
		if !ok {
			row = make([]float64, n)
			for j, m := range machines {
				switch {
				case !t.g.Fits(m):
					row[j] = math.NaN()
				default:
					// Eq. 4: the affinity over the load; below eta there is no edge.
					if s := b.Affinity(t.g.Image, m, p.K, now); s > p.Eta {
						row[j] = s / (float64(m.Unstarted) + p.Small)
					}
				}
			}
			byGroup[t.g] = row
		}
		weight[i] = row
	}
	price := make([]float64, n)
	owner := make([]int, n)
	for j := range owner {
		owner[j] = -1
	}
	queue := make([]int, len(tasks))
	for i := range queue {
		queue[i] = i
	}
	total := 0.0
	for len(queue) > 0 {
		var outbid []int
		for _, i := range queue {
			best, second, at := math.Inf(-1), math.Inf(-1), -1
			for j, w := range weight[i] {
				if math.IsNaN(w) || w == 0 {
					continue
				}
				if v := w - price[j]; v > best {
					best, second, at = v, best, j
				} else if v > second {
					second = v
				}
			}
			// A machine whose price ate all profit is worth no more than the fallback.
			if at < 0 || best <= 0 {
				continue
			}
			second = max(second, 0)
			if o := owner[at]; o >= 0 {
				tasks[o].at = -1
				outbid = append(outbid, o)
			}
			price[at] += best - second + p.Epsilon
			owner[at], tasks[i].at = i, at
		}
		sum := 0.0
		for j, o := range owner {
			if o >= 0 {
				sum += weight[o][j]
			}
		}
		queue = outbid
		if math.Abs(sum-total) < p.Eta && len(outbid) == 0 {
			break
		}
		total = sum
	}
	// Who has no machine above eta takes the fitting one with the fewest unstarted
	// tasks; among these one that is known to hold the image, so that it is not fetched.
	cached := map[string][]bool{}
	for i := range tasks {
		if tasks[i].at >= 0 {
			continue
		}
		image := tasks[i].g.Image
		has := cached[image]
		if has == nil {
			has = make([]bool, n)
			for j, m := range machines {
				has[j] = m.Images.Has(image)
			}
			cached[image] = has
		}
		at := -1
		for j, m := range machines {
			if owner[j] >= 0 || math.IsNaN(weight[i][j]) {
				continue
			}
			if at < 0 || lighter(m, machines[at], has[j], has[at]) {
				at = j
			}
		}
		if at >= 0 {
			owner[at], tasks[i].at = i, at
		}
	}
}

// lighter says whether a is the better fallback than b.
func lighter(a, b *Machine, hasA, hasB bool) bool {
	if a.Unstarted != b.Unstarted {
		return a.Unstarted < b.Unstarted
	}
	if hasA != hasB {
		return hasA
	}
	return a.CPUs < b.CPUs
}
