package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-json"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

type node struct {
	name    string
	run     cluster.Incarnation
	link    any
	slow    bool // messages take seconds
	joined  clock.Micros
	heard   clock.Micros
	blindAt clock.Micros // when it last heard none of its workers
	tried   clock.Micros // when it was last given a block after that
	// until when it is busy with the workers of the block that it took over last
	busyUntil    clock.Micros
	refusedSince clock.Micros // since when the state service refuses it; 0: it does not
}

// decisions counts, for the log, how many tasks of this epoch ended without a result, by cause.
type decisions struct {
	failed        int // by themselves, of jobs that are not suspect
	failedSuspect int
	preempted     int
}

// Leader is the actor's state.
type Leader struct {
	settings
	epochState
	fx     []any // effects of the step under way
	pauses pausedetect.Detector
}

// settings are what stays the same for as long as the process runs.
type settings struct {
	cfg     *config.Config
	self    string
	storeOK func() bool
	teams   map[string]config.Team
	within  map[string]float64 // by class: in how many seconds its jobs are expected done
	awaited map[string]float64 // by class: in how many seconds its tasks are expected to start, and never to be done
}

// epochState is made anew for each epoch.
type epochState struct {
	epoch   cluster.Term
	run     cluster.Incarnation
	leading bool
	loaded  bool
	until   clock.Micros // of our authority
	began   clock.Micros
	viewed  clock.Micros // the jobs are known as they were then, or later
	wall    clock.Micros // the time of day less the steady clock

	// Most that a value and a transaction of the state service hold.
	valueBytes, txnOps int

	nodes  map[string]*node
	blocks []*leasedBlock
	tokens uint64 // how many this epoch has given
	// written is the highest revision at which a write of this epoch is known to have succeeded.
	written uint64

	jobs        map[string]*job
	usage       map[string]*use           // by team
	classes     map[string]*classStat     // by class
	classesSeen map[string]bool           // classes of which a job has come in this epoch
	counts      map[string]peer.TaskCount // by job: what was last told of it
	decisions   decisions                 // counts for the log
	stirred     bool                      // something changed that may let tasks start
	urgent      bool                      // a job has come

	progressPages   []*progressPage
	progressPageSeq int

	machines   map[string]*machine
	rentals    map[string]*rental
	rentSeq    int
	gone       map[string]bool         // machines whose end is proven
	found      map[string]wire.Machine // machines that nobody here knows to have rented
	unanswered map[string]bool         // rentals of former leaders without a stored answer
	doubtful   map[string]bool         // machines that only start records name meanwhile
	types      map[string]wire.MachineType
	typeList   []wire.MachineType
	refused    map[autoscaler.OptionKey]refusal
	noBoots    map[autoscaler.OptionKey]int // how many machines in a row did not come up
	listing    bool
	deleting   int        // deletions under way
	spread     *spreading // nil while spreading is off

	// When each of what is done now and then was last done.
	lastList, lastCounts, lastState, lastFleet, lastPlan clock.Micros
	lastSchedule, lastPreempt, progressAt, catalogAt     clock.Micros
}

type use struct{ cpus, gpus float64 }

// takes says whether one more task of s keeps the use within what is given.
func (u *use) takes(s *wire.Job, cpus, gpus float64) bool {
	return u.cpus+s.CPUs <= cpus+1e-9 && u.gpus+s.GPUs <= gpus+1e-9
}

// classStat learns how long tasks of a class really run against their estimate.
type classStat struct {
	ratio float64
	n     int
}

// New makes a leader that does not lead yet.
func New(cfg *config.Config, storeOK func() bool) *Leader {
	l := &Leader{settings: settings{cfg: cfg, self: cfg.Name, storeOK: storeOK, within: map[string]float64{}, awaited: map[string]float64{}, teams: map[string]config.Team{}}}
	for _, o := range cfg.Facts.Objectives {
		if o.Kind == "finished" {
			l.within[o.Class] = o.WithinS
		}
		if o.Kind == "wait" {
			l.awaited[o.Class] = o.WithinS
		}
	}
	// What is expected to be done as well is no service.
	for _, o := range cfg.Facts.Objectives {
		if o.Kind == "finished" || o.Kind == "deadline" {
			delete(l.awaited, o.Class)
		}
	}
	for _, t := range cfg.Facts.Teams {
		l.teams[t.Name] = t
	}
	l.reset()
	return l
}

