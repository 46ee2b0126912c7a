package leader

import (
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// loadState loads the content of the store at the start of a term.
func (l *Leader) loadState(now clock.Micros, m StateLoaded) {
	l.wallOffset = m.TimeOfDay - now
	l.jobsViewedAt = m.RequestedAt
	l.loadShards(m.Items)
	for _, item := range m.Items {
		switch {
		case strings.HasPrefix(item.Key, JobPrefix):
			if r, ok := decode[JobRecord](l, item); ok {
				l.addJob(r, item.Version)
			}
		case strings.HasPrefix(item.Key, InstanceGroupPrefix):
			if r, ok := decode[InstanceGroupRecord](l, item); ok {
				l.loadInstanceGroup(now, item, r)
			} else {
				l.inventory.unansweredRequests[item.Key] = true // any machine that the unreadable record names may run tasks
			}
		}
	}
	l.loadProgress(m.Items)
	l.loaded = true
	l.scheduling.requested = true
	l.emit(ListMachines{})
	l.inventory.listing = true
	l.inventory.listedAt = now
	l.emit(LoadCatalog{})
	l.autoscaler.catalogRequestedAt = now
	l.info("leading", "term", l.term, "jobs", l.jobs.Len(), "machines", len(l.inventory.machines),
		"shards", len(l.shards.all))
}

// loadShards creates the shards, to which the machines belong, and loads the machine types. The first leader that uses
// a store writes the number of shards to the store.
func (l *Leader) loadShards(items []wire.Item) {
	shards, layoutStored := int(l.cfg.Tuning.Grants.Shards), false
	versions := map[string]uint64{}
	records := map[string]ShardRecord{}
	for _, item := range items {
		switch {
		case item.Key == LayoutKey:
			if r, ok := decode[LayoutRecord](l, item); ok && r.Shards > 0 {
				shards, layoutStored = r.Shards, true
			}
		case item.Key == CatalogKey:
			if c, ok := decode[wire.Catalog](l, item); ok {
				l.setTypes(c.Types)
			}
		case strings.HasPrefix(item.Key, shard.KeyPrefix):
			if r, ok := decode[ShardRecord](l, item); ok {
				versions[item.Key], records[item.Key] = item.Version, r
			}
		}
	}
	for id := range shards {
		key := shard.Key(id)
		l.shards.all = append(l.shards.all, &shardLease{
			Shard:      assignment.Shard{ID: id, Holder: records[key].Holder},
			keyVersion: versions[key],
			tasks:      map[peer.Task]*grantedTask{},
		})
	}
	if !layoutStored {
		absent := []wire.Condition{{Key: LayoutKey}}
		l.commit(store.PriorityUrgent, nil, absent, []wire.Write{put(LayoutKey, LayoutRecord{shards})})
	}
}

// loadProgress loads which tasks of the jobs have completed. All other tasks count as waiting until the attempt records
// show which of these tasks may already run.
func (l *Leader) loadProgress(items []wire.Item) {
	for _, item := range items {
		if !strings.HasPrefix(item.Key, jobs.ProgressPrefix) {
			continue
		}
		if r, ok := decode[jobs.ProgressRecord](l, item); ok {
			page := jobs.StoredPage{Key: item.Key, Version: item.Version, Record: r}
			l.progress.Load(page, l.jobs, l.valueBytes)
		}
	}
	for job := range l.jobs.All() {
		job.FinishLoading()
	}
}
