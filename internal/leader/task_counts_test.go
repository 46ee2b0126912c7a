package leader

import (
	"fmt"
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// firstMachineLease returns the lease of the shard that contains the first machine.
func firstMachineLease(l *Leader) *shardLease {
	return l.shards.all[shard.ForMachine(machineNames[0], 2)]
}

// regrant grants the shard again, with attempt records of tasks on the first machine.
func regrant(l *Leader, lease *shardLease, now clock.Micros, indexes ...int) {
	lease.state = reading
	l.Step(now, AttemptsLoaded{Term: 5, Shard: lease.ID, FencingToken: lease.token, Pages: attemptPagesFor(machineNames[0], indexes...)})
}

// taskCounts returns the task counts that the effects send to a controller.
func taskCounts(effects []Effect, link Link) (counts []peer.TaskCount) {
	for _, e := range effects {
		if x, ok := e.(SendToHolder); ok && x.Link == link {
			counts = append(counts, x.Message.TaskCounts...)
		}
	}
	return counts
}

// TestRunningCountSurvivesRegrants guards against running tasks that are counted once more with each grant of their
// shard, and against tasks that count as running after they have ended.
func TestRunningCountSurvivesRegrants(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0, 1))
	lease, job, now := firstMachineLease(l), l.jobs.Get(testJob.Ref), startTime
	checkRunning := func(want int, after string) {
		t.Helper()
		if got := job.Running(); got != want {
			t.Fatalf("%d tasks count as running after %s, want %d", got, after, want)
		}
	}
	running := []peer.TaskEvent{firstTaskEvent(peer.EventRunning), firstTaskEvent(peer.EventRunning)}
	running[1].Index = 1
	l.Step(now, holderUpdate(lease, lease.token, running...))
	checkRunning(2, "both have started")
	startedAt := lease.tasks[running[0].Task].runningSince
	for range 3 {
		now += clock.Second
		regrant(l, lease, now, 0, 1)
		checkRunning(2, "a new grant of their shard")
		l.Step(now, holderUpdate(lease, lease.token, running...))
		checkRunning(2, "the new holder has reported them")
	}
	if got := lease.tasks[running[0].Task].runningSince; got != startedAt {
		t.Errorf("task counts as running since %d, want %d, its first report", got, startedAt)
	}
	regrant(l, lease, now, 1)
	checkRunning(1, "a grant without a record of one of them")
	ended := running[1]
	ended.Kind = peer.EventReleased
	l.Step(now, holderUpdate(lease, lease.token, ended))
	checkRunning(0, "the end of the other")
}

// TestRecordOnOtherMachineDoesNotCountAsRunning guards against a stale record of an earlier attempt that is taken for the
// attempt that ran.
func TestRecordOnOtherMachineDoesNotCountAsRunning(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0))
	lease, job := firstMachineLease(l), l.jobs.Get(testJob.Ref)
	l.Step(startTime, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventRunning)))
	lease.state = reading
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: lease.ID, FencingToken: lease.token, Pages: attemptPagesFor(machineNames[1], 0)})
	if job.Running() != 0 {
		t.Errorf("%d tasks count as running, want none: the record is of another machine", job.Running())
	}
	l.Step(startTime, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventRunning)))
	if job.Running() != 1 {
		t.Errorf("%d tasks count as running after the holder's report, want 1", job.Running())
	}
}

// TestRunningAttemptIsFoundBesideStaleRecord guards against a running task that no longer counts as running because a
// stale record of the task comes first.
func TestRunningAttemptIsFoundBesideStaleRecord(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0))
	lease, job := firstMachineLease(l), l.jobs.Get(testJob.Ref)
	l.Step(startTime, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventRunning)))
	pages := attemptPagesFor(machineNames[0], 0)
	pages["run/a"] = peer.AttemptPage{Machines: machineNames[1:2], Groups: []peer.AttemptGroup{{Job: testJob.Ref, Team: "red",
		CPUs: 1, Attempts: []int{0, 9, 0}}}}
	lease.state = reading
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: lease.ID, FencingToken: lease.token, Pages: pages})
	task := lease.tasks[peer.Task{Job: testJob.Ref}]
	if job.Running() != 1 || task.machine != machineNames[0] || l.usage.Of("red").CPUs != 1 {
		t.Errorf("%d tasks run, on %s, with %g processors used, want 1 on %s with 1", job.Running(), task.machine,
			l.usage.Of("red").CPUs, machineNames[0])
	}
}

