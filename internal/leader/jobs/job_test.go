package jobs

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

func TestTasksAreDispatchedInOrder(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 130)
	for want := range 130 {
		if got := j.DispatchFirst(); got != want {
			t.Fatalf("dispatched task %d, want %d", got, want)
		}
	}
	if got := j.DispatchFirst(); got != -1 || j.Waiting() != 0 || j.Dispatched() != 130 {
		t.Errorf("dispatched task %d after the last, with %d waiting and %d dispatched, want -1, 0 and 130", got, j.Waiting(), j.Dispatched())
	}
	j.Requeue(70)
	if got := j.FirstWaiting(); got != 70 || j.Waiting() != 1 {
		t.Errorf("first waiting task is %d of %d waiting tasks, want 70 of 1", got, j.Waiting())
	}
}

// A task in two shard grants counts as waiting for dispatch again only after it has left both grants. A completed task
// never counts as waiting again.
func TestRequeue(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 2)
	j.MarkDispatched(0)
	j.MarkDispatched(0)
	if j.Requeue(0); j.IsWaiting(0) || j.GrantCount(0) != 1 {
		t.Error("task counted as waiting although it was still in a grant, or not counted as in exactly one grant")
	}
	if j.Requeue(0); !j.IsWaiting(0) || j.GrantCount(0) != 0 {
		t.Error("task not counted as waiting after it left its last grant, or still counted as in a grant")
	}
	j.MarkDispatched(1)
	if !j.MarkCompleted(1) || j.MarkCompleted(1) || j.Completed() != 1 {
		t.Error("completion was not counted exactly once")
	}
	if j.Requeue(1); j.IsWaiting(1) {
		t.Error("completed task was queued again")
	}
}

func TestDelayedTaskIsQueuedAfterItsDelay(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 1)
	if j.Delay(0, clock.Second); j.IsWaiting(0) {
		t.Error("task counted as waiting for dispatch during its delay")
	}
	if j.RetryDelayed(clock.Second-1) || j.IsWaiting(0) {
		t.Error("task was queued before its delay had passed")
	}
	if !j.RetryDelayed(clock.Second) || !j.IsWaiting(0) {
		t.Error("task was not queued after its delay")
	}
}

func TestJobFinishesOnce(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 1)
	if j.StartFinishing() {
		t.Error("job started finishing before its task had completed")
	}
	j.MarkCompleted(0)
	if !j.StartFinishing() || j.StartFinishing() || !j.IsFinishing() {
		t.Error("job with completed tasks did not start finishing exactly once")
	}
	j.StopFinishing()
	if j.Cancel(); j.StartFinishing() || !j.IsCancelled() {
		t.Error("cancelled job started finishing, or did not count as cancelled")
	}
}

func TestJobIsUnservedAfterLimit(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 1)
	if j.IsUnserved(clock.Minute) {
		t.Error("job counted as unserved although it was not waiting")
	}
	j.SetUnservedSince(clock.Second)
	if j.IsUnserved(clock.Second+unservedLimit) || !j.IsUnserved(clock.Second+unservedLimit+1) {
		t.Error("job did not become unserved exactly after unservedLimit")
	}
}

// A replica that keeps exiting by itself waits before it runs again, longer each time. A replica that ran for long or
// was stopped from outside does not wait.
func TestReplicaThatKeepsExitingIsDelayed(t *testing.T) {
	j := New(wire.Job{Ref: "j-000001", Shape: wire.ShapeService, Tasks: 1}, 0, 3)
	j.EnqueueAll()
	endAttempt := func(now, ran clock.Micros, released bool) bool {
		j.ReplicaEnded(now, ReplicaAttempt{Running: true, RunningSince: now - ran, Released: released, Cause: "failed"})
		delayed := !j.IsWaiting(0)
		j.RetryDelayed(now + clock.Minute*60)
		j.ReplicaRunning(0)
		return delayed
	}
	now := clock.Minute * 100
	for i, c := range []struct {
		ran      clock.Micros
		released bool
		delayed  bool
	}{
		{clock.Second, false, false},
		{clock.Second, false, true},
		{clock.Second, true, false},
		{clock.Second, false, true},
		{exitCountResetAfter + 1, false, false},
		{clock.Second, false, true},
	} {
		if got := endAttempt(now, c.ran, c.released); got != c.delayed {
			t.Errorf("attempt %d: replica delayed %t, want %t", i, got, c.delayed)
		}
	}
}

