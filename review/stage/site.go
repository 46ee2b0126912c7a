package stage

import (
	"os"
	"strings"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// Config describes a site.
type Config struct {
	Controllers               int
	Zones                     []string
	Teams                     []config.Team
	Types                     []wire.MachineType
	Capacity                  int // machines that the cloud has in all
	ReportS, LeaseS, CancelS  float64
	FetchS                    float64 // time of an image fetch
	State                     StateLimits
	CloudRPS, ListLagS, MemMB float64
}

// Small returns a small deployment like that of the brief's second operator, with one type of machine: three
// controllers, two zones.
func Small() Config {
	zones := []string{"chaguanas", "arima"}
	return Config{
		Controllers: 3,
		Zones:       zones,
		Teams: []config.Team{
			{Name: "saleroom-00", CPUs: 16, CPUsMax: 24},
			{Name: "saleroom-01", CPUs: 16, CPUsMax: 24},
		},
		Types: []wire.MachineType{{
			Name: "baler", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPS: 0.5, Price: 0.55, SpotPrice: 0.19, BootS: 5,
			ZoneNames: zones,
		}},
		Capacity: 10,
		ReportS:  3, LeaseS: 17, CancelS: 37,
		FetchS:   0.5,
		State:    StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 12, Latency: 6 * time.Millisecond},
		CloudRPS: 2, ListLagS: 4, MemMB: 125,
	}
}

// Site is a site of stand-ins and controllers.
type Site struct {
	Config      Config
	Record      *Record
	State       *State
	Cloud       *Cloud
	Controllers []*Controller

	clock     clock.Steady
	directory string
	outputs   *fake.Outputs

	workers sync.Mutex // the state of all workers

	mutex  sync.Mutex
	jobs   map[string]*Submitted
	starts []Start
	lost   map[string]int // by job: tasks that ended with their machine's lease
}

// Submitted is a job that a user has uploaded for the workers, and how long its tasks run.
type Submitted struct {
	Job  wire.Job
	RunS float64
}

// Start is the start of a task: it has its image and runs.
type Start struct {
	At                        float64 // seconds of the record
	Task, Machine, Type, Zone string
	Spot                      bool
}

// New starts the state service and the cloud, and writes the controllers' settings. The controllers are not started
// yet.
func New(cfg Config, record *Record) (*Site, error) {
	steady := clock.NewSteady()
	s := &Site{
		Config: cfg, Record: record, clock: steady, outputs: fake.NewOutputs(), jobs: map[string]*Submitted{},
		lost:  map[string]int{},
		State: NewState(cfg.State, steady), Cloud: newCloud(cfg.Types, cfg.Capacity, steady, record),
	}
	var err error
	if s.directory, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := s.State.Start(); err != nil {
		return nil, err
	}
	if err := s.Cloud.start(func(instance *fake.Instance) *Worker { return newWorker(s, instance) }); err != nil {
		return nil, err
	}
	return s, s.createControllers()
}

// RentAtStart gives the site a machine that is up from the start.
func (s *Site) RentAtStart(typeName, zone string, spot bool) { s.Cloud.rent(typeName, zone, spot) }

// End ends the controllers and removes the temporary files.
func (s *Site) End() {
	for _, controller := range s.Controllers {
		controller.Kill()
	}
	for _, worker := range s.Cloud.Workers() {
		worker.end("the script ends")
	}
	_ = os.RemoveAll(s.directory) // a temporary folder
}

func (s *Site) typeNamed(name string) wire.MachineType {
	for _, machineType := range s.Config.Types {
		if machineType.Name == name {
			return machineType
		}
	}
	return wire.MachineType{Name: name}
}

// Upload makes a job known to the workers, as its user does.
func (s *Site) Upload(job wire.Job, runS float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.jobs[job.Ref] = &Submitted{Job: job, RunS: runS}
}

// Starts returns all starts of tasks so far.
func (s *Site) Starts() []Start {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Start(nil), s.starts...)
}

// Job implements fake.Workload.
func (s *Site) Job(ref string) (wire.Job, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if submitted := s.jobs[ref]; submitted != nil {
		return submitted.Job, true
	}
	return wire.Job{}, false
}

// RunSeconds implements fake.Workload.
func (s *Site) RunSeconds(job *wire.Job, _ int) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.jobs[job.Ref].RunS
}

// Fails implements fake.Workload.
func (s *Site) Fails(*wire.Job, int) bool { return false }

// RunCommandExecuted implements fake.Observer.
func (s *Site) RunCommandExecuted(*fake.Agent, *fake.Task) {}

// TaskStarted implements fake.Observer.
func (s *Site) TaskStarted(agent *fake.Agent, task *fake.Task) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.starts = append(s.starts, Start{
		At: s.Record.Seconds(), Task: task.Task, Machine: agent.Name, Type: agent.Type, Zone: agent.Zone, Spot: agent.Spot,
	})
	if len(s.starts) <= maxRecordedStarts {
		s.Record.Printf("machine %s (%s, %s): %s starts, attempt %d", agent.Name, agent.Type, agent.Zone, task.Task,
			task.Attempt)
	}
}

// maxRecordedStarts is the number of starts that are written to the record, each on a line.
const maxRecordedStarts = 400

// TaskAlreadyDone implements fake.Observer.
func (s *Site) TaskAlreadyDone(*fake.Agent, *fake.Task) {}

// causeLost is the cause of a task that a worker killed as its lease expired.
const causeLost = "lost"

// TaskEnded implements fake.Observer.
func (s *Site) TaskEnded(_ *fake.Agent, task *fake.Task) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if task.Cause == causeLost {
		s.lost[task.Job.Ref]++
	}
}

// StartsOf returns how many tasks of a job have started so far, repeated starts included.
func (s *Site) StartsOf(ref string) (count int) {
	for _, start := range s.Starts() {
		if strings.HasPrefix(start.Task, ref+"/") {
			count++
		}
	}
	return count
}

// LostOf returns how many running tasks of a job were killed as their workers' leases expired.
func (s *Site) LostOf(ref string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lost[ref]
}

// Running returns how many tasks of a job run now.
func (s *Site) Running(ref string) (count int) {
	for _, worker := range s.Cloud.Workers() {
		count += worker.State().Active[ref]
	}
	return count
}