func (l *Leader) reset() {
	l.epochState = epochState{
		valueBytes: l.cfg.ValueBytes(), txnOps: l.cfg.TxnOps(),
		nodes: map[string]*node{},
		jobs:  map[string]*job{}, usage: map[string]*use{}, classes: map[string]*classStat{}, classesSeen: map[string]bool{}, counts: map[string]peer.TaskCount{},
		machines: map[string]*machine{}, rentals: map[string]*rental{}, gone: map[string]bool{}, found: map[string]wire.Machine{},
		unanswered: map[string]bool{}, doubtful: map[string]bool{},
		types: map[string]wire.MachineType{}, refused: map[autoscaler.OptionKey]refusal{}, noBoots: map[autoscaler.OptionKey]int{},
	}
}

// Step takes one message at a time.
func (l *Leader) Step(now clock.Micros, msg any) []any {
	l.fx = nil
	if began, paused := l.pauses.Observe(now); paused {
		l.paused(began, now)
	}
	switch m := msg.(type) {
	case LeadershipAcquired:
		l.reset()
		l.epoch, l.run, l.leading, l.began = m.Term, m.Incarnation, true, now
		l.spread = newSpreading(l.cfg.Tuning.Spread, now)
		l.emit(LoadState{l.epoch})
	case LeadershipExtended:
		l.until = m.Until
	case LeadershipLost:
		l.reset()
	case StatusRequested:
		l.emit(ReplyStatus{m.ReplyTo, l.status(now)})
	default:
		if l.leading {
			l.handle(now, m)
		}
	}
	if l.leading && l.loaded && l.authorised(now) {
		l.schedule(now)
		l.flush()
	}
	return l.fx
}

// authorised is asked at the moment of acting: a process that was short of
// processor time may wake after its authority has ended.
func (l *Leader) authorised(now clock.Micros) bool { return l.leading && now < l.until }

// current says whether the view of the jobs is fresh enough to renew grants and hand out
// tasks on it. A watch may hang while all else is served: a leader that cannot know of
// cancellations must not let the workers of their tasks go on (config.GrantTime).
func (l *Leader) current(now clock.Micros) bool { return now < l.viewed+l.cfg.ViewTime().Shorter() }

// handle takes in a message of the epoch. What was asked for in an earlier one is not waited for any more.
func (l *Leader) handle(now clock.Micros, msg any) {
	switch m := msg.(type) {
	case PeerConnected:
		l.joined(now, m)
	case PeerDisconnected:
		if n := l.nodes[m.Controller]; n != nil && n.link == m.Link {
			delete(l.nodes, m.Controller)
		}
	case HolderMessage:
		l.said(now, m)
	case CatalogLoaded:
		l.catalog(now, m.Types)
	case MachinesListed:
		l.listing = false
		l.listedMachines(now, m.Machines)
	case Tick:
		l.tick(now)
	default:
		l.handleAnswer(now, m)
	}
}

// handleAnswer takes in what this epoch has asked the state service or the cloud for.
func (l *Leader) handleAnswer(now clock.Micros, msg any) {
	switch m := msg.(type) {
	case StateLoaded:
		if m.Term == l.epoch && !l.loaded {
			l.load(now, m)
		}
	case JobsChanged:
		if m.Term == l.epoch && l.loaded {
			for _, e := range m.Events {
				l.watched(now, e)
			}
			l.viewed = max(l.viewed, m.RequestedAt)
		}
	case TxnCompleted:
		if m.Term == l.epoch {
			l.committed(now, m)
		}
	case AttemptsLoaded:
		if m.Term == l.epoch {
			l.records(m)
		}
	case KeyRead:
		if m.Term == l.epoch {
			l.read(now, m)
		}
	case MachinesProvisioned:
		if m.Term == l.epoch {
			l.rented(now, m)
		}
	case MachinesDeleted:
		if m.Term == l.epoch {
			l.deleted(now, m)
		}
	}
}

