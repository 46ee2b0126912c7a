package leader

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// TestJobWithoutAllowedTypeIsNotOffered guards against tasks that start on a machine type that their job does not allow: an
// earlier version accepted jobs with an empty list of types. Such a job stays known, and keeps no other job waiting.
func TestJobWithoutAllowedTypeIsNotOffered(t *testing.T) {
	l := newGrantedLeader(t, nil)
	typeless, sameShape := testJob, testJob
	typeless.Ref, typeless.Types, typeless.Priority = "j-000010", []string{}, wire.PriorityHigh
	sameShape.Ref = "j-000011"
	l.addJob(JobRecord{Spec: typeless}, 7).EnqueueAll()
	l.addJob(JobRecord{Spec: sameShape}, 8).EnqueueAll()
	offered := map[string]int{}
	for second := range clock.Micros(3) {
		l.scheduling.requestUrgently()
		for _, orders := range sentOrders(l.Step(startTime+second*clock.Second, Tick{})) {
			for _, offer := range orders.Offers {
				offered[offer.Job.Ref] += len(offer.TaskIndexes)
			}
		}
	}
	if offered[typeless.Ref] != 0 || l.jobs.Get(typeless.Ref) == nil {
		t.Errorf("%d tasks of a job that allows no type were offered, want none, and the job known", offered[typeless.Ref])
	}
	if offered[sameShape.Ref] != sameShape.Tasks {
		t.Errorf("%d tasks of the other job were offered, want %d", offered[sameShape.Ref], sameShape.Tasks)
	}
}

// TestEmptyListOfTypesAllowsNone checks the places that decide where a task may run, and that messages between controllers
// keep the difference between no list and an empty one.
func TestEmptyListOfTypesAllowsNone(t *testing.T) {
	for _, types := range [][]string{nil, {}} {
		want := types == nil
		raw, err := msgpack.Marshal(peer.TaskOffer{Job: wire.Job{Types: types}})
		if err != nil {
			t.Fatal(err)
		}
		var offer peer.TaskOffer
		if err := msgpack.Unmarshal(raw, &offer); err != nil {
			t.Fatal(err)
		}
		job := &offer.Job
		group := placement.Group{Types: job.Types}
		demand := autoscaler.Demand{CPUs: 1, Types: job.Types}
		option := autoscaler.Option{Type: wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8}}
		if job.AllowsType("small") != want || group.Allows(&placement.Machine{Type: "small"}) != want || demand.Slots(&option) > 0 != want {
			t.Errorf("list %#v: allowed %v, by the holder %v, slots %d, want allowed: %v", types, job.AllowsType("small"),
				group.Allows(&placement.Machine{Type: "small"}), demand.Slots(&option), want)
		}
	}
}
