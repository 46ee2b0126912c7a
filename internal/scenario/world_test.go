package scenario

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// tickInterval is the time between two ticks of the controllers and agents.
const tickInterval = 50 * clock.Millisecond

// world is a simulated cluster with its surroundings: state service, cloud, network and users.
type world struct {
	eventQueue
	transcript  *transcript // nil if no messages are recorded
	rng         *rand.Rand
	cfg         config.Config
	nextLimits  *config.Next // store limits that the settings announce for later; nil: none
	store       *fake.Store
	cloud       *fake.Cloud
	controllers []*simController
	machines    machines
	users       users
	rules       rules
	faults      worldFaults
	traffic     traffic

	ctx           context.Context    // cancelled when the world is stopped
	cancelContext context.CancelFunc // cancels ctx
	goroutines    sync.WaitGroup     // goroutines of the controllers
}

// worldFaults holds the current faults outside of controllers and machines.
type worldFaults struct {
	// partitionedZone is partitioned from everything else until partitionedUntil. Messages that are sent meanwhile are
	// delivered when the partition ends.
	partitionedZone       string
	partitionedUntil      clock.Micros
	cloudDown             bool    // the cloud responds to every request with 503
	lateCloudRequestShare float64 // share of cloud requests that get no response and are executed seconds later
	lateCommandShare      float64 // share of direct commands that get no response and are executed seconds later
	limitsUnannounced     bool    // the limits of the state service fell below those in the settings
}

// traffic counts messages.
type traffic struct {
	storeRequests int // from controllers to the state service
	peerMessages  int // between different controllers
}

// newWorld creates a cluster and starts its controllers. The name is the name of the world's transcript.
func newWorld(name string, cfg config.Config, types []wire.MachineType, seed uint64) *world {
	ctx, endContext := context.WithCancel(context.Background())
	w := &world{
		transcript:    transcripts.open(name),
		rng:           rand.New(rand.NewPCG(seed, 1)),
		cfg:           cfg,
		nextLimits:    cfg.Facts.State.Next,
		store:         fake.NewStore(cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps),
		cloud:         fake.NewCloud(types, clock.FromSeconds(cfg.Facts.Cloud.ListLagS)),
		machines:      machines{byName: map[string]*simAgent{}, outputs: fake.NewOutputs()},
		users:         newUsers(),
		ctx:           ctx,
		cancelContext: endContext,
	}
	w.rules = newRules(w)
	for i := range cfg.Facts.InitialSize {
		c := newController(w, i)
		w.controllers = append(w.controllers, c)
		c.start()
	}
	w.after(tickInterval, w.tick)
	return w
}

// stop cancels the goroutines of the world's controllers and waits until they have ended.
func (w *world) stop() {
	w.cancelContext()
	w.goroutines.Wait()
}

// tick expires leases, ticks the controllers, boots machines, ticks the agents, checks the rules, and schedules the next
// tick.
func (w *world) tick() {
	w.store.ExpireLeases(w.now)
	for _, c := range w.controllers {
		c.tick()
	}
	w.bootMachines()
	for _, s := range w.machines.agents {
		s.tick(w)
	}
	w.checkCancelledJobs()
	w.checkWaitingJobs()
	if w.users.queryOften {
		w.queryUnfinishedJobs()
	}
	w.after(tickInterval, w.tick)
}

// latency draws the network delay of one message.
func (w *world) latency() clock.Micros { return clock.Millisecond + clock.Micros(w.rng.IntN(2000)) }

// isPartitioned reports whether a partition separates two zones. The zone "" stands for the region's services.
func (w *world) isPartitioned(zoneA, zoneB string) bool {
	return w.now < w.faults.partitionedUntil && (zoneA == w.faults.partitionedZone) != (zoneB == w.faults.partitionedZone)
}

// hasFaults reports whether any injected fault is active.
func (w *world) hasFaults() bool {
	return w.store.Down || w.faults.cloudDown || w.faults.lateCloudRequestShare > 0 || w.faults.lateCommandShare > 0 ||
		w.now < w.faults.partitionedUntil ||
		slices.ContainsFunc(w.controllers, func(c *simController) bool { return !c.running || c.faults.any(w.now) }) ||
		slices.ContainsFunc(w.machines.agents, func(s *simAgent) bool { return !s.instance.Deleted && s.hasFaults(w.now) })
}

// leaders returns the controllers that consider themselves leader.
func (w *world) leaders() (leaders []*simController) {
	for _, c := range w.controllers {
		if c.leads() {
			leaders = append(leaders, c)
		}
	}
	return leaders
}

// controllerName returns the name of the controller with an index.
func controllerName(index int) string { return "n" + strconv.Itoa(index) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// must panics on an error that only a fault in the tests themselves can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
