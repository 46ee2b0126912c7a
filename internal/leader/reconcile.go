package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

const (
	// reconcileInterval is the time between two reconciliations of the inventory, and planInterval the time between
	// two capacity plans.
	reconcileInterval = clock.Second / 2
	planInterval      = clock.Second
	// maxUnansweredRequests is the number of unanswered provision requests at which no more are made.
	maxUnansweredRequests = 4
)

// reconcileInventory reconciles the machines that the cloud has with the capacity that is needed: it provisions
// machines, deletes idle machines, and removes machines that serve no tasks any longer.
func (l *Leader) reconcileInventory(now clock.Micros) {
	if now-l.autoscaler.reconciledAt < reconcileInterval {
		return
	}
	l.autoscaler.reconciledAt = now
	unanswered := l.inventory.unansweredGroups()
	l.pollCloud(now, unanswered > 0)
	if len(l.autoscaler.types) == 0 {
		return
	}
	// While a provision request is unanswered, unknown machines may be those that the request brought.
	if unanswered == 0 {
		l.adoptDiscovered()
	}
	l.reconcileInstanceGroups(now)
	// Capacity is planned with the remaining machines even while many machines are lost or the cloud does not answer.
	unwanted := l.machinesToRemove(now)
	for _, name := range unwanted {
		l.inventory.machines[name].deleting = true
	}
	if now-l.autoscaler.plannedAt >= planInterval {
		l.autoscaler.plannedAt = now
		unwanted = append(unwanted, l.planCapacity(now, unanswered < maxUnansweredRequests)...)
	}
	l.deleteMachines(unwanted)
}

const (
	// minPollInterval is the minimum time between two machine lists.
	minPollInterval = 2 * clock.Second
	// listTimeout is how long the leader waits for a machine list.
	listTimeout = 30 * clock.Second
	// catalogInterval is the time between two reads of the catalog, and firstCatalogInterval the time between two reads
	// while no catalog is known.
	catalogInterval      = 60 * clock.Second
	firstCatalogInterval = 3 * clock.Second
)

// pollCloud requests the machine list and the catalog when they are due. While provision requests are unanswered,
// lists are requested less often, as both share the cloud's low call rate.
func (l *Leader) pollCloud(now clock.Micros, provisioning bool) {
	listInterval := max(clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)/2, minPollInterval, l.minListInterval())
	if provisioning {
		listInterval *= 2
	}
	if !l.inventory.listing && now-l.inventory.listedAt > listInterval {
		l.inventory.listing, l.inventory.listedAt = true, now
		l.emit(ListMachines{})
	}
	if l.inventory.listing && now-l.inventory.listedAt > listTimeout {
		l.inventory.listing = false
	}
	interval := catalogInterval
	if len(l.autoscaler.types) == 0 {
		interval = firstCatalogInterval
	}
	if now-l.autoscaler.catalogRequestedAt > interval {
		l.autoscaler.catalogRequestedAt = now
		l.emit(LoadCatalog{})
	}
}

const (
	// machinesPerListPage is the maximum number of machines in one page of a machine list (PROTOCOL).
	machinesPerListPage = 500
	// maxListShare is the maximum share of the cloud's call rate that machine lists use.
	maxListShare = 0.75
	// minCloudRPS is the lowest call rate, in requests per second, that is assumed for the cloud.
	minCloudRPS = 0.1
)

// minListInterval returns the minimum interval between machine lists that leaves calls for provision requests and
// deletions, given the number of pages of a list.
func (l *Leader) minListInterval() clock.Micros {
	pages := float64(len(l.inventory.machines)/machinesPerListPage + 1)
	return clock.FromSeconds(pages / (maxListShare * max(l.cfg.Facts.Cloud.RPS, minCloudRPS)))
}

// provisionRetryAfter is how long the leader waits for the answer to a provision request before it repeats the
// request.
const provisionRetryAfter = 8 * clock.Second

// reconcileInstanceGroups repeats unanswered provision requests and removes terminated machines from the records of
// the other instance groups.
func (l *Leader) reconcileInstanceGroups(now clock.Micros) {
	for _, key := range slices.Sorted(maps.Keys(l.inventory.groups)) {
		group := l.inventory.groups[key]
		switch {
		case !group.record.Answered:
			l.retryProvisioning(now, group)
		case !group.busy:
			l.pruneInstanceGroup(now, group)
		}
	}
}

// retryProvisioning repeats a provision request that the cloud has not answered in time. A request with the same ID
// yields the same machines.
func (l *Leader) retryProvisioning(now clock.Micros, group *instanceGroup) {
	requested := group.busy && group.requestedAt > 0
	if requested && now-group.requestedAt > provisionRetryAfter {
		group.requestedAt = now
		l.emit(ProvisionMachines{l.term, group.record.Request})
	}
}

const (
	// maxDeletionsInFlight is the maximum number of deletions in flight.
	maxDeletionsInFlight = 3
	// maxMachinesPerDeletion is the maximum number of machines that one deletion may name (PROTOCOL).
	maxMachinesPerDeletion = 100
)

// deleteMachines deletes as many of the named machines as one deletion may name, or none while maxDeletionsInFlight
// deletions are in flight. The remaining machines are left for a later reconciliation.
func (l *Leader) deleteMachines(names []string) {
	sent := 0
	if len(names) > 0 && l.inventory.deletionsInFlight < maxDeletionsInFlight {
		sent = min(len(names), maxMachinesPerDeletion)
		l.inventory.deletionsInFlight++
		l.emit(DeleteMachines{l.term, names[:sent]})
	}
	for i, name := range names {
		l.inventory.machines[name].deleting = i < sent
	}
}

// adoptDiscovered adds machines to the inventory that no known provision request brought.
func (l *Leader) adoptDiscovered() {
	if len(l.inventory.discovered) == 0 {
		return
	}
	byKind := map[wire.ProvisionRequest][]string{}
	for _, name := range slices.Sorted(maps.Keys(l.inventory.discovered)) {
		found := l.inventory.discovered[name]
		kind := wire.ProvisionRequest{Type: found.Type, Zone: found.Zone, Spot: found.Spot}
		byKind[kind] = append(byKind[kind], name)
	}
	clear(l.inventory.discovered)
	byFirstName := func(a, b wire.ProvisionRequest) int { return strings.Compare(byKind[a][0], byKind[b][0]) }
	for _, kind := range slices.SortedFunc(maps.Keys(byKind), byFirstName) {
		// A group of discovered machines is at most as large as the group of a provision request: the record of a
		// larger group might exceed the value size limit.
		for names := range slices.Chunk(byKind[kind], autoscaler.MaxMachinesPerRequest) {
			l.adopt(kind, names)
		}
	}
}

// adopt records an instance group for discovered machines, which are of one type, in one zone, and either all spot or
// all on-demand.
func (l *Leader) adopt(kind wire.ProvisionRequest, names []string) {
	l.inventory.requestSeq++
	group := &instanceGroup{
		key:    fmt.Sprintf("%sfound-%d-%d", InstanceGroupPrefix, l.term, l.inventory.requestSeq),
		busy:   true,
		record: InstanceGroupRecord{Request: kind, Machines: names, Answered: true},
	}
	l.inventory.groups[group.key] = group
	l.writeInstanceGroup(group)
}
