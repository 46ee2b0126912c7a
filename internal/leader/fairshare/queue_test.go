package fairshare

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/wire"
)

// newJob returns a job whose tasks all wait. change, if not nil, alters the job's specification first.
func newJob(ref string, change func(*wire.Job)) *jobs.Job {
	spec := wire.Job{Ref: ref, Team: "red", Class: "batch", Priority: wire.PriorityStandard, Tasks: 2, CPUs: 1, EstimateS: 10}
	if change != nil {
		change(&spec)
	}
	j := jobs.New(spec, 0, 1)
	j.EnqueueAll()
	return j
}

// newTable returns a table with the given jobs.
func newTable(all ...*jobs.Job) *jobs.Table {
	table := jobs.NewTable()
	for _, j := range all {
		table.Add(j)
	}
	return table
}

// usageOf returns a usage in which one team uses the given processors.
func usageOf(team string, cpus float64) *Usage {
	u := NewUsage()
	u.Charge(team, ResourceUsage{CPUs: cpus})
	return u
}

// Jobs that would always sort last have their turn: a job that has not started in time goes first, and each class, as
// well as the jobs that have waited long, has a minimum share.
func TestQueueStarvesNoJob(t *testing.T) {
	newEntry := func(class string, waitedLong, started bool) *entry {
		j := newJob("j-000001", func(s *wire.Job) { s.Class = class })
		if started {
			j.DispatchFirst()
		}
		return &entry{job: j, waitedLong: waitedLong}
	}
	first, second := newEntry("a", false, true), newEntry("b", false, true)
	waitedLong, unstarted := newEntry("a", true, true), newEntry("a", true, false)
	q := &TeamQueue{team: config.Team{Name: "red"}, usage: usageOf("red", 100), minShare: 0.1,
		entries: []*entry{first, second, waitedLong, unstarted}, cpusByClass: map[string]float64{"a": 60, "b": 30, longWaitingKey: 30}}
	for _, c := range []struct {
		name   string
		change func()
		want   *entry
	}{
		{"job not started in time", func() {}, unstarted},
		{"no job starves", func() { unstarted.exhausted = true }, first},
		{"class below its minimum share", func() { q.cpusByClass["b"] = 5 }, second},
		{"long-waiting jobs below their minimum share", func() { q.cpusByClass["b"], q.cpusByClass[longWaitingKey] = 30, 5 }, waitedLong},
		{"no task of the long-waiting job can be dispatched", func() { waitedLong.exhausted = true }, first},
	} {
		c.change()
		if got, _ := q.next(); got != c.want {
			t.Errorf("%s: next job is of class %s and has waited long: %t, want another job", c.name, got.job.Spec.Class, got.waitedLong)
		}
	}
}

// passTime is the time of the scheduling passes in TestOrderOfTurns.
const passTime = 1000 * clock.Second

// newRunningService returns a service of one replica, which runs and uses the given processors.
func newRunningService(ref string, cpus float64) *jobs.Job {
	j := newJob(ref, func(s *wire.Job) { s.Shape, s.Tasks, s.CPUs = wire.ShapeService, 1, cpus })
	j.DispatchFirst()
	return j
}

// unservedFor returns the job, unserved for the given time at passTime.
func unservedFor(waited clock.Micros, j *jobs.Job) *jobs.Job {
	j.SetUnservedSince(passTime - waited)
	return j
}

// dispatchOrder returns the references of the jobs in the order of their turns. In each turn as many tasks of the job
// are dispatched as fit.
func dispatchOrder(queues []*TeamQueue, usage *Usage) (refs []string) {
	for {
		turn, ok := Next(queues)
		if !ok {
			return refs
		}
		refs = append(refs, turn.Job.Spec.Ref)
		dispatched := 0
		for turn.Queue.Fits(&turn.Job.Spec) && turn.Job.DispatchFirst() >= 0 {
			usage.Charge(turn.Job.Spec.Team, ResourceUsage{CPUs: turn.Job.Spec.CPUs})
			dispatched++
		}
		turn.Done(dispatched)
	}
}

