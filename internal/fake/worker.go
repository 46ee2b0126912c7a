package fake

import (
	"math"
	"strconv"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/rebalancer"
	"swiftledge/wire"
)

// Task is one attempt on a worker.
type Task struct {
	wire.TaskStatus
	Job   wire.Job
	Index int
	until clock.Micros // of fetching, running or saving
	began clock.Micros // of running
}

// Holds says whether the task counts as on the machine: it has its image and has not exited.
func (t *Task) Holds() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// Worker runs tasks as its protocol page says.
type Worker struct {
	Name, Address, Type, Zone string
	Spot                      bool
	Lease                     clock.Micros
	CPUs, Memory              float64
	FetchS                    float64
	Sick                      bool // every task fails
	NoticeS                   *float64
	AgentEpoch                wire.AgentEpoch
	Seq                       uint64
	FencingToken              wire.FencingToken
	Tasks                     []*Task
	// Find gives a job's description, as its user uploaded it.
	Find func(ref string) (wire.Job, bool)
	// RunS is how long a task really runs.
	RunS func(j *wire.Job, index int) float64
	// Fails says whether a task was submitted with a mistake: it fails wherever it runs. Nil: none does.
	Fails func(j *wire.Job, index int) bool
	// Ordered, Started, Restarted and Ended tell who watches the rules.
	Ordered   func(t *Task) // a run order is carried out for an attempt that was not listed
	Started   func(t *Task)
	Restarted func(t *Task) // it has its image, and exits at once, as its result is kept
	Ended     func(t *Task)
	Kept      map[string]bool // results of completed tasks, outside the machines
	// Progress is the saved run time of tasks in seconds, outside the machines.
	Progress map[string]float64
	Fetched  int            // images that it has fetched
	Redone   float64        // run time that was lost, in seconds
	Tried    map[string]int // by job: how many run orders it carried out

	renewed clock.Micros
	images  map[string]bool
}

// Boot begins the first session.
func (w *Worker) Boot(now clock.Micros) {
	w.AgentEpoch, w.renewed = 1, now
	w.images = map[string]bool{}
	w.Tried = map[string]int{}
}

// Renewed is when the last report that was answered was sent, or the session began.
func (w *Worker) Renewed() clock.Micros { return w.renewed }

// Reboot begins anew under the same name: nothing from before is known.
func (w *Worker) Reboot(now clock.Micros) {
	for _, t := range w.Tasks {
		w.end(now, t, "lost")
	}
	w.Tasks = nil
	w.Seq, w.FencingToken = 0, 0
	w.Boot(now)
}

// Load is the dominant share of the machine that its tasks take.
func (w *Worker) Load() float64 {
	var used rebalancer.Resources
	for _, t := range w.Tasks {
		if t.State != wire.TaskExited {
			used = used.Plus(rebalancer.Resources{CPUs: t.Job.CPUs, Memory: t.Job.MemoryGB})
		}
	}
	return used.DominantShare(rebalancer.Resources{CPUs: w.CPUs, Memory: w.Memory})
}

// Advance lets time pass: images arrive, tasks end, the lease runs out. It says whether something changed.
func (w *Worker) Advance(now clock.Micros) bool {
	changed := false
	if now > w.renewed+w.Lease {
		for _, t := range w.Tasks {
			w.end(now, t, "lost")
		}
		w.Tasks = nil
		w.AgentEpoch++
		w.renewed = now
		changed = true
	}
	for _, t := range w.Tasks {
		if t.until == 0 || now < t.until || t.State == wire.TaskExited {
			continue
		}
		changed = true
		switch t.State {
		case wire.TaskFetching:
			if !w.images[t.Job.Image] {
				w.images[t.Job.Image] = true
				w.Fetched++
			}
			if w.Kept[w.result(t)] {
				w.Restarted(t)
				w.end(now, t, wire.ExitDone)
				continue
			}
			t.State, t.began = wire.TaskRunning, now
			t.until = now + clock.FromSeconds(max(0, w.RunS(&t.Job, t.Index)-w.Progress[t.Task]))
			if t.Job.IsService() && t.until == now {
				t.until = 0 // until it is stopped
			}
			if w.fails(t) {
				t.until = now + clock.Second
			}
			w.Started(t)
		case wire.TaskRunning:
			if w.fails(t) {
				w.end(now, t, wire.ExitError)
			} else {
				w.Kept[w.result(t)] = true
				w.end(now, t, wire.ExitDone)
			}
		case wire.TaskSaving:
			t.Checkpointed = true
			w.Progress[t.Task] += (t.until - t.began).Seconds() - t.Job.SaveS
			w.end(now, t, wire.ExitStopped)
		case wire.TaskExited:
			// Passed over above.
		}
	}
	return changed
}

