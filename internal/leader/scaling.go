package leader

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// keepNewFor is how long a new machine is kept whatever is wanted: the cloud charges for a minute at least.
const keepNewFor = 55 * clock.Second

// planCapacity scales out to what the queues need, if it may, and names idle machines to scale in.
func (l *Leader) planCapacity(now clock.Micros, mayScaleOut bool) []string {
	demand := l.capacityDemand(now)
	supply := l.machineSupply(now)
	pending, cloudSilent := l.pendingSupply(now)
	tuning := l.cfg.Tuning.Fleet
	params := autoscaler.Params{
		SpotBacklogS: tuning.SpotBacklogS, OnDemandBacklogS: tuning.OnDemandBacklogS, ReserveRatio: tuning.Reserve,
	}
	var options []autoscaler.Option
	for option := range l.options() {
		options = append(options, l.withExpectedDelay(option))
	}
	available := func(o *autoscaler.Option) bool { return now >= l.autoscaler.refusals[o.Key()].until }
	decision := autoscaler.Plan(autoscaler.Input{
		Demands:  demand,
		Machines: append(supply, pending...),
		Options:  options,
		Params:   params,
		Allowed:  available,
	})
	l.applyExclusions(decision, cloudSilent)
	l.scheduling.requested = true // what is no longer cordoned has free capacity again
	if mayScaleOut {
		for _, launch := range decision.ScaleOut {
			l.requestMachines(now, launch)
		}
	}
	return decision.ScaleIn
}

// machineSupply describes the machines that serve, or will when they are up.
func (l *Leader) machineSupply(now clock.Micros) []autoscaler.Machine {
	var supply []autoscaler.Machine
	targets := l.migrationTargets()
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.deleting || m.draining || m.state.PreemptionNotice || m.state.Silent {
			continue
		}
		idle := m.up && m.state.Tasks == 0 && !m.shard.offerPending
		keep := idle && now-m.idleSince < l.idleTimeout(m) || now-m.firstSeenAt < keepNewFor || targets[name]
		c := autoscaler.Machine{Option: m.option, Name: name, Up: m.up, Idle: idle, Retain: keep}
		if m.up && m.option.Type.CPUs > 0 {
			c.Load = 1 - m.state.CPUs/m.option.Type.CPUs
		}
		supply = append(supply, c)
	}
	return supply
}

// idleTimeout is how long a machine may be idle. An ordinary one costs more, so it is deleted sooner.
func (l *Leader) idleTimeout(m *machine) clock.Micros {
	timeout := clock.FromSeconds(l.cfg.Tuning.Fleet.IdleTimeoutS)
	if !m.option.Spot {
		return timeout / 5
	}
	return timeout
}

// pendingSupply is what requests without an answer may bring, and whether the cloud leaves one unanswered for so long
// that it counts as away.
func (l *Leader) pendingSupply(now clock.Micros) (supply []autoscaler.Machine, cloudSilent bool) {
	for _, group := range l.inventory.groups {
		if group.record.Answered {
			continue
		}
		cloudSilent = cloudSilent || now-group.wantedSince > unansweredTimeout
		for range group.record.Request.Count {
			supply = append(supply, autoscaler.Machine{Option: l.option(group.record.Request)})
		}
	}
	return supply, cloudSilent
}

// options goes through all kinds of machines that the cloud offers.
func (l *Leader) options() iter.Seq[autoscaler.Option] {
	return func(yield func(autoscaler.Option) bool) {
		for _, machineType := range l.autoscaler.catalog {
			for _, zone := range machineType.ZoneNames {
				onDemand := autoscaler.Option{Type: machineType, Zone: zone}
				spot := autoscaler.Option{Type: machineType, Zone: zone, Spot: true}
				if !yield(onDemand) || !yield(spot) {
					return
				}
			}
		}
	}
}

// requestMachines has a request for machines recorded, which is sent to the cloud once it is stored.
func (l *Leader) requestMachines(now clock.Micros, launch autoscaler.Launch) {
	l.inventory.requestSeq++
	id := fmt.Sprintf("r-%d-%d", l.term, l.inventory.requestSeq)
	request := wire.ProvisionRequest{
		RequestID: id, Type: launch.Type.Name, Zone: launch.Zone, Spot: launch.Spot, Count: launch.Count,
	}
	group := &instanceGroup{key: InstanceGroupPrefix + id, wantedSince: now, record: InstanceGroupRecord{Request: request}}
	l.inventory.groups[group.key] = group
	l.writeInstanceGroup(group)
}

// unansweredTimeout is how long a provision request is without an answer before the cloud counts as away.
const unansweredTimeout = 10 * clock.Second

// applyExclusions tells the holders which machines their auctions are to leave out. Cordoned ones, which are not worth
// their price, get no work at all; deprioritized ones, which are only more than needed, get it as soon as the others
// have no free capacity.
//
// While the cloud does not answer, nothing cheaper comes: what is there serves, too.
func (l *Leader) applyExclusions(d autoscaler.Decision, cloudSilent bool) {
	for _, m := range l.inventory.machines {
		m.cordoned, m.deprioritized = false, false
	}
	for _, name := range d.Cordon {
		m := l.inventory.machines[name]
		m.cordoned, m.deprioritized = !cloudSilent, cloudSilent
	}
	for _, name := range d.Deprioritize {
		l.inventory.machines[name].deprioritized = true
	}
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		exclude := m.cordoned || m.deprioritized
		if exclude == m.excluded || m.shard.state != granted {
			continue
		}
		m.excluded = exclude
		orders := &m.shard.orders
		if exclude {
			orders.Exclude = append(orders.Exclude, name)
		} else {
			orders.Include = append(orders.Include, name)
		}
	}
}
