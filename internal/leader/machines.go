package leader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/fleet"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

type fleetTag struct{ key string }

func (l *Leader) loadRental(now clock.Micros, it wire.Item, r FleetRecord) {
	rt := &rental{key: it.Key, stamp: it.Version, rec: r, since: now}
	l.rentals[it.Key] = rt
	if !r.Asked {
		// The answer was lost with a former leader; the same name gives the same machines.
		rt.busy, rt.asked = true, now
		l.emit(Rent{l.epoch, r.Rental})
		return
	}
	for _, name := range r.Machines {
		l.addMachine(now, name, rt)
	}
}

func (l *Leader) option(r wire.Rental) fleet.Option {
	t, ok := l.types[r.Type]
	if !ok {
		t = wire.MachineType{Name: r.Type}
	}
	return fleet.Option{Type: t, Zone: r.Zone, Spot: r.Spot}
}

func (l *Leader) addMachine(now clock.Micros, name string, rt *rental) {
	if l.machines[name] != nil {
		return
	}
	l.machines[name] = &machine{name: name, rental: rt.key, opt: l.option(rt.rec.Rental), block: l.blockOf(name), born: now, idle: now}
	delete(l.found, name)
	if b := l.blockOf(name); b.state == granted {
		b.orders.Use = append(b.orders.Use, name)
	}
}

// machineState takes in how a holder sees a machine.
func (l *Leader) machineState(now clock.Micros, s peer.MachineState) {
	m := l.machines[s.Name]
	if m == nil {
		if l.gone[s.Name] {
			b := l.blockOf(s.Name)
			b.orders.Gone = append(b.orders.Gone, s.Name)
		} else if s.Type != "" && s.Shown {
			// What is only heard of may be a late copy of a report of a machine long
			// deleted; one that has seen our token is there, and so is one that is listed.
			l.found[s.Name] = wire.Machine{Name: s.Name, Type: s.Type, Zone: s.Zone, Spot: s.Spot}
		}
		return
	}
	if s.Gone {
		l.bury(s.Name)
		return
	}
	if s.Type == "" {
		// Known by name only, not heard yet. One that was up under its former holder,
		// and ended while the block changed hands, would never be missed otherwise.
		m.state.Silent = m.up && s.Silent
		return
	}
	m.up = true
	m.address = s.Address
	if s.Tasks > 0 || m.state.Tasks > 0 {
		m.idle = now
	}
	noticed := s.Notice && !m.state.Notice
	m.state = s
	if noticed {
		l.saveTasks(now, m)
	}
}

// saveTasks stops the tasks that can save their progress before their machine goes.
func (l *Leader) saveTasks(now clock.Micros, m *machine) {
	b := m.block
	var room *freeRoom
	var on []peer.Task
	for t, h := range b.tasks {
		if h.machine == m.name && l.jobs[t.Job] != nil {
			on = append(on, t)
		}
	}
	slices.SortFunc(on, func(a, c peer.Task) int { return cmp.Or(strings.Compare(a.Job, c.Job), a.Index-c.Index) })
	for _, t := range on {
		h, j := b.tasks[t], l.jobs[t.Job]
		// A replica moves at once if there is room for it; else it runs to the end here.
		moves := false
		if j.rec.Spec.Standing() && m.state.Notice {
			if room == nil {
				room = l.freeRoom(now)
			}
			to, _ := l.roomFor(j, room)
			moves = to != nil && to != m
		}
		if moves {
			h.stopped, h.stoppedAt = "notice", now
		}
		if moves || j.rec.Spec.CheckpointS > 0 && !j.rec.Spec.Standing() {
			b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t, Save: true})
		}
	}
}

func (l *Leader) drain(now clock.Micros, m *machine, why string) {
	m.drain = true
	b := m.block
	b.orders.Drain = append(b.orders.Drain, m.name)
	l.saveTasks(now, m)
	l.info("draining machine", "machine", m.name, "why", why)
}

