package leader

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"swiftledge/internal/block"
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fleet"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

func item(t *testing.T, key string, version uint64, v any) wire.Item {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return wire.Item{Key: key, Value: raw, Version: version}
}

// toldOf gathers the orders that the effects send to holders.
func toldOf(fx []any) (orders []peer.BlockOrders) {
	for _, e := range fx {
		if x, ok := e.(Tell); ok {
			orders = append(orders, x.Down.Orders...)
		}
	}
	return orders
}

func offers(fx []any) (n int) {
	for _, o := range toldOf(fx) {
		for _, of := range o.Offers {
			n += len(of.Indexes)
		}
	}
	return n
}

const began = 10 * clock.Second

var (
	spec  = wire.Job{Ref: "j-000001", Team: "red", Priority: wire.Standard, Tasks: 2, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	names = []string{"host-000000", "host-000001", "host-000002", "host-000003", "host-000004", "host-000005"}
)

// leading makes a leader of two blocks, both held by n0, whose start records are
// not read yet.
func leading(t *testing.T) *Leader {
	t.Helper()
	return leadingWith(t, config.DefaultTuning())
}

// leadingWith is leading with other settings of the operators.
func leadingWith(t *testing.T, tuning config.Tuning) *Leader {
	t.Helper()
	cfg := &config.Config{Tuning: tuning}
	cfg.Name = "n0"
	cfg.Facts.InitialSize = 1
	cfg.Facts.State.TxnOps = 8
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}
	l := New(cfg, func() bool { return true })
	now := began
	l.Step(now, Elected{Epoch: 5})
	l.Step(now, Authority{Until: now + 100*clock.Second})
	l.Step(now, Joined{Node: "n0", Link: "link"})
	l.Step(now, Loaded{Epoch: 5, Asked: now, Items: []wire.Item{
		item(t, LayoutKey, 1, LayoutRecord{Blocks: 2}),
		item(t, CatalogKey, 1, wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, ZoneNames: []string{"a"}}}}),
		item(t, JobPrefix+spec.Ref, 2, JobRecord{Spec: spec}),
		item(t, FleetPrefix+"r1", 3, FleetRecord{Rental: wire.Rental{Type: "small", Zone: "a"}, Machines: names, Asked: true}),
	}})
	fx := l.Step(now, Tick{})
	for _, e := range fx {
		if c, ok := e.(Commit); ok {
			if tag, ok := c.Tag.(blocksTag); ok {
				l.Step(now, Committed{Epoch: 5, Tag: tag, Outcome: store.Outcome{OK: true, Revision: 9}})
			}
		}
	}
	return l
}

// A new leader hands out nothing before it has read every block's start
// records: a task that waits in its books may run in a block not read yet.
func TestNothingIsOfferedBeforeAllRecordsAreRead(t *testing.T) {
	l := leading(t)
	now := began
	up := func(b int) []any {
		u := peer.BlockUpdate{Block: b, Token: l.blocks[b].token}
		for _, n := range names {
			if block.Of(n, 2) == b {
				u.Machines = append(u.Machines, peer.MachineState{Name: n, Type: "small", Zone: "a", Fit: true, CPUs: 4, Memory: 8})
			}
		}
		now += clock.Second
		return l.Step(now, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, StoreOK: true, Updates: []peer.BlockUpdate{u}}})
	}
	l.Step(now, Records{Epoch: 5, Block: 0, Token: l.blocks[0].token})
	if n := offers(up(0)); n != 0 {
		t.Fatalf("%d tasks offered while block 1 is not read", n)
	}
	fx := l.Step(now, Records{Epoch: 5, Block: 1, Token: l.blocks[1].token, Pages: map[string]peer.RecordPage{"run/001/1-1": {Machines: names[:1],
		Groups: []peer.RecordGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Starts: []int{0, 1, 0}}}}}})
	if n := offers(fx); n != 1 {
		t.Errorf("%d tasks offered, want the one that no record names", n)
	}
}

