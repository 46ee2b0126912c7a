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
	// leaderContactTimeout is how long the leader counts as reachable after a message that confirms a lease renewal and
	// the leader's access to the store.
	leaderContactTimeout = 3 * clock.Second
	// isolationTimeout is the time without contact with any other controller after which a controller counts as
	// isolated.
	isolationTimeout = 5 * clock.Second
)

const (
	// bytesPerCachedJob is the approximate size of one entry in one of the cache's maps.
	bytesPerCachedJob = 300
	// mapsMemoryDivisor divides the controller's memory: each of the cache's maps may take 1/mapsMemoryDivisor of it.
	mapsMemoryDivisor = 100
	// minCachedJobs is the minimum capacity of each map.
	minCachedJobs = 5000
	// cacheMailboxSize is the number of messages that can be queued for the cache.
	cacheMailboxSize = 1024
)

// cachedJobsPerMap returns the number of jobs that each of the cache's maps holds: task counts, final states and failed
// polls. The store has all data that is dropped here.
func cachedJobsPerMap(cfg *config.Config) int {
	const bytesPerMB = 1 << 20
	return max(minCachedJobs, int(cfg.Facts.Quota.MemMB*bytesPerMB/mapsMemoryDivisor/bytesPerCachedJob))
}

// JobCache is the actor that caches data for users' requests: the catalog, task counts for display, final states
// (which never change), and the state of the leader as far as known.
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

// NewJobCache returns a cache. It handles messages while Run runs.
func NewJobCache(cfg *config.Config, now func() clock.Micros) *JobCache {
	return &JobCache{cfg: cfg, now: now, mailbox: make(chan envelope, cacheMailboxSize)}
}

// Post queues a message. It blocks while the mailbox is full.
func (c *JobCache) Post(message Message) { c.mailbox <- envelope{c.now(), message} }

// Lookup returns a View of a job. With an empty reference, the View has only the data about the cluster. Lookup waits
// for Run to answer.
func (c *JobCache) Lookup(ref string) View {
	request := viewRequested{ref, make(chan View, 1)}
	c.Post(request)
	return <-request.reply
}

// Term returns the latest known term of the leader.
func (c *JobCache) Term() cluster.Term { return c.Lookup("").Term }

// Run handles messages one at a time until ctx ends.
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

// View is a snapshot of what the cache knows about one job and about the cluster.
type View struct {
	Term       cluster.Term
	Leader     string
	Types      []wire.MachineType
	Count      peer.TaskCount
	FinalState *leader.FinalStateRecord
	// UnansweredFor is the time since the first of the polls for the job that have failed on this controller since a
	// poll was last answered. It is 0 if the last poll was answered.
	UnansweredFor   clock.Micros
	LeaderReachable bool // a leader with access to the store sent a message to this controller recently
	Isolated        bool // no recent contact with any other controller
}

// cacheState is the state of a JobCache. It is owned by the goroutine of Run.
type cacheState struct {
	hasPeers bool

	term         cluster.Term
	leader       string
	machineTypes []wire.MachineType

	lastLeaderContact clock.Micros // 0: none since the last change of leader
	lastPeerContact   clock.Micros

	taskCounts      *boundedMap[peer.TaskCount]
	finalStates     *boundedMap[leader.FinalStateRecord]
	unansweredSince *boundedMap[clock.Micros]
}

func newCacheState(cfg *config.Config) *cacheState {
	size := cachedJobsPerMap(cfg)
	return &cacheState{
		hasPeers:        len(cfg.Peers) > 0,
		taskCounts:      newBoundedMap[peer.TaskCount](size),
		finalStates:     newBoundedMap[leader.FinalStateRecord](size),
		unansweredSince: newBoundedMap[clock.Micros](size),
	}
}

// handle handles one message that was posted at the given time.
func (s *cacheState) handle(message Message, postedAt clock.Micros) {
	switch m := message.(type) {
	case PeerContacted:
		s.lastPeerContact = postedAt
	case LeaderChanged:
		s.term, s.leader = m.Term, m.Controller
		s.lastLeaderContact = 0
	case LeaderMessage:
		s.handleLeaderMessage(m.Message, postedAt)
	case catalogRead:
		s.machineTypes = m.types
	case jobEnded:
		s.finalStates.put(m.ref, m.final)
		s.taskCounts.remove(m.ref)
	case pollAnswered:
		s.unansweredSince.remove(m.ref)
	case pollFailed:
		if _, ok := s.unansweredSince.get(m.ref); !ok {
			s.unansweredSince.put(m.ref, postedAt)
		}
	case viewRequested:
		m.reply <- s.view(m.ref, postedAt)
	}
}

func (s *cacheState) handleLeaderMessage(m *peer.FromLeader, postedAt clock.Micros) {
	if len(m.Types) > 0 {
		s.machineTypes = m.Types
	}
	if m.RenewedSeq > 0 && m.StoreOK && m.Term == s.term {
		s.lastLeaderContact = postedAt
	}
	if m.Term < s.term {
		return // the counts of a former leader are out of date
	}
	for _, count := range m.TaskCounts {
		s.taskCounts.put(count.Job, count)
	}
}

func (s *cacheState) view(ref string, now clock.Micros) View {
	view := View{
		Term:            s.term,
		Leader:          s.leader,
		Types:           s.machineTypes,
		LeaderReachable: s.lastLeaderContact > 0 && now-s.lastLeaderContact < leaderContactTimeout,
		Isolated:        s.hasPeers && now-s.lastPeerContact > isolationTimeout,
	}
	if since, ok := s.unansweredSince.get(ref); ok {
		view.UnansweredFor = now - since
	}
	view.Count, _ = s.taskCounts.get(ref)
	if final, ok := s.finalStates.get(ref); ok {
		view.FinalState = &final
	}
	return view
}
