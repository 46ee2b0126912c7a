package main

import (
	"net/http"
	"time"

	"swiftledge/review/site"
)

const (
	// slowResponse is how long the state service takes for a response in the beginning: "some take a few hundred" ms.
	slowResponse = 400 * time.Millisecond
	// outage is the length of the outage.
	outage = 4 * time.Second
	// patience is the number of tries after which a user gives a submission up: it is retried for up to 60 s.
	patience = 38
	// quietTime is how long users go on after the outage without any task having started.
	quietTime = 100 * time.Second
)

// noLeader starts a site. The state service has a short outage in the middle of the first election.
func noLeader(r *run) int {
	options := site.Pasos()
	if r.trouble {
		options.SlowState = slowResponse
	}
	s, err := site.Start(r.dir, options, r.record)
	if err != nil {
		return r.verdict(couldNotRun, "cannot start: %v", err)
	}
	defer s.Stop()
	if r.trouble {
		if !s.AwaitPendingTxns(len(s.Controllers), 5*time.Second) {
			return r.verdict(couldNotRun, "the controllers did not campaign at the same time")
		}
		s.StateOutage(outage)
		s.SlowState(0)
	}
	accepted, started := submitUntil(s, r.record.Elapsed()+quietTime, r.record)
	leads := s.Leader() != nil
	for _, c := range s.Controllers {
		memoryKills, ownEnds := c.Ends()
		r.record.Logf("%s: ended by itself %d times, for memory %d times", c.Name, ownEnds, memoryKills)
	}
	if started == 0 {
		return r.verdict(broken, "broken: no task was started within %.0f s after the outage; jobs accepted: %d, a "+
			"controller leads: %t", quietTime.Seconds(), accepted, leads)
	}
	return r.verdict(held, "held: %d tasks started, jobs accepted: %d, a controller leads: %t", started, accepted, leads)
}

// submitUntil has users submit jobs at all controllers, each of them again until it is accepted or given up, until ten
// tasks have started or until the given time of the record. It returns how many jobs were accepted and how many tasks
// started.
func submitUntil(s *site.Site, end time.Duration, record *site.Record) (accepted, started int) {
	var refs []string
	for try := 0; record.Elapsed() < end && started < 10; try++ {
		job := arrayJob(len(refs)+try/patience+1, 4, "cronometristas-00")
		answer := s.Submit(s.Controllers[try%len(s.Controllers)], job, 5)
		if answer.Code == http.StatusCreated || answer.Code == http.StatusOK {
			refs = append(refs, job.Ref)
		}
		time.Sleep(1500 * time.Millisecond)
		started = 0
		for _, ref := range refs {
			started += len(s.Job(ref).Starts)
		}
	}
	return len(refs), started
}
