package main

import (
	"time"

	"swiftledge/review/site"
	"swiftledge/wire"
)

// largeService has a team run one small task, and then submit a service that needs most of the team's limit.
func largeService(r *run) int {
	const smallTaskS = 300
	s, err := site.Start(r.dir, caroni(), r.record)
	if err != nil {
		return r.verdict(couldNotRun, "cannot start: %v", err)
	}
	defer s.Stop()
	if s.AwaitLeader(8*time.Second) == nil {
		return r.verdict(couldNotRun, "no leader within 8 s")
	}
	small := arrayJob(1, 1, "saleroom-00")
	small.CPUs = 1
	if r.trouble && !s.SubmitUntilAccepted(small, smallTaskS) {
		return r.verdict(couldNotRun, "the small job was not accepted")
	}
	time.Sleep(5 * time.Second)
	service := arrayJob(2, 1, "saleroom-00")
	service.Class, service.Shape, service.Priority = "gavel", wire.ShapeService, "production"
	service.CPUs, service.MemoryGB, service.EstimateS = 22, 16, 0
	if !s.SubmitUntilAccepted(service, 0) {
		return r.verdict(held, "held: the service was refused")
	}
	accepted := s.Job(service.Ref).AcceptedAt
	for r.record.Elapsed() < accepted+startLimit+2*time.Second && len(s.Job(service.Ref).Starts) == 0 {
		time.Sleep(5 * time.Second)
		s.Status(s.Controllers[0], service.Ref)
	}
	return r.judgeStarts(s, []string{service.Ref})
}
