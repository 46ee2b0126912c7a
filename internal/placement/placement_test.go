package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"swiftledge/internal/clock"
)

// affinity is 0 on a machine that an image has not visited lately.
func affinity(b *Book, image string, m *Machine, k float64, now clock.Micros) float64 {
	for _, v := range b.images[image] {
		if v.machine == m.Name {
			return b.decayed(v, m, k, now)
		}
	}
	return 0
}

// weights of one auction, as Eq. 4 gives them; 0 where there is no edge.
func weights(tasks []bidder, ms []*Machine, b *Book, p Params, now clock.Micros) [][]float64 {
	out := make([][]float64, len(tasks))
	for i, t := range tasks {
		out[i] = make([]float64, len(ms))
		for j, m := range ms {
			if s := affinity(b, t.g.Image, m, p.K, now); t.g.Fits(m) && s > p.Eta {
				out[i][j] = s / (float64(m.Unstarted) + p.Small)
			}
		}
	}
	return out
}

// best is the largest total weight of any matching, by trying all.
func best(w [][]float64, i int, used []bool) float64 {
	if i == len(w) {
		return 0
	}
	top := best(w, i+1, used)
	for j, v := range w[i] {
		if v > 0 && !used[j] {
			used[j] = true
			top = math.Max(top, v+best(w, i+1, used))
			used[j] = false
		}
	}
	return top
}

// An auction ends within n times epsilon of the best matching.
func TestAuctionNearBest(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		b := NewBook()
		now := 100 * clock.Second
		var ms []*Machine
		for j := range 1 + r.IntN(5) {
			ms = append(ms, &Machine{Name: fmt.Sprint("m", j), CPUs: float64(1 + r.IntN(4)), Unstarted: r.IntN(4)})
		}
		for range r.IntN(20) {
			b.Visit(fmt.Sprint("i", r.IntN(3)), ms[r.IntN(len(ms))].Name, clock.Micros(r.Int64N(int64(now))))
		}
		var tasks []bidder
		for i := range 1 + r.IntN(len(ms)) {
			tasks = append(tasks, bidder{&Group{Key: fmt.Sprint(i), Image: fmt.Sprint("i", r.IntN(3)), CPUs: float64(r.IntN(3))}, 0, -1})
		}
		p := Params{K: 0.001, Eta: 0.05, Epsilon: 0.001, Small: 0.5}
		w := weights(tasks, ms, b, p, now)
		newCycle(ms, b, p, now).auction(tasks)
		got := 0.0
		taken := map[int]bool{}
		for i, x := range tasks {
			if x.at < 0 {
				continue
			}
			if taken[x.at] || !x.g.Fits(ms[x.at]) {
				t.Fatalf("seed %d: machine %d is taken twice or does not fit", seed, x.at)
			}
			taken[x.at] = true
			got += w[i][x.at]
		}
		if most := best(w, 0, make([]bool, len(ms))); got < most-float64(len(tasks))*p.Epsilon-1e-9 {
			t.Errorf("seed %d: total weight %.4f, best %.4f", seed, got, most)
		}
	}
}

func machines(n int, cpus float64) []*Machine {
	var ms []*Machine
	for i := range n {
		ms = append(ms, &Machine{Name: fmt.Sprint("m", i), CPUs: cpus, Memory: 8})
	}
	return ms
}

var params = Params{K: 0.001, Eta: 0.05, Epsilon: 0.01, Small: 0.5}

func TestCycleFillsAllRoomAndNoMore(t *testing.T) {
	g := &Group{Key: "a", Image: "x", CPUs: 2, Memory: 1}
	for i := range 9 {
		g.Indexes = append(g.Indexes, i)
	}
	big := &Group{Key: "b", Indexes: []int{0}, Image: "y", CPUs: 9}
	got := Cycle([]*Group{big, g}, machines(3, 4), NewBook(), params, 0)
	if len(got) != 6 {
		t.Fatalf("%d tasks placed, want 6", len(got))
	}
	load := map[string]float64{}
	for _, m := range got {
		load[m.Machine.Name] += m.Group.CPUs
		if m.Group == big {
			t.Error("a task was placed where it does not fit")
		}
	}
	for name, l := range load {
		if l > 4 {
			t.Errorf("%s is given %v cpus", name, l)
		}
	}
}

