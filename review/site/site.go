package site

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/internal/peer"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// Options describes a deployment.
type Options struct {
	Controllers  int
	Zones        []string
	MachineTypes []wire.MachineType
	Teams        []config.Team
	ReportS      float64
	LeaseS       float64
	CancelS      float64
	StateRPS     float64
	WriteRPS     float64
	ValueKB      float64
	TxnOps       int
	CloudRPS     float64
	ListLagS     float64
	CPU          float64
	MemoryMB     float64
	MaxSockets   int
	RestartDelay time.Duration
	MaxMachines  int
	// SlowState is how long the state service takes for each response in the beginning.
	SlowState time.Duration
}

// Pasos returns the small deployment of the brief's first operator, with two of its teams.
func Pasos() Options {
	return Options{
		Controllers: 3, Zones: []string{"lima-norte"},
		MachineTypes: []wire.MachineType{{
			Name: "quena", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 0.6, Price: 0.26, SpotPrice: 0.09, BootS: 25,
			ZoneNames: []string{"lima-norte"},
		}},
		Teams: []config.Team{
			{Name: "cronometristas-00", CPUs: 8, CPUsMax: 70}, {Name: "cronometristas-01", CPUs: 8, CPUsMax: 70},
		},
		ReportS: 3, LeaseS: 22, CancelS: 52, StateRPS: 100, WriteRPS: 15, ValueKB: 4, TxnOps: 8,
		CloudRPS: 5, ListLagS: 8, CPU: 0.096, MemoryMB: 125, MaxSockets: 1500, RestartDelay: 3 * time.Second,
		MaxMachines: 30,
	}
}

// Site is a deployment that runs.
type Site struct {
	Controllers []*Controller

	options Options
	dir     string
	record  *Record
	clock   clock.Steady
	state   *storeService
	done    chan struct{}

	addresses map[string]bool // addresses that freeAddress has returned

	mu           sync.Mutex // guards all below
	cloud        *fake.Cloud
	workers      map[string]*worker
	outputs      *fake.Outputs
	jobs         map[string]*Job
	leaseExpired int
	sums         map[string]int // see recordSums
}

// Start starts a deployment whose settings and logs are in dir.
func Start(dir string, options Options, record *Record) (*Site, error) {
	s := &Site{
		options: options, dir: dir, record: record, clock: clock.NewSteady(), done: make(chan struct{}),
		state:   newStoreService(options.ValueKB, options.TxnOps),
		cloud:   fake.NewCloud(options.MachineTypes, clock.FromSeconds(options.ListLagS)),
		workers: map[string]*worker{}, outputs: fake.NewOutputs(), jobs: map[string]*Job{},
		sums: map[string]int{}, addresses: map[string]bool{},
	}
	s.state.setDelay(options.SlowState)
	// Machines are up within two to three seconds, as they are at times.
	s.cloud.BootFactor, s.cloud.Capacity = 0.1, options.MaxMachines
	if err := s.createControllers(); err != nil {
		return nil, err
	}
	go s.state.run(s.done)
	go s.limitMemory()
	go s.recordSums()
	for _, c := range s.Controllers {
		c.mu.Lock()
		c.mayRun = true
		err := c.start()
		c.mu.Unlock()
		if err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

// Stop ends all processes of the deployment.
func (s *Site) Stop() {
	close(s.done)
	for _, c := range s.Controllers {
		c.stop()
	}
}

func (s *Site) limitMemory() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		for _, c := range s.Controllers {
			c.limitMemory(s.options.MemoryMB)
		}
	}
}

