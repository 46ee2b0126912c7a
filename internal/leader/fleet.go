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

// reconcileEvery is the pause between two looks at the fleet, and planEvery between two plans.
const (
	reconcileEvery = clock.Second / 2
	planEvery      = clock.Second
)

// reconcileInventory rents, returns and gives up machines.
func (l *Leader) reconcileInventory(now clock.Micros) {
	if now-l.autoscaler.reconciledAt < reconcileEvery {
		return
	}
	l.autoscaler.reconciledAt = now
	pending := 0
	for _, rt := range l.inventory.groups {
		if !rt.record.Answered {
			pending++
		}
	}
	l.pollCloud(now, pending > 0)
	if len(l.autoscaler.types) == 0 {
		return
	}
	// While an answer is out, machines that nobody knows may be its provision request's.
	if pending == 0 {
		l.adoptDiscovered(now)
	}
	l.reconcileInstanceGroups(now)
	// While many machines are lost, or the cloud answers nothing, those that live are
	// planned with all the same.
	doomed := l.machinesToGiveUp(now)
	for _, name := range doomed {
		l.inventory.machines[name].deleting = true
	}
	if now-l.autoscaler.plannedAt >= planEvery {
		l.autoscaler.plannedAt = now
		doomed = append(doomed, l.planCapacity(now, pending < 4)...)
	}
	l.deleteMachines(doomed)
}