// joined takes in a new link. What the controller was told over an older one may be lost: its blocks
// are granted anew.
func (l *Leader) joined(now clock.Micros, m PeerConnected) {
	l.nodes[m.Controller] = &node{name: m.Controller, run: m.Incarnation, link: m.Link, slow: m.ViaStore, joined: now, heard: now}
	for _, b := range l.blocks {
		if b.holder == m.Controller && b.link != m.Link && b.state != writing {
			b.state = loose
		}
	}
	l.emit(SendToHolder{m.Link, peer.FromLeader{Term: l.epoch, Types: l.typeList, Holders: l.holders()}})
}

// byName are the controllers in touch in a fixed order: the same state gives the same effects.
func (l *Leader) byName() []*node {
	return slices.SortedFunc(maps.Values(l.nodes), func(a, b *node) int { return strings.Compare(a.name, b.name) })
}

func (l *Leader) emit(e any) { l.fx = append(l.fx, e) }

func (l *Leader) info(text string, args ...any) { l.emit(Log{Message: text, Attributes: args}) }

// commit guards a transaction on the epoch, so that one of an older leader fails however late it is applied.
func (l *Leader) commit(prio int, tag any, guards []wire.Condition, writes []wire.Write) {
	guards = append([]wire.Condition{{Key: Key, Version: uint64(l.epoch)}}, guards...)
	l.emit(CommitTxn{Term: l.epoch, Priority: prio, Txn: wire.Txn{Conditions: guards, Writes: writes}, Tag: tag})
}

func put(key string, v any) wire.Write {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", key, err)) // our own types always encode
	}
	return wire.Write{Put: key, Value: raw}
}

// decode reads a record of ours; one that cannot be read is logged and left alone.
func decode[T any](l *Leader, it wire.Item) (v T, ok bool) {
	if err := json.Unmarshal(it.Value, &v); err != nil {
		l.info("unreadable record", "key", it.Key, "error", err)
		return v, false
	}
	return v, true
}

func (l *Leader) tick(now clock.Micros) {
	if !l.loaded || !l.authorised(now) {
		return
	}
	if now-l.lastSchedule >= clock.FromSeconds(l.cfg.Tuning.Placement.CycleS) {
		l.stirred = true
	}
	l.assign(now)
	refs := slices.Sorted(maps.Keys(l.jobs))
	for _, ref := range refs {
		l.end(l.jobs[ref])
		l.retry(now, l.jobs[ref])
		l.reconsider(now, l.jobs[ref])
	}
	l.progress(now, refs)
	l.moveTasks(now)
	if now-l.lastCounts >= clock.Second {
		l.lastCounts = now
		l.tellCounts()
	}
	if now-l.lastState >= 10*clock.Second {
		l.lastState = now
		l.logState(now)
	}
	l.reconcileFleet(now)
}

// use is what a team's tasks take.
func (l *Leader) use(team string) *use {
	u := l.usage[team]
	if u == nil {
		u = &use{}
		l.usage[team] = u
	}
	return u
}

func (l *Leader) committed(now clock.Micros, m TxnCompleted) {
	if m.Result.FailedOn(Key) {
		l.emit(Resign{"the leader key has changed"})
		return
	}
	if m.Result.Rejected {
		// Limits fell below what the settings say.
		l.valueBytes, l.txnOps = store.ReducedLimits(l.valueBytes, l.txnOps)
	}
	if m.Result.Committed {
		l.written = max(l.written, m.Result.Revision)
	}
	switch tag := m.Tag.(type) {
	case blocksTag:
		l.blocksWritten(now, tag, m.Result)
	case endTag:
		l.ended(now, tag, m)
	case progTag:
		l.progressed(tag, m)
	case fleetTag:
		l.fleetWritten(now, tag, m)
	}
}

func (l *Leader) read(now clock.Micros, m KeyRead) {
	switch tag := m.Tag.(type) {
	case blocksTag:
		for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
			b, token := l.blocks[id], tag.tokens[id]
			if shard.Key(id) != m.Item.Key || b.state != writing || b.token != token {
				continue
			}
			b.stamp = m.Item.Version
			var r ShardRecord
			if m.Found && json.Unmarshal(m.Item.Value, &r) == nil && r.FencingToken == token {
				b.state = reading
				l.emit(LoadAttempts{l.epoch, id, token})
			} else {
				b.state = loose
			}
		}
	case endTag:
		l.endRead(now, tag, m)
	case progTag:
		l.progressPageRead(tag, m)
	case fleetTag:
		l.fleetRead(now, tag, m)
	}
}
