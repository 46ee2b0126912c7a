package wire

// The agents' protocol: heartbeats to controllers (POST /agent/beat) with commands in the responses, and direct
// requests to agents (POST /orders, GET /inspect). The tags below use these words of the protocol, besides those of
// the users' protocol, for the following terms:
//
//	rig       machine
//	breed     machine type
//	stint     agent epoch
//	tally     sequence number of the heartbeat
//	baton     fencing token
//	warningS  preemption notice of a spot machine, in seconds
//	lot       task; lots: the tasks of a machine
//	try       attempt
//	stored    the task's progress has been checkpointed
//	orders    commands
//	leewayS   grace period
//	foreman   controller

// FencingToken identifies who may send commands to an agent. An agent refuses commands whose token is lower than the
// highest token that it has seen.
type FencingToken uint64

// AgentEpoch counts the incarnations of an agent. A new epoch begins each time the agent's lease expires.
type AgentEpoch uint64

// AttemptID distinguishes the attempts to run a task. It is never reused for the same task.
type AttemptID uint64

// TaskState is the state of a task on its machine.
type TaskState string

// Task states. A fetching task waits for its image. A saving task writes a checkpoint before it exits.
const (
	TaskFetching TaskState = "fetching"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// ExitCause says why a task exited.
type ExitCause string

// Exit causes. The last three mean that the agent refused to start the task: the machine lacks resources, the machine
// has another attempt of the task, or the job is unknown.
const (
	ExitDone    ExitCause = "done"
	ExitStopped ExitCause = "stopped"
	ExitError   ExitCause = "error"
	ExitFull    ExitCause = "full"
	ExitBusy    ExitCause = "busy"
	ExitUnknown ExitCause = "unknown"
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         string    `json:"lot"`
	Attempt      AttemptID `json:"try"`
	State        TaskState `json:"status"`
	Cause        ExitCause `json:"cause,omitempty"`
	Checkpointed bool      `json:"stored,omitempty"`
}

// Limits of a heartbeat, which lists all tasks on a machine.
const (
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes = 64 << 10
	// heartbeatOverheadBytes is an upper bound for the size of all but the tasks of a heartbeat.
	heartbeatOverheadBytes = 1 << 10
	// taskStatusBytes is an upper bound for the size of one task in a heartbeat, with numbers of 20 digits.
	taskStatusBytes = 128
	// MaxTasksPerHeartbeat is the number of tasks that fit into a heartbeat. A machine must not have more, counting the
	// exited tasks that its agent still lists: a heartbeat that is too large is refused, and the agent's lease expires.
	MaxTasksPerHeartbeat = (MaxBodyBytes - heartbeatOverheadBytes) / taskStatusBytes
)

// Heartbeat is an agent's report of its machine and of all tasks on it. The heartbeat with the larger agent epoch, and
// within an epoch with the larger sequence number, is the newer one.
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

// Verb is the action that a command requests from an agent.
type Verb string

// Verbs: start an attempt, stop a task, remove an exited task from the heartbeats.
const (
	VerbRun    Verb = "run"
	VerbKill   Verb = "kill"
	VerbForget Verb = "forget"
)

// Command is one command to an agent. GraceS is the time that a stopped task has to save a checkpoint.
type Command struct {
	Verb    Verb      `json:"verb"`
	Task    string    `json:"lot"`
	Attempt AttemptID `json:"try"`
	GraceS  *float64  `json:"leewayS,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat with status 200. It renews the agent's lease.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"baton"`
	Commands     []Command    `json:"orders"`
}

// Redirect is the response to a heartbeat with status 421. It names the controller to which the agent should send its
// heartbeats, if known.
type Redirect struct {
	Controller string `json:"foreman,omitempty"`
}

// CommandBatch holds commands that are sent directly to an agent. The agent executes them only if the fencing token
// and the agent epoch still match.
type CommandBatch struct {
	FencingToken FencingToken `json:"baton"`
	AgentEpoch   AgentEpoch   `json:"stint"`
	Commands     []Command    `json:"orders"`
}
