package leader

import (
	"strings"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// regrantFirstShard makes the leader grant the first shard again at a store revision, and returns the new fencing
// token, or false if the leader resigned instead.
func regrantFirstShard(l *Leader, now clock.Micros, revision uint64) (wire.FencingToken, bool) {
	l.shards.all[0].state = unassigned
	for _, e := range l.Step(now, Tick{}) {
		if _, resigned := e.(Resign); resigned {
			return 0, false
		}
		if x, ok := e.(CommitTxn); ok {
			if tag, ok := x.Tag.(shardsTag); ok {
				l.Step(now, TxnCompleted{Term: l.term, Tag: tag, Result: store.TxnResult{Committed: true, Revision: revision}})
				l.Step(now, AttemptsLoaded{Term: l.term, Shard: 0, FencingToken: tag.tokens[0]})
				return tag.tokens[0], true
			}
		}
	}
	return 0, false
}

// Each agent that restarts may cause a new grant, which takes a fencing token. With thousands of machines a term needs
// more tokens than its counter bits can hold, and a leader that resigned because of that would do so again and again.
func TestTokensSurviveCounterOverflow(t *testing.T) {
	l := newLeader(t)
	now, revision, lastToken := startTime, uint64(20), wire.FencingToken(0)
	for i := range 3 << tokenBits {
		revision++
		// Only a lack of tokens can prevent the next grant.
		l.shards.all[0].UnassignedSince = 0
		n0 := l.shards.controllers["n0"]
		n0.lastHeartbeat, n0.Controller = now, assignment.Controller{Name: "n0"}
		token, ok := regrantFirstShard(l, now, revision)
		if !ok {
			t.Fatalf("leader did not issue a fencing token for grant %d", i)
		}
		if token <= lastToken {
			t.Fatalf("fencing token %d after token %d, want a higher one", token, lastToken)
		}
		// The next leader's key has a later revision than any write of this term.
		if next := wire.FencingToken(revision+1) << tokenBits; token > next {
			t.Fatalf("leader issued fencing token %d, want at most the first token of a later leader, %d", token, next)
		}
		lastToken = token
	}
}

// While no write of this term is known to have succeeded, the next revision may be a later term. No token may reach
// the tokens of that term.
func TestTokensStayBelowLaterTerm(t *testing.T) {
	l := newLeader(t)
	l.shards.tokensIssued, l.highestRevision = 1<<tokenBits-1, 0
	if token, ok := regrantFirstShard(l, startTime, 30); ok {
		t.Errorf("leader issued fencing token %d, which may belong to term %d, want no token", token, l.term+1)
	}
}

// The pages of machine lists leave enough cloud calls for provisioning, however many machines there are.
func TestMachineListsLeaveCallsForProvisioning(t *testing.T) {
	for _, machines := range []int{500, 6000} {
		l := newLeader(t)
		l.cfg.Facts.Cloud.RPS = 2
		for i := len(l.inventory.machines); i < machines; i++ {
			l.addMachine(startTime, "extra-"+string(rune('a'+i%26))+string(rune(0x4e00+i)),
				&instanceGroup{record: InstanceGroupRecord{Request: wire.ProvisionRequest{Type: "small", Zone: "a"}}})
		}
		lists, period := 0, 60*clock.Second
		for now := startTime; now < startTime+period; now += clock.Second / 4 {
			l.authorityEnds, l.jobsViewedAt, l.shards.controllers["n0"].lastHeartbeat = now+clock.Minute, now, now
			for _, e := range l.Step(now, Tick{}) {
				if _, ok := e.(ListMachines); ok {
					lists++
					l.inventory.listing = false
				}
			}
		}
		calls := lists * (machines/machinesPerListPage + 1)
		if maxCalls := int(maxListShare*2*period.Seconds()) + machines/machinesPerListPage + 1; calls > maxCalls || lists == 0 {
			t.Errorf("%d machines: %d lists with %d calls in a minute, want at most %d calls", machines, lists, calls, maxCalls)
		}
	}
}

// Guards against an older version's holder that loops without end on a job with a long image name: whichever version
// accepted the job, the leader offers it with a name that fits on a page of attempt records.
func TestOffersHaveRecordedImages(t *testing.T) {
	l := newGrantedLeader(t, nil)
	job := testJob
	job.Ref, job.Image = "j-000002", strings.Repeat("i", 3600)
	item := storeItem(t, JobPrefix+job.Ref, 20, JobRecord{Spec: job})
	submitted := wire.Event{Put: item.Key, Value: item.Value, Version: item.Version}
	effects := l.Step(startTime, JobsChanged{Term: 5, Events: []wire.Event{submitted}, RequestedAt: startTime})
	effects = append(effects, l.Step(startTime+clock.Second, Tick{})...)
	for _, orders := range sentOrders(effects) {
		for _, offer := range orders.Offers {
			if offer.Job.Ref != job.Ref {
				continue
			}
			if offer.Job.Image != peer.RecordedImage(job.Image) {
				t.Errorf("offer has an image name of %d bytes, want the recorded name", len(offer.Job.Image))
			}
			return
		}
	}
	t.Error("job not offered")
}

// A machine is offered at most as many tasks as its agent can list in one heartbeat, however small the tasks are.
func TestOffersLeaveHeartbeatsBelowLimit(t *testing.T) {
	l := newGrantedLeader(t, nil)
	job := testJob
	job.Ref, job.Tasks, job.CPUs, job.MemoryGB = "j-000002", 100_000, 0, 0
	item := storeItem(t, JobPrefix+job.Ref, 20, JobRecord{Spec: job})
	submitted := wire.Event{Put: item.Key, Value: item.Value, Version: item.Version}
	effects := l.Step(startTime, JobsChanged{Term: 5, Events: []wire.Event{submitted}, RequestedAt: startTime})
	offered := countOffers(append(effects, l.Step(startTime+clock.Second, Tick{})...))
	if limit := len(machineNames) * wire.MaxTasksPerHeartbeat; offered == 0 || offered > limit {
		t.Errorf("%d tasks offered on %d machines, want some and at most %d", offered, len(machineNames), limit)
	}
}