func TestAffinityDrawsToCachedImageUntilLoadOutweighs(t *testing.T) {
	b := NewBook()
	b.Visit("x", "m1", 0)
	g := &Group{Key: "a", Indexes: []int{0}, Image: "x", CPUs: 1}
	if got := Cycle([]*Group{g}, machines(3, 4), b, params, clock.Second); len(got) != 1 || got[0].Machine.Name != "m1" {
		t.Errorf("placed %v, want m1", got)
	}
	m := &Machine{Name: "m1", Unstarted: 10}
	early, late := affinity(b, "x", m, params.K, clock.Second), affinity(b, "x", m, params.K, 100*clock.Second)
	if !(early > late && late > 0) {
		t.Errorf("affinity %v, then %v: want decay", early, late)
	}
	if affinity(b, "x", &Machine{Name: "m2"}, params.K, 0) != 0 {
		t.Error("a machine that never had the image has affinity")
	}
}

func TestBookKeepsTenLatest(t *testing.T) {
	b := NewBook()
	for i := range 15 {
		b.Visit("x", fmt.Sprint("m", i), clock.Micros(i))
	}
	n := 0
	for i := range 15 {
		if affinity(b, "x", &Machine{Name: fmt.Sprint("m", i)}, 0, 100) > 0 {
			n++
		}
	}
	if n != visits || affinity(b, "x", &Machine{Name: "m4"}, 0, 100) != 0 {
		t.Errorf("%d machines listed, want the %d latest", n, visits)
	}
}

func TestCycleWithoutMachinesEnds(t *testing.T) {
	g := &Group{Key: "a", Indexes: []int{0}, Image: "x", CPUs: 2}
	if got := Cycle([]*Group{g}, nil, NewBook(), params, 0); len(got) != 0 {
		t.Errorf("%d tasks placed on no machine", len(got))
	}
}

// Without affinity the least loaded machine is taken, of these one with the image.
func TestFallbackSparesAFetch(t *testing.T) {
	ms := machines(4, 4)
	ms[1].Images, ms[3].Images = &Cache{}, &Cache{}
	ms[1].Images.Use("x", 1, 10)
	ms[3].Images.Use("x", 1, 10)
	ms[1].Unstarted = 1
	g := &Group{Key: "a", Indexes: []int{0, 1}, Image: "x", CPUs: 1}
	got := Cycle([]*Group{g}, ms, NewBook(), params, 0)
	if len(got) != 2 || got[0].Machine != ms[3] || got[1].Machine == ms[1] {
		t.Errorf("placed %v, want m3 and then an idle one", got)
	}
}

func TestCacheKeepsTheLatestThatFit(t *testing.T) {
	c := &Cache{}
	for _, image := range []string{"a", "b", "c", "a"} {
		c.Use(image, 4, 10)
	}
	if !c.Has("a") || !c.Has("c") || c.Has("b") {
		t.Errorf("holds %v, want a and c", c.names)
	}
}

// Tasks with different images that come together are given to different machines as far
// as that is possible: several fetches at once share a machine's rate.
func TestCycleKeepsImagesTogether(t *testing.T) {
	var gs []*Group
	for _, image := range []string{"x", "y", "z", "w"} {
		g := &Group{Key: image, Image: image, CPUs: 1, Memory: 1}
		for i := range 16 {
			g.Indexes = append(g.Indexes, i)
		}
		gs = append(gs, g)
	}
	images := map[string]map[string]bool{}
	got := Cycle(gs, machines(16, 4), NewBook(), params, 0)
	if len(got) != 64 {
		t.Fatalf("%d tasks placed, want 64", len(got))
	}
	fetches := 0
	for _, m := range got {
		if images[m.Machine.Name] == nil {
			images[m.Machine.Name] = map[string]bool{}
		}
		if !images[m.Machine.Name][m.Group.Image] {
			images[m.Machine.Name][m.Group.Image] = true
			fetches++
		}
	}
	if fetches > 20 {
		t.Errorf("%d fetches on 16 machines", fetches)
	}
}
