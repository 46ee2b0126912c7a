package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-json"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Leader is the actor's state.
type Leader struct {
	settings
	termState
	effects []Effect // of the step under way
	pauses  pausedetect.Detector
}

// settings are what stays the same for as long as the process runs.
type settings struct {
	cfg           *config.Config
	self          string
	storeOK       func() bool
	teams         map[string]config.Team
	completionSLO map[string]float64 // by class: in how many seconds its jobs are expected to be completed
	startSLO      map[string]float64 // by class: in how many seconds its tasks are expected to start, and never to complete
}

// termState is made anew for each term: the leadership itself, and the parts that own the rest of the state.
type termState struct {
	leadership
	jobs        *jobs.Table
	progress    *jobs.ProgressPages
	usage       *fairshare.Usage
	shards      shardTable
	inventory   inventory
	autoscaler  autoscalerState
	scheduling  schedulingState
	preemption  preemptionState
	rebalancing *rebalancing // nil while it is off
	outcomes    taskOutcomes

	stateLoggedAt, countsReportedAt clock.Micros
}

// New makes a leader that does not lead yet.
func New(cfg *config.Config, storeOK func() bool) *Leader {
	l := &Leader{settings: settings{cfg: cfg, self: cfg.Name, storeOK: storeOK, completionSLO: map[string]float64{}, startSLO: map[string]float64{}, teams: map[string]config.Team{}}}
	for _, o := range cfg.Facts.Objectives {
		if o.Kind == config.ObjectiveFinished {
			l.completionSLO[o.Class] = o.WithinS
		}
		if o.Kind == config.ObjectiveWait {
			l.startSLO[o.Class] = o.WithinS
		}
	}
	// What is expected to be done as well is no service.
	for _, o := range cfg.Facts.Objectives {
		if o.Kind == config.ObjectiveFinished || o.Kind == config.ObjectiveDeadline {
			delete(l.startSLO, o.Class)
		}
	}
	for _, t := range cfg.Facts.Teams {
		l.teams[t.Name] = t
	}
	l.reset()
	return l
}

func (l *Leader) reset() {
	l.termState = termState{
		leadership: leadership{valueBytes: l.cfg.TargetValueBytes(), txnOps: l.cfg.MaxTxnWrites()},
		jobs:       jobs.NewTable(),
		progress:   jobs.NewProgressPages(0),
		usage:      fairshare.NewUsage(),
		shards:     shardTable{controllers: map[string]*controller{}},
		inventory:  newInventory(),
		autoscaler: newAutoscalerState(),
	}
}

// Step takes one message at a time.
func (l *Leader) Step(now clock.Micros, message Message) []Effect {
	l.effects = nil
	if began, paused := l.pauses.Observe(now); paused {
		l.paused(began, now)
	}
	switch m := message.(type) {
	case LeadershipAcquired:
		l.begin(now, m)
	case LeadershipExtended:
		l.authorityEnds = m.Until
	case LeadershipLost:
		l.reset()
	case StatusRequested:
		l.emit(ReplyStatus{m.ReplyTo, l.status(now)})
	case event:
		if l.leading {
			l.handleEvent(now, m)
		}
	case answer:
		if l.leading && m.answeredTerm() == l.term {
			l.handleAnswer(now, m)
		}
	}
	if l.leading && l.loaded && l.authorised(now) {
		l.schedule(now)
		l.flushOrders()
	}
	return l.effects
}

// begin starts a term with an empty state, which the store's content fills.
func (l *Leader) begin(now clock.Micros, m LeadershipAcquired) {
	l.reset()
	l.term, l.incarnation, l.leading, l.startedAt = m.Term, m.Incarnation, true, now
	l.progress = jobs.NewProgressPages(m.Term)
	l.rebalancing = newRebalancing(l.cfg.Tuning.Spread, now)
	l.emit(LoadState{l.term})
}

// current says whether the view of the jobs is fresh enough to renew grants and hand out
// tasks on it. A watch may hang while all else is served: a leader that cannot know of
// cancellations must not let the workers of their tasks go on (config.GrantTime).
func (l *Leader) current(now clock.Micros) bool {
	return now < l.jobsViewedAt+l.cfg.MaxViewAge().Shorter()
}

// handleEvent takes in what happens while the controller leads, whatever it has asked for.
func (l *Leader) handleEvent(now clock.Micros, message event) {
	switch m := message.(type) {
	case PeerConnected:
		l.peerConnected(now, m)
	case PeerDisconnected:
		l.shards.disconnect(m)
	case HolderMessage:
		l.holderMessage(now, m)
	case CatalogLoaded:
		l.catalogLoaded(m.Types)
	case MachinesListed:
		l.inventory.listing = false
		l.machinesListed(now, m.Machines)
	case Tick:
		l.tick(now)
	}
}