// fails says whether a task fails: its machine is faulty, or it is.
func (w *Worker) fails(t *Task) bool { return w.Sick || w.Fails != nil && w.Fails(&t.Job, t.Index) }

// result is where a task's result is kept. A replica of a service may run again elsewhere.
func (w *Worker) result(t *Task) string {
	if t.Job.IsService() {
		return t.Task + " on " + w.Name
	}
	return t.Task
}

// end ends a task. Of one that neither completed nor saved, what it saved by itself every interval is kept,
// and the rest has to be done again.
func (w *Worker) end(now clock.Micros, t *Task, cause wire.ExitCause) {
	if t.State == wire.TaskExited {
		return
	}
	held := t.Holds()
	if held && cause != wire.ExitDone && !t.Checkpointed {
		ran, kept := (now - t.began).Seconds(), 0.0
		if t.Job.CheckpointS > 0 {
			kept = math.Floor(ran/t.Job.CheckpointS) * t.Job.CheckpointS
			w.Progress[t.Task] += kept
		}
		w.Redone += ran - kept
	}
	t.State, t.Cause, t.until = wire.TaskExited, cause, 0
	if held {
		w.Ended(t)
	}
}

// Report is the worker's report as of now.
func (w *Worker) Report() *wire.Heartbeat {
	w.Seq++
	r := &wire.Heartbeat{Machine: w.Name, Address: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: w.AgentEpoch, Seq: w.Seq, FencingToken: w.FencingToken, PreemptionNoticeS: w.NoticeS}
	for _, t := range w.Tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// Answered takes a 200 to the report that was sent at the given time in the given session.
func (w *Worker) Answered(now, sent clock.Micros, epoch wire.AgentEpoch, a wire.HeartbeatResponse) (changed bool) {
	if epoch != w.AgentEpoch || a.FencingToken < w.FencingToken || now-sent > 4*clock.Second {
		return false
	}
	changed = a.FencingToken > w.FencingToken
	w.FencingToken = a.FencingToken
	w.renewed = max(w.renewed, sent)
	return w.execute(now, a.Commands) || changed
}

// Orders takes a direct command and answers 200 or 409.
func (w *Worker) Orders(now clock.Micros, o wire.CommandBatch) (int, *wire.Heartbeat, bool) {
	if o.FencingToken < w.FencingToken || o.AgentEpoch != w.AgentEpoch {
		return 409, w.Report(), false
	}
	changed := o.FencingToken > w.FencingToken
	w.FencingToken = o.FencingToken
	changed = w.execute(now, o.Commands) || changed
	return 200, w.Report(), changed
}

func (w *Worker) execute(now clock.Micros, cs []wire.Command) bool {
	changed := false
	for _, c := range cs {
		var at *Task
		i := -1
		for k, t := range w.Tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				at, i = t, k
			}
		}
		switch {
		case c.Verb == wire.VerbRun && at == nil:
			w.start(now, c)
			changed = true
		case c.Verb == wire.VerbForget && at != nil && at.State == wire.TaskExited:
			w.Tasks = append(w.Tasks[:i:i], w.Tasks[i+1:]...)
		case c.Verb == wire.VerbKill && at != nil && at.State != wire.TaskExited:
			grace := 0.0
			if c.GraceS != nil {
				grace = *c.GraceS
			}
			switch {
			case at.State == wire.TaskRunning && at.Job.CheckpointS > 0 && grace >= at.Job.SaveS:
				at.State, at.until = wire.TaskSaving, now+clock.FromSeconds(at.Job.SaveS)
			case at.State == wire.TaskSaving && grace > 0:
			default:
				w.end(now, at, wire.ExitStopped)
			}
			changed = true
		}
	}
	return changed
}

func (w *Worker) start(now clock.Micros, c wire.Command) {
	t := &Task{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	w.Tasks = append(w.Tasks, t)
	ref, idx, _ := strings.Cut(c.Task, "/")
	w.Tried[ref]++
	w.Ordered(t)
	n, err := strconv.Atoi(idx)
	job, ok := w.Find(ref)
	if err != nil || !ok || n >= job.Tasks {
		t.State, t.Cause = wire.TaskExited, wire.ExitUnknown
		return
	}
	t.Job, t.Index = job, n
	cpus, mem := w.CPUs, w.Memory
	for _, o := range w.Tasks {
		if o != t && o.State != wire.TaskExited {
			cpus -= o.Job.CPUs
			mem -= o.Job.MemoryGB
			if o.Task == t.Task {
				t.State, t.Cause = wire.TaskExited, wire.ExitBusy
				return
			}
		}
	}
	if job.CPUs > cpus+1e-9 || job.MemoryGB > mem+1e-9 {
		t.State, t.Cause = wire.TaskExited, wire.ExitFull
		return
	}
	t.until = now + 1
	if !w.images[job.Image] {
		t.until = now + clock.FromSeconds(w.FetchS)
	}
}
