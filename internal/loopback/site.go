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

// ClusterConfig is what a site is made of.
type ClusterConfig struct {
	Controllers        int
	Machines           int
	Teams              []string
	TeamCPUsMax        float64 // of each team
	MachineType        wire.MachineType
	HeartbeatIntervalS float64
	LeaseS             float64
	CancelS            float64
}

// DefaultClusterConfig is three controllers and twenty workers of four processors.
func DefaultClusterConfig() ClusterConfig {
	return ClusterConfig{
		Controllers: 3,
		Machines:    20,
		Teams:       []string{"arequipa", "cusco"},
		TeamCPUsMax: 80,
		MachineType: wire.MachineType{
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
		HeartbeatIntervalS: 1,
		LeaseS:             8,
		CancelS:            24,
	}
}

const (
	zone = "a"
	// tickInterval is how often time passes for the fakes.
	tickInterval = 50 * time.Millisecond
)

// environment is the actor that owns the state of all fakes; call is how it is spoken to.
type environment struct {
	config     ClusterConfig
	clock      clock.Steady
	calls      chan func()
	done       chan struct{}
	closeDone  func()         // closes done
	goroutines sync.WaitGroup // its goroutines, those of its services and links

	store          *fake.Store
	storeChanged   chan struct{} // closed at the next change of the store
	cloud          *fake.Cloud
	machines       []*machine
	machinesByName map[string]*machine
	jobs           map[string]*submittedJob
	outputs        *fake.Outputs
}

// submittedJob is a job as its user knows it.
type submittedJob struct {
	spec        wire.Job
	runS        float64 // how long its tasks really run
	faulty      bool    // its tasks fail on every machine
	submittedAt clock.Micros
	startedAt   clock.Micros // when its first task had its image; 0: not yet
	completions map[int]int  // by task: how often it completed
}

// completedTasks counts the tasks that have completed, and those of them that did so more than once.
func (j *submittedJob) completedTasks() (tasks, repeated int) {
	for _, times := range j.completions {
		tasks++
		if times > 1 {
			repeated++
		}
	}
	return tasks, repeated
}

func newEnvironment(shape ClusterConfig) *environment {
	s := &environment{
		config:         shape,
		clock:          clock.NewSteady(),
		calls:          make(chan func()),
		done:           make(chan struct{}),
		store:          fake.NewStore(storeValueKB, storeTxnOps),
		storeChanged:   make(chan struct{}),
		cloud:          fake.NewCloud([]wire.MachineType{shape.MachineType}, clock.Second),
		machinesByName: map[string]*machine{},
		jobs:           map[string]*submittedJob{},
		outputs:        fake.NewOutputs(),
	}
	s.closeDone = sync.OnceFunc(func() { close(s.done) })
	s.cloud.Capacity = shape.Machines
	for range shape.Machines {
		instance := s.cloud.CreateInstance(0, shape.MachineType.Name, zone, true)
		instance.BootedAt, instance.ListedAt = 0, 0
	}
	return s
}

// start starts the actor; connect gives a new worker its links.
func (s *environment) start(connect func(*machine) error) {
	s.goroutines.Go(func() { s.run(connect) })
}

// stop ends the actor, its services and links, and returns once they have ended.
func (s *environment) stop() {
	s.closeDone()
	s.goroutines.Wait()
}

// run is the actor's loop.
func (s *environment) run(connect func(*machine) error) {
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
func (s *environment) call(f func()) bool {
	returned := make(chan struct{})
	select {
	case s.calls <- func() { f(); close(returned) }:
		<-returned
		return true
	case <-s.done:
		return false
	}
}

// openLink opens a openLink that ends with the site.
func (s *environment) openLink(target string) (*Link, error) {
	l, err := newLink(target)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	s.goroutines.Go(func() {
		<-s.done
		l.Close()
	})
	return l, nil
}

// tick lets time pass: leases of the state service, machines that boot or are deleted, and tasks.
func (s *environment) tick(connect func(*machine) error) {
	now := s.clock.Now()
	revision := s.storeRevision()
	s.store.ExpireLeases(now)
	s.wakeWatches(revision)
	for _, instance := range s.cloud.Created[len(s.machines):] {
		w := newMachine(s, instance)
		s.machines = append(s.machines, w)
		s.goroutines.Go(func() {
			// Without sockets left the machine never comes up, like one that fails to boot.
			_ = connect(w)
		})
	}
	for _, w := range s.machines {
		w.tick(now)
	}
}

// storeRevision is the revision of the state service.
func (s *environment) storeRevision() uint64 {
	_, revision := s.store.List(" ") // no key begins with a blank
	return revision
}

// wakeWatches wakes the watches if the state service has a later revision than that.
func (s *environment) wakeWatches(before uint64) {
	if s.storeRevision() > before {
		close(s.storeChanged)
		s.storeChanged = make(chan struct{})
	}
}

// jitter is a time between three quarters and five quarters of d.
func jitter(d clock.Micros) clock.Micros { return d*3/4 + clock.Micros(rand.Int64N(int64(d/2))) }
