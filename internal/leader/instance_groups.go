package leader

import (
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// pruneInterval is how long terminated machines may stay in the durable inventory. They only cost a new leader some
	// waiting time, while each write that removes them costs a put.
	pruneInterval = 20 * clock.Second
	// machineEntryBytes is the approximate size of one machine in the record of its instance group, with its part of
	// the record's overhead.
	machineEntryBytes = 20
	// failedProvisionRetryDelay is how soon a provision request is repeated after the cloud call for it failed.
	failedProvisionRetryDelay = 2 * clock.Second
	// minRefusalWait and maxRefusalWait bound how long an option is not requested after the cloud lacked capacity for
	// it.
	minRefusalWait = 10 * clock.Second
	maxRefusalWait = clock.Minute
)

// instanceGroupTag identifies the write and the read of an instance group's record.
type instanceGroupTag struct{ key string }

// loadInstanceGroup loads an instance group from a record of a former leader.
func (l *Leader) loadInstanceGroup(now clock.Micros, item wire.Item, record InstanceGroupRecord) {
	group := &instanceGroup{key: item.Key, keyVersion: item.Version, record: record, pendingSince: now}
	l.inventory.groups[item.Key] = group
	if !record.Answered {
		l.inventory.unansweredRequests[item.Key] = true
		// The former leader may have lost the answer. A request with the same ID yields the same machines.
		group.busy, group.requestedAt = true, now
		l.emit(ProvisionMachines{l.term, record.Request})
		return
	}
	for _, name := range record.Machines {
		l.addMachine(now, name, group)
	}
}

// option returns the option that a provision request asks for.
func (l *Leader) option(request wire.ProvisionRequest) autoscaler.Option {
	machineType, ok := l.autoscaler.types[request.Type]
	if !ok {
		machineType = wire.MachineType{Name: request.Type}
	}
	return autoscaler.Option{Type: machineType, Zone: request.Zone, Spot: request.Spot}
}

// writeInstanceGroup stores the record of an instance group.
func (l *Leader) writeInstanceGroup(group *instanceGroup) {
	group.busy = true
	unchanged := []wire.Condition{{Key: group.key, Version: group.keyVersion}}
	l.commit(store.PriorityAttempts, instanceGroupTag{group.key}, unchanged, []wire.Write{put(group.key, group.record)})
}

// pruneInstanceGroup removes terminated machines from the record of an instance group, and deletes the record of an
// empty group.
func (l *Leader) pruneInstanceGroup(now clock.Micros, group *instanceGroup) {
	terminated := func(name string) bool { return l.inventory.terminated[name] }
	remaining := slices.DeleteFunc(slices.Clone(group.record.Machines), terminated)
	if len(remaining) > 0 && (len(remaining) == len(group.record.Machines) || now-group.prunedAt < pruneInterval) {
		return
	}
	group.prunedAt = now
	if len(remaining)*machineEntryBytes > l.valueBytes {
		return // the record was written when values could be larger: it stays until fewer machines are left
	}
	group.record.Machines = remaining
	if len(remaining) == 0 {
		delete(l.inventory.groups, group.key)
		l.commit(store.PriorityBackground, nil, nil, []wire.Write{{Delete: group.key}})
		l.settleFormerRequest(now, group)
		return
	}
	l.writeInstanceGroup(group)
}

// instanceGroupWritten handles the outcome of the write of an instance group's record. Only a committed write proves
// what is stored. A failed condition proves nothing: the record may have been changed by an earlier write of this
// leader whose answer was lost.
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

// instanceGroupRead compares the stored record of an instance group with the record to be written, and repeats the
// write if the two differ.
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

// equal reports whether two records have the same content.
func (r *InstanceGroupRecord) equal(o *InstanceGroupRecord) bool {
	return r.Request == o.Request && r.Answered == o.Answered && slices.Equal(r.Machines, o.Machines)
}

// instanceGroupStored continues once the record of an instance group is known to be stored as this leader has it: the
// function sends the recorded provision request, or adds the recorded machines to the inventory.
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

// machinesProvisioned handles the cloud's answer to a provision request.
func (l *Leader) machinesProvisioned(now clock.Micros, result MachinesProvisioned) {
	group := l.inventory.groups[InstanceGroupPrefix+result.RequestID]
	if group == nil || group.record.Answered {
		return
	}
	switch {
	case result.Err == nil:
		group.record.Machines, group.record.Answered = result.Machines, true
		l.recordProvisionOutcome(now, group, len(result.Machines) < group.record.Request.Count)
		l.debug("machines provisioned", "request", result.RequestID, "count", len(result.Machines),
			"type", group.record.Request.Type, "spot", group.record.Request.Spot)
		if len(result.Machines) == 0 {
			l.pruneInstanceGroup(now, group)
			return
		}
		l.writeInstanceGroup(group)
	case result.NoCapacity:
		l.recordProvisionOutcome(now, group, true)
		group.record.Answered = true
		l.pruneInstanceGroup(now, group)
	default:
		// The request is repeated soon, under the same ID.
		group.requestedAt = now - (provisionRetryAfter - failedProvisionRetryDelay)
	}
}

// recordProvisionOutcome records whether the cloud provided all the requested machines of an option, which is a machine
// type in a zone, spot or on demand. If it did not (short), machines of the option are not requested for a while,
// longer each time, because every provision request costs store writes and cloud calls.
func (l *Leader) recordProvisionOutcome(now clock.Micros, group *instanceGroup, short bool) {
	requested := l.option(group.record.Request)
	option := requested.Key()
	if !short {
		delete(l.autoscaler.refusals, option)
		return
	}
	refusal := l.autoscaler.refusals[option]
	refusal.backoff = min(max(2*refusal.backoff, minRefusalWait), maxRefusalWait)
	refusal.retryAt = now + refusal.backoff
	l.autoscaler.refusals[option] = refusal
}
