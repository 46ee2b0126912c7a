package leader

import (
	"slices"

	"swiftledge/internal/peer"
)

// stopJob tells the holder to end all tasks of a job.
func (lease *shardLease) stopJob(ref string) {
	lease.stopTasks(ref, func(*grantedTask) bool { return true })
}

// stopTasks tells the holder to end those tasks of a job that selects names.
func (lease *shardLease) stopTasks(ref string, selects func(*grantedTask) bool) {
	from := len(lease.orders.Stop)
	for t, h := range lease.tasks {
		if t.Job == ref && selects(h) {
			lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t})
		}
	}
	slices.SortFunc(lease.orders.Stop[from:], func(a, c peer.StopTask) int { return a.Index - c.Index })
}

// acknowledge tells the holder which completions are persisted.
func (lease *shardLease) acknowledge(stored func(peer.Task) bool) {
	lease.unpersisted = slices.DeleteFunc(lease.unpersisted, func(t peer.Task) bool {
		if stored(t) {
			lease.orders.Persisted = append(lease.orders.Persisted, t)
			return true
		}
		return false
	})
}
