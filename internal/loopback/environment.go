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

// ClusterConfig is the configuration of a cluster.
type ClusterConfig struct {
	Controllers        int
	Machines           int
	Teams              []string
	TeamCPUsMax        float64 // CPU limit of each team
	MachineType        wire.MachineType
	HeartbeatIntervalS float64
	LeaseS             float64
	CancelS            float64
}

// DefaultClusterConfig returns a configuration of three controllers and twenty machines with four CPUs each.
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
	// tickInterval is the interval at which the fakes advance to the current time.
	tickInterval = 50 * time.Millisecond
)

// environment is the actor that owns the state of all fakes. Other goroutines use the state through call only.
type environment struct {
	config     ClusterConfig
	clock      clock.Steady
	calls      chan func()
	done       chan struct{}
	closeDone  func()         // closes done
	goroutines sync.WaitGroup // goroutines of the actor, its services and its links

	store          *fake.Store
	storeChanged   chan struct{} // closed at the next change of the store, and then replaced by a new channel
	cloud          *fake.Cloud
	machines       []*machine
	machinesByName map[string]*machine
	jobs           map[string]*submittedJob
	outputs        *fake.Outputs
}

// submittedJob is a submitted job with the actual behavior of its tasks, its times and the completions of its tasks.
type submittedJob struct {
	spec        wire.Job
	runS        float64 // actual run time of the job's tasks
	faulty      bool    // the job's tasks fail on every machine
	submittedAt clock.Micros
	startedAt   clock.Micros // start of the job's first task; 0: not started
	completions map[int]int  // number of completions by task index
}

// completedTasks returns how many tasks have completed and how many of these tasks completed more than once.
func (j *submittedJob) completedTasks() (tasks, repeated int) {
	for _, count := range j.completions {
		tasks++
		if count > 1 {
			repeated++
		}
	}
	return tasks, repeated
}

func newEnvironment(config ClusterConfig) *environment {
	e := &environment{
		config:         config,
		clock:          clock.NewSteady(),
		calls:          make(chan func()),
		done:           make(chan struct{}),
		store:          fake.NewStore(storeValueKB, storeTxnOps),
		storeChanged:   make(chan struct{}),
		cloud:          fake.NewCloud([]wire.MachineType{config.MachineType}, clock.Second),
		machinesByName: map[string]*machine{},
		jobs:           map[string]*submittedJob{},
		outputs:        fake.NewOutputs(),
	}
	e.closeDone = sync.OnceFunc(func() { close(e.done) })
	e.cloud.Capacity = config.Machines
	for range config.Machines {
		instance := e.cloud.CreateInstance(0, config.MachineType.Name, zone, true)
		instance.BootedAt, instance.ListedAt = 0, 0
	}
	return e
}

// start starts the actor. It calls connect for each new machine to give the machine its address and links.
func (e *environment) start(connect func(*machine) error) {
	e.goroutines.Go(func() { e.run(connect) })
}

// stop stops the actor, its services and its links, and returns when they have ended.
func (e *environment) stop() {
	e.closeDone()
	e.goroutines.Wait()
}

// run is the actor's loop.
func (e *environment) run(connect func(*machine) error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case f := <-e.calls:
			f()
		case <-ticker.C:
			e.tick(connect)
		}
	}
}

// call runs f in the actor's goroutine and waits until f returns. It returns false, without running f, if the
// environment has stopped.
func (e *environment) call(f func()) bool {
	returned := make(chan struct{})
	select {
	case e.calls <- func() { f(); close(returned) }:
		<-returned
		return true
	case <-e.done:
		return false
	}
}

// openLink opens a link to an address. The link is closed when the environment stops.
func (e *environment) openLink(targetAddress string) (*Link, error) {
	link, err := newLink(targetAddress)
	if err != nil {
		return nil, fmt.Errorf("open link to %s: %w", targetAddress, err)
	}
	e.goroutines.Go(func() {
		<-e.done
		link.Close()
	})
	return link, nil
}

// tick advances the fakes to the current time: it expires leases of the state service, connects new machines, and
// advances all machines with their tasks.
func (e *environment) tick(connect func(*machine) error) {
	now := e.clock.Now()
	revision := e.storeRevision()
	e.store.ExpireLeases(now)
	e.wakeWatches(revision)
	for _, instance := range e.cloud.Created[len(e.machines):] {
		m := newMachine(e, instance)
		e.machines = append(e.machines, m)
		e.goroutines.Go(func() {
			// If connect fails because no sockets are left, the machine never boots, like a machine whose boot fails.
			_ = connect(m)
		})
	}
	for _, m := range e.machines {
		m.tick(now)
	}
}

// storeRevision returns the current revision of the state service.
func (e *environment) storeRevision() uint64 {
	_, revision := e.store.List(" ") // no key begins with a blank, so the list is empty
	return revision
}

// wakeWatches wakes the waiting watches if the revision of the state service is higher than before.
func (e *environment) wakeWatches(before uint64) {
	if e.storeRevision() > before {
		close(e.storeChanged)
		e.storeChanged = make(chan struct{})
	}
}

// jitter returns a random time between 3/4 and 5/4 of d.
func jitter(d clock.Micros) clock.Micros { return d*3/4 + clock.Micros(rand.Int64N(int64(d/2))) }
