package main

import (
	"slices"
	"time"

	"swiftledge/review/site"
	"swiftledge/wire"
)

// manyTasksLength is how long the case watches the jobs.
const manyTasksLength = 112 * time.Second

// manyTasks submits a large array of small tasks, and watches whether the machines keep them.
func manyTasks(r *run) int {
	s, err := site.Start(r.dir, caroni(), r.record)
	if err != nil {
		return r.verdict(couldNotRun, "cannot start: %v", err)
	}
	defer s.Stop()
	if s.AwaitLeader(8*time.Second) == nil {
		return r.verdict(couldNotRun, "no leader within 8 s")
	}
	swarm := arrayJob(1, 20000, "canefield")
	swarm.Class, swarm.Priority, swarm.CPUs, swarm.MemoryGB, swarm.EstimateS =
		"tag-scans", wire.PriorityBestEffort, 0.04, 0.08, 20
	if !r.trouble {
		swarm.Tasks, swarm.CPUs, swarm.MemoryGB = 60, 0.25, 0.45
	}
	settlement := arrayJob(2, 4, "saleroom-00")
	settlement.Class, settlement.MemoryGB, settlement.EstimateS = "settlement", 2.1, 25
	refs := []string{}
	for _, spec := range []wire.Job{swarm, settlement} {
		if s.SubmitUntilAccepted(spec, spec.EstimateS) {
			refs = append(refs, spec.Ref)
		}
	}
	for r.record.Elapsed() < manyTasksLength && !allDone(s, refs) {
		time.Sleep(5 * time.Second)
	}
	return r.judgeLostTasks(s, refs)
}

// judgeLostTasks checks that no task was lost although its machine was up, reached all controllers and was not taken
// back, and that no machine was given up.
func (r *run) judgeLostTasks(s *site.Site, refs []string) int {
	lost, unfinished := 0, []string{}
	for i, ref := range refs {
		for _, end := range s.Job(ref).Ends {
			if end.Cause == "lost" {
				lost++
			}
		}
		if s.Status(s.Controllers[i%len(s.Controllers)], ref).State != wire.JobDone {
			unfinished = append(unfinished, ref)
		}
	}
	slices.Sort(unfinished)
	if len(unfinished) > 0 {
		return r.verdict(broken, "broken: jobs not done: %v; %d tasks were lost on machines that were up and reached all "+
			"controllers", unfinished, lost)
	}
	return r.verdict(held, "held: all jobs done; tasks lost: %d", lost)
}
