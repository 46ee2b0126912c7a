package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// A shard holder treats tasks on a machine that its grant does not list as ended, because a machine leaves the durable
// inventory only after its end is proven. This requires that every machine that may run tasks is named by a stored
// inventory record. The requirement is not met in two cases. A leader of the version in production may break it: after
// a lost answer, that leader can take the record of a provision request as written although the write was not applied.
// Such a record still lacks the cloud's answer. The requirement is also not met while an inventory record cannot be
// read.
//
// Therefore, while provision requests of former leaders lack a stored answer, machines that only attempt records name
// are granted as well, drained. Their tasks count as running until the answer, or the heartbeats of the machines,
// prove otherwise.

// machinesOnlyInAttempts returns the machines that attempt records name, but no inventory record. It returns none if
// every inventory record of a former leader's provision request is readable and has the cloud's answer, because the
// inventory then names every machine that may run tasks.
func (l *Leader) machinesOnlyInAttempts(pages map[string]peer.AttemptPage) []string {
	if len(l.inventory.unansweredRequests) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, page := range pages {
		for _, suffix := range page.Machines {
			name := page.Prefix + suffix
			if l.inventory.machines[name] == nil && !l.inventory.terminated[name] {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// grantUnconfirmed returns the machines that only attempt records name, to be added to a shard's grant, and orders
// them drained.
func (l *Leader) grantUnconfirmed(
	lease *shardLease, pages map[string]peer.AttemptPage,
) (machines []peer.InventoryMachine) {
	for _, name := range l.machinesOnlyInAttempts(pages) {
		l.inventory.unconfirmed[name] = true
		lease.orders.Drain = append(lease.orders.Drain, name)
		machines = append(machines, peer.InventoryMachine{Name: name})
	}
	return machines
}

// settleFormerRequest records that the answer to a provision request of a former leader is stored. Once the answers to
// all such requests are stored, the inventory names every machine that may run tasks, and any other machine has ended.
func (l *Leader) settleFormerRequest(now clock.Micros, group *instanceGroup) {
	if !l.inventory.unansweredRequests[group.key] {
		return
	}
	delete(l.inventory.unansweredRequests, group.key)
	if len(l.inventory.unansweredRequests) > 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.inventory.unconfirmed)) {
		if m := l.inventory.machines[name]; m != nil {
			l.drainMachine(now, m, "in use without a stored inventory record")
		} else {
			l.markTerminated(name)
		}
	}
	clear(l.inventory.unconfirmed)
}
