package main

import (
	"time"

	"swiftledge/internal/config"
	"swiftledge/review/site"
	"swiftledge/wire"
)

// blockedTeam has a team run two services, submit a task that does not fit beside them within the team's limit, and
// then submit small jobs that do.
func blockedTeam(r *run) int {
	s, err := site.Start(r.dir, caroni(), r.record)
	if err != nil {
		return r.verdict(couldNotRun, "cannot start: %v", err)
	}
	defer s.Stop()
	if s.AwaitLeader(8*time.Second) == nil {
		return r.verdict(couldNotRun, "no leader within 8 s")
	}
	if !startServices(s) {
		return r.verdict(couldNotRun, "the services did not start within 14 s")
	}
	large := arrayJob(3, 1, "saleroom-00")
	large.Class, large.CPUs, large.MemoryGB = "settlement", 8, 8
	if r.trouble && !s.SubmitUntilAccepted(large, 10) {
		return r.verdict(held, "held: the large task was refused")
	}
	var refs []string
	for number := 4; number <= 6; number++ {
		small := arrayJob(number, 4, "saleroom-00")
		small.Class, small.Priority, small.CPUs, small.MemoryGB = "catalogue", wire.PriorityStandard, 1, 1.1
		if s.SubmitUntilAccepted(small, 8) {
			refs = append(refs, small.Ref)
		}
	}
	lastAccepted := s.Job(refs[len(refs)-1]).AcceptedAt
	for r.record.Elapsed() < lastAccepted+startLimit+2*time.Second && !allDone(s, refs) {
		time.Sleep(5 * time.Second)
	}
	return r.judgeStarts(s, refs)
}

// caroni returns the small deployment of the second operator, with one of its teams and the guest team.
func caroni() site.Options {
	options := site.Pasos()
	options.Zones = []string{"chaguanas", "scarborough", "san-fernando", "arima"}
	options.MachineTypes = []wire.MachineType{
		{Name: "pickup", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 0.6, Price: 0.26, SpotPrice: 0.1, BootS: 50},
		{Name: "baler", CPUs: 8, MemoryGB: 32, CacheGB: 80, FetchGBPS: 0.6, Price: 0.55, SpotPrice: 0.19, BootS: 50},
		{Name: "combine", CPUs: 64, MemoryGB: 128, CacheGB: 200, FetchGBPS: 0.6, Price: 4.41, SpotPrice: 1.56, BootS: 20},
	}
	for i := range options.MachineTypes {
		options.MachineTypes[i].ZoneNames = options.Zones
	}
	options.Teams = []config.Team{{Name: "saleroom-00", CPUs: 16, CPUsMax: 24}, {Name: "canefield"}}
	options.ReportS, options.LeaseS, options.CancelS = 3, 17, 37
	options.StateRPS, options.WriteRPS, options.ValueKB, options.TxnOps = 120, 30, 16, 12
	options.CloudRPS, options.ListLagS, options.RestartDelay, options.MaxMachines = 2, 4, 8*time.Second, 28
	return options
}

// startServices has a team start two services, which use 18 of the 24 CPUs of its limit. It returns whether all
// replicas started.
func startServices(s *site.Site) bool {
	const replicas = 6
	gavel, lotdesk := arrayJob(1, replicas, "saleroom-00"), arrayJob(2, replicas, "saleroom-00")
	gavel.Class, gavel.CPUs, gavel.MemoryGB = "gavel", 2, 3.2
	lotdesk.Class, lotdesk.CPUs, lotdesk.MemoryGB = "lotdesk", 1, 1.6
	for _, service := range []wire.Job{gavel, lotdesk} {
		service.Shape, service.Priority, service.EstimateS, service.Spot = wire.ShapeService, "production", 0, false
		if !s.SubmitUntilAccepted(service, 0) {
			return false
		}
	}
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(s.Job(gavel.Ref).Starts) >= replicas && len(s.Job(lotdesk.Ref).Starts) >= replicas {
			return true
		}
	}
	return false
}
