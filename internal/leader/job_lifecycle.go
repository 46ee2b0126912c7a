package leader

import (
	"strings"

	"github.com/goccy/go-json"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// finalStateTag marks the write of a job's final state.
type finalStateTag struct{ job string }

// progressTag marks the write of a progress page.
type progressTag struct{ write jobs.PageWrite }

func (finalStateTag) txnTag() {}
func (progressTag) txnTag()   {}

// addJob takes in a job's record.
func (l *Leader) addJob(r JobRecord, keyVersion uint64) *jobs.Job {
	j := jobs.New(r.Spec, r.AcceptedAt, keyVersion)
	l.jobs.Add(j)
	return j
}

// jobsChanged takes in what users did to jobs.
func (l *Leader) jobsChanged(now clock.Micros, m JobsChanged) {
	for _, e := range m.Events {
		if e.Put != "" {
			l.jobSubmitted(e)
		} else {
			l.jobKeyDeleted(now, e.Delete)
		}
	}
	l.jobsViewedAt = max(l.jobsViewedAt, m.RequestedAt)
}

func (l *Leader) jobSubmitted(e wire.Event) {
	if l.jobs.Get(strings.TrimPrefix(e.Put, JobPrefix)) != nil {
		return
	}
	r, ok := decode[JobRecord](l, wire.Item{Key: e.Put, Value: e.Value})
	if !ok {
		return
	}
	l.addJob(r, e.Version).EnqueueAll()
	l.scheduling.requestUrgently()
}

// jobKeyDeleted cancels a job: only an abort deletes its key without the leader's doing. While its final state is
// being written, the outcome tells which of the two it was; a progress write under way must not hide an abort.
func (l *Leader) jobKeyDeleted(now clock.Micros, key string) {
	if j := l.jobs.Get(strings.TrimPrefix(key, JobPrefix)); j != nil && !j.IsFinishing() {
		l.cancelJob(now, j)
	}
}

// cancelJob stops a cancelled job's tasks wherever they may be.
func (l *Leader) cancelJob(now clock.Micros, j *jobs.Job) {
	ref := j.Spec.Ref
	j.Cancel()
	l.jobEnded(now, j, wire.JobCancelled)
	l.jobs.Remove(ref)
	for _, b := range l.shards.all {
		b.stopJob(ref)
		// What has completed, too: a late copy of its order must not start it again.
		for _, t := range b.unpersisted {
			if t.Job == ref {
				b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
			}
		}
		b.acknowledge(func(t peer.Task) bool { return t.Job == ref })
	}
	l.progress.Forget(j)
}

// finishJob takes in that a job's final state is stored: all its tasks have completed.
func (l *Leader) finishJob(now clock.Micros, j *jobs.Job) {
	ref := j.Spec.Ref
	l.jobEnded(now, j, wire.JobDone)
	l.jobs.Remove(ref)
	for _, b := range l.shards.all {
		b.acknowledge(func(t peer.Task) bool { return t.Job == ref })
		// A copy that a stale record still names must not run on.
		b.stopJob(ref)
	}
	l.progress.Forget(j)
}

// writeFinalState writes a job's final state once all its tasks have completed.
func (l *Leader) writeFinalState(j *jobs.Job) {
	if !j.StartFinishing() {
		return
	}
	ref := j.Spec.Ref
	unchanged := []wire.Condition{{Key: JobPrefix + ref, Version: j.KeyVersion}}
	l.commit(store.PriorityAttempts, finalStateTag{ref}, unchanged, []wire.Write{
		put(FinalStatePrefix+ref, FinalStateRecord{State: wire.JobDone, Tasks: j.Completed()}),
		{Delete: JobPrefix + ref},
	})
}

// finalStateWritten goes on after the write of a job's final state.
func (l *Leader) finalStateWritten(now clock.Micros, tag finalStateTag, result store.TxnResult) {
	j := l.jobs.Get(tag.job)
	if j == nil {
		return
	}
	switch {
	case result.Committed:
		l.finishJob(now, j)
	case len(result.FailedKeys) > 0:
		// A user's abort came first, or an earlier copy of this write did.
		l.emit(ReadKey{l.term, FinalStatePrefix + tag.job, tag})
	default:
		j.StopFinishing()
	}
}

// finalStateRead goes on after a job's final state was read, as its write conflicted with another.
func (l *Leader) finalStateRead(now clock.Micros, tag finalStateTag, m KeyRead) {
	j := l.jobs.Get(tag.job)
	if j == nil {
		return
	}
	j.StopFinishing()
	var r FinalStateRecord
	if !m.Found || json.Unmarshal(m.Item.Value, &r) != nil {
		return
	}
	if r.State == wire.JobDone {
		l.finishJob(now, j)
	} else {
		l.cancelJob(now, j)
	}
}

// replicaStopped notes that a replica has ended and is to run again elsewhere.
func (l *Leader) replicaStopped(now clock.Micros, j *jobs.Job, e peer.TaskEvent, h *grantedTask) {
	attempt := jobs.ReplicaAttempt{Task: e.Index, Running: h.running, RunningSince: h.runningSince, Inherited: h.inherited,
		Released: e.Kind == peer.EventReleased, Cause: string(e.Kind)}
	if attempt.Released && h.stopReason != "" {
		attempt.Cause = h.stopReason
	}
	if j.ReplicaEnded(now, attempt) {
		ran := 0.0
		if h.running {
			ran = (now - h.runningSince).Seconds()
		}
		l.info("replica ended", "task", shard.TaskName(e.Task), "machine", h.machine, "cause", attempt.Cause, "ran_s", ran)
	}
	l.scheduling.urgent = true
}

// replicaStarted notes that a replica runs, again or for the first time.
func (l *Leader) replicaStarted(now clock.Micros, j *jobs.Job, t peer.Task, h *grantedTask) {
	outage, ended := j.ReplicaRunning(t.Index)
	switch {
	case ended:
		l.info("replica runs again", "task", shard.TaskName(t), "machine", h.machine, "cause", outage.Cause,
			"down_s", (now - outage.Since).Seconds())
	case !h.inherited:
		l.debug("replica runs", "task", shard.TaskName(t), "machine", h.machine,
			"after_s", (now + l.wallOffset - j.AcceptedAt).Seconds())
	}
}

// writeProgress writes the progress pages that are due.
func (l *Leader) writeProgress(now clock.Micros) {
	for _, w := range l.progress.DueWrites(now, l.jobs, l.valueBytes) {
		if w.Delete {
			l.commit(store.PriorityBackground, nil, nil, []wire.Write{{Delete: w.Key}})
			continue
		}
		unchanged := []wire.Condition{{Key: w.Key, Version: w.Version}}
		l.commit(store.PriorityBackground, progressTag{w}, unchanged, []wire.Write{put(w.Key, w.Record)})
	}
}

// progressWritten goes on after the write of a progress page.
func (l *Leader) progressWritten(tag progressTag, result store.TxnResult) {
	if !result.Committed {
		if l.progress.Failed(tag.write, result, l.valueBytes) {
			l.emit(ReadKey{l.term, tag.write.Key, tag})
		}
		return
	}
	stored := l.progress.Committed(tag.write, result.Revision)
	for _, b := range l.shards.all {
		b.acknowledge(func(t peer.Task) bool {
			j := stored[t.Job]
			return j != nil && j.IsPersisted(t.Index)
		})
	}
}