func (s *Site) createControllers() error {
	cloudAddress, err := serve(s.cloudHandler())
	if err != nil {
		return err
	}
	for i := range s.options.Controllers {
		c := &Controller{Name: fmt.Sprintf("drover-%d", i), site: s}
		c.settingsFile = filepath.Join(s.dir, c.Name+".json")
		if c.ServeAddress, err = s.freeAddress(); err != nil {
			return err
		}
		if c.PeerAddress, err = s.freeAddress(); err != nil {
			return err
		}
		if c.storeAddress, err = serve(s.state.handler(c.Name)); err != nil {
			return err
		}
		s.Controllers = append(s.Controllers, c)
	}
	for _, c := range s.Controllers {
		if err := s.writeSettings(c, cloudAddress); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the platform's file of a controller.
func (s *Site) writeSettings(c *Controller, cloudAddress string) error {
	o := &s.options
	settings := config.Settings{
		Name: c.Name, Zone: o.Zones[0], ListenAddress: c.ServeAddress, PeerAddress: c.PeerAddress, Peers: []config.Peer{},
	}
	settings.Endpoints.Cloud, settings.Endpoints.State = cloudAddress, c.storeAddress
	for _, other := range s.Controllers {
		if other != c {
			settings.Peers = append(settings.Peers,
				config.Peer{Name: other.Name, Zone: o.Zones[0], Address: other.PeerAddress})
		}
	}
	facts := &settings.Facts
	facts.InitialSize, facts.Zones, facts.Teams = o.Controllers, o.Zones, o.Teams
	facts.Workers.ReportS, facts.Workers.LeaseS, facts.Workers.CancelS = o.ReportS, o.LeaseS, o.CancelS
	facts.State.RPS, facts.State.WriteRPS, facts.State.ValueKB, facts.State.TxnOps =
		o.StateRPS, o.WriteRPS, o.ValueKB, o.TxnOps
	facts.Cloud.RPS, facts.Cloud.ListLagS = o.CloudRPS, o.ListLagS
	facts.Quota.CPU, facts.Quota.MemMB, facts.Quota.MaxSockets = o.CPU, o.MemoryMB, o.MaxSockets
	facts.SkewMs = 250
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.settingsFile, raw, 0o600)
}

// Leader returns the controller that leads, or nil.
func (s *Site) Leader() *Controller {
	for _, c := range s.Controllers {
		row := []status.Controller{{Name: c.Name, Address: c.PeerAddress}}
		status.FetchEach(row)
		if row[0].Status != nil && row[0].Status.IsLeader && allGranted(row[0].Status) {
			return c
		}
	}
	return nil
}

// allGranted reports whether all shards have a holder.
func allGranted(s *peer.Status) bool {
	for _, shard := range s.Shards {
		if !shard.Granted {
			return false
		}
	}
	return true
}

// AwaitLeader waits until a controller leads and all shards have a holder. It returns nil if that takes longer than
// timeout, or if a controller has ended by itself.
func (s *Site) AwaitLeader(timeout time.Duration) *Controller {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		leader := s.Leader()
		for _, c := range s.Controllers {
			if _, ownEnds := c.Ends(); ownEnds > 0 {
				return nil
			}
		}
		if leader != nil {
			return leader
		}
	}
	return nil
}

// RefuseState has the state service refuse one controller, or serve it again.
func (s *Site) RefuseState(c *Controller, refused bool) {
	s.record.Logf("state service: refuses %s: %t", c.Name, refused)
	s.state.setRefused(c.Name, refused)
}

// SlowState has the state service take delay for each response.
func (s *Site) SlowState(delay time.Duration) {
	s.record.Logf("state service: each response takes %v", delay)
	s.state.setDelay(delay)
}

// AwaitPendingTxns waits until the state service has as many transactions to answer. It returns false if that takes
// longer than timeout.
func (s *Site) AwaitPendingTxns(count int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if s.state.pendingTxns() == count {
			s.record.Logf("state service: %d transactions have no answer yet", count)
			return true
		}
	}
	return false
}

// StateOutage begins an outage of the state service and ends it after duration.
func (s *Site) StateOutage(duration time.Duration) {
	s.state.beginOutage()
	s.record.Logf("state service: outage begins")
	time.Sleep(duration)
	s.state.endOutage()
	s.record.Logf("state service: outage ends")
}

// Counts returns how many machines are up, how many of them had a report answered within the last lease, and how many
// leases have expired so far.
func (s *Site) Counts() (up, answered, expired int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.gone || !w.booted {
			continue
		}
		up++
		if s.now()-w.lastAnswerAt < clock.FromSeconds(s.options.LeaseS) {
			answered++
		}
	}
	return up, answered, s.leaseExpired
}
