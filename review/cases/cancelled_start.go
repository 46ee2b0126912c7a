package main

import (
	"fmt"
	"time"

	"swiftledge/review/site"
)

const (
	// inFlight is the time that a start command may have been under way when the cancellation was confirmed. Nothing
	// in this site delays the commands: they take less than a few milliseconds.
	inFlight = 500 * time.Millisecond
	// refusal is how long the state service refuses one controller.
	refusal = 15 * time.Second
)

// cancelledStart has users cancel jobs with many short tasks while the state service refuses the leader alone.
func cancelledStart(r *run) int {
	options := site.Pasos()
	s, err := site.Start(r.dir, options, r.record)
	if err != nil {
		return r.verdict(couldNotRun, "cannot start: %v", err)
	}
	defer s.Stop()
	leader := s.AwaitLeader(10 * time.Second)
	if leader == nil {
		return r.verdict(couldNotRun, "no leader within 10 s")
	}
	var refs []string
	for number := 1; number <= 2; number++ {
		job := arrayJob(number, 301, fmt.Sprintf("cronometristas-0%d", number-1))
		job.EstimateS = 4
		if !s.SubmitUntilAccepted(job, 4) {
			return r.verdict(couldNotRun, "%s was not accepted", job.Ref)
		}
		refs = append(refs, job.Ref)
	}
	time.Sleep(17 * time.Second)
	if leader = s.Leader(); leader == nil {
		return r.verdict(couldNotRun, "no leader after the jobs have started")
	}
	if r.trouble {
		s.RefuseState(leader, true)
		defer s.RefuseState(leader, false)
	}
	confirmed := map[string]time.Duration{}
	for _, ref := range refs {
		for _, c := range s.Controllers {
			if c == leader {
				continue
			}
			if answer := s.Cancel(c, ref); answer.Code == 200 && answer.State == "cancelled" {
				confirmed[ref] = answer.At
				break
			}
		}
	}
	if len(confirmed) < len(refs) {
		return r.verdict(couldNotRun, "not all cancellations were confirmed")
	}
	time.Sleep(refusal)
	return r.judgeCancelled(s, confirmed)
}

// judgeCancelled checks that no start command was executed after the cancellation had been confirmed.
func (r *run) judgeCancelled(s *site.Site, confirmed map[string]time.Duration) int {
	late, starts, latest := 0, 0, time.Duration(0)
	for ref, at := range confirmed {
		job := s.Job(ref)
		for _, command := range job.Commands {
			if after := command.At - at; after > inFlight {
				late++
				latest = max(latest, after)
			}
		}
		for _, start := range job.Starts {
			if start.At-at > inFlight {
				starts++
			}
		}
	}
	if late > 0 {
		return r.verdict(broken, "broken: %d start commands and %d starts more than %.1f s after the confirmation, the "+
			"last after %.2f s", late, starts, inFlight.Seconds(), latest.Seconds())
	}
	return r.verdict(held, "held: no start command later than %.1f s after the confirmation", inFlight.Seconds())
}
