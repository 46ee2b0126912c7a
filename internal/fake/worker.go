package fake

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/wire"
)

// Workload is what the tasks of a simulation really are: what only the users know, and what happens when a task
// runs.
type Workload interface {
	// Job returns a job's description, as its user uploaded it.
	Job(ref string) (wire.Job, bool)
	// RunSeconds is how long a task really runs.
	RunSeconds(job *wire.Job, index int) float64
	// Fails says whether a task was submitted with a mistake: it fails wherever it runs.
	Fails(job *wire.Job, index int) bool
}

// Observer is told what becomes of the tasks of a worker.
type Observer interface {
	// RunCommandExecuted is called when a run command is carried out for an attempt that was not listed.
	RunCommandExecuted(w *Agent, t *Task)
	// TaskStarted is called when a task has its image and begins to run.
	TaskStarted(w *Agent, t *Task)
	// TaskAlreadyDone is called when a task has its image and exits at once, as its result is stored already.
	TaskAlreadyDone(w *Agent, t *Task)
	// TaskEnded is called when a task that was on the machine has exited.
	TaskEnded(w *Agent, t *Task)
}

// Outputs is what tasks store outside the machines; all workers of a simulation share it.
type Outputs struct {
	results           map[string]bool    // of completed tasks
	checkpointSeconds map[string]float64 // run time that a task has saved
}

// NewOutputs makes outputs of no task.
func NewOutputs() *Outputs {
	return &Outputs{results: map[string]bool{}, checkpointSeconds: map[string]float64{}}
}

// Identity is what a worker says of its machine in each heartbeat.
type Identity struct {
	Name, Address, Type, Zone string
	Spot                      bool
}

// Resources are what a machine offers to tasks.
type Resources struct {
	CPUs, MemoryGB float64
	// FetchSeconds is how long it takes to fetch an image.
	FetchSeconds float64
}

// Session is what a worker remembers until it boots again; its epoch changes when the lease expires, too.
type Session struct {
	AgentEpoch   wire.AgentEpoch
	Seq          uint64 // of the last heartbeat
	FencingToken wire.FencingToken

	leaseRenewedAt clock.Micros
}

// Faults is what a simulation lets go wrong on a machine.
type Faults struct {
	FailsTasks        bool     // every task fails
	PreemptionNoticeS *float64 // seconds until the cloud takes the machine back; nil: no notice
}

// Counters count over all sessions, except RunCommands.
type Counters struct {
	ImagesFetched int
	LostSeconds   float64        // run time of tasks that has to be repeated
	RunCommands   map[string]int // by job: run commands that were carried out since the last boot
}

// Agent runs tasks as the workers' protocol says.
type Agent struct {
	Identity
	Resources
	Session
	Faults
	Counters
	LeaseTime clock.Micros
	Tasks     []*Task
	Workload  Workload
	Observer  Observer
	Outputs   *Outputs

	images map[string]bool
}

// Boot begins the first session.
func (w *Agent) Boot(now clock.Micros) {
	w.Session = Session{AgentEpoch: 1, leaseRenewedAt: now}
	w.images = map[string]bool{}
	w.RunCommands = map[string]int{}
}

// Reboot begins anew under the same name: nothing from before is known.
func (w *Agent) Reboot(now clock.Micros) {
	w.dropTasks(now)
	w.Boot(now)
}

// LeaseRenewedAt is when the last heartbeat that was answered was sent, or the session began.
func (w *Agent) LeaseRenewedAt() clock.Micros { return w.leaseRenewedAt }

// Load is the dominant share of the machine that its tasks take.
func (w *Agent) Load() float64 {
	var used load.Resources
	for _, t := range w.Tasks {
		if t.State != wire.TaskExited {
			used = used.Plus(load.Resources{CPUs: t.Job.CPUs, Memory: t.Job.MemoryGB})
		}
	}
	return used.DominantShare(load.Resources{CPUs: w.CPUs, Memory: w.MemoryGB})
}

// Advance lets time pass: images arrive, tasks end, the lease expires. It says whether something changed.
func (w *Agent) Advance(now clock.Micros) bool {
	changed := false
	if now > w.leaseRenewedAt+w.LeaseTime {
		w.dropTasks(now)
		w.AgentEpoch++
		w.leaseRenewedAt = now
		changed = true
	}
	for _, t := range w.Tasks {
		if t.State != wire.TaskExited && t.stateEndsAt != 0 && now >= t.stateEndsAt {
			w.advanceTask(now, t)
			changed = true
		}
	}
	return changed
}

// Heartbeat returns the next heartbeat, with the state as of now.
func (w *Agent) Heartbeat() *wire.Heartbeat {
	w.Seq++
	heartbeat := &wire.Heartbeat{
		Machine:           w.Name,
		Address:           w.Address,
		Type:              w.Type,
		Zone:              w.Zone,
		Spot:              w.Spot,
		AgentEpoch:        w.AgentEpoch,
		Seq:               w.Seq,
		FencingToken:      w.FencingToken,
		PreemptionNoticeS: w.PreemptionNoticeS,
	}
	for _, t := range w.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}
