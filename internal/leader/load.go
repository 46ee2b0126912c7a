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

// load takes in what the store holds at the start of an term.
func (l *Leader) load(now clock.Micros, m StateLoaded) {
	l.wallOffset = m.TimeOfDay - now
	l.jobsViewedAt = m.RequestedAt
	l.loadBlocks(m.Items)
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
				l.inventory.unansweredRequests[item.Key] = true // whatever machines it names may work
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
	l.info("leading", "epoch", l.term, "jobs", l.jobs.Len(), "machines", len(l.inventory.machines), "blocks", len(l.shards.all))
}

// loadBlocks makes the shards, to which the machines belong, and learns the machine types. The first
// leader of a store stores how many shards there are.
func (l *Leader) loadBlocks(items []wire.Item) {
	n, haveLayout := int(l.cfg.Tuning.Grants.Blocks), false
	stamps := map[string]uint64{}
	holders := map[string]ShardRecord{}
	for _, item := range items {
		switch {
		case item.Key == LayoutKey:
			if r, ok := decode[LayoutRecord](l, item); ok && r.Shards > 0 {
				n, haveLayout = r.Shards, true
			}
		case item.Key == CatalogKey:
			if c, ok := decode[wire.Catalog](l, item); ok {
				l.setTypes(c.Types)
			}
		case strings.HasPrefix(item.Key, shard.KeyPrefix):
			if r, ok := decode[ShardRecord](l, item); ok {
				stamps[item.Key], holders[item.Key] = item.Version, r
			}
		}
	}
	for i := range n {
		key := shard.Key(i)
		l.shards.all = append(l.shards.all, &shardLease{
			Shard: assignment.Shard{ID: i, Holder: holders[key].Holder}, keyVersion: stamps[key], tasks: map[peer.Task]*grantedTask{}})
	}
	if !haveLayout {
		l.commit(store.PriorityUrgent, nil, []wire.Condition{{Key: LayoutKey}}, []wire.Write{put(LayoutKey, LayoutRecord{n})})
	}
}

// loadProgress takes in which tasks of the jobs have completed. All others wait, until the attempt records say which
// of them may run.
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
	for j := range l.jobs.All() {
		j.FinishLoading()
	}
}

func (l *Leader) setTypes(ts []wire.MachineType) {
	l.autoscaler.catalog = ts
	for _, t := range ts {
		l.autoscaler.types[t.Name] = t
	}
	for _, m := range l.inventory.machines {
		m.option.Type = l.autoscaler.types[m.option.Type.Name]
	}
}

func (l *Leader) catalog(now clock.Micros, ts []wire.MachineType) {
	if len(ts) == 0 {
		return
	}
	same := len(ts) == len(l.autoscaler.catalog)
	for i := range ts {
		same = same && l.autoscaler.catalog[i].Name == ts[i].Name && l.autoscaler.catalog[i].CPUs == ts[i].CPUs
	}
	l.setTypes(ts)
	if !same {
		// Kept in the store so that submissions can be judged while the cloud is away.
		l.commit(store.PriorityReads, nil, nil, []wire.Write{put(CatalogKey, wire.Catalog{Types: ts})})
		for _, n := range l.controllersByName() {
			l.emit(SendToHolder{n.link, peer.FromLeader{Term: l.term, Types: ts}})
		}
	}
}
