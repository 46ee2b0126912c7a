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

// tickInterval is how often controllers and workers act.
const tickInterval = 50 * clock.Millisecond

// world is a cluster with all that it talks to.
type world struct {
	eventQueue
	transcript  *transcript // nil: nothing is recorded
	rng         *rand.Rand
	cfg         config.Config
	nextLimits  *config.Next // limits that the settings name for later
	store       *fake.Store
	cloud       *fake.Cloud
	controllers []*simController
	machines    machines
	users       users
	rules       rules
	faults      worldFaults
	traffic     traffic

	ctx           context.Context // of the controllers' goroutines
	cancelContext context.CancelFunc
	goroutines    sync.WaitGroup // those goroutines
}

// worldFaults is what a scenario lets go wrong outside of controllers and machines.
type worldFaults struct {
	// A zone that is cut off from everything; what is sent meanwhile comes at the end.
	partitionedZone   string
	partitionedUntil  clock.Micros
	cloudDown         bool    // the cloud answers 503 to everything
	lateCloudShare    float64 // of its requests that get no answer and are carried out seconds later
	lateCommandShare  float64 // the same of the direct commands
	limitsUnannounced bool    // the limits of the state service fell below what the settings say
}

// traffic counts messages.
type traffic struct {
	storeRequests int // of controllers to the state service
	peerMessages  int // between different controllers
}

// newWorld makes a cluster; its transcript has the name.
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

// stop ends the goroutines of the world and waits for them.
func (w *world) stop() {
	w.cancelContext()
	w.goroutines.Wait()
}

// tick is one step of everything that acts by itself.
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

// latency is the delay of one message.
func (w *world) latency() clock.Micros { return clock.Millisecond + clock.Micros(w.rng.IntN(2000)) }

// isPartitioned says whether the cut zone lies between two places; "" is the region.
func (w *world) isPartitioned(a, b string) bool {
	return w.now < w.faults.partitionedUntil && (a == w.faults.partitionedZone) != (b == w.faults.partitionedZone)
}

// hasFaults says whether anything is wrong that a scenario has brought about.
func (w *world) hasFaults() bool {
	return w.store.Down || w.faults.cloudDown || w.faults.lateCloudShare > 0 || w.faults.lateCommandShare > 0 ||
		w.now < w.faults.partitionedUntil ||
		slices.ContainsFunc(w.controllers, func(c *simController) bool { return !c.running || c.faults.any(w.now) }) ||
		slices.ContainsFunc(w.machines.agents, func(s *simAgent) bool { return !s.instance.Deleted && s.hasFaults(w.now) })
}

// leaders are the controllers that lead.
func (w *world) leaders() (leaders []*simController) {
	for _, c := range w.controllers {
		if c.leads() {
			leaders = append(leaders, c)
		}
	}
	return leaders
}

// controllerName is the name of a controller, by its number.
func controllerName(i int) string { return "n" + strconv.Itoa(i) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// must is for errors that only a mistake in the tests themselves can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