// handleAnswer takes in what this term has asked the store or the cloud for.
func (l *Leader) handleAnswer(now clock.Micros, message answer) {
	switch m := message.(type) {
	case StateLoaded:
		if !l.loaded {
			l.load(now, m)
		}
	case JobsChanged:
		if l.loaded {
			l.jobsChanged(now, m)
		}
	case TxnCompleted:
		l.committed(now, m)
	case AttemptsLoaded:
		l.attemptsLoaded(m)
	case KeyRead:
		l.read(now, m)
	case MachinesProvisioned:
		l.machinesProvisioned(now, m)
	case MachinesDeleted:
		l.machinesDeleted(m)
	}
}

// peerConnected takes in a new link. What the controller was told over an older one may be lost: its blocks
// are granted anew.
func (l *Leader) peerConnected(now clock.Micros, m PeerConnected) {
	l.shards.controllers[m.Controller] = &controller{
		Controller:  assignment.Controller{Name: m.Controller, ViaStore: m.ViaStore, ConnectedAt: now},
		incarnation: m.Incarnation, link: m.Link, lastHeartbeat: now,
	}
	for _, b := range l.shards.all {
		if b.Holder == m.Controller && b.link != m.Link && b.state != writing {
			b.state = unassigned
		}
	}
	l.emit(SendToHolder{m.Link, peer.FromLeader{Term: l.term, Types: l.autoscaler.catalog, Holders: l.shardHolders()}})
}

// controllersByName are the controllers in touch in a fixed order: the same state gives the same effects.
func (l *Leader) controllersByName() []*controller {
	return slices.SortedFunc(maps.Values(l.shards.controllers), func(a, b *controller) int { return strings.Compare(a.Name, b.Name) })
}

func (l *Leader) emit(e Effect) { l.effects = append(l.effects, e) }

func (l *Leader) info(message string, attributes ...any) {
	l.emit(Log{Message: message, Attributes: attributes})
}

func (l *Leader) debug(message string, attributes ...any) {
	l.emit(Log{Debug: true, Message: message, Attributes: attributes})
}

// commit guards a transaction on the epoch, so that one of an older leader fails however late it is applied.
func (l *Leader) commit(prio store.Priority, tag TxnTag, guards []wire.Condition, writes []wire.Write) {
	guards = append([]wire.Condition{{Key: Key, Version: uint64(l.term)}}, guards...)
	l.emit(CommitTxn{Term: l.term, Priority: prio, Txn: wire.Txn{Conditions: guards, Writes: writes}, Tag: tag})
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
	if now-l.scheduling.ranAt >= clock.FromSeconds(l.cfg.Tuning.Placement.CycleS) {
		l.scheduling.requested = true
	}
	l.assignShards(now)
	for j := range l.jobs.Sorted() {
		l.writeFinalState(j)
		if j.RetryDelayed(now) {
			l.scheduling.requestUrgently()
		}
		l.reconsider(now, j)
	}
	l.writeProgress(now)
	l.moveTasks(now)
	if now-l.countsReportedAt >= clock.Second {
		l.countsReportedAt = now
		l.reportTaskCounts()
	}
	if now-l.stateLoggedAt >= stateLogInterval {
		l.stateLoggedAt = now
		l.logState()
	}
	l.reconcileInventory(now)
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
		l.highestRevision = max(l.highestRevision, m.Result.Revision)
	}
	switch tag := m.Tag.(type) {
	case shardsTag:
		l.shardKeysWritten(tag, m.Result)
	case finalStateTag:
		l.finalStateWritten(now, tag, m.Result)
	case progressTag:
		l.progressWritten(tag, m.Result)
	case instanceGroupTag:
		l.instanceGroupWritten(now, tag, m)
	}
}

func (l *Leader) read(now clock.Micros, m KeyRead) {
	switch tag := m.Tag.(type) {
	case shardsTag:
		for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
			b, token := l.shards.all[id], tag.tokens[id]
			if shard.Key(id) != m.Item.Key || b.state != writing || b.token != token {
				continue
			}
			b.keyVersion = m.Item.Version
			var r ShardRecord
			if m.Found && json.Unmarshal(m.Item.Value, &r) == nil && r.FencingToken == token {
				b.state = reading
				l.emit(LoadAttempts{l.term, id, token})
			} else {
				b.state = unassigned
			}
		}
	case finalStateTag:
		l.finalStateRead(now, tag, m)
	case progressTag:
		l.progress.ReadBack(tag.write, m.Item.Version)
	case instanceGroupTag:
		l.instanceGroupRead(now, tag, m)
	}
}
