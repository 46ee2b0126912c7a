package loopback

import (
	"fmt"
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
	HeartbeatS  float64
	LeaseS      float64
	CancelS     float64
}

// DefaultShape is three controllers and twenty workers of four processors.
func DefaultShape() Shape {
	return Shape{
		Controllers: 3,
		Workers:     20,
		Teams:       []string{"arequipa", "cusco"},
		CPUsMax:     80,
		Type: wire.MachineType{
			Name:      "small",
			CPUs:      4,
			MemoryGB:  8,
			CacheGB:   40,
			FetchGBPS: 1,
			Price:     0.26,
			SpotPrice: 0.09,
			BootS:     2,
			ZoneNames: []string{zone},
		},
		HeartbeatS: 1,
		LeaseS:     8,
		CancelS:    24,
	}
}

const (
	zone = "a"
	// tickInterval is how often time passes for the fakes.
	tickInterval = 50 * time.Millisecond
)

// site is the actor that owns the state of all fakes; call is how it is spoken to.
type site struct {
	shape   Shape
	clock   clock.Steady
	calls   chan func()
	done    chan struct{}
	end     func()         // closes done
	running sync.WaitGroup // its goroutines, those of its services and links

	store        *fake.Store
	storeChanged chan struct{} // closed at the next change of the store
	cloud        *fake.Cloud
	workers      []*worker
	byName       map[string]*worker
	jobs         map[string]*jobRun
	outputs      *fake.Outputs
}

// jobRun is a job as its user knows it.
type jobRun struct {
	spec        wire.Job
	runS        float64 // how long its tasks really run
	mistaken    bool    // its tasks fail on every machine
	submittedAt clock.Micros
	startedAt   clock.Micros // when its first task had its image; 0: not yet
	completions map[int]int  // by task: how often it completed
}

// completedTasks counts the tasks that have completed, and those of them that did so more than once.
func (j *jobRun) completedTasks() (tasks, repeated int) {
	for _, times := range j.completions {
		tasks++
		if times > 1 {
			repeated++
		}
	}
	return tasks, repeated
}

func newSite(shape Shape) *site {
	s := &site{
		shape:        shape,
		clock:        clock.NewSteady(),
		calls:        make(chan func()),
		done:         make(chan struct{}),
		store:        fake.NewStore(storeValueKB, storeTxnOps),
		storeChanged: make(chan struct{}),
		cloud:        fake.NewCloud([]wire.MachineType{shape.Type}, clock.Second),
		byName:       map[string]*worker{},
		jobs:         map[string]*jobRun{},
		outputs:      fake.NewOutputs(),
	}
	s.end = sync.OnceFunc(func() { close(s.done) })
	s.cloud.Capacity = shape.Workers
	for range shape.Workers {
		instance := s.cloud.CreateInstance(0, shape.Type.Name, zone, true)
		instance.BootedAt, instance.ListedAt = 0, 0
	}
	return s
}

// start starts the actor; connect gives a new worker its links.
func (s *site) start(connect func(*worker) error) {
	s.running.Go(func() { s.run(connect) })
}

// stop ends the actor, its services and links, and returns once they have ended.
func (s *site) stop() {
	s.end()
	s.running.Wait()
}

// run is the actor's loop.
func (s *site) run(connect func(*worker) error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case f := <-s.calls:
			f()
		case <-ticker.C:
			s.tick(connect)
		}
	}
}

// call has the actor carry out f; false when the site has ended.
func (s *site) call(f func()) bool {
	returned := make(chan struct{})
	select {
	case s.calls <- func() { f(); close(returned) }:
		<-returned
		return true
	case <-s.done:
		return false
	}
}

// link opens a link that ends with the site.
func (s *site) link(target string) (*Link, error) {
	l, err := newLink(target)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	s.running.Go(func() {
		<-s.done
		l.Close()
	})
	return l, nil
}

// tick lets time pass: leases of the state service, machines that boot or are deleted, and tasks.
func (s *site) tick(connect func(*worker) error) {
	now := s.clock.Now()
	revision := s.storeRevision()
	s.store.ExpireLeases(now)
	s.wakeWatches(revision)
	for _, instance := range s.cloud.Created[len(s.workers):] {
		w := newWorker(s, instance)
		s.workers = append(s.workers, w)
		s.running.Go(func() {
			// Without sockets left the machine never comes up, like one that fails to boot.
			_ = connect(w)
		})
	}
	for _, w := range s.workers {
		w.tick(now)
	}
}

// storeRevision is the revision of the state service.
func (s *site) storeRevision() uint64 {
	_, revision := s.store.List(" ") // no key begins with a blank
	return revision
}

// wakeWatches wakes the watches if the state service has a later revision than that.
func (s *site) wakeWatches(before uint64) {
	if s.storeRevision() > before {
		close(s.storeChanged)
		s.storeChanged = make(chan struct{})
	}
}

// jitter is a time between three quarters and five quarters of d.
func jitter(d clock.Micros) clock.Micros { return d*3/4 + clock.Micros(rand.Int64N(int64(d/2))) }
