package leader

import (
	"slices"

	"swiftledge/internal/peer"
)

// stopJob orders the shard holder to stop all tasks of a job.
func (lease *shardLease) stopJob(ref string) {
	lease.stopTasks(ref, func(*grantedTask) bool { return true })
}

// stopTasks orders the shard holder to stop those tasks of a job for which selects returns true.
func (lease *shardLease) stopTasks(ref string, selects func(*grantedTask) bool) {
	from := len(lease.orders.Stop)
	for t, task := range lease.tasks {
		if t.Job == ref && selects(task) {
			lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t})
		}
	}
	slices.SortFunc(lease.orders.Stop[from:], func(a, b peer.StopTask) int { return a.Index - b.Index })
}

// acknowledge reports to the shard holder which completions are persisted: those for which stored returns true.
func (lease *shardLease) acknowledge(stored func(peer.Task) bool) {
	lease.unpersisted = slices.DeleteFunc(lease.unpersisted, func(t peer.Task) bool {
		if stored(t) {
			lease.orders.Persisted = append(lease.orders.Persisted, t)
			return true
		}
		return false
	})
}
