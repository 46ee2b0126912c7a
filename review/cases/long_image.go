package main

import (
	"fmt"
	"strings"
	"time"

	"swiftledge/review/site"
	"swiftledge/wire"
)

const (
	// longImageLength is the length of the image's name in the job with the mistake. Its body has about 3,900 bytes,
	// far below the limit of 64 KiB.
	longImageLength = 3600
	startLimit      = 90 * time.Second
)

// arrayJob returns an array as the operators' users submit it.
func arrayJob(number, tasks int, team string) wire.Job {
	return wire.Job{
		Ref: fmt.Sprintf("j-%06d", number), Class: "podio", Team: team, Shape: wire.ShapeBatch,
		Priority: wire.PriorityHigh, Tasks: tasks, CPUs: 2, MemoryGB: 1.9, Image: "img-07", ImageGB: 1.5, Spot: true,
		EstimateS: 8,
	}
}

// longImage submits ordinary jobs, one job whose image has a long name, and more ordinary jobs. All have to be refused
// or to start.
func longImage(r *run) int {
	s, err := site.Start(r.dir, site.Pasos(), r.record)
	if err != nil {
		return r.verdict(couldNotRun, "cannot start: %v", err)
	}
	defer s.Stop()
	if s.AwaitLeader(10*time.Second) == nil {
		return r.verdict(couldNotRun, "no leader within 10 s")
	}
	accepted := []string{}
	submit := func(spec wire.Job) {
		if s.SubmitUntilAccepted(spec, 8) {
			accepted = append(accepted, spec.Ref)
		}
	}
	submit(arrayJob(1, 4, "cronometristas-00"))
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && len(s.Job("j-000001").Starts) == 0; {
		time.Sleep(100 * time.Millisecond)
	}
	if len(s.Job("j-000001").Starts) == 0 {
		return r.verdict(couldNotRun, "the first job did not start within 8 s")
	}
	mistaken := arrayJob(2, 1, "cronometristas-01")
	if r.trouble {
		mistaken.Image = strings.Repeat("i", longImageLength)
	}
	submit(mistaken)
	for number := 3; number <= 5; number++ {
		time.Sleep(300 * time.Millisecond)
		submit(arrayJob(number, 4, "cronometristas-00"))
	}
	lastAccepted := s.Job(accepted[len(accepted)-1]).AcceptedAt
	for r.record.Elapsed() < lastAccepted+startLimit+2*time.Second {
		if allDone(s, accepted) {
			break
		}
		time.Sleep(5 * time.Second)
	}
	return r.judgeStarts(s, accepted)
}

// allDone polls all jobs once and reports whether all are done.
func allDone(s *site.Site, refs []string) bool {
	done := 0
	for i, ref := range refs {
		if s.Status(s.Controllers[i%len(s.Controllers)], ref).State == wire.JobDone {
			done++
		}
	}
	return done == len(refs)
}

// judgeStarts checks that each accepted job began within 90 s of its acceptance. There were machines enough.
func (r *run) judgeStarts(s *site.Site, refs []string) int {
	var late []string
	for _, ref := range refs {
		job := s.Job(ref)
		if len(job.Starts) == 0 || job.Starts[0].At > job.AcceptedAt+startLimit {
			late = append(late, ref)
		}
	}
	memoryKills, ownEnds := 0, 0
	for _, c := range s.Controllers {
		byMemory, own := c.Ends()
		memoryKills, ownEnds = memoryKills+byMemory, ownEnds+own
	}
	up, answered, expired := s.Counts()
	r.record.Logf("machines up %d, answered within a lease %d, leases expired %d; controllers ended for memory %d times, "+
		"by themselves %d times", up, answered, expired, memoryKills, ownEnds)
	if len(late) > 0 {
		return r.verdict(broken, "broken: %d of %d accepted jobs did not start within %.0f s: %v; controllers ended for "+
			"memory %d times, by themselves %d times", len(late), len(refs), startLimit.Seconds(), late, memoryKills, ownEnds)
	}
	return r.verdict(held, "held: all %d accepted jobs started; controllers ended for memory %d times, by themselves %d "+
		"times", len(refs), memoryKills, ownEnds)
}
