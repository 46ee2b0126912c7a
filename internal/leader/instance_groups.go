package leader

import (
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// pruneEvery is how long machines that are gone may stay in the inventory: there they do no harm but to a new
	// leader, which waits for them a while, and each write costs a put.
	pruneEvery = 20 * clock.Second
	// machineEntryBytes is about what a machine takes in its record, with its part of the rest.
	machineEntryBytes = 20
	// failedProvisionRetry is how soon a request is repeated whose call has failed.
	failedProvisionRetry = 2 * clock.Second
	// minRefusalWait and maxRefusalWait bound how long an option is left alone that the cloud had too little of.
	minRefusalWait = 10 * clock.Second
	maxRefusalWait = clock.Minute
)

// instanceGroupTag marks the write and the read of an instance group's record.
type instanceGroupTag struct{ key string }

// loadInstanceGroup takes in a record of a former leader.
func (l *Leader) loadInstanceGroup(now clock.Micros, item wire.Item, r InstanceGroupRecord) {
	group := &instanceGroup{key: item.Key, keyVersion: item.Version, record: r, wantedSince: now}
	l.inventory.groups[item.Key] = group
	if !r.Answered {
		l.inventory.unansweredRequests[item.Key] = true
		// The answer was lost with that leader; the same name gives the same machines.
		group.busy, group.requestedAt = true, now
		l.emit(ProvisionMachines{l.term, r.Request})
		return
	}
	for _, name := range r.Machines {
		l.addMachine(now, name, group)
	}
}

// option is the kind of machines that a request asks for.
func (l *Leader) option(r wire.ProvisionRequest) autoscaler.Option {
	t, ok := l.autoscaler.types[r.Type]
	if !ok {
		t = wire.MachineType{Name: r.Type}
	}
	return autoscaler.Option{Type: t, Zone: r.Zone, Spot: r.Spot}
}

// writeInstanceGroup stores the record of an instance group.
func (l *Leader) writeInstanceGroup(group *instanceGroup) {
	group.busy = true
	unchanged := []wire.Condition{{Key: group.key, Version: group.keyVersion}}
	l.commit(store.PriorityAttempts, instanceGroupTag{group.key}, unchanged, []wire.Write{put(group.key, group.record)})
}

// pruneInstanceGroup takes machines that are gone out of the durable inventory.
func (l *Leader) pruneInstanceGroup(now clock.Micros, group *instanceGroup) {
	terminated := func(name string) bool { return l.inventory.terminated[name] }
	left := slices.DeleteFunc(slices.Clone(group.record.Machines), terminated)
	if len(left) > 0 && (len(left) == len(group.record.Machines) || now-group.prunedAt < pruneEvery) {
		return
	}
	group.prunedAt = now
	if len(left)*machineEntryBytes > l.valueBytes {
		return // of the time when values could be larger: it stays as it is until less is left
	}
	group.record.Machines = left
	if len(left) == 0 {
		delete(l.inventory.groups, group.key)
		l.commit(store.PriorityBackground, nil, nil, []wire.Write{{Delete: group.key}})
		l.settleFormerRequest(now, group)
		return
	}
	l.writeInstanceGroup(group)
}

// instanceGroupWritten goes on after a write of an instance group's record. Only a write that succeeded proves what is
// stored. A failed condition does not: the write of ours that changed the record may have been an earlier one than
// this, whose answer was lost.
func (l *Leader) instanceGroupWritten(now clock.Micros, tag instanceGroupTag, m TxnCompleted) {
	group := l.inventory.groups[tag.key]
	switch {
	case group == nil:
	case m.Result.Committed:
		group.keyVersion = m.Result.Revision
		l.instanceGroupStored(now, group)
	case m.Result.FailedOn(tag.key):
		l.emit(ReadKey{l.term, tag.key, tag})
	default:
		l.info("instance group not stored", "key", tag.key, "error", m.Err)
		delete(l.inventory.groups, tag.key)
	}
}

// instanceGroupRead compares what is stored of an instance group with what was to be written, and writes it again if
// it is something else.
func (l *Leader) instanceGroupRead(now clock.Micros, tag instanceGroupTag, m KeyRead) {
	group := l.inventory.groups[tag.key]
	if group == nil {
		return
	}
	group.keyVersion = 0
	var stored InstanceGroupRecord
	if m.Found {
		group.keyVersion = m.Item.Version
		stored, _ = decode[InstanceGroupRecord](l, m.Item)
	}
	if m.Found && stored.equal(&group.record) {
		l.instanceGroupStored(now, group)
		return
	}
	l.writeInstanceGroup(group)
}

// equal reports whether two records tell the same.
func (r *InstanceGroupRecord) equal(o *InstanceGroupRecord) bool {
	return r.Request == o.Request && r.Answered == o.Answered && slices.Equal(r.Machines, o.Machines)
}

// instanceGroupStored goes on once a record is known to be stored as it is here: a recorded request is sent, and
// recorded machines are used.
func (l *Leader) instanceGroupStored(now clock.Micros, group *instanceGroup) {
	group.busy = false
	if !group.record.Answered {
		group.busy, group.requestedAt = true, now
		l.emit(ProvisionMachines{l.term, group.record.Request})
		return
	}
	for _, name := range group.record.Machines {
		if !l.inventory.terminated[name] {
			l.addMachine(now, name, group)
		}
	}
	l.settleFormerRequest(now, group)
}

// machinesProvisioned takes in the cloud's answer to a request.
func (l *Leader) machinesProvisioned(now clock.Micros, m MachinesProvisioned) {
	group := l.inventory.groups[InstanceGroupPrefix+m.RequestID]
	if group == nil || group.record.Answered {
		return
	}
	switch {
	case m.Err == nil:
		group.record.Machines, group.record.Answered = m.Machines, true
		l.noteProvisionOutcome(now, group, len(m.Machines) < group.record.Request.Count)
		l.debug("machines provisioned", "request", m.RequestID, "count", len(m.Machines),
			"type", group.record.Request.Type, "spot", group.record.Request.Spot)
		if len(m.Machines) == 0 {
			l.pruneInstanceGroup(now, group)
			return
		}
		l.writeInstanceGroup(group)
	case m.NoCapacity:
		l.noteProvisionOutcome(now, group, true)
		group.record.Answered = true
		l.pruneInstanceGroup(now, group)
	default:
		// Repeated under the same name, soon.
		group.requestedAt = now - (provisionRetryAfter - failedProvisionRetry)
	}
}

// noteProvisionOutcome notes whether an option had all that was asked for. One that had not is left alone for a while,
// longer each time: every try costs puts and cloud calls.
func (l *Leader) noteProvisionOutcome(now clock.Micros, group *instanceGroup, short bool) {
	requested := l.option(group.record.Request)
	option := requested.Key()
	if !short {
		delete(l.autoscaler.refusals, option)
		return
	}
	refusal := l.autoscaler.refusals[option]
	refusal.wait = min(max(2*refusal.wait, minRefusalWait), maxRefusalWait)
	refusal.until = now + refusal.wait
	l.autoscaler.refusals[option] = refusal
}