// pollCloud has the machine list and the catalog read when it is time. Lists give way to provision requests, which
// share the cloud's few calls with them.
func (l *Leader) pollCloud(now clock.Micros, renting bool) {
	every := max(clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)/2, 2*clock.Second, l.minListInterval())
	if renting {
		every *= 2
	}
	if !l.inventory.listing && now-l.inventory.listedAt > every {
		l.inventory.listing, l.inventory.listedAt = true, now
		l.emit(ListMachines{})
	}
	if l.inventory.listing && now-l.inventory.listedAt > 30*clock.Second {
		l.inventory.listing = false
	}
	again := 60 * clock.Second
	if len(l.autoscaler.types) == 0 {
		again = 3 * clock.Second
	}
	if now-l.autoscaler.catalogRequestedAt > again {
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

// minListInterval is how far apart machine lists are for their pages to leave calls to provision requests and deletions.
func (l *Leader) minListInterval() clock.Micros {
	pages := float64(len(l.inventory.machines)/listPage + 1)
	return clock.FromSeconds(pages / (listShare * max(l.cfg.Facts.Cloud.RPS, leastCloudRate)))
}

// provisionRetryAfter is how long a provision request's answer is waited for before it is asked for again.
const provisionRetryAfter = 8 * clock.Second

// reconcileInstanceGroups asks again for provision requests without an answer, and takes machines that are gone out of the
// records of the others.
func (l *Leader) reconcileInstanceGroups(now clock.Micros) {
	for _, key := range slices.Sorted(maps.Keys(l.inventory.groups)) {
		rt := l.inventory.groups[key]
		if !rt.record.Answered {
			if rt.busy && rt.requestedAt > 0 && now-rt.requestedAt > provisionRetryAfter {
				rt.requestedAt = now
				l.emit(ProvisionMachines{l.term, rt.record.Request})
			}
		} else if !rt.busy {
			l.pruneInstanceGroup(now, rt)
		}
	}
}

const (
	// maxDeletions is how many deletions may be under way.
	maxDeletions = 3
	// maxMachinesPerDeletion is how many machines one deletion may name (PROTOCOL).
	maxMachinesPerDeletion = 100
)

// deleteMachines returns machines to the cloud, as many as one deletion may name; the others' turn
// comes later.
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
func (l *Leader) adoptDiscovered(now clock.Micros) {
	if len(l.inventory.discovered) == 0 {
		return
	}
	byKind := map[wire.ProvisionRequest][]string{}
	for _, name := range slices.Sorted(maps.Keys(l.inventory.discovered)) {
		w := l.inventory.discovered[name]
		k := wire.ProvisionRequest{Type: w.Type, Zone: w.Zone, Spot: w.Spot}
		byKind[k] = append(byKind[k], name)
	}
	clear(l.inventory.discovered)
	kinds := slices.SortedFunc(maps.Keys(byKind), func(a, c wire.ProvisionRequest) int { return strings.Compare(byKind[a][0], byKind[c][0]) })
	for _, k := range kinds {
		names := byKind[k]
		// As many as a provision request has at most: more might not fit into a value.
		for part := range slices.Chunk(names, autoscaler.MaxMachinesPerRequest) {
			l.inventory.requestSeq++
			rt := &instanceGroup{key: fmt.Sprintf("%sfound-%d-%d", InstanceGroupPrefix, l.term, l.inventory.requestSeq), busy: true,
				record: InstanceGroupRecord{Request: k, Machines: part, Answered: true}}
			l.inventory.groups[rt.key] = rt
			l.writeInstanceGroup(rt)
		}
	}
}

// machinesToGiveUp are machines that serve nobody any more.
func (l *Leader) machinesToGiveUp(now clock.Micros) []string {
	silent := map[*shardLease]int{}
	up := map[*shardLease]int{}
	for _, m := range l.inventory.machines {
		b := m.shard
		// Those that gave notice are expected to fall silent, many at once too.
		if m.up && !m.state.PreemptionNotice {
			up[b]++
			if m.state.Silent {
				silent[b]++
			}
		}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.deleting {
			continue
		}
		// Many silent machines at once point at the holder, not at them.
		alone := silent[m.shard]*2 < up[m.shard] || silent[m.shard] == 1
		if why := l.giveUpReason(now, m, alone); why != "" {
			out = append(out, name)
			if why == reasonNeverCameUp {
				l.autoscaler.bootFailures[m.option.Key()]++
			}
			l.emit(Log{Debug: true, Message: "giving machine up", Attributes: []any{"machine", name, "why", why}})
		}
	}
	return out
}

// reasonNeverCameUp is why a machine is given up that the cloud still starts.
const reasonNeverCameUp = "never came up"

// silentBootTimeout is how long a machine may be listed as up without a report. Whatever an earlier holder had started there
// has lost its lease by then.
func (l *Leader) silentBootTimeout(late clock.Micros) clock.Micros {
	return max(late, 2*l.cfg.AgentLeaseTime())
}

// maxBootFailures bounds by how much an option's machines that did not come up count.
const maxBootFailures = 4

// withExpectedDelay is an option with how late its machines are expected: a boot time for each that did not come up since one
// last did.
func (l *Leader) withExpectedDelay(o autoscaler.Option) autoscaler.Option {
	o.LateS = o.Type.BootS * float64(min(l.autoscaler.bootFailures[o.Key()], maxBootFailures))
	return o
}

// giveUpReason says why a machine serves nobody any more; "": it does, or may yet. alone: not many of its
// shard are silent.
func (l *Leader) giveUpReason(now clock.Micros, m *machine, alone bool) string {
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	switch {
	case m.failed:
		return "failed"
	case m.missingLists >= 3 && (m.state.Silent || !m.up || m.state.Tasks == 0 && now-m.listedAt > 3*lag+10*clock.Second):
		// Lists alone cost no machine that runs work: whatever they say, one that is gone falls silent.
		return "no longer listed"
	case m.state.Silent && (m.state.PreemptionNotice || alone):
		return "silent"
	case m.draining && m.up && m.state.Tasks == 0 && !m.shard.offerPending:
		return "drained"
	case !m.up && m.shard.state == granted:
		return l.bootFailureReason(now, m)
	}
	return ""
}

// bootFailureReason says why a machine is given up whose worker was never heard; "": it may come up yet.
func (l *Leader) bootFailureReason(now clock.Micros, m *machine) string {
	late := clock.FromSeconds(m.option.Type.BootS*l.cfg.Tuning.Fleet.BootTimeoutFactor + l.cfg.Facts.Cloud.ListLagS)
	switch {
	case (m.booting || m.listedAt == 0) && now-m.firstSeenAt > late && now-l.startedAt > late/2:
		return reasonNeverCameUp
	case m.runningSince > 0 && now-max(m.runningSince, l.startedAt) > l.silentBootTimeout(late):
		return "never reported"
	}
	return ""
}

// planCapacity rents what the queues need, if it may, and names idle machines to return.
func (l *Leader) planCapacity(now clock.Micros, rent bool) []string {
	flat := l.capacityDemand(now)
	var supply []autoscaler.Capacity
	idleFor := clock.FromSeconds(l.cfg.Tuning.Fleet.IdleTimeoutS)
	targets := l.moveTargets()
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.deleting || m.draining || m.state.PreemptionNotice || m.state.Silent {
			continue
		}
		idle := m.up && m.state.Tasks == 0 && !m.shard.offerPending
		wait := idleFor
		if !m.option.Spot {
			wait = idleFor / 5
		}
		s := autoscaler.Capacity{Option: m.option, Name: name, Up: m.up, Idle: idle, Keep: idle && now-m.idleSince < wait || now-m.firstSeenAt < 55*clock.Second || targets[name]}
		if m.up && m.option.Type.CPUs > 0 {
			s.Load = 1 - m.state.CPUs/m.option.Type.CPUs
		}
		supply = append(supply, s)
	}
	stuck := false
	for _, rt := range l.inventory.groups {
		if !rt.record.Answered {
			stuck = stuck || now-rt.wantedSince > unansweredTimeout
			for range rt.record.Request.Count {
				supply = append(supply, autoscaler.Capacity{Option: l.option(rt.record.Request)})
			}
		}
	}
	var opts []autoscaler.Option
	for _, t := range l.autoscaler.catalog {
		for _, z := range t.ZoneNames {
			opts = append(opts, l.withExpectedDelay(autoscaler.Option{Type: t, Zone: z}), l.withExpectedDelay(autoscaler.Option{Type: t, Zone: z, Spot: true}))
		}
	}
	tune := l.cfg.Tuning.Fleet
	d := autoscaler.Plan(flat, supply, opts, autoscaler.Params{SpotClearS: tune.SpotBacklogS, OrdinaryClearS: tune.OnDemandBacklogS, Reserve: tune.Reserve},
		func(o autoscaler.Option) bool { return now >= l.autoscaler.refusals[o.Key()].until })
	l.applyExclusions(d, stuck)
	l.scheduling.requested = true // what is no longer cordoned has room again
	if !rent {
		return d.ScaleIn
	}
	for _, o := range d.ScaleOut {
		l.inventory.requestSeq++
		req := fmt.Sprintf("r-%d-%d", l.term, l.inventory.requestSeq)
		rt := &instanceGroup{key: InstanceGroupPrefix + req, wantedSince: now, record: InstanceGroupRecord{Request: wire.ProvisionRequest{RequestID: req, Type: o.Type.Name, Zone: o.Zone, Spot: o.Spot, Count: o.Count}}}
		l.inventory.groups[rt.key] = rt
		l.writeInstanceGroup(rt)
	}
	return d.ScaleIn
}

// unansweredTimeout is how long a provision request is without an answer before the cloud counts as away.
const unansweredTimeout = 10 * clock.Second

// applyExclusions tells the holders which machines their auctions are to leave out. Those not
// worth their price get no work at all; those that are only more than needed get it
// again as soon as the others have no room.
//
// While the cloud does not answer, nothing cheaper comes: what is there serves, too.
func (l *Leader) applyExclusions(d autoscaler.Decision, stuck bool) {
	for _, m := range l.inventory.machines {
		m.cordoned, m.deprioritized = false, false
	}
	for _, name := range d.Cordon {
		l.inventory.machines[name].cordoned, l.inventory.machines[name].deprioritized = !stuck, stuck
	}
	for _, name := range d.Deprioritize {
		l.inventory.machines[name].deprioritized = true
	}
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if out := m.cordoned || m.deprioritized; out != m.excluded && m.shard.state == granted {
			m.excluded = out
			if out {
				m.shard.orders.Exclude = append(m.shard.orders.Exclude, name)
			} else {
				m.shard.orders.Include = append(m.shard.orders.Include, name)
			}
		}
	}
}
