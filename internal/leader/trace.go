package leader

import (
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/internal/shard"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// recordSpan records a span if tracing is on.
func (l *Leader) recordSpan(span trace.Span) {
	if l.cfg.Tuning.Trace.File != "" {
		l.emit(RecordSpan{span})
	}
}

// acceptedAt returns when a job was accepted, in steady time.
func (l *Leader) acceptedAt(job *jobs.Job) clock.Micros { return job.AcceptedAt - l.wallOffset }

// traceQueued records how long a job waited until its first task was dispatched.
func (l *Leader) traceQueued(now clock.Micros, job *jobs.Job) {
	l.recordSpan(trace.Span{
		Job: job.Spec.Ref, Name: "queue", Begin: l.acceptedAt(job), End: now,
		Attributes: []trace.Attribute{
			{Key: "team", Value: job.Spec.Team},
			{Key: "tasks", Value: strconv.Itoa(job.Spec.Tasks)},
		},
	})
}

// traceStarted records how long a task took from its assignment to a machine until it was running.
func (l *Leader) traceStarted(now clock.Micros, t peer.Task, task *grantedTask) {
	if task.assignedAt == 0 {
		return
	}
	l.recordSpan(trace.Span{
		Job: t.Job, Task: shard.TaskName(t), Name: "start", Begin: task.assignedAt, End: now,
		Attributes: []trace.Attribute{{Key: "machine", Value: task.machine}},
	})
}

// traceJob records a job from its acceptance to its end.
func (l *Leader) traceJob(now clock.Micros, job *jobs.Job, state wire.JobState) {
	l.recordSpan(trace.Span{
		Job: job.Spec.Ref, Name: "job", Begin: l.acceptedAt(job), End: now,
		Attributes: []trace.Attribute{{Key: "state", Value: string(state)}},
	})
}

// traceMigration records a migration that has ended: a span for the whole migration, a span for the stop, up to the
// proof that the task is gone from its machine, and a span for the start on the new machine.
func (l *Leader) traceMigration(now clock.Micros, m rebalancer.Migration, outcome string) {
	span := trace.Span{Job: m.Task.Job, Task: m.Task.String(), Name: "move", Begin: m.StartedAt, End: now}
	span.Attributes = []trace.Attribute{
		{Key: "from", Value: m.From}, {Key: "to", Value: m.To}, {Key: "at", Value: m.Assigned},
		{Key: "outcome", Value: outcome},
		{Key: "gain_s", Value: formatSeconds(m.GainS)}, {Key: "cost_s", Value: formatSeconds(m.CostS)},
	}
	l.recordSpan(span)
	if m.TerminatedAt == 0 {
		return
	}
	span.Name, span.Begin, span.End = "move: stop and proof", m.StartedAt, m.TerminatedAt
	span.Attributes = []trace.Attribute{{Key: "from", Value: m.From}}
	l.recordSpan(span)
	span.Name, span.Begin, span.End = "move: start", m.TerminatedAt, now
	span.Attributes = []trace.Attribute{{Key: "at", Value: m.Assigned}}
	l.recordSpan(span)
}

func formatSeconds(s float64) string { return strconv.FormatFloat(s, 'f', 1, 64) }