func TestOrderOfTurns(t *testing.T) {
	deadline := 100.0
	teams := map[string]config.Team{"red": {Name: "red", CPUs: 4, CPUsMax: 8}, "blue": {Name: "blue", CPUs: 4, CPUsMax: 8}}
	sixCPUs := func(s *wire.Job) { s.Tasks, s.CPUs, s.Priority = 1, 6, wire.PriorityHigh }
	for _, c := range []struct {
		name string
		jobs []*jobs.Job
		want []string
		used float64 // processors that other batch tasks of the team use
	}{
		{"higher priority first", []*jobs.Job{
			newJob("j-1", nil), newJob("j-2", func(s *wire.Job) { s.Priority = wire.PriorityHigh }),
		}, []string{"j-2", "j-1"}, 0},
		{"shorter job first", []*jobs.Job{
			newJob("j-1", func(s *wire.Job) { s.EstimateS = 60 }), newJob("j-2", nil),
		}, []string{"j-2", "j-1"}, 0},
		{"job that misses its deadline last", []*jobs.Job{
			newJob("j-1", func(s *wire.Job) { s.DeadlineS, s.EstimateS = &deadline, 200 }),
			newJob("j-2", func(s *wire.Job) { s.EstimateS = 300 }),
		}, []string{"j-2", "j-1"}, 0},
		{"team within its guarantee first", []*jobs.Job{
			newJob("j-1", func(s *wire.Job) { s.Tasks = 4 }), newJob("j-2", func(s *wire.Job) { s.EstimateS = 60 }),
			newJob("j-3", func(s *wire.Job) { s.Team = "blue" }),
		}, []string{"j-3", "j-1", "j-2"}, 0},
		{"job over the limit blocks less important jobs", []*jobs.Job{newJob("j-1", sixCPUs), newJob("j-2", nil)}, nil, 4},
		{"job over the limit blocks no job of its priority", []*jobs.Job{
			newJob("j-1", sixCPUs), newJob("j-2", func(s *wire.Job) { s.Priority = wire.PriorityHigh }),
		}, []string{"j-2"}, 4},
		{"job that never fits beside services blocks no job", []*jobs.Job{
			newRunningService("j-0", 4), newJob("j-1", sixCPUs), newJob("j-2", nil),
		}, []string{"j-2"}, 0},
		{"job larger than the limit blocks no job", []*jobs.Job{
			newJob("j-1", func(s *wire.Job) { s.CPUs, s.Priority = 9, wire.PriorityHigh }), newJob("j-2", nil),
		}, []string{"j-2"}, 0},
		{"job that was blocked for long is not blocked", []*jobs.Job{
			newJob("j-1", sixCPUs), unservedFor(50*clock.Second, newJob("j-2", nil)), newJob("j-3", nil),
		}, []string{"j-2"}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			usage := usageOf("red", c.used)
			for _, j := range c.jobs {
				usage.Charge(j.Spec.Team, usageOfTasks(&j.Spec, j.Dispatched()))
			}
			policy := Policy{Teams: teams, StartWithinS: 600, MinShare: 0}
			queues := policy.Queues(PassTime{Now: passTime}, newTable(c.jobs...), usage)
			got := dispatchOrder(queues, usage)
			if len(got) != len(c.want) {
				t.Fatalf("turns %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Fatalf("turns %v, want %v", got, c.want)
				}
			}
		})
	}
}

// Services, which never end, leave a minimum share of the team's limit to its other jobs.
func TestServicesLeaveMinimumShare(t *testing.T) {
	service := newJob("j-1", func(s *wire.Job) { s.Shape, s.Tasks = wire.ShapeService, 20 })
	batch := newJob("j-2", nil)
	policy := Policy{Teams: map[string]config.Team{"red": {Name: "red", CPUsMax: 10}}, StartWithinS: 600, MinShare: 0.2}
	usage := NewUsage()
	q := policy.Queues(PassTime{}, newTable(service, batch), usage)[0]
	if !q.ServiceFits(&service.Spec, 7) || q.ServiceFits(&service.Spec, 8) || !q.ServiceFits(&batch.Spec, 8) {
		t.Error("services were not limited to exactly 8 of the team's 10 processors, or a batch job was limited as well")
	}
	service.SetUnservedSince(1)
	afterWait := PassTime{Now: 50 * clock.Second}
	if q := policy.Queues(afterWait, newTable(service, batch), usage)[0]; !q.ServiceFits(&service.Spec, 9) {
		t.Error("a service that has waited for long was limited to leave a minimum share")
	}
	large := newJob("j-3", func(s *wire.Job) { s.Shape, s.Tasks, s.CPUs = wire.ShapeService, 1, 9 })
	if q := policy.Queues(PassTime{}, newTable(large, batch), usage)[0]; !q.ServiceFits(&large.Spec, 0) {
		t.Error("a service that never leaves the minimum share was limited to it, so it would never start")
	}
	servicesOnly := policy.Queues(PassTime{}, newTable(service), usage)[0]
	if !servicesOnly.ServiceFits(&service.Spec, 9) {
		t.Error("services were limited to leave a minimum share although the team had no other jobs")
	}
}

// A job counts as waiting for free capacity while it has waiting tasks that its team's limit permits.
func TestUnservedSince(t *testing.T) {
	j := newJob("j-1", nil)
	policy := Policy{Teams: map[string]config.Team{"red": {Name: "red", CPUsMax: 4}}}
	full, free := usageOf("red", 4), NewUsage()
	for _, c := range []struct {
		now   clock.Micros
		usage *Usage
		want  clock.Micros
	}{{5, full, 5}, {7, full, 7}, {9, free, 7}, {11, free, 7}} {
		policy.Queues(PassTime{Now: c.now}, newTable(j), c.usage)
		if got := j.UnservedSince(); got != c.want {
			t.Errorf("at time %d: job unserved since %d, want %d", c.now, got, c.want)
		}
	}
	j.DispatchFirst()
	j.DispatchFirst()
	if policy.Queues(PassTime{Now: 13}, newTable(j), free); j.UnservedSince() != 0 {
		t.Error("job counted as unserved although none of its tasks was waiting")
	}
}

func TestPreemptors(t *testing.T) {
	high := newJob("j-1", func(s *wire.Job) { s.Priority = wire.PriorityHigh })
	standard := newJob("j-2", nil)
	for _, c := range []struct {
		guarantee float64
		want      int
	}{{0, 1}, {4, 2}} {
		policy := Policy{Teams: map[string]config.Team{"red": {Name: "red", CPUs: c.guarantee}}}
		q := policy.Queues(PassTime{}, newTable(high, standard), NewUsage())[0]
		if got := q.Preemptors(); len(got) != c.want || got[0] != high {
			t.Errorf("guarantee of %g: %d jobs may preempt other tasks, want %d, the one of high priority first", c.guarantee, len(got), c.want)
		}
	}
}
