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
	// reconcileEvery is the pause between two reconciliations of the inventory, planEvery that between two plans.
	reconcileEvery = clock.Second / 2
	planEvery      = clock.Second
	// maxUnansweredRequests is how many requests for machines may be unanswered for more to be made.
	maxUnansweredRequests = 4
)

// reconcileInventory squares the machines that the cloud has with those that are wanted: it asks for machines, deletes
// some, and gives up those that serve nobody.
func (l *Leader) reconcileInventory(now clock.Micros) {
	if now-l.autoscaler.reconciledAt < reconcileEvery {
		return
	}
	l.autoscaler.reconciledAt = now
	unanswered := l.inventory.unansweredGroups()
	l.pollCloud(now, unanswered > 0)
	if len(l.autoscaler.types) == 0 {
		return
	}
	// While a request is unanswered, machines that nobody knows may be those that it brought.
	if unanswered == 0 {
		l.adoptDiscovered()
	}
	l.reconcileInstanceGroups(now)
	// While many machines are lost, or the cloud answers nothing, those that live are
	// planned with all the same.
	unwanted := l.machinesToGiveUp(now)
	for _, name := range unwanted {
		l.inventory.machines[name].deleting = true
	}
	if now-l.autoscaler.plannedAt >= planEvery {
		l.autoscaler.plannedAt = now
		unwanted = append(unwanted, l.planCapacity(now, unanswered < maxUnansweredRequests)...)
	}
	l.deleteMachines(unwanted)
}

const (
	// minPollInterval is the least pause between two machine lists.
	minPollInterval = 2 * clock.Second
	// listTimeout is how long a machine list is waited for.
	listTimeout = 30 * clock.Second
	// catalogInterval is the pause between two reads of the catalog, firstCatalogInterval while none is known.
	catalogInterval      = 60 * clock.Second
	firstCatalogInterval = 3 * clock.Second
)

// pollCloud has the machine list and the catalog read when it is time. Lists give way to provision requests, which
// share the cloud's few calls with them.
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
	// listPage is how many machines the cloud lists at once (PROTOCOL).
	listPage = 500
	// listShare is the part of the cloud's calls that lists may take.
	listShare = 0.75
	// leastCloudRate is the least rate of calls that is reckoned with.
	leastCloudRate = 0.1
)

// minListInterval is how far apart machine lists are for their pages to leave calls to provision requests and
// deletions.
func (l *Leader) minListInterval() clock.Micros {
	pages := float64(len(l.inventory.machines)/listPage + 1)
	return clock.FromSeconds(pages / (listShare * max(l.cfg.Facts.Cloud.RPS, leastCloudRate)))
}

// provisionRetryAfter is how long a provision request's answer is waited for before it is asked for again.
const provisionRetryAfter = 8 * clock.Second

// reconcileInstanceGroups repeats provision requests without an answer, and takes machines that are gone out of the
// records of the others.
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

// retryProvisioning repeats a request that the cloud has left unanswered for long; the same name gives the same
// machines.
func (l *Leader) retryProvisioning(now clock.Micros, group *instanceGroup) {
	requested := group.busy && group.requestedAt > 0
	if requested && now-group.requestedAt > provisionRetryAfter {
		group.requestedAt = now
		l.emit(ProvisionMachines{l.term, group.record.Request})
	}
}

const (
	// maxDeletions is how many deletions may be under way.
	maxDeletions = 3
	// maxMachinesPerDeletion is how many machines one deletion may name (PROTOCOL).
	maxMachinesPerDeletion = 100
)

// deleteMachines has machines deleted, as many as one deletion may name; the others' turn comes later.
func (l *Leader) deleteMachines(names []string) {
	sent := 0
	if len(names) > 0 && l.inventory.deletionsInFlight < maxDeletions {
		sent = min(len(names), maxMachinesPerDeletion)
		l.inventory.deletionsInFlight++
		l.emit(DeleteMachines{l.term, names[:sent]})
	}
	for i, name := range names {
		l.inventory.machines[name].deleting = i < sent
	}
}

// adoptDiscovered takes machines into the inventory that nobody here knows to have provisioned.
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
		// As many as a provision request has at most: more might not fit into a value.
		for names := range slices.Chunk(byKind[kind], autoscaler.MaxMachinesPerRequest) {
			l.adopt(kind, names)
		}
	}
}

// adopt records an instance group for machines of one kind.
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
