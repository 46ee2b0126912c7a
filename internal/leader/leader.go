// Package leader is the leading controller: it decides which controller holds which shard, which machines there are to
// be, and which task goes where. A Leader is an actor that owns one term at a time. It takes messages (what holders
// report, what users did to jobs, answers of the store and the cloud, the passing of time) and returns effects
// (messages to holders, store transactions, cloud calls, log lines), which the controller carries out. Every write is
// conditional on the term's leader key, so that one of a former leader fails however late it is applied. The package
// does no I/O, reads no clock and starts no goroutine: the same messages at the same times give the same effects.
package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/pausedetect"
)

// Leader is the actor's state.
type Leader struct {
	settings
	termState
	effects []Effect // of the step under way
	pauses  pausedetect.Detector
}

// Step takes one message at a time.
func (l *Leader) Step(now clock.Micros, message Message) []Effect {
	l.effects = nil
	if began, paused := l.pauses.Observe(now); paused {
		l.pauseDetected(began, now)
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

// viewIsFresh reports whether the view of the jobs is fresh enough to renew grants and hand out
// tasks on it. A watch may hang while all else is served: a leader that cannot know of
// cancellations must not let the workers of their tasks go on (config.GrantTime).
func (l *Leader) viewIsFresh(now clock.Micros) bool {
	return now < l.jobsViewedAt+l.cfg.MaxViewAge().MinusDrift()
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
			l.loadState(now, m)
		}
	case JobsChanged:
		if l.loaded {
			l.jobsChanged(now, m)
		}
	case TxnCompleted:
		l.txnCompleted(now, m)
	case AttemptsLoaded:
		l.attemptsLoaded(m)
	case KeyRead:
		l.keyRead(now, m)
	case MachinesProvisioned:
		l.machinesProvisioned(now, m)
	case MachinesDeleted:
		l.machinesDeleted(m)
	}
}
