// Package leader implements the leading controller. It decides which controller holds which shard, which machines to
// provision and delete, and on which shard each task runs. A Leader is an actor that owns one term at a time. It takes
// messages (reports of shard holders, job submissions and cancellations, answers of the store and the cloud, the
// passing of time) and returns effects (messages to shard holders, store transactions, cloud calls, log lines), which
// the controller carries out. Every write is conditional on the leader key of the term, so a write of a former leader
// fails however late it is applied. The package does no I/O, reads no clock and starts no goroutine: the same messages
// at the same times give the same effects.
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
	effects []Effect // of the current step
	pauses  pausedetect.Detector
}

// Step handles one message and returns the resulting effects.
func (l *Leader) Step(now clock.Micros, message Message) []Effect {
	l.effects = nil
	if pauseStart, paused := l.pauses.Observe(now); paused {
		l.pauseDetected(pauseStart, now)
	}
	switch m := message.(type) {
	case LeadershipAcquired:
		l.beginTerm(now, m)
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

// beginTerm starts a term with an empty state and requests the content of the store to fill it.
func (l *Leader) beginTerm(now clock.Micros, m LeadershipAcquired) {
	l.reset()
	l.term, l.incarnation, l.leading, l.startedAt = m.Term, m.Incarnation, true, now
	l.progress = jobs.NewProgressPages(m.Term)
	l.rebalancing = newRebalancing(l.cfg.Tuning.Spread, now)
	l.emit(LoadState{l.term})
}

// viewIsFresh reports whether the view of the jobs is fresh enough to renew shard grants and offer tasks. A watch may
// hang while every other request is served. A leader that cannot learn of cancellations must not extend the leases
// under which agents run the cancelled tasks (config.GrantTime).
func (l *Leader) viewIsFresh(now clock.Micros) bool {
	return now < l.jobsViewedAt+l.cfg.MaxViewAge().MinusDrift()
}

// handleEvent handles a message that is no answer to a request of this term.
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

// handleAnswer handles the answer of the store or the cloud to a request of this term.
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
