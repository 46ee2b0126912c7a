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

// minMachineLifetime is how long a new machine is kept regardless of demand: the cloud charges for at least a minute.
const minMachineLifetime = 55 * clock.Second

// planCapacity plans the machines for the demand. It requests new machines if mayScaleOut is set, and returns the names
// of the idle machines to delete.
func (l *Leader) planCapacity(now clock.Micros, mayScaleOut bool) []string {
	demand := l.capacityDemand(now)
	supply := l.machineSupply(now)
	pending, cloudUnavailable := l.pendingSupply(now)
	tuning := l.cfg.Tuning.Fleet
	params := autoscaler.Params{
		SpotBacklogS: tuning.SpotBacklogS, OnDemandBacklogS: tuning.OnDemandBacklogS, ReserveRatio: tuning.ReserveRatio,
	}
	var options []autoscaler.Option
	for option := range l.options() {
		options = append(options, l.withExpectedBootDelay(option))
	}
	available := func(o *autoscaler.Option) bool { return now >= l.autoscaler.refusals[o.Key()].retryAt }
	decision := autoscaler.Plan(autoscaler.Input{
		Demands:  demand,
		Machines: append(supply, pending...),
		Options:  options,
		Params:   params,
		Allowed:  available,
	})
	l.applyExclusions(decision, cloudUnavailable)
	l.scheduling.requested = true // machines that are no longer cordoned have free capacity again
	if mayScaleOut {
		for _, launch := range decision.ScaleOut {
			l.requestMachines(now, launch)
		}
	}
	return decision.ScaleIn
}

// machineSupply describes the machines that run tasks or will do so once they are up.
func (l *Leader) machineSupply(now clock.Micros) []autoscaler.Machine {
	var supply []autoscaler.Machine
	targets := l.migrationTargets()
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.deleting || m.draining || m.state.PreemptionNotice || m.state.Silent {
			continue
		}
		idle := m.up && m.state.Tasks == 0 && !m.shard.offerPending
		retain := idle && now-m.idleSince < l.idleTimeout(m) || now-m.firstSeenAt < minMachineLifetime || targets[name]
		entry := autoscaler.Machine{Option: m.option, Name: name, Up: m.up, Idle: idle, Retain: retain}
		if m.up && m.option.Type.CPUs > 0 {
			entry.Load = 1 - m.state.CPUs/m.option.Type.CPUs
		}
		supply = append(supply, entry)
	}
	return supply
}

// idleTimeout returns how long a machine may stay idle. An on-demand machine costs more, so it is deleted sooner.
func (l *Leader) idleTimeout(m *machine) clock.Micros {
	timeout := clock.FromSeconds(l.cfg.Tuning.Fleet.IdleTimeoutS)
	if !m.option.Spot {
		return timeout / 5
	}
	return timeout
}

// pendingSupply describes the machines that unanswered provision requests may bring. It also reports whether one of
// these requests has been unanswered for so long that the cloud counts as unavailable.
func (l *Leader) pendingSupply(now clock.Micros) (supply []autoscaler.Machine, cloudUnavailable bool) {
	for _, group := range l.inventory.groups {
		if group.record.Answered {
			continue
		}
		cloudUnavailable = cloudUnavailable || now-group.pendingSince > unansweredTimeout
		for range group.record.Request.Count {
			supply = append(supply, autoscaler.Machine{Option: l.option(group.record.Request)})
		}
	}
	return supply, cloudUnavailable
}

// options returns an iterator over the options that the cloud offers: each machine type in each zone, on-demand and
// spot.
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

// requestMachines records a provision request. The request is sent to the cloud once its record is stored.
func (l *Leader) requestMachines(now clock.Micros, launch autoscaler.Launch) {
	l.inventory.requestSeq++
	id := fmt.Sprintf("r-%d-%d", l.term, l.inventory.requestSeq)
	request := wire.ProvisionRequest{
		RequestID: id, Type: launch.Type.Name, Zone: launch.Zone, Spot: launch.Spot, Count: launch.Count,
	}
	group := &instanceGroup{
		key: InstanceGroupPrefix + id, pendingSince: now, record: InstanceGroupRecord{Request: request},
	}
	l.inventory.groups[group.key] = group
	l.writeInstanceGroup(group)
}

// unansweredTimeout is how long a provision request may be unanswered before the cloud counts as unavailable.
const unansweredTimeout = 10 * clock.Second

// applyExclusions orders the shard holders to exclude cordoned and deprioritized machines from their auctions, and to
// include other machines again. Cordoned machines are not worth their price and get only services and jobs that have
// waited too long. Deprioritized machines exceed the demand, and get tasks once the other machines have no free
// capacity.
//
// While the cloud does not answer, nothing cheaper can be provisioned, so cordoned machines are only deprioritized.
func (l *Leader) applyExclusions(decision autoscaler.Decision, cloudUnavailable bool) {
	for _, m := range l.inventory.machines {
		m.cordoned, m.deprioritized = false, false
	}
	for _, name := range decision.Cordon {
		m := l.inventory.machines[name]
		m.cordoned, m.deprioritized = !cloudUnavailable, cloudUnavailable
	}
	for _, name := range decision.Deprioritize {
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
