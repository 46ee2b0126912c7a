package wire

// The agents' protocol: heartbeats to controllers (POST /agent/beat), commands to agents in the answers and
// straight to them (POST /orders, GET /inspect). Its words in the tags below, beside those of the users'
// protocol, and the terms that they stand for:
//
//	rig       machine
//	breed     machine type
//	stint     agent epoch
//	tally     sequence number of the heartbeat
//	baton     fencing token
//	warningS  preemption notice of a spot machine, in seconds
//	lot       task; lots: the tasks of a machine
//	try       attempt
//	stored    the task's progress was checkpointed
//	orders    commands
//	leewayS   grace period
//	foreman   controller

// FencingToken identifies who is entitled to command a worker; a worker obeys the highest that it has seen.
type FencingToken uint64

// AgentEpoch counts the incarnations of a worker's agent: a new one begins each time its lease expires.
type AgentEpoch uint64

// AttemptID tells the attempts to run a task apart; it never repeats for a task.
type AttemptID uint64

// TaskState is the state of a task on its machine.
type TaskState string

// Task states. A fetching task waits for its image, a saving one writes a checkpoint before it exits.
const (
	TaskFetching TaskState = "fetching"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// ExitCause says why a task exited.
type ExitCause string

// Exit causes. The last three say that the agent refused to start the task: the machine lacks resources,
// another attempt of the task is on it, or the job is not known.
const (
	ExitDone    ExitCause = "done"
	ExitStopped ExitCause = "stopped"
	ExitError   ExitCause = "error"
	ExitFull    ExitCause = "full"
	ExitBusy    ExitCause = "busy"
	ExitUnknown ExitCause = "unknown"
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task         string    `json:"lot"`
	Attempt      AttemptID `json:"try"`
	State        TaskState `json:"status"`
	Cause        ExitCause `json:"cause,omitempty"`
	Checkpointed bool      `json:"stored,omitempty"`
}

// Heartbeat is what an agent reports of its machine and of all tasks on it. The one with the larger agent
// epoch and sequence number is the newer one.
type Heartbeat struct {
	Machine           string       `json:"rig"`
	Address           string       `json:"address"`
	Type              string       `json:"breed"`
	Zone              string       `json:"paddock"`
	Spot              bool         `json:"stray"`
	AgentEpoch        AgentEpoch   `json:"stint"`
	Seq               uint64       `json:"tally"`
	FencingToken      FencingToken `json:"baton"`
	PreemptionNoticeS *float64     `json:"warningS"`
	Tasks             []TaskStatus `json:"lots"`
}

// Verb is what a command tells an agent to do.
type Verb string

// Verbs of commands: start an attempt, stop a task, drop an exited task from the heartbeats.
const (
	VerbRun    Verb = "run"
	VerbKill   Verb = "kill"
	VerbForget Verb = "forget"
)

// Command is one command to an agent. GraceS is the time that a killed task has for a checkpoint.
type Command struct {
	Verb    Verb      `json:"verb"`
	Task    string    `json:"lot"`
	Attempt AttemptID `json:"try"`
	GraceS  *float64  `json:"leewayS,omitempty"`
}

// HeartbeatResponse answers a heartbeat with 200. It renews the agent's lease.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"baton"`
	Commands     []Command    `json:"orders"`
}

// Redirect answers a heartbeat with 421 and names the controller that the agent should report to, if known.
type Redirect struct {
	Controller string `json:"foreman,omitempty"`
}

// CommandBatch holds commands that are sent straight to an agent; it executes them only if token and epoch
// still match.
type CommandBatch struct {
	FencingToken FencingToken `json:"baton"`
	AgentEpoch   AgentEpoch   `json:"stint"`
	Commands     []Command    `json:"orders"`
}