func (l *Leader) listedMachines(now clock.Micros, list []wire.Machine) {
	seen := map[string]bool{}
	for _, w := range list {
		seen[w.Name] = true
		m := l.machines[w.Name]
		if m == nil {
			if !l.gone[w.Name] {
				l.found[w.Name] = w
			}
			continue
		}
		if m.listed == 0 {
			m.born = min(m.born, now-clock.FromSeconds(w.AgeS))
		}
		m.listed, m.missing, m.address = now, 0, w.Address
		m.booting = w.State == wire.Starting
		if w.State == wire.Failed {
			m.missing = 1000
		}
	}
	for _, m := range l.machines {
		if m.listed > 0 && !seen[m.name] {
			m.missing++
		}
	}
}

// tendFleet rents, returns and gives up machines.
func (l *Leader) tendFleet(now clock.Micros) {
	if now-l.lastFleet < clock.Second/2 {
		return
	}
	l.lastFleet = now
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	// Lists give way to rentals, which share the cloud's few calls with them.
	every := max(lag/2, 2*clock.Second)
	pending := 0
	for _, rt := range l.rentals {
		if !rt.rec.Asked {
			pending++
		}
	}
	if pending > 0 {
		every *= 2
	}
	if !l.listing && now-l.lastList > every {
		l.listing, l.lastList = true, now
		l.emit(List{})
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
		l.emit(ReadCatalog{})
	}
	if len(l.types) == 0 {
		return
	}
	// While an answer is out, machines that nobody knows may be its rental's.
	if pending == 0 {
		l.adopt(now)
	}
	for _, key := range slices.Sorted(maps.Keys(l.rentals)) {
		rt := l.rentals[key]
		if !rt.rec.Asked {
			if rt.busy && rt.asked > 0 && now-rt.asked > 8*clock.Second {
				rt.asked = now
				l.emit(Rent{l.epoch, rt.rec.Rental})
			}
		} else if !rt.busy {
			l.tidyRental(now, rt)
		}
	}
	// While many machines are lost, or the cloud answers nothing, those that live are
	// planned with all the same.
	doomed := l.doomed(now)
	for _, name := range doomed {
		l.machines[name].deleting = true
	}
	if now-l.lastPlan >= clock.Second {
		l.lastPlan = now
		doomed = append(doomed, l.plan(now, pending < 4)...)
	}
	sent := 0
	if len(doomed) > 0 && l.deleting < 3 {
		sent = min(len(doomed), 100)
		l.deleting++
		l.emit(Delete{l.epoch, doomed[:sent]})
	}
	for i, name := range doomed {
		l.machines[name].deleting = i < sent
	}
}

// adopt takes machines into the roster that nobody here knows to have rented.
func (l *Leader) adopt(now clock.Micros) {
	if len(l.found) == 0 {
		return
	}
	byKind := map[wire.Rental][]string{}
	for _, name := range slices.Sorted(maps.Keys(l.found)) {
		w := l.found[name]
		k := wire.Rental{Type: w.Type, Zone: w.Zone, Spot: w.Spot}
		byKind[k] = append(byKind[k], name)
	}
	clear(l.found)
	kinds := slices.SortedFunc(maps.Keys(byKind), func(a, c wire.Rental) int { return strings.Compare(byKind[a][0], byKind[c][0]) })
	for _, k := range kinds {
		names := byKind[k]
		// As many as a rental has at most: more might not fit into a value.
		for part := range slices.Chunk(names, fleet.MostAtOnce) {
			l.rentSeq++
			rt := &rental{key: fmt.Sprintf("%sfound-%d-%d", FleetPrefix, l.epoch, l.rentSeq), busy: true,
				rec: FleetRecord{Rental: k, Machines: part, Asked: true}}
			l.rentals[rt.key] = rt
			l.writeRental(rt)
		}
	}
}

func (l *Leader) writeRental(rt *rental) {
	rt.busy = true
	l.commit(store.Starts, fleetTag{rt.key}, []wire.Guard{{Key: rt.key, Version: rt.stamp}}, []wire.Write{put(rt.key, rt.rec)})
}

// tidyEvery is how long machines that are gone may stay in the roster: there they do
// no harm but to a new leader, which waits for them a while, and each write costs a put.
const tidyEvery = 20 * clock.Second

// rosterBytes is about what a machine takes in its record, with its part of the rest.
const rosterBytes = 20

