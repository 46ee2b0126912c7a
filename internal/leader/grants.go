package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

type blockState int

const (
	loose   blockState = iota // no holder under this epoch
	writing                   // its key is being written
	reading                   // its start records are being read
	granted
)

// grantedTask is a task that is in a block's grant: it counts in full.
type grantedTask struct {
	team       string
	cpus, gpus float64
	zone       string
	running    bool
	remains    bool         // one of several attempts has ended, and another may run yet
	inherited  bool         // from the start records of an earlier grant
	since      clock.Micros // when it was first seen to run
	machine    string
	givenAt    clock.Micros // to its machine; 0: not known
	cached     bool         // its image was known to be there then
	stopped    string       // why it was told to stop, if it was
	stoppedAt  clock.Micros
}

type leasedBlock struct {
	id       int
	state    blockState
	token    wire.FencingToken
	stamp    uint64
	holder   string
	link     any
	tasks    map[peer.Task]*grantedTask
	offerSeq uint64
	offered  bool         // an offer is not settled yet
	known    bool         // its start records were read in this epoch
	homeless clock.Micros // since when it has no holder in touch; 0: it has
	orders   peer.ShardOrders
	unstored []peer.Task // told done, not stored yet
}

// holders names who answers for each block, for redirects.
func (l *Leader) holders() []string {
	if !l.loaded {
		return nil
	}
	out := make([]string, len(l.blocks))
	for i, b := range l.blocks {
		out[i] = b.holder
	}
	return out
}

// reportCost is what a worker's report a second takes of a core, all that follows from it and
// the reports of changes included: 600 machines that report every 3 s take three controllers
// 0.022 of a core, 0.00011 for each report. What is more is left for who leads besides.
const reportCost = 0.00015

// mostBlocks is how many blocks a controller takes at once when others are out of
// touch: it must be able to answer the workers of all. More would make it late with
// every answer, so that the workers of its own blocks lose their leases, too.
func (l *Leader) mostBlocks() int {
	f := &l.cfg.Facts
	size := max(f.InitialSize, 1)
	share := (len(l.blocks)+size-1)/size + max(1, len(l.blocks)/6)
	return max(share, l.answerable())
}

// answerable is of how many blocks one controller can answer all workers.
func (l *Leader) answerable() int {
	f := &l.cfg.Facts
	able := f.Quota.CPU / reportCost * f.Workers.ReportS / max(1, float64(len(l.machines))) * float64(len(l.blocks))
	return int(min(able, float64(len(l.blocks))))
}

// takeoverCost is what it takes of a core-second to take over one machine: its worker connects,
// reports, learns the new token, reports again, and is told of its tasks.
const takeoverCost = 0.0003

// leastPace bounds how many blocks a controller takes over within a worker's lease.
const leastPace = 16

// takeoverTime is how long a controller is busy with the workers of a block that it takes over.
// Several blocks at once would make it late with every answer and cost a leader its lease.
func (l *Leader) takeoverTime() clock.Micros {
	machines := float64(len(l.machines)) / float64(len(l.blocks))
	busy := machines * takeoverCost / l.cfg.Facts.Quota.CPU
	return clock.FromSeconds(min(busy, l.cfg.LeaseTime().Seconds()/leastPace))
}

// patience is how long blocks beyond that wait for a holder to come back: the last
// answers of the former one hold its workers' leases for longer.
func (l *Leader) patience() clock.Micros {
	if l.cfg.Facts.InitialSize <= 1 {
		return 0
	}
	return l.cfg.LeaseTime() * 9 / 10
}

func (l *Leader) refusedByStore(name string, now clock.Micros) bool {
	n := l.nodes[name]
	return n.refusedSince > 0 && now-n.refusedSince > 3*clock.Second
}

// blindFor is how long a controller that heard no worker is left without blocks.
const blindFor = 30 * clock.Second

func (l *Leader) blind(name string, now clock.Micros) bool {
	n := l.nodes[name]
	return n.blindAt > 0 && now-n.blindAt < blindFor
}

// bias lets the leader have fewer blocks, as it has more to do.
func (l *Leader) bias(name string) int {
	if name == l.self {
		return 1
	}
	return 0
}

// tokenBits is how many low bits of a token count within its epoch, at first.
const tokenBits = 12

// tokensLeft says whether this epoch may give that many more tokens. A later epoch is a later revision
// of the state service than any at which a write of this one succeeded, as those are guarded on our
// leader key. So the count may run over its bits as far as that revision's tokens go: each grant
// that is written makes room for thousands more, and an epoch does not use its tokens up.
func (l *Leader) tokensLeft(more int) bool {
	first := uint64(l.epoch) << tokenBits
	return first+l.tokens+uint64(more) < (max(uint64(l.epoch), l.written)+1)<<tokenBits
}

type blocksTag struct{ tokens map[int]wire.FencingToken }