// An abort that is seen while a progress write is under way stops the tasks.
func TestAbortDuringProgressWrite(t *testing.T) {
	l := leading(t)
	page := peer.RecordPage{Machines: names[:1], Groups: []peer.RecordGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Starts: []int{0, 1, 0, 1, 2, 0}}}}
	b := block.Of(names[0], 2)
	l.Step(began, Records{Epoch: 5, Block: b, Token: l.blocks[b].token, Pages: map[string]peer.RecordPage{"p": page}})
	l.Step(began, Records{Epoch: 5, Block: 1 - b, Token: l.blocks[1-b].token})
	fx := l.Step(began, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, Updates: []peer.BlockUpdate{{Block: b, Token: l.blocks[b].token,
		Events: []peer.Event{{Task: peer.Task{Job: spec.Ref, Index: 0}, Kind: peer.Done, Machine: names[0]}}}}}})
	writes := 0
	for _, e := range append(fx, l.Step(began+progressEvery, Tick{})...) {
		if c, ok := e.(Commit); ok && strings.HasPrefix(c.Txn.Then[0].Put, ProgPrefix) {
			writes++
		}
	}
	if writes != 1 || !l.progressPages[0].busy {
		t.Fatalf("%d progress writes under way, want 1", writes)
	}
	var stopped []peer.StopTask
	for _, e := range l.Step(began+progressEvery, Watched{Epoch: 5, Events: []wire.Event{{Delete: JobPrefix + spec.Ref, Version: 20}}}) {
		if x, ok := e.(Tell); ok {
			for _, o := range x.Down.Orders {
				stopped = append(stopped, o.Stop...)
			}
		}
	}
	// The completed one, too: it must stay listed while a copy of its order can come late.
	if len(stopped) != 2 || stopped[0].Index != 1 || stopped[1].Index != 0 {
		t.Errorf("stops %v, want tasks 1 and 0", stopped)
	}
}

// What would always come last has its turn: a job that has not begun in time goes
// first, and each class, and what has waited long, has a least share.
func TestQueueStarvesNobody(t *testing.T) {
	mk := func(class string, waitedLong, begun bool) *queued {
		j := &job{record: JobRecord{Spec: wire.Job{Class: class, Tasks: 9, CPUs: 1}}, nWant: 1, out: map[int]int{}}
		if begun {
			j.out[0] = 1
		}
		return &queued{j: j, waitedLong: waitedLong}
	}
	first, second, old, never := mk("a", false, true), mk("b", false, true), mk("a", true, true), mk("a", true, false)
	tq := &teamQueue{u: &use{cpus: 100}, q: []*queued{first, second, old, never}, use: map[string]float64{"a": 60, "b": 30, longWaiting: 30}}
	for _, c := range []struct {
		what string
		set  func()
		want *queued
	}{
		{"not begun in time", func() {}, never},
		{"nothing starves", func() { never.exhausted = true }, first},
		{"a class below its least share", func() { tq.use["b"] = 5 }, second},
		{"long waits below their least share", func() { tq.use["b"], tq.use[longWaiting] = 30, 5 }, old},
		{"nothing of it can be handed out", func() { old.exhausted = true }, first},
	} {
		c.set()
		if got, _ := tq.next(0.1); got != c.want {
			t.Errorf("%s: job of class %s, waiting for long: %t, is next", c.what, got.j.record.Spec.Class, got.waitedLong)
		}
	}
}

// A machine that is only heard of may be a late copy's ghost: it is not taken into
// the roster before it is listed or has shown a holder's token.
func TestGhostIsNotAdopted(t *testing.T) {
	l := leading(t)
	s := peer.MachineState{Name: "host-000900", Type: "small", Zone: "a"}
	if l.machineState(began, s); len(l.found) != 0 {
		t.Error("a machine that no token reached counts as found")
	}
	s.Shown = true
	if l.machineState(began, s); len(l.found) != 1 {
		t.Error("a machine that has shown its holder's token is not found")
	}
}

// What a former leader has deleted leaves the roster on its holder's word.
func TestHolderTellsOfDeletedMachine(t *testing.T) {
	l := leading(t)
	l.machineState(began, peer.MachineState{Name: names[0], Gone: true})
	if l.machines[names[0]] != nil || !l.gone[names[0]] || l.machines[names[1]] == nil {
		t.Error("the deleted machine, and no other, must leave the books")
	}
}

