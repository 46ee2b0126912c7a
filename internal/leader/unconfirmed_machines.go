package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// A holder takes the tasks of a machine that its grant does not list for gone: machines leave the
// durable inventory only after their proven end. That holds as long as no machine works that no stored
// record names. A leader of the version in production may have broken it: after a lost answer it can
// take a provision request's record for written that was not. Such a record is still without the cloud's answer.
// Nor does it hold while a record cannot be read.
//
// So while provision requests of former leaders are without a stored answer, machines that only attempt records
// name are granted as well, drained: their tasks count as running until the answer, or their own
// reports, prove something else.

// machinesOfAttemptsOnly names the machines of attempt records that no inventory record names, although one of them
// may have to.
func (l *Leader) machinesOfAttemptsOnly(pages map[string]peer.AttemptPage) []string {
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

// grantUnconfirmed adds such machines to a shard's grant.
func (l *Leader) grantUnconfirmed(
	lease *shardLease, pages map[string]peer.AttemptPage,
) (machines []peer.InventoryMachine) {
	for _, name := range l.machinesOfAttemptsOnly(pages) {
		l.inventory.unconfirmed[name] = true
		lease.orders.Drain = append(lease.orders.Drain, name)
		machines = append(machines, peer.InventoryMachine{Name: name})
	}
	return machines
}

// settleFormerRequest notes that a provision request's answer is stored. Once that is true of all of them, the
// inventory names every machine that may work: what it does not name has ended.
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
			l.drainMachine(now, m, "worked without a stored record")
		} else {
			l.markTerminated(name)
		}
	}
	clear(l.inventory.unconfirmed)
}
