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

const (
	// leaderContactTimeout is how long without a word a leader counts as reachable.
	leaderContactTimeout = 3 * clock.Second
	// isolatedAfter is how long without contact to any other controller makes a controller isolated.
	isolatedAfter = 5 * clock.Second
)

const (
	// bytesPerCachedJob is about what an entry of one of the cache's maps takes.
	bytesPerCachedJob = 300
	// mapsMemoryDivisor is the part of the controller's memory that each of the cache's maps may take.
	mapsMemoryDivisor = 100
	// minCachedJobs is how many entries each map holds at least.
	minCachedJobs = 5000
	// cacheMailbox is how many messages may wait for the cache.
	cacheMailbox = 1024
)

// cachedJobs is how many jobs each map of the cache holds: counts, final states and failed polls. The store
// has all that is dropped.
func cachedJobs(cfg *config.Config) int {
	const bytesPerMB = 1 << 20
	return max(minCachedJobs, int(cfg.Facts.Quota.MemMB*bytesPerMB/mapsMemoryDivisor/bytesPerCachedJob))
}

// JobCache is the actor that keeps what users' requests need at hand: the catalog, counts of tasks for
// display, final states (which never change), and what is known of the leader.
type JobCache struct {
	cfg     *config.Config
	now     func() clock.Micros
	mailbox chan envelope
}

// envelope is a message with the time at which it was posted.
type envelope struct {
	postedAt clock.Micros
	message  Message
}

// NewJobCache makes a cache; Run serves it.
func NewJobCache(cfg *config.Config, now func() clock.Micros) *JobCache {
	return &JobCache{cfg: cfg, now: now, mailbox: make(chan envelope, cacheMailbox)}
}

// Post hands a message over. It waits while the mailbox is full.
func (c *JobCache) Post(message Message) { c.mailbox <- envelope{c.now(), message} }

// Lookup asks for a View of a job; with an empty reference, for what concerns none. It waits for Run's answer.
func (c *JobCache) Lookup(ref string) View {
	request := viewRequested{ref, make(chan View, 1)}
	c.Post(request)
	return <-request.reply
}

// Term is the leader's, as far as known.
func (c *JobCache) Term() cluster.Term { return c.Lookup("").Term }

// Run handles messages, one after the other, until ctx ends.
func (c *JobCache) Run(ctx context.Context) {
	state := newCacheState(c.cfg)
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-c.mailbox:
			state.handle(received.message, received.postedAt)
		}
	}
}

// View is what the cache knows, at one moment, of one job and in general.
type View struct {
	Term       cluster.Term
	Leader     string
	Types      []wire.MachineType
	Count      peer.TaskCount
	FinalState *leader.FinalStateRecord
	// UnansweredFor is since when polls for the job have failed here, none being answered; 0: the last one was.
	UnansweredFor   clock.Micros
	LeaderReachable bool // a leader that the store serves spoke to this controller lately
	Isolated        bool // no other controller has been reached for a while
}

// cacheState is the state of a JobCache, owned by its Run.
type cacheState struct {
	hasPeers bool

	term   cluster.Term
	leader string
	types  []wire.MachineType

	lastLeaderContact clock.Micros // 0: none since the leader changed
	lastPeerContact   clock.Micros

	counts          *boundedMap[peer.TaskCount]
	finalStates     *boundedMap[leader.FinalStateRecord]
	unansweredSince *boundedMap[clock.Micros]
}

func newCacheState(cfg *config.Config) *cacheState {
	size := cachedJobs(cfg)
	return &cacheState{
		hasPeers:        len(cfg.Peers) > 0,
		counts:          newBoundedMap[peer.TaskCount](size),
		finalStates:     newBoundedMap[leader.FinalStateRecord](size),
		unansweredSince: newBoundedMap[clock.Micros](size),
	}
}

// handle carries out one message that was posted at a given time.
func (s *cacheState) handle(message Message, at clock.Micros) {
	switch m := message.(type) {
	case PeerContacted:
		s.lastPeerContact = at
	case LeaderChanged:
		s.term, s.leader = m.Term, m.Controller
		s.lastLeaderContact = 0
	case LeaderMessage:
		s.handleLeaderMessage(m.Message, at)
	case catalogRead:
		s.types = m.types
	case jobEnded:
		s.finalStates.put(m.ref, m.final)
		s.counts.remove(m.ref)
	case pollAnswered:
		s.unansweredSince.remove(m.ref)
	case pollFailed:
		if _, ok := s.unansweredSince.get(m.ref); !ok {
			s.unansweredSince.put(m.ref, at)
		}
	case viewRequested:
		m.reply <- s.view(m.ref, at)
	}
}

func (s *cacheState) handleLeaderMessage(m *peer.FromLeader, at clock.Micros) {
	if len(m.Types) > 0 {
		s.types = m.Types
	}
	if m.RenewedSeq > 0 && m.StoreOK && m.Term == s.term {
		s.lastLeaderContact = at
	}
	for _, count := range m.TaskCounts {
		s.counts.put(count.Job, count)
	}
}

func (s *cacheState) view(ref string, at clock.Micros) View {
	view := View{
		Term:            s.term,
		Leader:          s.leader,
		Types:           s.types,
		LeaderReachable: s.lastLeaderContact > 0 && at-s.lastLeaderContact < leaderContactTimeout,
		Isolated:        s.hasPeers && at-s.lastPeerContact > isolatedAfter,
	}
	if since, ok := s.unansweredSince.get(ref); ok {
		view.UnansweredFor = at - since
	}
	view.Count, _ = s.counts.get(ref)
	if final, ok := s.finalStates.get(ref); ok {
		view.FinalState = &final
	}
	return view
}