// Ordinary machines that the queue is not worth get no work, so that they can be
// returned; while the cloud answers nothing they serve like those at rest, or all would
// wait beside idle machines.
func TestOrdinaryMachinesServeWhileTheCloudIsAway(t *testing.T) {
	b := &leasedBlock{state: granted}
	m := &machine{name: "m", block: b}
	l := &Leader{epochState: epochState{machines: map[string]*machine{"m": m}}}
	d := fleet.Decision{Cordon: []string{"m"}}
	if l.rest(d, false); !m.cordoned || m.rest {
		t.Errorf("cordoned %v, at rest %v; want cordoned", m.cordoned, m.rest)
	}
	if l.rest(d, true); m.cordoned || !m.rest {
		t.Errorf("cordoned %v, at rest %v while the cloud is away; want at rest", m.cordoned, m.rest)
	}
}

// granting makes a leader whose blocks are granted, all machines up and empty.
func granting(t *testing.T, pages map[string]peer.RecordPage) *Leader {
	t.Helper()
	l := leading(t)
	for b := range l.blocks {
		m := Records{Epoch: 5, Block: b, Token: l.blocks[b].token}
		if b == block.Of(names[0], 2) {
			m.Pages = pages
		}
		l.Step(began, m)
	}
	for b := range l.blocks {
		u := peer.BlockUpdate{Block: b, Token: l.blocks[b].token}
		for _, n := range names {
			if block.Of(n, 2) == b {
				u.Machines = append(u.Machines, peer.MachineState{Name: n, Type: "small", Zone: "a", Fit: true, Shown: true, CPUs: 4, Memory: 8})
			}
		}
		l.Step(began, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, StoreOK: true, Updates: []peer.BlockUpdate{u}}})
	}
	return l
}

// A replica that ends with done runs again, and its worker is told to forget it only after
// a higher token: a late copy of its order would start it beside the new attempt.
func TestDoneReplicaRunsAgain(t *testing.T) {
	page := peer.RecordPage{Machines: names[:1], Groups: []peer.RecordGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Starts: []int{0, 1, 0, 1, 2, 0}}}}
	l := granting(t, map[string]peer.RecordPage{"p": page})
	j := l.jobs[spec.Ref]
	j.record.Spec.Shape = wire.Service
	b := l.blocks[block.Of(names[0], 2)]
	one := peer.Task{Job: spec.Ref, Index: 0}
	fx := l.Step(began+clock.Second, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, Updates: []peer.BlockUpdate{{Block: b.id, Token: b.token,
		Events: []peer.Event{{Task: one, Kind: peer.Done, Machine: names[0]}}}}}})
	stopped, stored := false, false
	for _, o := range toldOf(fx) {
		stopped = stopped || len(o.Stop) == 1 && o.Stop[0].Task == one
		stored = stored || len(o.Stored) == 1 && o.Stored[0] == one
	}
	if !stopped || !stored || j.nDone != 0 {
		t.Errorf("told to keep it listed %v, that it is settled %v, %d tasks done", stopped, stored, j.nDone)
	}
	if n := offers(fx); n != 1 {
		t.Errorf("%d tasks offered, want the replica again", n)
	}
}