func (l *Leader) writeBlocks(bs []*leasedBlock) {
	tag := blocksTag{map[int]wire.FencingToken{}}
	var guards []wire.Condition
	var writes []wire.Write
	if !l.tokensLeft(len(bs)) {
		l.emit(Resign{"no token is left that a later leader's are surely higher than"})
		return
	}
	for _, b := range bs {
		l.tokens++
		b.state = writing
		b.token = wire.FencingToken(uint64(l.epoch)<<tokenBits + l.tokens)
		var run cluster.Incarnation
		b.link = nil
		if n := l.nodes[b.holder]; n != nil {
			b.link, run = n.link, n.run
		}
		tag.tokens[b.id] = b.token
		guards = append(guards, wire.Condition{Key: shard.Key(b.id), Version: b.stamp})
		writes = append(writes, put(shard.Key(b.id), ShardRecord{FencingToken: b.token, Holder: b.holder, Incarnation: run}))
	}
	l.commit(store.PriorityUrgent, tag, guards, writes)
}

func (l *Leader) blocksWritten(now clock.Micros, tag blocksTag, o store.TxnResult) {
	for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
		b, token := l.blocks[id], tag.tokens[id]
		if b.state != writing || b.token != token {
			continue
		}
		if o.Committed {
			b.stamp = o.Revision
			b.state = reading
			l.emit(LoadAttempts{l.epoch, id, token})
			continue
		}
		// Only a try of our own that got no answer can have changed the key.
		l.emit(ReadKey{l.epoch, shard.Key(id), tag})
	}
}

// records takes in what may run in a block, from its start records, and grants the block to its
// holder, if it has one.
func (l *Leader) records(m AttemptsLoaded) {
	b := l.blocks[m.Shard]
	if b.state != reading || b.token != m.FencingToken {
		return
	}
	l.chargeRecords(b, m.Pages)
	b.known = true
	if b.link == nil {
		b.state = loose // it waits for a holder
		return
	}
	b.state, b.homeless = granted, 0
	l.tellGrant(b, m.Pages)
	l.emit(Log{Debug: true, Message: "block granted", Attributes: []any{"block", b.id, "holder", b.holder, "token", b.token, "tasks", len(b.tasks)}})
}

// chargeRecords replaces what counts as running in a block by what its start records name.
func (l *Leader) chargeRecords(b *leasedBlock, pages map[string]peer.AttemptPage) {
	old := b.tasks
	b.tasks = map[peer.Task]*grantedTask{}
	b.unstored = nil
	b.offered = false
	b.orders = peer.ShardOrders{Shard: b.id, FencingToken: b.token}
	for _, h := range old {
		l.charge(h, -1)
	}
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		page := pages[key]
		for i := range page.Groups {
			group := &page.Groups[i]
			records, err := page.Records(group)
			if err != nil {
				l.info("start records", "error", err) // not reached: pages are checked when read
			}
			for _, r := range records {
				l.chargeRecord(b, group, r, old)
			}
		}
	}
	// What has no record cannot have been started: the record's guard would fail now.
	for t := range old {
		if j := l.jobOf(t); j != nil && b.tasks[t] == nil {
			j.giveBack(t.Index)
		}
	}
}

// chargeRecord counts one start record. A task of a job that is over or unknown is to be stopped.
func (l *Leader) chargeRecord(b *leasedBlock, group *peer.AttemptGroup, r peer.AttemptRecord, old map[peer.Task]*grantedTask) {
	t := peer.Task{Job: group.Job, Index: r.Index}
	if b.tasks[t] != nil {
		return
	}
	h := &grantedTask{team: group.Team, cpus: group.CPUs, gpus: group.GPUs, machine: r.Machine, inherited: true}
	if m := l.machines[r.Machine]; m != nil {
		h.zone = m.opt.Zone
	}
	b.tasks[t] = h
	l.charge(h, 1)
	j := l.jobOf(t)
	if old[t] == nil && j != nil {
		j.takeOut(t.Index)
	}
	if j == nil || j.cancelled {
		b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
	}
}

// tellGrant sends a block's grant to its holder and the new list of holders to all.
func (l *Leader) tellGrant(b *leasedBlock, pages map[string]peer.AttemptPage) {
	var roster []peer.InventoryMachine
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.block != b {
			continue
		}
		if m.drain {
			b.orders.Drain = append(b.orders.Drain, name)
		}
		m.state.Schedulable, m.out = false, false
		roster = append(roster, peer.InventoryMachine{Name: name, Address: m.address})
	}
	roster = append(roster, l.listUnlisted(b, pages)...)
	// A controller that linked up before the epoch was loaded knows no types yet.
	// What is to be stopped comes with the grant: no report may be answered between the two.
	l.emit(SendToHolder{b.link, peer.FromLeader{Term: l.epoch, Holders: l.holders(), Types: l.typeList, Orders: []peer.ShardOrders{b.orders},
		Grants: []peer.ShardGrant{{Shard: b.id, FencingToken: b.token, KeyVersion: b.stamp, Pages: pages, Machines: roster}}}})
	b.orders = peer.ShardOrders{}
	for _, n := range l.byName() {
		if n.link != b.link {
			l.emit(SendToHolder{n.link, peer.FromLeader{Term: l.epoch, Holders: l.holders(), Types: l.typeList}})
		}
	}
}

func (l *Leader) charge(h *grantedTask, sign float64) {
	u := l.use(h.team)
	u.cpus += sign * h.cpus
	u.gpus += sign * h.gpus
}

// release takes a task out of a block's grant.
func (l *Leader) release(b *leasedBlock, t peer.Task) *grantedTask {
	h := b.tasks[t]
	if h != nil {
		delete(b.tasks, t)
		l.charge(h, -1)
	}
	return h
}
