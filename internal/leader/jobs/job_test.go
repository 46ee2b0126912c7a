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
			t.Fatalf("task %d, want %d", got, want)
		}
	}
	if got := j.DispatchFirst(); got != -1 || j.Waiting() != 0 || j.Dispatched() != 130 {
		t.Errorf("task %d, %d wait, %d dispatched", got, j.Waiting(), j.Dispatched())
	}
	j.Requeue(70)
	if got := j.FirstWaiting(); got != 70 || j.Waiting() != 1 {
		t.Errorf("task %d waits first, %d in all", got, j.Waiting())
	}
}

// A task that is in two grants waits again only when it has left both, and not at all once it has completed.
func TestRequeue(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 2)
	j.MarkDispatched(0)
	j.MarkDispatched(0)
	if j.Requeue(0); j.IsWaiting(0) || j.GrantCount(0) != 1 {
		t.Error("waits while it is in a grant")
	}
	if j.Requeue(0); !j.IsWaiting(0) || j.GrantCount(0) != 0 {
		t.Error("does not wait")
	}
	j.MarkDispatched(1)
	if !j.MarkCompleted(1) || j.MarkCompleted(1) || j.Completed() != 1 {
		t.Error("the completion counts other than once")
	}
	if j.Requeue(1); j.IsWaiting(1) {
		t.Error("a completed task waits again")
	}
}

func TestDelayedTaskIsQueuedAfterItsDelay(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 1)
	if j.Delay(0, clock.Second); j.IsWaiting(0) {
		t.Error("waits while it is delayed")
	}
	if j.RetryDelayed(clock.Second-1) || j.IsWaiting(0) {
		t.Error("retried too early")
	}
	if !j.RetryDelayed(clock.Second) || !j.IsWaiting(0) {
		t.Error("not retried")
	}
}

func TestJobFinishesOnce(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 1)
	if j.StartFinishing() {
		t.Error("finishes before its task has completed")
	}
	j.MarkCompleted(0)
	if !j.StartFinishing() || j.StartFinishing() || !j.IsFinishing() {
		t.Error("does not finish once")
	}
	j.StopFinishing()
	if j.Cancel(); j.StartFinishing() || !j.IsCancelled() {
		t.Error("a cancelled job finishes")
	}
}

func TestJobIsUnservedAfterLimit(t *testing.T) {
	j := addJob(NewTable(), "j-000001", 1)
	if j.IsUnserved(clock.Minute) {
		t.Error("unserved though it does not wait")
	}
	j.SetUnservedSince(clock.Second)
	if j.IsUnserved(clock.Second+unservedLimit) || !j.IsUnserved(clock.Second+unservedLimit+1) {
		t.Error("unserved at another time than after the limit")
	}
}

// A replica that keeps ending by itself waits before it runs again, longer each time; one that ran for long, or that
// was stopped from outside, does not.
func TestReplicaThatKeepsExitingIsDelayed(t *testing.T) {
	j := New(wire.Job{Ref: "j-000001", Shape: wire.ShapeService, Tasks: 1}, 0, 3)
	j.EnqueueAll()
	ends := func(now, ran clock.Micros, released bool) bool {
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
		if got := ends(now, c.ran, c.released); got != c.delayed {
			t.Errorf("end %d: delayed %t, want %t", i, got, c.delayed)
		}
	}
}

func TestReplicaOutage(t *testing.T) {
	j := New(wire.Job{Ref: "j-000001", Shape: wire.ShapeService, Tasks: 1}, 0, 3)
	if _, ended := j.ReplicaRunning(0); ended {
		t.Error("an outage before the first attempt")
	}
	if !j.ReplicaEnded(5, ReplicaAttempt{Running: true, Cause: "released", Released: true}) {
		t.Error("was not up")
	}
	if j.ReplicaEnded(7, ReplicaAttempt{Cause: "failed"}) {
		t.Error("was up while it was down")
	}
	if outage, ended := j.ReplicaRunning(0); !ended || outage != (Outage{Since: 5, Cause: "released"}) {
		t.Errorf("outage %+v, ended %t", outage, ended)
	}
}

func TestServiceAvoidsMachineWhereAReplicaFailed(t *testing.T) {
	j := New(wire.Job{Ref: "j-000001", Shape: wire.ShapeService, Tasks: 1}, 0, 3)
	j.Failures.TaskFailed(clock.Second, &failures.Machine{}, failures.Failure{Machine: "m"})
	if !j.AvoidsMachine(2*clock.Second, "m") || j.AvoidsMachine(2*clock.Second, "other") {
		t.Error("avoids another machine than the one where it failed")
	}
	if j.AvoidsMachine(clock.Second+avoidMachineFor, "m") {
		t.Error("avoids it for too long")
	}
}

func TestRunSecondsLearnsFromRunTimes(t *testing.T) {
	table := NewTable()
	j := addJob(table, "j-000001", 8)
	for i := range minRunTimeSamples {
		if got := table.RunSeconds(j); got != 11 {
			t.Errorf("%g s after %d run times, want the estimate", got, i)
		}
		table.ObserveRunTime(j, 20)
	}
	if got := table.RunSeconds(j); got != 21 {
		t.Errorf("%g s, want what its class takes", got)
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
			t.Errorf("%v: job %v", task, got)
		}
	}
}

func TestChangedCounts(t *testing.T) {
	table := NewTable()
	j := addJob(table, "j-000001", 2)
	if got := table.ChangedCounts(); len(got) != 1 {
		t.Errorf("counts %v of a new job", got)
	}
	if got := table.ChangedCounts(); len(got) != 0 {
		t.Errorf("counts %v though nothing changed", got)
	}
	j.MarkRunning()
	if got := table.ChangedCounts(); len(got) != 1 || got[0].Running != 1 {
		t.Errorf("counts %v", got)
	}
}