// TestCompletedReplicaDoesNotCountAsRunning guards against a replica that counts as running after its attempt has
// completed, while a stale record of another attempt keeps it in the grant.
func TestCompletedReplicaDoesNotCountAsRunning(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0, 0))
	lease, job := firstMachineLease(l), l.jobs.Get(testJob.Ref)
	job.Spec.Shape = wire.ShapeService
	for _, kind := range []peer.EventKind{peer.EventRunning, peer.EventAttemptRemains, peer.EventCompleted} {
		l.Step(startTime, holderUpdate(lease, lease.token, firstTaskEvent(kind)))
	}
	if job.Running() != 0 {
		t.Errorf("%d replicas count as running after the completion, want none", job.Running())
	}
	l.Step(startTime, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventReleased)))
	if job.Running() != 0 {
		t.Errorf("%d replicas count as running after the last attempt, want none", job.Running())
	}
}

// TestConnectingControllerGetsTaskCounts guards against a controller that has lost the counts in a restart, or a message
// with its link, and tells users of no running tasks until a count changes.
func TestConnectingControllerGetsTaskCounts(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0, 1))
	lease, now := firstMachineLease(l), startTime+clock.Second
	l.Step(now, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventRunning)))
	want := []peer.TaskCount{{Job: testJob.Ref, Running: 1}}
	if got := taskCounts(l.Step(now+countsReportInterval, Tick{}), testLink("link")); !slices.Equal(got, want) {
		t.Fatalf("task counts %v were sent, want %v", got, want)
	}
	now += 2 * countsReportInterval
	l.Step(now, PeerConnected{Controller: "n1", Link: testLink("other")})
	if got := taskCounts(l.Step(now+countsReportInterval, Tick{}), testLink("other")); !slices.Equal(got, want) {
		t.Errorf("task counts %v were sent to a controller that connected, want %v", got, want)
	}
	if got := taskCounts(l.Step(now+2*countsReportInterval, Tick{}), testLink("other")); len(got) != 0 {
		t.Errorf("task counts %v were sent again, want none", got)
	}
}

// TestMissedTaskCountsAreLimited guards against counts that hold up the grants to a controller that is reached through the
// store.
func TestMissedTaskCountsAreLimited(t *testing.T) {
	l := newGrantedLeader(t, nil)
	const total = maxMissedCounts + 10
	for i := range total {
		job := testJob
		job.Ref, job.CPUs = fmt.Sprintf("j-%06d", 1000+i), 100
		l.addJob(JobRecord{Spec: job}, 7)
	}
	now := startTime + countsReportInterval
	l.Step(now, Tick{})
	l.Step(now, PeerConnected{Controller: "n1", Link: testLink("direct")})
	l.Step(now, PeerConnected{Controller: "n2", Link: testLink("store"), ViaStore: true})
	effects := l.Step(now+countsReportInterval, Tick{})
	direct, viaStore := taskCounts(effects, testLink("direct")), taskCounts(effects, testLink("store"))
	if len(direct) != maxMissedCounts || len(viaStore) != maxMissedCountsViaStore {
		t.Errorf("%d and %d counts in the first report, want %d and %d", len(direct), len(viaStore), maxMissedCounts, maxMissedCountsViaStore)
	}
	effects = l.Step(now+2*countsReportInterval, Tick{})
	direct = append(direct, taskCounts(effects, testLink("direct"))...)
	if len(direct) != total+1 { // and that of testJob
		t.Errorf("%d counts in two reports, want %d", len(direct), total+1)
	}
}

// TestCountsOfUnconfirmedTasksAreHeldBack guards against a new leader that tells that no task runs until the holders have
// reported on the tasks that earlier terms recorded.
func TestCountsOfUnconfirmedTasksAreHeldBack(t *testing.T) {
	l := newLeader(t)
	cfg := *l.cfg
	cfg.Facts.Workers.ReportS = 3
	l.cfg = &cfg
	for shardID := range l.shards.all {
		loaded := AttemptsLoaded{Term: 5, Shard: shardID, FencingToken: l.shards.all[shardID].token}
		if shardID == shard.ForMachine(machineNames[0], 2) {
			loaded.Pages = attemptPagesFor(machineNames[0], 0, 1)
		}
		l.Step(startTime, loaded)
	}
	lease, now := firstMachineLease(l), startTime+countsReportInterval
	regrant(l, lease, now, 0, 1)
	if got := taskCounts(l.Step(now, Tick{}), testLink("link")); len(got) != 0 {
		t.Errorf("task counts %v were sent while no task was confirmed, want none", got)
	}
	l.Step(now, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventRunning)))
	now += countsReportInterval
	if got := taskCounts(l.Step(now, Tick{}), testLink("link")); len(got) != 0 {
		t.Errorf("task counts %v were sent while one task was unconfirmed, want none", got)
	}
	// The other task may fetch its image for long. Its job's counts are not held back for more than some heartbeats.
	now = startTime + confirmationHeartbeats*clock.FromSeconds(cfg.Facts.Workers.ReportS)
	if got := taskCounts(l.Step(now, Tick{}), testLink("link")); len(got) != 1 || got[0].Running != 1 {
		t.Errorf("task counts %v were sent after the time for confirmations, want one running task", got)
	}
}
