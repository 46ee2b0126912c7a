package api

import (
	"context"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// LeaderChanged says who leads now.
type LeaderChanged struct {
	Term       cluster.Term
	Controller string
}

// JobCache is the actor that keeps what user requests need at hand: the catalog,
// counts for display, final states (which never change), and the leader's word.
type JobCache struct {
	cfg *config.Config
	now func() clock.Micros
	box chan stamped
}

// stamped is a message with the time at which it was sent.
type stamped struct {
	at  clock.Micros
	msg any
}

type ended struct {
	ref string
	end leader.FinalStateRecord
}

type viewRequest struct {
	ref    string
	answer chan View
}

// questionAnswered and questionRefused tell what became of a question about a job.
type (
	questionAnswered struct{ ref string }
	questionRefused  struct{ ref string }
)

type typesRead struct{ types []wire.MachineType }

// View is what the directory knows, at one moment, of one job and in general.
type View struct {
	Term       cluster.Term
	Leader     string
	Types      []wire.MachineType
	Count      peer.TaskCount
	FinalState *leader.FinalStateRecord
	// Since when questions about the job were refused here, none being answered; 0: the last was answered.
	UnansweredFor   clock.Micros
	LeaderReachable bool // a leader that the state service serves spoke to us lately
	Isolated        bool // no other controller has been reached for a while
}

// PeerContacted says that another controller was reached, whatever it said.
type PeerContacted struct{}

// aloneAfter is how long without any other controller makes a node alone.
const aloneAfter = 5 * clock.Second

const (
	// directoryEntry is about what the directory takes for a job that it remembers, in bytes.
	directoryEntry = 300
	// directoryPart is the part of the controller's memory that each of its three lists may take.
	directoryPart = 100
	// leastRemembered is how many jobs each list holds at least.
	leastRemembered = 5000
)

// remembered is how many jobs the directory remembers in each list: counts, final states and refused
// questions. The state service has all that is dropped.
func remembered(cfg *config.Config) int {
	return max(leastRemembered, int(cfg.Facts.Quota.MemMB*(1<<20)/directoryPart/directoryEntry))
}

// NewJobCache makes a directory; Run serves it.
func NewJobCache(cfg *config.Config, now func() clock.Micros) *JobCache {
	return &JobCache{cfg: cfg, now: now, box: make(chan stamped, 1024)}
}

// Post takes *peer.FromLeader, Following and PeerContacted.
func (d *JobCache) Post(msg any) { d.box <- stamped{d.now(), msg} }

// Lookup asks for a View.
func (d *JobCache) Lookup(ref string) View {
	q := viewRequest{ref, make(chan View, 1)}
	d.Post(q)
	return <-q.answer
}

// Term is the leader's, as far as known.
func (d *JobCache) Term() cluster.Term { return d.Lookup("").Term }

// Run is the actor.
func (d *JobCache) Run(ctx context.Context) {
	v := View{}
	var leaderAt, metAt clock.Micros
	size := remembered(d.cfg)
	counts := newRecent[peer.TaskCount](size)
	ends := newRecent[leader.FinalStateRecord](size)
	refused := newRecent[clock.Micros](size)
	for {
		var s stamped
		select {
		case <-ctx.Done():
			return
		case s = <-d.box:
		}
		switch m := s.msg.(type) {
		case PeerContacted:
			metAt = s.at
		case LeaderChanged:
			v.Term, v.Leader = m.Term, m.Controller
			leaderAt = 0
		case *peer.FromLeader:
			if len(m.Types) > 0 {
				v.Types = m.Types
			}
			if m.RenewedSeq > 0 && m.StoreOK && m.Term == v.Term {
				leaderAt = s.at
			}
			for _, c := range m.TaskCounts {
				counts.put(c.Job, c)
			}
		case typesRead:
			v.Types = m.types
		case ended:
			ends.put(m.ref, m.end)
			counts.drop(m.ref)
		case questionAnswered:
			refused.drop(m.ref)
		case questionRefused:
			if _, known := refused.get(m.ref); !known {
				refused.put(m.ref, s.at)
			}
		case viewRequest:
			out := v
			if since, ok := refused.get(m.ref); ok {
				out.UnansweredFor = s.at - since
			}
			out.Count, _ = counts.get(m.ref)
			if e, ok := ends.get(m.ref); ok {
				out.FinalState = &e
			}
			out.LeaderReachable = leaderAt > 0 && s.at-leaderAt < 3*clock.Second
			out.Isolated = len(d.cfg.Peers) > 0 && s.at-metAt > aloneAfter
			m.answer <- out
		}
	}
}
