package leader

import (
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// finalStateTag identifies the write of a job's final state.
type finalStateTag struct{ job string }

// progressTag identifies the write of a progress page.
type progressTag struct{ write jobs.PageWrite }

func (finalStateTag) txnTag() {}
func (progressTag) txnTag()   {}

// addJob adds the job of a stored record to the table of jobs.
func (l *Leader) addJob(record JobRecord, keyVersion uint64) *jobs.Job {
	record.Spec.Image = peer.RecordedImage(record.Spec.Image)
	job := jobs.New(record.Spec, record.AcceptedAt, keyVersion)
	l.jobs.Add(job)
	return job
}

// jobsChanged applies the job submissions and cancellations that the watch reported.
func (l *Leader) jobsChanged(now clock.Micros, m JobsChanged) {
	for _, event := range m.Events {
		if event.Put != "" {
			l.jobSubmitted(event)
		} else {
			l.jobKeyDeleted(now, event.Delete)
		}
	}
	l.jobsViewedAt = max(l.jobsViewedAt, m.RequestedAt)
}

// jobSubmitted adds a newly submitted job, all of whose tasks wait.
func (l *Leader) jobSubmitted(event wire.Event) {
	if l.jobs.Get(strings.TrimPrefix(event.Put, JobPrefix)) != nil {
		return
	}
	record, ok := decode[JobRecord](l, wire.Item{Key: event.Put, Value: event.Value})
	if !ok {
		return
	}
	l.addJob(record, event.Version).EnqueueAll()
	l.scheduling.requestUrgently()
}

// jobKeyDeleted cancels a job: a job's key is deleted only by an abort, or by the leader when it writes the job's final
// state. While that write is in flight, the outcome of the write shows whether the leader or an abort deleted the key.
// A progress write in flight must not hide an abort.
func (l *Leader) jobKeyDeleted(now clock.Micros, key string) {
	if job := l.jobs.Get(strings.TrimPrefix(key, JobPrefix)); job != nil && !job.IsFinishing() {
		l.cancelJob(now, job)
	}
}

// cancelJob stops all tasks of a cancelled job.
func (l *Leader) cancelJob(now clock.Micros, job *jobs.Job) {
	ref := job.Spec.Ref
	job.Cancel()
	l.jobEnded(now, job, wire.JobCancelled)
	l.jobs.Remove(ref)
	for _, lease := range l.shards.all {
		lease.stopJob(ref)
		// Completed tasks are stopped as well: a delayed copy of a run command must not start such a task again.
		for _, t := range lease.unpersisted {
			if t.Job == ref {
				lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t})
			}
		}
		lease.acknowledge(func(t peer.Task) bool { return t.Job == ref })
	}
	l.progress.Forget(job)
}

// finishJob removes a job, all of whose tasks have completed, once its final state is stored.
func (l *Leader) finishJob(now clock.Micros, job *jobs.Job) {
	ref := job.Spec.Ref
	l.jobEnded(now, job, wire.JobDone)
	l.jobs.Remove(ref)
	for _, lease := range l.shards.all {
		lease.acknowledge(func(t peer.Task) bool { return t.Job == ref })
		// An attempt that a stale attempt record still names must not continue to run.
		lease.stopJob(ref)
	}
	l.progress.Forget(job)
}

// writeFinalState writes a job's final state once all its tasks have completed.
func (l *Leader) writeFinalState(job *jobs.Job) {
	if !job.StartFinishing() {
		return
	}
	ref := job.Spec.Ref
	unchanged := []wire.Condition{{Key: JobPrefix + ref, Version: job.KeyVersion}}
	l.commit(store.PriorityAttempts, finalStateTag{ref}, unchanged, []wire.Write{
		put(FinalStatePrefix+ref, FinalStateRecord{State: wire.JobDone, Tasks: job.Completed()}),
		{Delete: JobPrefix + ref},
	})
}

