package fake

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/wire"
)

// Workload describes the jobs of a simulation: the users' job descriptions and the actual behavior of each task.
type Workload interface {
	// Job returns a job's description as its user uploaded it. The result is false if the job is unknown.
	Job(ref string) (wire.Job, bool)
	// RunSeconds returns the actual run time of a task.
	RunSeconds(job *wire.Job, index int) float64
	// Fails reports whether a task is faulty and therefore fails on every machine.
	Fails(job *wire.Job, index int) bool
}

// Observer receives the events of an agent's tasks.
type Observer interface {
	// RunCommandExecuted is called when the agent executes a run command for a new attempt, before it checks
	// whether it can run the task.
	RunCommandExecuted(a *Agent, task *Task)
	// TaskStarted is called when a task starts to run after its image has been fetched.
	TaskStarted(a *Agent, task *Task)
	// TaskAlreadyDone is called when a task exits right after its image has been fetched because an earlier attempt
	// of the task has stored its result.
	TaskAlreadyDone(a *Agent, task *Task)
	// TaskEnded is called when an active task has exited or was dropped.
	TaskEnded(a *Agent, task *Task)
}

// Outputs holds what tasks store outside the machines. All agents of a simulation share it.
type Outputs struct {
	results           map[string]bool    // result keys of completed tasks
	checkpointSeconds map[string]float64 // run time saved in checkpoints, by task
}

// NewOutputs returns empty outputs.
func NewOutputs() *Outputs {
	return &Outputs{results: map[string]bool{}, checkpointSeconds: map[string]float64{}}
}

// Identity describes the machine in each heartbeat of its agent.
type Identity struct {
	Name, Address, Type, Zone string
	Spot                      bool
}

// Resources are the resources that a machine offers to tasks.
type Resources struct {
	CPUs, MemoryGB float64
	// FetchSeconds is the time to fetch an image.
	FetchSeconds float64
}

// Session is the state that an agent keeps until its next boot. The agent epoch also changes when the agent's lease
// expires.
type Session struct {
	AgentEpoch   wire.AgentEpoch
	Seq          uint64 // sequence number of the last heartbeat
	FencingToken wire.FencingToken

	leaseRenewedAt clock.Micros
}

// Faults are the faults and the preemption notice that a simulation injects on a machine.
type Faults struct {
	FailsTasks        bool     // every task fails
	PreemptionNoticeS *float64 // seconds until the cloud preempts the machine; nil: no preemption notice
}

// Counters hold totals over all sessions, except for RunCommands.
type Counters struct {
	ImagesFetched int
	LostSeconds   float64        // run time that no checkpoint saved, so that tasks must repeat it
	RunCommands   map[string]int // by job: run commands executed since the last boot
}

// Agent is a fake agent. It runs the tasks of one machine and follows the agents' protocol.
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

// Boot starts the first session.
func (a *Agent) Boot(now clock.Micros) {
	a.Session = Session{AgentEpoch: 1, leaseRenewedAt: now}
	a.images = map[string]bool{}
	a.RunCommands = map[string]int{}
}

// Reboot restarts the agent under the same name. The agent keeps no tasks, images or session data, so its agent epoch
// is 1 again.
func (a *Agent) Reboot(now clock.Micros) {
	a.dropTasks(now)
	a.Boot(now)
}

// LeaseRenewedAt returns the send time of the last answered heartbeat, or the start of the agent epoch if that is
// later.
func (a *Agent) LeaseRenewedAt() clock.Micros { return a.leaseRenewedAt }

// Load returns the dominant share of the machine's resources that its tasks use: the larger of the used shares of its
// CPUs and of its memory.
func (a *Agent) Load() float64 {
	var used load.Resources
	for _, task := range a.Tasks {
		if task.State != wire.TaskExited {
			used = used.Plus(load.Resources{CPUs: task.Job.CPUs, Memory: task.Job.MemoryGB})
		}
	}
	return used.DominantShare(load.Resources{CPUs: a.CPUs, Memory: a.MemoryGB})
}

// Advance updates the state to now: it completes the image fetches, task runs and checkpoint saves that are due, and
// drops all tasks if the agent's lease has expired. It reports whether anything changed.
func (a *Agent) Advance(now clock.Micros) bool {
	changed := false
	if now > a.leaseRenewedAt+a.LeaseTime {
		a.dropTasks(now)
		a.AgentEpoch++
		a.leaseRenewedAt = now
		changed = true
	}
	for _, task := range a.Tasks {
		if task.State != wire.TaskExited && task.stateEndsAt != 0 && now >= task.stateEndsAt {
			a.advanceTask(now, task)
			changed = true
		}
	}
	return changed
}

// Heartbeat returns the agent's next heartbeat, which contains the current state of all its tasks.
func (a *Agent) Heartbeat() *wire.Heartbeat {
	a.Seq++
	heartbeat := &wire.Heartbeat{
		Machine:           a.Name,
		Address:           a.Address,
		Type:              a.Type,
		Zone:              a.Zone,
		Spot:              a.Spot,
		AgentEpoch:        a.AgentEpoch,
		Seq:               a.Seq,
		FencingToken:      a.FencingToken,
		PreemptionNoticeS: a.PreemptionNoticeS,
	}
	for _, task := range a.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	return heartbeat
}
