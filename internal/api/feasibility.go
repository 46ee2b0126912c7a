package api

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// quotaTolerance absorbs rounding when the use of many tasks is compared with a quota.
const quotaTolerance = 1e-9

// checkFeasible rejects a job that can never run. Without machine types in the cache it reads those in the
// store.
func (s *Service) checkFeasible(job *wire.Job, types []wire.MachineType) *rejection {
	if len(types) == 0 {
		types = s.storedTypes()
	}
	if len(types) == 0 {
		return &rejection{job.Ref, http.StatusServiceUnavailable, "machine types are not known yet"}
	}
	if reason := s.infeasibleReason(job, types); reason != "" {
		return &rejection{job.Ref, http.StatusUnprocessableEntity, reason}
	}
	return nil
}

// storedTypes reads the catalog that the leader has stored; it returns none if there is none or no answer.
func (s *Service) storedTypes() []wire.MachineType {
	ctx, cancel := context.WithTimeout(context.Background(), userReadTimeout)
	defer cancel()
	item, err := s.options.Store.Get(ctx, store.PriorityReads, leader.CatalogKey)
	var catalog wire.Catalog
	if err != nil || json.Unmarshal(item.Value, &catalog) != nil {
		return nil
	}
	s.options.Jobs.Post(catalogRead{catalog.Types})
	return catalog.Types
}

// infeasibleReason says why a job can never run, whatever machines there are and however long it waits; it is
// empty if the job can run.
func (s *Service) infeasibleReason(job *wire.Job, types []wire.MachineType) string {
	team, ok := s.options.Config.Team(job.Team)
	if !ok {
		return "unknown team " + job.Team
	}
	if job.CPUs > team.CPULimit() || job.GPUs > team.GPULimit() {
		return "one task needs more than the team's limit"
	}
	// A service runs with all its replicas at once, or its users miss some of it.
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
	return "a task fits no allowed machine type and zone"
}

// fitsMachineType reports whether one task of a job may and can run on an empty machine of a type.
func fitsMachineType(job *wire.Job, machineType *wire.MachineType) bool {
	isAllowedType := len(job.Types) == 0 || slices.Contains(job.Types, machineType.Name)
	isAllowedZone := job.Zone == "" || slices.Contains(machineType.ZoneNames, job.Zone)
	hasCapacity := job.CPUs <= machineType.CPUs && job.GPUs <= machineType.GPUs && job.MemoryGB <= machineType.MemoryGB
	return isAllowedType && isAllowedZone && hasCapacity
}