// finalStateWritten handles the outcome of the write of a job's final state.
func (l *Leader) finalStateWritten(now clock.Micros, tag finalStateTag, result store.TxnResult) {
	job := l.jobs.Get(tag.job)
	if job == nil {
		return
	}
	switch {
	case result.Committed:
		l.finishJob(now, job)
	case len(result.FailedKeys) > 0:
		// Either a user aborted the job first, or an earlier copy of this write was applied.
		l.emit(ReadKey{l.term, FinalStatePrefix + tag.job, tag})
	default:
		job.StopFinishing()
	}
}

// finalStateRead handles the read of a job's final state after a conflict of its write: the stored state decides how
// the job ended.
func (l *Leader) finalStateRead(now clock.Micros, tag finalStateTag, m KeyRead) {
	job := l.jobs.Get(tag.job)
	if job == nil {
		return
	}
	job.StopFinishing()
	var record FinalStateRecord
	if !m.Found || exactjson.Unmarshal(m.Item.Value, &record) != nil {
		return
	}
	if record.State == wire.JobDone {
		l.finishJob(now, job)
	} else {
		l.cancelJob(now, job)
	}
}

// replicaStopped records that an attempt of a replica has ended, so that the replica must run again.
func (l *Leader) replicaStopped(now clock.Micros, job *jobs.Job, event peer.TaskEvent, task *grantedTask) {
	attempt := jobs.ReplicaAttempt{Task: event.Index, Running: task.running, RunningSince: task.runningSince,
		Inherited: task.inherited,
		Released:  event.Kind == peer.EventReleased, Cause: string(event.Kind)}
	if attempt.Released && task.stopReason != "" {
		attempt.Cause = task.stopReason
	}
	if job.ReplicaEnded(now, attempt) {
		runtimeS := 0.0
		if task.running {
			runtimeS = (now - task.runningSince).Seconds()
		}
		l.info("replica ended", "task", shard.TaskName(event.Task), "machine", task.machine, "cause", attempt.Cause,
			"ran_s", runtimeS)
	}
	l.scheduling.urgent = true
}

// replicaStarted records that a replica runs, for the first time or again.
func (l *Leader) replicaStarted(now clock.Micros, job *jobs.Job, t peer.Task, task *grantedTask) {
	outage, ended := job.ReplicaRunning(t.Index)
	switch {
	case ended:
		l.info("replica runs again", "task", shard.TaskName(t), "machine", task.machine, "cause", outage.Cause,
			"down_s", (now - outage.Since).Seconds())
	case !task.inherited:
		l.debug("replica runs", "task", shard.TaskName(t), "machine", task.machine,
			"after_s", (now + l.wallOffset - job.AcceptedAt).Seconds())
	}
}

// writeProgress writes the progress pages that are due.
func (l *Leader) writeProgress(now clock.Micros) {
	for _, write := range l.progress.DueWrites(now, l.jobs, l.valueBytes) {
		if write.Delete {
			l.commit(store.PriorityBackground, nil, nil, []wire.Write{{Delete: write.Key}})
			continue
		}
		unchanged := []wire.Condition{{Key: write.Key, Version: write.Version}}
		l.commit(store.PriorityBackground, progressTag{write}, unchanged, []wire.Write{put(write.Key, write.Record)})
	}
}

// progressWritten handles the outcome of the write of a progress page, and acknowledges the completions that are now
// persisted.
func (l *Leader) progressWritten(tag progressTag, result store.TxnResult) {
	if !result.Committed {
		if l.progress.Failed(tag.write, result, l.valueBytes) {
			l.emit(ReadKey{l.term, tag.write.Key, tag})
		}
		return
	}
	stored := l.progress.Committed(tag.write, result.Revision)
	for _, lease := range l.shards.all {
		lease.acknowledge(func(t peer.Task) bool {
			job := stored[t.Job]
			return job != nil && job.IsPersisted(t.Index)
		})
	}
}