// Progress that was stored when values could be larger is neither lost nor written as it
// is: its chunks go to progress pages that fit, and the old one is deleted only when all are there.
func TestProgressPageOfTheOldSizeIsSplit(t *testing.T) {
	l := leading(t)
	const n = 40
	old := &progressPage{key: ProgPrefix + "1-1", stamp: 7, size: 32}
	var r ProgRecord
	var refs []string
	for i := range n {
		s := spec
		s.Ref, s.Tasks = "j-20000"+string(rune('0'+i/10))+string(rune('0'+i%10)), 300
		l.addJob(JobRecord{Spec: s}, 3).fillWaiting()
		refs = append(refs, s.Ref)
		r.Units = append(r.Units, ProgUnit{Job: s.Ref, Bits: []byte{5}})
	}
	l.valueBytes = 1800
	it := item(t, old.key, old.stamp, r)
	l.loadProgressPage(it, r)
	left := map[any]Commit{}
	for round := 1; round <= 3; round++ {
		for _, e := range l.Step(began+clock.Micros(round)*progressEvery, Tick{}) {
			c, ok := e.(Commit)
			if !ok || c.Tag == nil && c.Txn.Then[0].Delete == "" {
				continue
			}
			if c.Txn.Then[0].Delete == old.key && len(left) > 0 {
				t.Fatal("the old progress page is deleted before its chunks are stored elsewhere")
			}
			if tag, ok := c.Tag.(progTag); ok {
				if len(c.Txn.Then[0].Value) > l.valueBytes || c.Txn.Then[0].Put == old.key {
					t.Errorf("%s is written with %d bytes", c.Txn.Then[0].Put, len(c.Txn.Then[0].Value))
				}
				left[tag.progressPage] = c
			}
			if c.Txn.Then[0].Delete == old.key {
				left[nil] = c
			}
		}
		if round == 1 {
			for s, c := range left {
				delete(left, s)
				l.Step(began+progressEvery, Committed{Epoch: 5, Tag: c.Tag, Outcome: store.Outcome{OK: true, Revision: 20}})
			}
		}
	}
	if _, deleted := left[nil]; !deleted {
		t.Error("the old progress page is never deleted")
	}
	for _, ref := range refs {
		if j := l.jobs[ref]; !j.stored(0) || !j.stored(2) || j.stored(1) {
			t.Errorf("%s lost what was stored of it", ref)
		}
	}
}

// Room for services is rented before they come: for what came lately while a machine boots,
// and some for a class that is expected sooner than that and of which nothing is known.
func TestRoomIsRentedAheadForServices(t *testing.T) {
	l := leading(t)
	l.setTypes([]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 30, ZoneNames: []string{"a"}}})
	if l.warm() != nil {
		t.Error("room is kept though nothing is awaited")
	}
	cfg := *l.cfg
	cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 20}, {Kind: "wait", Class: "batch", WithinS: 4}, {Kind: "deadline", Class: "batch"}}
	l.awaited = New(&cfg, l.storeOK).awaited
	if l.warm() != nil {
		t.Error("room is kept on a site where nothing runs")
	}
	l.use("red").cpus = 1000
	if w := l.warm(); w == nil || w.Tasks != warmCPUs {
		t.Errorf("room kept for an awaited class: %+v", w)
	}
	s := spec
	s.Ref, s.Class, s.Shape, s.Tasks = "j-300000", "web", wire.Service, 6
	j := l.addJob(JobRecord{Spec: s, At: began}, 3)
	if l.warm() != nil {
		t.Error("room is kept for a class that has come")
	}
	n := &needs{byKey: map[needKey]*fleet.Need{}}
	if l.reserve(began, n); len(n.list) != 1 || n.list[0].Tasks <= 6 {
		t.Errorf("room kept for services like one of 6 replicas that has just come: %+v, want for more than as many", n.list)
	}
	total := 0
	for _, need := range l.needs(began) {
		total += need.Tasks
	}
	if total <= 6+spec.Tasks {
		t.Errorf("%d slots wanted in all", total)
	}
	// What must be spread over zones needs room in each.
	l.setTypes([]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 30, ZoneNames: []string{"a", "b", "c"}}})
	j.record.Spec.Spread = true
	n = &needs{byKey: map[needKey]*fleet.Need{}}
	l.needStanding(began, n, j, 6)
	for _, need := range n.list {
		if need.Tasks != 2 || need.Zone == "" {
			t.Errorf("%d slots wanted in zone %q, want 2 in each of three", need.Tasks, need.Zone)
		}
	}
	if len(n.list) != 3 {
		t.Errorf("%d needs, want one for each zone", len(n.list))
	}
}

