package leader

import (
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

type instanceGroupTag struct{ key string }

func (l *Leader) loadInstanceGroup(now clock.Micros, it wire.Item, r InstanceGroupRecord) {
	rt := &instanceGroup{key: it.Key, keyVersion: it.Version, record: r, wantedSince: now}
	l.inventory.groups[it.Key] = rt
	if !r.Answered {
		l.inventory.unansweredRequests[it.Key] = true
		// The answer was lost with a former leader; the same name gives the same machines.
		rt.busy, rt.requestedAt = true, now
		l.emit(ProvisionMachines{l.term, r.Request})
		return
	}
	for _, name := range r.Machines {
		l.addMachine(now, name, rt)
	}
}

func (l *Leader) option(r wire.ProvisionRequest) autoscaler.Option {
	t, ok := l.autoscaler.types[r.Type]
	if !ok {
		t = wire.MachineType{Name: r.Type}
	}
	return autoscaler.Option{Type: t, Zone: r.Zone, Spot: r.Spot}
}

func (l *Leader) writeInstanceGroup(rt *instanceGroup) {
	rt.busy = true
	l.commit(store.PriorityAttempts, instanceGroupTag{rt.key}, []wire.Condition{{Key: rt.key, Version: rt.keyVersion}}, []wire.Write{put(rt.key, rt.record)})
}

// pruneEvery is how long machines that are gone may stay in the inventory: there they do
// no harm but to a new leader, which waits for them a while, and each write costs a put.
const pruneEvery = 20 * clock.Second

// machineEntryBytes is about what a machine takes in its record, with its part of the rest.
const machineEntryBytes = 20

// pruneInstanceGroup takes machines that are gone out of the durable inventory.
func (l *Leader) pruneInstanceGroup(now clock.Micros, rt *instanceGroup) {
	left := slices.DeleteFunc(slices.Clone(rt.record.Machines), func(n string) bool { return l.inventory.terminated[n] })
	if len(left) > 0 && (len(left) == len(rt.record.Machines) || now-rt.prunedAt < pruneEvery) {
		return
	}
	rt.prunedAt = now
	if len(left)*machineEntryBytes > l.valueBytes {
		return // of the time when values could be larger: it stays as it is until less is left
	}
	rt.record.Machines = left
	if len(left) == 0 {
		delete(l.inventory.groups, rt.key)
		l.commit(store.PriorityBackground, nil, nil, []wire.Write{{Delete: rt.key}})
		l.settleFormerRequest(now, rt)
		return
	}
	l.writeInstanceGroup(rt)
}

// instanceGroupWritten goes on after a write of a provision request's record. Only a write that succeeded proves what
// is stored. A failed guard does not: the write of ours that changed the record may have been an
// earlier one than this, whose answer was lost.
func (l *Leader) instanceGroupWritten(now clock.Micros, tag instanceGroupTag, m TxnCompleted) {
	rt := l.inventory.groups[tag.key]
	switch {
	case rt == nil:
	case m.Result.Committed:
		rt.keyVersion = m.Result.Revision
		l.instanceGroupStored(now, rt)
	case m.Result.FailedOn(tag.key):
		l.emit(ReadKey{l.term, tag.key, tag})
	default:
		l.info("roster write failed", "key", tag.key, "error", m.Err)
		delete(l.inventory.groups, tag.key)
	}
}

// instanceGroupRead compares what is stored of a provision request with what was to be written, and writes it again
// if it is something else.
func (l *Leader) instanceGroupRead(now clock.Micros, tag instanceGroupTag, m KeyRead) {
	rt := l.inventory.groups[tag.key]
	if rt == nil {
		return
	}
	rt.keyVersion = 0
	var stored InstanceGroupRecord
	if m.Found {
		rt.keyVersion = m.Item.Version
		stored, _ = decode[InstanceGroupRecord](l, m.Item)
	}
	if m.Found && stored.equal(&rt.record) {
		l.instanceGroupStored(now, rt)
		return
	}
	l.writeInstanceGroup(rt)
}

// equal says whether two records tell the same.
func (r *InstanceGroupRecord) equal(o *InstanceGroupRecord) bool {
	return r.Request == o.Request && r.Answered == o.Answered && slices.Equal(r.Machines, o.Machines)
}

// instanceGroupStored goes on once a provision request's record is known to be stored as it is here: a recorded
// request is sent, and recorded machines are used.
func (l *Leader) instanceGroupStored(now clock.Micros, rt *instanceGroup) {
	rt.busy = false
	if !rt.record.Answered {
		rt.busy, rt.requestedAt = true, now
		l.emit(ProvisionMachines{l.term, rt.record.Request})
		return
	}
	for _, name := range rt.record.Machines {
		if !l.inventory.terminated[name] {
			l.addMachine(now, name, rt)
		}
	}
	l.settleFormerRequest(now, rt)
}

func (l *Leader) machinesProvisioned(now clock.Micros, m MachinesProvisioned) {
	rt := l.inventory.groups[InstanceGroupPrefix+m.RequestID]
	if rt == nil || rt.record.Answered {
		return
	}
	switch {
	case m.Err == nil:
		rt.record.Machines, rt.record.Answered = m.Machines, true
		l.noteProvisionOutcome(now, rt, len(m.Machines) < rt.record.Request.Count)
		l.emit(Log{Debug: true, Message: "rented", Attributes: []any{"request", m.RequestID, "count", len(m.Machines), "type", rt.record.Request.Type, "spot", rt.record.Request.Spot}})
		if len(m.Machines) == 0 {
			l.pruneInstanceGroup(now, rt)
			return
		}
		l.writeInstanceGroup(rt)
	case m.NoCapacity:
		l.noteProvisionOutcome(now, rt, true)
		rt.record.Answered = true
		l.pruneInstanceGroup(now, rt)
	default:
		// Asked again under the same name, soon.
		rt.requestedAt = now - 6*clock.Second
	}
}

// noteProvisionOutcome notes whether an option had all that was asked for. One that had not is
// left alone for a while, longer each time: every try costs puts and cloud calls.
func (l *Leader) noteProvisionOutcome(now clock.Micros, rt *instanceGroup, short bool) {
	k := l.option(rt.record.Request).Key()
	if !short {
		delete(l.autoscaler.refusals, k)
		return
	}
	r := l.autoscaler.refusals[k]
	r.wait = min(max(2*r.wait, 10*clock.Second), clock.Minute)
	r.until = now + r.wait
	l.autoscaler.refusals[k] = r
}