// tidyRental takes machines that are gone out of the durable roster.
func (l *Leader) tidyRental(now clock.Micros, rt *rental) {
	left := slices.DeleteFunc(slices.Clone(rt.rec.Machines), func(n string) bool { return l.gone[n] })
	if len(left) > 0 && (len(left) == len(rt.rec.Machines) || now-rt.tidied < tidyEvery) {
		return
	}
	rt.tidied = now
	if len(left)*rosterBytes > l.valueBytes {
		return // of the time when values could be larger: it stays as it is until less is left
	}
	rt.rec.Machines = left
	if len(left) == 0 {
		delete(l.rentals, rt.key)
		l.commit(store.Lazy, nil, nil, []wire.Write{{Delete: rt.key}})
		return
	}
	l.writeRental(rt)
}

func (l *Leader) fleetWritten(now clock.Micros, tag fleetTag, m Committed) {
	rt := l.rentals[tag.key]
	if rt == nil {
		return
	}
	// Only this epoch's leader writes the key, so a failed guard is an earlier try that went through.
	if !m.Outcome.OK && !(m.Outcome.FailedOn(tag.key) && m.Outcome.Unsure) {
		l.info("roster write failed", "key", tag.key, "error", m.Err)
		delete(l.rentals, tag.key)
		return
	}
	rt.busy = false
	if m.Outcome.OK {
		rt.stamp = m.Outcome.Revision
	}
	if !rt.rec.Asked {
		rt.busy, rt.asked = true, now
		l.emit(Rent{l.epoch, rt.rec.Rental})
		return
	}
	for _, name := range rt.rec.Machines {
		if !l.gone[name] {
			l.addMachine(now, name, rt)
		}
	}
}

func (l *Leader) rented(now clock.Micros, m Rented) {
	rt := l.rentals[FleetPrefix+m.Request]
	if rt == nil || rt.rec.Asked {
		return
	}
	switch {
	case m.Err == nil:
		rt.rec.Machines, rt.rec.Asked = m.Machines, true
		l.answered(now, rt, len(m.Machines) < rt.rec.Rental.Count)
		l.emit(Log{Debug: true, Text: "rented", Args: []any{"request", m.Request, "count", len(m.Machines), "type", rt.rec.Rental.Type, "spot", rt.rec.Rental.Spot}})
		if len(m.Machines) == 0 {
			l.tidyRental(now, rt)
			return
		}
		l.writeRental(rt)
	case m.NoCapacity:
		l.answered(now, rt, true)
		rt.rec.Asked = true
		l.tidyRental(now, rt)
	default:
		// Asked again under the same name, soon.
		rt.asked = now - 6*clock.Second
	}
}

// answered notes whether an option had all that was asked for. One that had not is
// left alone for a while, longer each time: every try costs puts and cloud calls.
func (l *Leader) answered(now clock.Micros, rt *rental, short bool) {
	k := l.option(rt.rec.Rental).Key()
	if !short {
		delete(l.refused, k)
		return
	}
	r := l.refused[k]
	r.wait = min(max(2*r.wait, 10*clock.Second), clock.Minute)
	r.until = now + r.wait
	l.refused[k] = r
}

func (l *Leader) deleted(now clock.Micros, m Deleted) {
	l.deleting = max(0, l.deleting-1)
	for _, name := range m.Machines {
		mc := l.machines[name]
		if mc == nil {
			continue
		}
		if m.Err != nil {
			mc.deleting = false
			continue
		}
		l.bury(name)
	}
}

// bury takes out a machine that is deleted.
func (l *Leader) bury(name string) {
	delete(l.machines, name)
	l.gone[name] = true
	if b := l.blockOf(name); b.state == granted {
		b.orders.Gone = append(b.orders.Gone, name)
	}
}