// Blocks stay with a controller that can answer their workers while the others are linked
// through the state service only: there a grant may take longer than a lease lasts.
func TestBlocksStayWhileLinksAreSlow(t *testing.T) {
	moved := func(slow bool) bool {
		l := granting(t, nil)
		l.cfg.Facts.Quota.CPU, l.cfg.Facts.Workers.ReportS = 0.1, 3
		l.Step(began+clock.Second, Joined{Node: "n1", Link: "other", Slow: slow})
		said := Said{Node: "n1", Link: "other", Up: &peer.Up{Epoch: 5, StoreOK: true}}
		for i := range 20 {
			now := began + clock.Second + clock.Micros(i)*clock.Second/4
			l.Step(now, said)
			l.Step(now, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, StoreOK: true}})
			l.Step(now, Tick{})
		}
		return l.blocks[0].holder == "n1" || l.blocks[1].holder == "n1"
	}
	if moved(true) {
		t.Error("a block goes to a controller with a slow link")
	}
	if !moved(false) {
		t.Error("no block goes to a controller with a link")
	}
}

// Roster records fit into a value: what is found is taken in pieces, and one of the time when
// values could be larger is left alone until less is left of it.
func TestRosterRecordsFit(t *testing.T) {
	l := granting(t, nil)
	l.valueBytes = 1800
	var many []string
	for i := range 200 {
		name := fmt.Sprintf("host-%06d", 1000+i)
		many = append(many, name)
		l.found[name] = wire.Machine{Name: name, Type: "small", Zone: "a"}
	}
	l.fx = nil
	l.adopt(began)
	n := 0
	for _, e := range l.fx {
		if c, ok := e.(Commit); ok {
			n++
			if len(c.Txn.Then[0].Value) > l.valueBytes {
				t.Errorf("a record of %d bytes", len(c.Txn.Then[0].Value))
			}
		}
	}
	if n < 2 {
		t.Errorf("%d records for 200 machines", n)
	}
	rt := &rental{key: "fleet/old", stamp: 3, record: FleetRecord{Machines: many, Asked: true}}
	l.gone[many[0]] = true
	l.fx = nil
	if l.pruneRental(began+clock.Minute, rt); len(l.fx) > 0 {
		t.Error("a record that is too large is written as it is")
	}
	for _, name := range many[:150] {
		l.gone[name] = true
	}
	if l.pruneRental(began+2*clock.Minute, rt); len(l.fx) != 1 || len(rt.record.Machines) != 50 {
		t.Errorf("%d machines left in the record, written %d times", len(rt.record.Machines), len(l.fx))
	}
}

// A refusal for its form makes what the leader writes smaller.
func TestLeaderWritesSmallerAfterARefusal(t *testing.T) {
	l := granting(t, nil)
	l.valueBytes, l.txnOps = 3600, 8
	l.Step(began, Committed{Epoch: 5, Tag: endTag{"j-999999"}, Outcome: store.Outcome{Malformed: true}})
	if l.valueBytes != 1800 || l.txnOps != 4 {
		t.Errorf("values of %d bytes, %d operations", l.valueBytes, l.txnOps)
	}
}

// A service has no progress, whatever a version that took it for a batch has stored: all its
// replicas run, and it is never done.
func TestServiceHasNoProgress(t *testing.T) {
	l := leading(t)
	s := spec
	s.Ref, s.Shape = "j-400000", wire.Service
	j := l.addJob(JobRecord{Spec: s}, 3)
	r := ProgRecord{Units: []ProgUnit{{Job: s.Ref, Bits: []byte{3}}}}
	l.loadProgressPage(item(t, ProgPrefix+"1-1", 7, r), r)
	if j.isDone(0) || j.isDone(1) {
		t.Error("replicas count as done")
	}
}

// A machine is faulty that fails replicas of a service which run well elsewhere.
func TestMachineThatFailsReplicasIsDrained(t *testing.T) {
	page := peer.RecordPage{Machines: names[:1], Groups: []peer.RecordGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Starts: []int{0, 1, 0}}}}
	l := granting(t, map[string]peer.RecordPage{"p": page})
	j := l.jobs[spec.Ref]
	j.record.Spec.Shape = wire.Service
	b := l.blocks[block.Of(names[0], 2)]
	l.Step(began, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, Updates: []peer.BlockUpdate{{Block: b.id, Token: b.token,
		Events: []peer.Event{{Task: peer.Task{Job: spec.Ref, Index: 0}, Kind: peer.Running, Machine: names[0]}}}}}})
	l.errored(began+2*steady, j, peer.Event{Task: peer.Task{Job: spec.Ref, Index: 1}, Machine: names[1]}, &grantedTask{})
	if l.machines[names[1]].drain {
		t.Error("drained after a single failure")
	}
	l.errored(began+2*steady, j, peer.Event{Task: peer.Task{Job: spec.Ref, Index: 1}, Machine: names[1]}, &grantedTask{})
	if !l.machines[names[1]].drain {
		t.Error("not drained after two failures while another replica runs")
	}
}

