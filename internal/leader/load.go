package leader

import (
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// load takes in what the state service holds at the start of an epoch.
func (l *Leader) load(now clock.Micros, m StateLoaded) {
	l.wall = m.TimeOfDay - now
	l.viewed = m.RequestedAt
	l.loadBlocks(m.Items)
	for _, it := range m.Items {
		switch {
		case strings.HasPrefix(it.Key, JobPrefix):
			if r, ok := decode[JobRecord](l, it); ok {
				l.addJob(r, it.Version)
			}
		case strings.HasPrefix(it.Key, InstanceGroupPrefix):
			if r, ok := decode[InstanceGroupRecord](l, it); ok {
				l.loadRental(now, it, r)
			} else {
				l.unanswered[it.Key] = true // whatever machines it names may work
			}
		}
	}
	l.loadProgress(m.Items)
	l.loaded = true
	l.stirred = true
	l.emit(ListMachines{})
	l.listing = true
	l.lastList = now
	l.emit(LoadCatalog{})
	l.catalogAt = now
	l.info("leading", "epoch", l.epoch, "jobs", len(l.jobs), "machines", len(l.machines), "blocks", len(l.blocks))
}

// loadBlocks makes the blocks, to which the machines belong, and learns the machine types. The first
// leader of a state service stores how many blocks there are.
func (l *Leader) loadBlocks(items []wire.Item) {
	n, haveLayout := int(l.cfg.Tuning.Grants.Blocks), false
	stamps := map[string]uint64{}
	holders := map[string]ShardRecord{}
	for _, it := range items {
		switch {
		case it.Key == LayoutKey:
			if r, ok := decode[LayoutRecord](l, it); ok && r.Shards > 0 {
				n, haveLayout = r.Shards, true
			}
		case it.Key == CatalogKey:
			if c, ok := decode[wire.Catalog](l, it); ok {
				l.setTypes(c.Types)
			}
		case strings.HasPrefix(it.Key, shard.KeyPrefix):
			if r, ok := decode[ShardRecord](l, it); ok {
				stamps[it.Key], holders[it.Key] = it.Version, r
			}
		}
	}
	for i := range n {
		key := shard.Key(i)
		l.blocks = append(l.blocks, &leasedBlock{id: i, stamp: stamps[key], holder: holders[key].Holder, tasks: map[peer.Task]*grantedTask{}})
	}
	if !haveLayout {
		l.commit(store.PriorityUrgent, nil, []wire.Condition{{Key: LayoutKey}}, []wire.Write{put(LayoutKey, LayoutRecord{n})})
	}
}

// loadProgress takes in which tasks of the jobs are done. All others wait, until the start records say
// which of them may run.
func (l *Leader) loadProgress(items []wire.Item) {
	for _, it := range items {
		if strings.HasPrefix(it.Key, ProgressPrefix) {
			if r, ok := decode[ProgressRecord](l, it); ok {
				l.loadProgressPage(it, r)
			}
		}
	}
	for _, j := range l.jobs {
		for i := range j.record.Spec.Tasks {
			if j.isDone(i) {
				j.nDone++
				j.failures.MarkSound()
			}
		}
		j.fillWaiting()
	}
}

func (l *Leader) setTypes(ts []wire.MachineType) {
	l.typeList = ts
	for _, t := range ts {
		l.types[t.Name] = t
	}
	for _, m := range l.machines {
		m.opt.Type = l.types[m.opt.Type.Name]
	}
}

func (l *Leader) catalog(now clock.Micros, ts []wire.MachineType) {
	if len(ts) == 0 {
		return
	}
	same := len(ts) == len(l.typeList)
	for i := range ts {
		same = same && l.typeList[i].Name == ts[i].Name && l.typeList[i].CPUs == ts[i].CPUs
	}
	l.setTypes(ts)
	if !same {
		// Kept in the store so that submissions can be judged while the cloud is away.
		l.commit(store.PriorityReads, nil, nil, []wire.Write{put(CatalogKey, wire.Catalog{Types: ts})})
		for _, n := range l.byName() {
			l.emit(SendToHolder{n.link, peer.FromLeader{Term: l.epoch, Types: ts}})
		}
	}
}