func TestReplicaOutage(t *testing.T) {
	j := New(wire.Job{Ref: "j-000001", Shape: wire.ShapeService, Tasks: 1}, 0, 3)
	if _, ended := j.ReplicaRunning(0); ended {
		t.Error("outage was reported before the first attempt had ended")
	}
	if !j.ReplicaEnded(5, ReplicaAttempt{Running: true, Cause: "released", Released: true}) {
		t.Error("replica counted as down before its first attempt ended")
	}
	if j.ReplicaEnded(7, ReplicaAttempt{Cause: "failed"}) {
		t.Error("replica counted as up during an outage")
	}
	if outage, ended := j.ReplicaRunning(0); !ended || outage != (Outage{Since: 5, Cause: "released"}) {
		t.Errorf("outage %+v, ended: %t, want an ended outage since 5 with the cause released", outage, ended)
	}
}

func TestServiceAvoidsMachineWhereAReplicaFailed(t *testing.T) {
	j := New(wire.Job{Ref: "j-000001", Shape: wire.ShapeService, Tasks: 1}, 0, 3)
	j.Failures.TaskFailed(clock.Second, &failures.Machine{}, failures.Failure{Machine: "m"})
	if !j.AvoidsMachine(2*clock.Second, "m") || j.AvoidsMachine(2*clock.Second, "other") {
		t.Error("service did not avoid exactly the machine on which a replica had failed")
	}
	if j.AvoidsMachine(clock.Second+avoidMachineFor, "m") {
		t.Error("service still avoided the machine after avoidMachineFor")
	}
}

func TestRunSecondsLearnsFromRunTimes(t *testing.T) {
	table := NewTable()
	j := addJob(table, "j-000001", 8)
	for i := range minRunTimeSamples {
		if got := table.RunSeconds(j); got != 11 {
			t.Errorf("run time estimate of %g s after %d run times, want the owner's 11 s", got, i)
		}
		table.ObserveRunTime(j, 20)
	}
	if got := table.RunSeconds(j); got != 21 {
		t.Errorf("run time estimate of %g s, want the 21 s of the job's class", got)
	}
}

func TestTableFindsJobOfTask(t *testing.T) {
	table := NewTable()
	j := addJob(table, "j-000001", 2)
	for task, want := range map[peer.Task]*Job{
		{Job: j.Spec.Ref, Index: 1}: j, {Job: j.Spec.Ref, Index: 2}: nil, {Job: j.Spec.Ref, Index: -1}: nil,
		{Job: "j-000002"}: nil,
	} {
		if got := table.OfTask(task); got != want {
			t.Errorf("OfTask(%v) returned %v, want the job only for a task that it has, and nil otherwise", task, got)
		}
	}
}

func TestChangedCounts(t *testing.T) {
	table := NewTable()
	j := addJob(table, "j-000001", 2)
	if got := table.ChangedCounts(false); len(got) != 1 {
		t.Errorf("changed counts %v after a job was added, want one", got)
	}
	if got := table.ChangedCounts(false); len(got) != 0 {
		t.Errorf("changed counts %v on a call without changes, want none", got)
	}
	j.MarkRunning()
	j.AddUnconfirmed()
	if got := table.ChangedCounts(true); len(got) != 0 {
		t.Errorf("changed counts %v while a task was unconfirmed, want none", got)
	}
	j.RemoveUnconfirmed()
	if got := table.ChangedCounts(true); len(got) != 1 || got[0].Running != 1 {
		t.Errorf("changed counts %v after a task started running, want one with one running task", got)
	}
}