// doomed are machines that serve nobody any more.
func (l *Leader) doomed(now clock.Micros) []string {
	silent := map[*lblock]int{}
	up := map[*lblock]int{}
	for _, m := range l.machines {
		b := m.block
		// Those that gave notice are expected to fall silent, many at once too.
		if m.up && !m.state.Notice {
			up[b]++
			if m.state.Silent {
				silent[b]++
			}
		}
	}
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		b := m.block
		if m.deleting {
			continue
		}
		late := clock.FromSeconds(m.opt.Type.BootS*l.cfg.Tuning.Fleet.LateFactor) + lag
		why := ""
		switch {
		case m.missing >= 1000:
			why = "failed"
		case m.missing >= 3 && (m.state.Silent || !m.up || now-m.listed > 3*lag+10*clock.Second):
			why = "no longer listed"
		// Many silent machines at once point at the holder, not at them.
		case m.state.Silent && (m.state.Notice || silent[b]*2 < up[b] || silent[b] == 1):
			why = "silent"
		case !m.up && (m.booting || m.listed == 0) && b.state == granted && now-m.born > late && now-l.began > late/2:
			why = "never came up"
		case m.drain && m.up && m.state.Tasks == 0 && !b.offered:
			why = "drained"
		}
		if why != "" {
			out = append(out, name)
			l.emit(Log{Debug: true, Text: "giving machine up", Args: []any{"machine", name, "why", why}})
		}
	}
	return out
}

// plan rents what the queues need, if it may, and names idle machines to return.
func (l *Leader) plan(now clock.Micros, rent bool) []string {
	flat := l.needs(now)
	var supply []fleet.Supply
	idleFor := clock.FromSeconds(l.cfg.Tuning.Fleet.IdleS)
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.deleting || m.drain || m.state.Notice || m.state.Silent {
			continue
		}
		idle := m.up && m.state.Tasks == 0 && !m.block.offered
		wait := idleFor
		if !m.opt.Spot {
			wait = idleFor / 5
		}
		s := fleet.Supply{Option: m.opt, Name: name, Up: m.up, Idle: idle, Keep: idle && now-m.idle < wait || now-m.born < 55*clock.Second}
		if m.up && m.opt.Type.CPUs > 0 {
			s.Load = 1 - m.state.CPUs/m.opt.Type.CPUs
		}
		supply = append(supply, s)
	}
	stuck := false
	for _, rt := range l.rentals {
		if !rt.rec.Asked {
			stuck = stuck || now-rt.since > stuckAfter
			for range rt.rec.Rental.Count {
				supply = append(supply, fleet.Supply{Option: l.option(rt.rec.Rental)})
			}
		}
	}
	var opts []fleet.Option
	for _, t := range l.typeList {
		for _, z := range t.ZoneNames {
			opts = append(opts, fleet.Option{Type: t, Zone: z}, fleet.Option{Type: t, Zone: z, Spot: true})
		}
	}
	tune := l.cfg.Tuning.Fleet
	d := fleet.Plan(flat, supply, opts, fleet.Params{SpotClearS: tune.SpotClearS, OrdinaryClearS: tune.OrdinaryClearS, Reserve: tune.Reserve},
		func(o fleet.Option) bool { return now >= l.refused[o.Key()].until })
	l.rest(d, stuck)
	l.stirred = true // what is shunned no more has room again
	if !rent {
		return d.Return
	}
	for _, o := range d.Rent {
		l.rentSeq++
		req := fmt.Sprintf("r-%d-%d", l.epoch, l.rentSeq)
		rt := &rental{key: FleetPrefix + req, since: now, rec: FleetRecord{Rental: wire.Rental{Request: req, Type: o.Type.Name, Zone: o.Zone, Spot: o.Spot, Count: o.Count}}}
		l.rentals[rt.key] = rt
		l.writeRental(rt)
	}
	return d.Return
}

// stuckAfter is how long a rental is without an answer before the cloud counts as away.
const stuckAfter = 10 * clock.Second

// rest tells the holders which machines their auctions are to leave out. Those not
// worth their price get no work at all; those that are only more than needed get it
// again as soon as the others have no room.
//
// While the cloud does not answer, nothing cheaper comes: what is there serves, too.
func (l *Leader) rest(d fleet.Decision, stuck bool) {
	for _, m := range l.machines {
		m.shun, m.rest = false, false
	}
	for _, name := range d.Shun {
		l.machines[name].shun, l.machines[name].rest = !stuck, stuck
	}
	for _, name := range d.Rest {
		l.machines[name].rest = true
	}
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if out := m.shun || m.rest; out != m.out && m.block.state == granted {
			m.out = out
			if out {
				m.block.orders.Rest = append(m.block.orders.Rest, name)
			} else {
				m.block.orders.Wake = append(m.block.orders.Wake, name)
			}
		}
	}
}
