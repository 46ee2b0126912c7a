// Package loopback plays a small site over real HTTP on 127.0.0.1: stand-ins for the state service, the
// cloud, the workers and the users, and real controllers as processes. Every link between two of them can
// be refused, delayed, or cut in one direction.
package loopback

import (
	"math/rand/v2"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// Shape is what a site is made of.
type Shape struct {
	Controllers int
	Workers     int
	Teams       []string
	CPUsMax     float64 // of each team
	Type        wire.MachineType
	ReportS     float64
	LeaseS      float64
	CancelS     float64
}

// DefaultShape is three controllers and twenty workers of four processors.
func DefaultShape() Shape {
	return Shape{Controllers: 3, Workers: 20, Teams: []string{"arequipa", "cusco"}, CPUsMax: 80,
		Type:    wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 1, Price: 0.26, SpotPrice: 0.09, BootS: 2, ZoneNames: []string{zone}},
		ReportS: 1, LeaseS: 8, CancelS: 24}
}

const zone = "a"

// What the state service takes of a value and of a transaction.
const valueKB, txnOps = 16, 12

// tickEvery is how often time passes for the stand-ins.
const tickEvery = 50 * time.Millisecond

// site is the actor that owns all that the stand-ins know; do is how it is spoken to.
type site struct {
	shape Shape
	clock clock.Steady
	calls chan func()
	done  chan struct{}
	stop  func()

	store   *fake.Store
	connect func(*worker) error // lays a new worker's links
	changed chan struct{}       // closed at the next change of the store
	cloud   *fake.Cloud
	workers []*worker
	byName  map[string]*worker
	jobs    map[string]*jobRun
	outputs *fake.Outputs
}

// jobRun is a job as its user knows it.
type jobRun struct {
	spec      wire.Job
	runS      float64 // how long its tasks really run
	mistaken  bool    // its tasks fail on every machine
	submitted clock.Micros
	began     clock.Micros // when its first task had its image; 0: not yet
	ran       map[int]int  // by task: how often it completed
}

func newSite(shape Shape) *site {
	s := &site{shape: shape, clock: clock.NewSteady(), calls: make(chan func()), done: make(chan struct{}),
		store: fake.NewStore(valueKB, txnOps), changed: make(chan struct{}),
		cloud: fake.NewCloud([]wire.MachineType{shape.Type}, clock.Second), byName: map[string]*worker{},
		jobs: map[string]*jobRun{}, outputs: fake.NewOutputs()}
	s.stop = sync.OnceFunc(func() { close(s.done) })
	s.cloud.Capacity = shape.Workers
	for range shape.Workers {
		m := s.cloud.CreateInstance(0, shape.Type.Name, zone, true)
		m.BootedAt, m.ListedAt = 0, 0
	}
	return s
}

// run is the actor.
func (s *site) run() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case f := <-s.calls:
			f()
		case <-tick.C:
			s.tick()
		}
	}
}

// do has the actor carry out f; false when the site has ended.
func (s *site) do(f func()) bool {
	over := make(chan struct{})
	select {
	case s.calls <- func() { f(); close(over) }:
		<-over
		return true
	case <-s.done:
		return false
	}
}

// tick lets time pass: leases of the state service, machines that boot or are returned, and tasks.
func (s *site) tick() {
	now := s.clock.Now()
	revision := s.store.ChangesSince("", 0).Revision
	s.store.ExpireLeases(now)
	s.noteChange(revision)
	for _, m := range s.cloud.Created[len(s.workers):] {
		w := newWorker(s, m)
		s.workers = append(s.workers, w)
		go func() {
			// Without sockets left the machine never comes up, like one that fails to boot.
			_ = s.connect(w)
		}()
	}
	for _, w := range s.workers {
		w.tick(now)
	}
}

// noteChange wakes the watches if the state service has a later revision than that.
func (s *site) noteChange(before uint64) {
	if _, revision := s.store.List(" "); revision > before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// jitter is a time between three quarters and five quarters of d.
func jitter(d clock.Micros) clock.Micros { return d*3/4 + clock.Micros(rand.Int64N(int64(d/2))) }
