package api

import (
	"context"
	"net/http"
	"slices"

	"swiftledge/internal/exactjson"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// quotaTolerance absorbs rounding errors when the total demand of many tasks is compared with a quota.
const quotaTolerance = 1e-9

// checkFeasible rejects a job that can never run. If types is empty because the cache has no machine types,
// checkFeasible reads the machine types from the store.
func (s *Service) checkFeasible(job *wire.Job, types []wire.MachineType) *rejection {
	if len(types) == 0 {
		types = s.readStoredTypes()
	}
	if len(types) == 0 {
		return &rejection{job.Ref, http.StatusServiceUnavailable, "machine types are not known yet"}
	}
	if reason := s.infeasibleReason(job, types); reason != "" {
		return &rejection{job.Ref, http.StatusUnprocessableEntity, reason}
	}
	return nil
}

// readStoredTypes reads the machine types of the catalog that the leader has stored. It returns nil if there is no
// catalog or the read fails.
func (s *Service) readStoredTypes() []wire.MachineType {
	ctx, cancel := context.WithTimeout(context.Background(), userReadTimeout)
	defer cancel()
	item, err := s.options.Store.Get(ctx, store.PriorityReads, leader.CatalogKey)
	var catalog wire.Catalog
	if err != nil || exactjson.Unmarshal(item.Value, &catalog) != nil {
		return nil
	}
	s.options.Jobs.Post(catalogRead{catalog.Types})
	return catalog.Types
}

// fitsNowhere is the reason why a job is infeasible whose tasks no machine can take.
const fitsNowhere = "a task fits no allowed machine type and zone"

// infeasibleReason returns why a job can never run, regardless of the current machines and of how long the job waits.
// It returns "" if the job can run.
func (s *Service) infeasibleReason(job *wire.Job, types []wire.MachineType) string {
	team, ok := s.options.Config.Team(job.Team)
	if !ok {
		return "unknown team " + job.Team
	}
	if job.CPUs > team.CPULimit() || job.GPUs > team.GPULimit() {
		return "one task needs more than the team's limit"
	}
	// A service needs all its replicas at the same time: with fewer, its users get only part of the service.
	replicas := float64(job.Tasks)
	exceedsLimit := replicas*job.CPUs > team.CPULimit()+quotaTolerance ||
		replicas*job.GPUs > team.GPULimit()+quotaTolerance
	if job.IsService() && exceedsLimit {
		return "all its tasks together need more than the team's limit"
	}
	for i := range types {
		if fitsMachineType(job, &types[i]) {
			return ""
		}
	}
	return fitsNowhere
}

// fitsMachineType reports whether one task of a job is allowed on, and fits, an empty machine of a type.
func fitsMachineType(job *wire.Job, machineType *wire.MachineType) bool {
	isAllowedType := job.AllowsType(machineType.Name)
	isAllowedZone := job.Zone == "" || slices.Contains(machineType.ZoneNames, job.Zone)
	hasCapacity := job.CPUs <= machineType.CPUs && job.GPUs <= machineType.GPUs && job.MemoryGB <= machineType.MemoryGB
	return isAllowedType && isAllowedZone && hasCapacity
}
