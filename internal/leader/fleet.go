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

// reconcileFleet rents, returns and gives up machines.
func (l *Leader) reconcileFleet(now clock.Micros) {
	if now-l.lastFleet < reconcileEvery {
		return
	}
	l.lastFleet = now
	pending := 0
	for _, rt := range l.rentals {
		if !rt.record.Answered {
			pending++
		}
	}
	l.askCloud(now, pending > 0)
	if len(l.types) == 0 {
		return
	}
	// While an answer is out, machines that nobody knows may be its rental's.
	if pending == 0 {
		l.adopt(now)
	}
	l.reconcileRentals(now)
	// While many machines are lost, or the cloud answers nothing, those that live are
	// planned with all the same.
	doomed := l.doomed(now)
	for _, name := range doomed {
		l.machines[name].deleting = true
	}
	if now-l.lastPlan >= planEvery {
		l.lastPlan = now
		doomed = append(doomed, l.plan(now, pending < 4)...)
	}
	l.deleteMachines(doomed)
}

// askCloud has the machine list and the catalog read when it is time. Lists give way to rentals, which
// share the cloud's few calls with them.
func (l *Leader) askCloud(now clock.Micros, renting bool) {
	every := max(clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)/2, 2*clock.Second, l.listCost())
	if renting {
		every *= 2
	}
	if !l.listing && now-l.lastList > every {
		l.listing, l.lastList = true, now
		l.emit(ListMachines{})
	}
	if l.listing && now-l.lastList > 30*clock.Second {
		l.listing = false
	}
	again := 60 * clock.Second
	if len(l.types) == 0 {
		again = 3 * clock.Second
	}
	if now-l.catalogAt > again {
		l.catalogAt = now
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

// listCost is how far apart machine lists are for their pages to leave calls to rentals and deletions.
func (l *Leader) listCost() clock.Micros {
	pages := float64(len(l.machines)/listPage + 1)
	return clock.FromSeconds(pages / (listShare * max(l.cfg.Facts.Cloud.RPS, leastCloudRate)))
}

// askAgainAfter is how long a rental's answer is waited for before it is asked for again.
const askAgainAfter = 8 * clock.Second

// reconcileRentals asks again for rentals without an answer, and takes machines that are gone out of the
// records of the others.
func (l *Leader) reconcileRentals(now clock.Micros) {
	for _, key := range slices.Sorted(maps.Keys(l.rentals)) {
		rt := l.rentals[key]
		if !rt.record.Answered {
			if rt.busy && rt.asked > 0 && now-rt.asked > askAgainAfter {
				rt.asked = now
				l.emit(ProvisionMachines{l.epoch, rt.record.Request})
			}
		} else if !rt.busy {
			l.pruneRental(now, rt)
		}
	}
}

const (
	// mostDeletions is how many deletions may be under way.
	mostDeletions = 3
	// mostDeleted is how many machines one deletion may name (PROTOCOL).
	mostDeleted = 100
)

// deleteMachines returns machines to the cloud, as many as one deletion may name; the others' turn
// comes later.
func (l *Leader) deleteMachines(names []string) {
	sent := 0
	if len(names) > 0 && l.deleting < mostDeletions {
		sent = min(len(names), mostDeleted)
		l.deleting++
		l.emit(DeleteMachines{l.epoch, names[:sent]})
	}
	for i, name := range names {
		l.machines[name].deleting = i < sent
	}
}

// adopt takes machines into the roster that nobody here knows to have rented.
func (l *Leader) adopt(now clock.Micros) {
	if len(l.found) == 0 {
		return
	}
	byKind := map[wire.ProvisionRequest][]string{}
	for _, name := range slices.Sorted(maps.Keys(l.found)) {
		w := l.found[name]
		k := wire.ProvisionRequest{Type: w.Type, Zone: w.Zone, Spot: w.Spot}
		byKind[k] = append(byKind[k], name)
	}
	clear(l.found)
	kinds := slices.SortedFunc(maps.Keys(byKind), func(a, c wire.ProvisionRequest) int { return strings.Compare(byKind[a][0], byKind[c][0]) })
	for _, k := range kinds {
		names := byKind[k]
		// As many as a rental has at most: more might not fit into a value.
		for part := range slices.Chunk(names, autoscaler.MaxMachinesPerRequest) {
			l.rentSeq++
			rt := &rental{key: fmt.Sprintf("%sfound-%d-%d", InstanceGroupPrefix, l.epoch, l.rentSeq), busy: true,
				record: InstanceGroupRecord{Request: k, Machines: part, Answered: true}}
			l.rentals[rt.key] = rt
			l.writeRental(rt)
		}
	}
}

// doomed are machines that serve nobody any more.
func (l *Leader) doomed(now clock.Micros) []string {
	silent := map[*leasedBlock]int{}
	up := map[*leasedBlock]int{}
	for _, m := range l.machines {
		b := m.block
		// Those that gave notice are expected to fall silent, many at once too.
		if m.up && !m.state.PreemptionNotice {
			up[b]++
			if m.state.Silent {
				silent[b]++
			}
		}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.deleting {
			continue
		}
		// Many silent machines at once point at the holder, not at them.
		alone := silent[m.block]*2 < up[m.block] || silent[m.block] == 1
		if why := l.whyDoomed(now, m, alone); why != "" {
			out = append(out, name)
			if why == neverCameUp {
				l.noBoots[m.opt.Key()]++
			}
			l.emit(Log{Debug: true, Message: "giving machine up", Attributes: []any{"machine", name, "why", why}})
		}
	}
	return out
}

// neverCameUp is why a machine is given up that the cloud still starts.
const neverCameUp = "never came up"

// silentBoot is how long a machine may be listed as up without a report. Whatever an earlier holder had started there
// has lost its lease by then.
func (l *Leader) silentBoot(late clock.Micros) clock.Micros { return max(late, 2*l.cfg.LeaseTime()) }

// mostNoBoots bounds by how much an option's machines that did not come up count.
const mostNoBoots = 4

// expected is an option with how late its machines are expected: a boot time for each that did not come up since one
// last did.
func (l *Leader) expected(o autoscaler.Option) autoscaler.Option {
	o.LateS = o.Type.BootS * float64(min(l.noBoots[o.Key()], mostNoBoots))
	return o
}

// whyDoomed says why a machine serves nobody any more; "": it does, or may yet. alone: not many of its
// block are silent.
func (l *Leader) whyDoomed(now clock.Micros, m *machine, alone bool) string {
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	switch {
	case m.failed:
		return "failed"
	case m.missing >= 3 && (m.state.Silent || !m.up || m.state.Tasks == 0 && now-m.listed > 3*lag+10*clock.Second):
		// Lists alone cost no machine that runs work: whatever they say, one that is gone falls silent.
		return "no longer listed"
	case m.state.Silent && (m.state.PreemptionNotice || alone):
		return "silent"
	case m.drain && m.up && m.state.Tasks == 0 && !m.block.offered:
		return "drained"
	case !m.up && m.block.state == granted:
		return l.whyNotUp(now, m)
	}
	return ""
}

// whyNotUp says why a machine is given up whose worker was never heard; "": it may come up yet.
func (l *Leader) whyNotUp(now clock.Micros, m *machine) string {
	late := clock.FromSeconds(m.opt.Type.BootS*l.cfg.Tuning.Fleet.LateFactor + l.cfg.Facts.Cloud.ListLagS)
	switch {
	case (m.booting || m.listed == 0) && now-m.born > late && now-l.began > late/2:
		return neverCameUp
	case m.running > 0 && now-max(m.running, l.began) > l.silentBoot(late):
		return "never reported"
	}
	return ""
}

// plan rents what the queues need, if it may, and names idle machines to return.
func (l *Leader) plan(now clock.Micros, rent bool) []string {
	flat := l.needs(now)
	var supply []autoscaler.Capacity
	idleFor := clock.FromSeconds(l.cfg.Tuning.Fleet.IdleS)
	targets := l.moveTargets()
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.deleting || m.drain || m.state.PreemptionNotice || m.state.Silent {
			continue
		}
		idle := m.up && m.state.Tasks == 0 && !m.block.offered
		wait := idleFor
		if !m.opt.Spot {
			wait = idleFor / 5
		}
		s := autoscaler.Capacity{Option: m.opt, Name: name, Up: m.up, Idle: idle, Keep: idle && now-m.idle < wait || now-m.born < 55*clock.Second || targets[name]}
		if m.up && m.opt.Type.CPUs > 0 {
			s.Load = 1 - m.state.CPUs/m.opt.Type.CPUs
		}
		supply = append(supply, s)
	}
	stuck := false
	for _, rt := range l.rentals {
		if !rt.record.Answered {
			stuck = stuck || now-rt.since > stuckAfter
			for range rt.record.Request.Count {
				supply = append(supply, autoscaler.Capacity{Option: l.option(rt.record.Request)})
			}
		}
	}
	var opts []autoscaler.Option
	for _, t := range l.typeList {
		for _, z := range t.ZoneNames {
			opts = append(opts, l.expected(autoscaler.Option{Type: t, Zone: z}), l.expected(autoscaler.Option{Type: t, Zone: z, Spot: true}))
		}
	}
	tune := l.cfg.Tuning.Fleet
	d := autoscaler.Plan(flat, supply, opts, autoscaler.Params{SpotClearS: tune.SpotClearS, OrdinaryClearS: tune.OrdinaryClearS, Reserve: tune.Reserve},
		func(o autoscaler.Option) bool { return now >= l.refused[o.Key()].until })
	l.rest(d, stuck)
	l.stirred = true // what is no longer cordoned has room again
	if !rent {
		return d.ScaleIn
	}
	for _, o := range d.ScaleOut {
		l.rentSeq++
		req := fmt.Sprintf("r-%d-%d", l.epoch, l.rentSeq)
		rt := &rental{key: InstanceGroupPrefix + req, since: now, record: InstanceGroupRecord{Request: wire.ProvisionRequest{RequestID: req, Type: o.Type.Name, Zone: o.Zone, Spot: o.Spot, Count: o.Count}}}
		l.rentals[rt.key] = rt
		l.writeRental(rt)
	}
	return d.ScaleIn
}

// stuckAfter is how long a rental is without an answer before the cloud counts as away.
const stuckAfter = 10 * clock.Second

// rest tells the holders which machines their auctions are to leave out. Those not
// worth their price get no work at all; those that are only more than needed get it
// again as soon as the others have no room.
//
// While the cloud does not answer, nothing cheaper comes: what is there serves, too.
func (l *Leader) rest(d autoscaler.Decision, stuck bool) {
	for _, m := range l.machines {
		m.cordoned, m.rest = false, false
	}
	for _, name := range d.Cordon {
		l.machines[name].cordoned, l.machines[name].rest = !stuck, stuck
	}
	for _, name := range d.Deprioritize {
		l.machines[name].rest = true
	}
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if out := m.cordoned || m.rest; out != m.out && m.block.state == granted {
			m.out = out
			if out {
				m.block.orders.Exclude = append(m.block.orders.Exclude, name)
			} else {
				m.block.orders.Include = append(m.block.orders.Include, name)
			}
		}
	}
}