// What a new leader finds running of a job that is over is to be stopped by the very message
// that grants its block: a report answered between the two would renew its lease.
func TestStopsComeWithTheGrant(t *testing.T) {
	l := leading(t)
	over := peer.Task{Job: "j-000009", Index: 4}
	fx := l.Step(began, Records{Epoch: 5, Block: 0, Token: l.blocks[0].token, Pages: map[string]peer.RecordPage{"run/000/1-1": {Machines: names[:1],
		Groups: []peer.RecordGroup{{Job: over.Job, Team: "red", CPUs: 3, Starts: []int{over.Index, 1, 0}}}}}})
	found := false
	for _, e := range fx {
		if x, ok := e.(Tell); ok && len(x.Down.Grants) > 0 {
			for _, o := range x.Down.Orders {
				found = found || o.Block == 0 && o.Token == l.blocks[0].token && len(o.Stop) == 1 && o.Stop[0].Task == over
			}
		}
	}
	if !found {
		t.Error("the grant does not say what is to be stopped")
	}
	if l.use("red").cpus != 3 {
		t.Errorf("%g processors count, want the 3 of what may still run", l.use("red").cpus)
	}
}

// A controller left alone takes as many blocks as it can answer all workers of, by what a
// report is measured to cost: with fewer, tasks end with leases that it could have kept, with
// more every answer is late.
func TestLoneControllerTakesWhatItCanAnswer(t *testing.T) {
	for _, c := range []struct {
		cpu      float64
		machines int
		reportS  float64
		least    int
		most     int
	}{{0.029, 600, 3, 5, 6}, {0.029, 500, 3, 6, 6}, {0.029, 900, 3, 3, 4}, {0.029, 4000, 3, 3, 3}, {0.192, 1750, 5, 6, 6}} {
		l := leading(t)
		l.cfg.Facts.InitialSize, l.cfg.Facts.Quota.CPU, l.cfg.Facts.Workers.ReportS = 3, c.cpu, c.reportS
		l.blocks = make([]*leasedBlock, 6)
		for i := range c.machines {
			l.machines[fmt.Sprint("more", i)] = &machine{}
		}
		if n := l.mostBlocks(); n < c.least || n > c.most {
			t.Errorf("%g of a core and %d machines: %d of 6 blocks, want %d to %d", c.cpu, c.machines, n, c.least, c.most)
		}
	}
}

