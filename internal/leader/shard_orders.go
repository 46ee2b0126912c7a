package leader

import (
	"slices"

	"swiftledge/internal/peer"
)

// stopJob tells the holder to end all tasks of a job.
func (b *shardLease) stopJob(ref string) {
	b.stopTasks(ref, func(*grantedTask) bool { return true })
}

// stopTasks tells the holder to end those tasks of a job that selects names.
func (b *shardLease) stopTasks(ref string, selects func(*grantedTask) bool) {
	from := len(b.orders.Stop)
	for t, h := range b.tasks {
		if t.Job == ref && selects(h) {
			b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
		}
	}
	slices.SortFunc(b.orders.Stop[from:], func(a, c peer.StopTask) int { return a.Index - c.Index })
}

// acknowledge tells the holder which completions are persisted.
func (b *shardLease) acknowledge(stored func(peer.Task) bool) {
	b.unpersisted = slices.DeleteFunc(b.unpersisted, func(t peer.Task) bool {
		if stored(t) {
			b.orders.Persisted = append(b.orders.Persisted, t)
			return true
		}
		return false
	})
}