// A rental that a former leader recorded, and whose answer was lost with it, is asked for again
// under its name, which gives the same machines: they may be up already and have shown themselves.
func TestRentalOfAFormerLeaderIsAskedAgain(t *testing.T) {
	l := leading(t)
	rental := wire.Rental{Request: "r-3-1", Type: "small", Zone: "a", Spot: true, Count: 2}
	l.Step(began, Deposed{})
	l.Step(began, Elected{Epoch: 7})
	l.Step(began, Authority{Until: began + 100*clock.Second})
	fx := l.Step(began, Loaded{Epoch: 7, Asked: began, Items: []wire.Item{item(t, LayoutKey, 1, LayoutRecord{Blocks: 2}),
		item(t, FleetPrefix+rental.Request, 3, FleetRecord{Rental: rental})}})
	asked := 0
	for _, e := range fx {
		if r, ok := e.(Rent); ok && r.Rental == rental {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("asked %d times for what a former leader has rented", asked)
	}
	// Its machines are in the roster once they are written there, and not before.
	l.Step(began, Rented{Epoch: 7, Request: rental.Request, Machines: names[:2]})
	if l.machines[names[0]] != nil {
		t.Error("used before the roster has it")
	}
	l.Step(began, Committed{Epoch: 7, Tag: fleetTag{FleetPrefix + rental.Request}, Outcome: store.Outcome{OK: true, Revision: 9}})
	if l.machines[names[0]] == nil || l.machines[names[1]] == nil {
		t.Error("not in the roster once that is written")
	}
}

// blockWrites counts the blocks whose keys the effects write for a holder.
func blockWrites(t *testing.T, fx []any, holder string) (n int) {
	t.Helper()
	for _, e := range fx {
		c, ok := e.(Commit)
		if !ok {
			continue
		}
		for _, w := range c.Txn.Then {
			if !strings.HasPrefix(w.Put, block.KeyPrefix) {
				continue
			}
			var r BlockRecord
			if err := json.Unmarshal(w.Value, &r); err != nil {
				t.Fatal(err)
			}
			if r.Holder == holder {
				n++
			}
		}
	}
	return n
}

// withBlocks makes a leader on n0 of six blocks that three controllers held, and many machines.
func withBlocks(t *testing.T, cpu float64, machines int, holders []string) *Leader {
	t.Helper()
	l := leading(t)
	f := &l.cfg.Facts
	f.InitialSize, f.Quota.CPU, f.Workers.ReportS, f.Workers.LeaseS = 3, cpu, 3, 17
	l.blocks = nil
	for i, h := range holders {
		l.blocks = append(l.blocks, &leasedBlock{id: i, holder: h, known: true, tasks: map[peer.Task]*grantedTask{}})
	}
	for _, m := range l.machines {
		m.block = l.blocks[0]
	}
	for i := range machines {
		name := fmt.Sprint("more", i)
		l.machines[name] = &machine{name: name, block: l.blocks[i%len(l.blocks)]}
	}
	return l
}

// The machines of controllers that are lost come to the one that is left block by block, as fast
// as its share of a core can take their workers in: with all at once it was late with every
// answer, lost its own lease, and users were not answered for seconds. A large share takes all.
func TestBlocksAreTakenOverOneAfterTheOther(t *testing.T) {
	for _, c := range []struct {
		cpu      float64
		machines int
		most     int // blocks of others within half a second
	}{{0.029, 500, 1}, {0.96, 500, 4}} {
		l := withBlocks(t, c.cpu, c.machines, []string{"n0", "n0", "n1", "n1", "n2", "n2"})
		taken, last := 0, clock.Micros(0)
		within := 0
		for at := began + 2*clock.Second; taken < 4 && at < began+10*clock.Second; at += clock.Second / 4 {
			l.Step(at, Authority{Until: at + 3*clock.Second})
			l.nodes["n0"].heard = at
			l.viewed = at
			before := taken
			l.Step(at, Tick{})
			taken = 0
			for _, b := range l.blocks[2:] {
				if b.holder == "n0" {
					taken++
				}
			}
			if taken > before {
				within = max(within, taken-before)
				last = at
			}
		}
		if within > c.most {
			t.Errorf("%g of a core: %d blocks at once, want at most %d", c.cpu, within, c.most)
		}
		if taken < 3 || last > began+8*clock.Second {
			t.Errorf("%g of a core: %d blocks of the others taken, the last after %g s", c.cpu, taken, (last - began).Seconds())
		}
	}
}

// A controller that comes back relieves the one that was left alone of all blocks beyond its part
// together: one after the other, each takes the overloaded leader a second or more.
func TestBlocksMoveTogetherToAControllerThatIsBack(t *testing.T) {
	l := withBlocks(t, 0.029, 500, []string{"n0", "n0", "n0", "n0", "n0", "n0"})
	for _, b := range l.blocks {
		b.state, b.link = granted, "link"
	}
	joined := began + 5*clock.Second
	l.Step(joined, Authority{Until: joined + 10*clock.Second})
	l.nodes["n0"].heard = joined
	l.Step(joined, Joined{Node: "n1", Link: "other"})
	if n := blockWrites(t, l.Step(joined+settleTime/2, Tick{}), "n1"); n != 0 {
		t.Errorf("%d blocks move before the controller has settled", n)
	}
	if n := blockWrites(t, l.Step(joined+2*settleTime, Tick{}), "n1"); n < 2 || n > 3 {
		t.Errorf("%d blocks move, want two or three of six", n)
	}
}
