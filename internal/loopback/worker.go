package loopback

import (
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// machine is a machine with its machine; the site owns its state.
type machine struct {
	*fake.Agent
	environment    *environment
	instance       *fake.Instance
	booted         bool
	terminated     bool
	client         *fasthttp.Client
	heartbeatLinks []*Link // to the controllers
	commandLink    *Link   // over which the controllers' direct commands come

	controllerIndex  int // that it sends heartbeats to
	nextHeartbeat    clock.Micros
	lastHeartbeat    clock.Micros
	heartbeatPending bool // one is under way
}

const (
	// heartbeatTimeout is how long a worker waits for the answer.
	heartbeatTimeout = 4 * time.Second
	// minHeartbeatInterval is the least time between two heartbeats.
	minHeartbeatInterval = clock.Second / 2
	// heartbeatRetryDelay is how long a worker waits before it turns to the next controller.
	heartbeatRetryDelay = clock.Second
)

func newMachine(s *environment, instance *fake.Instance) *machine {
	w := &machine{environment: s, instance: instance, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	identity := fake.Identity{Name: instance.Name, Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot}
	w.Agent = &fake.Agent{
		Identity:  identity,
		Resources: fake.Resources{CPUs: s.config.MachineType.CPUs, MemoryGB: s.config.MachineType.MemoryGB, FetchSeconds: 1},
		LeaseTime: clock.FromSeconds(s.config.LeaseS),
		Workload:  workload{s},
		Observer:  observer{s},
		Outputs:   s.outputs,
	}
	s.machinesByName[instance.Name] = w
	return w
}

// routes answers direct commands.
func (w *machine) routes(app *fiber.App) {
	app.Post("/orders", w.handleCommands)
	app.Get("/inspect", w.inspect)
}

func (w *machine) handleCommands(c fiber.Ctx) error {
	batch, err := decodeBody[wire.CommandBatch](c)
	if err != nil {
		return err
	}
	var result fake.CommandsResult
	w.environment.call(func() {
		if w.terminated {
			return
		}
		if result = w.HandleCommands(w.environment.clock.Now(), batch); result.Changed {
			w.scheduleHeartbeat()
		}
	})
	if result.Heartbeat == nil {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.Status(result.Status).JSON(result.Heartbeat)
}

func (w *machine) inspect(c fiber.Ctx) error {
	var heartbeat *wire.Heartbeat
	w.environment.call(func() { heartbeat = w.Heartbeat() })
	return c.JSON(heartbeat)
}

// scheduleHeartbeat has the next heartbeat sent as soon as the least gap allows.
func (w *machine) scheduleHeartbeat() {
	w.nextHeartbeat = min(w.nextHeartbeat, max(w.environment.clock.Now(), w.lastHeartbeat+minHeartbeatInterval))
}

// tick lets time pass for the worker: the actor calls it.
func (w *machine) tick(now clock.Micros) {
	w.terminated = w.terminated || w.instance.Deleted
	switch {
	case w.terminated || w.Address == "":
		return
	case !w.booted:
		if w.booted = now >= w.instance.BootedAt; w.booted {
			w.Boot(now)
			w.nextHeartbeat = now
		}
		return
	}
	if w.Advance(now) {
		w.scheduleHeartbeat()
	}
	if !w.heartbeatPending && now >= w.nextHeartbeat {
		w.sendHeartbeat(now)
	}
}

// sendHeartbeat sends a heartbeat to the controller whose turn it is.
func (w *machine) sendHeartbeat(now clock.Micros) {
	w.heartbeatPending = true
	w.lastHeartbeat = now
	w.nextHeartbeat = now + jitter(clock.FromSeconds(w.environment.config.HeartbeatIntervalS))
	heartbeat, agentEpoch := w.Heartbeat(), w.AgentEpoch
	link := w.heartbeatLinks[w.controllerIndex]
	w.environment.goroutines.Go(func() {
		answer := w.postHeartbeat(link, heartbeat)
		w.environment.call(func() { w.handleHeartbeatResult(now, agentEpoch, answer) })
	})
}

// heartbeatResult is what a controller answers to a heartbeat.
type heartbeatResult struct {
	status   int                    // 0: there is no answer, or none that can be read
	response wire.HeartbeatResponse // of a 200
	redirect wire.Redirect          // of a 421
}

// postHeartbeat sends a heartbeat and returns the answer.
func (w *machine) postHeartbeat(link *Link, heartbeat *wire.Heartbeat) heartbeatResult {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return heartbeatResult{}
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fiber.MethodPost)
	req.Header.SetContentType(fiber.MIMEApplicationJSON)
	req.SetRequestURI("http://" + link.listenAddress + "/agent/beat")
	req.SetBodyRaw(body)
	if w.client.DoTimeout(req, res, heartbeatTimeout) != nil {
		return heartbeatResult{}
	}
	answer := heartbeatResult{status: res.StatusCode()}
	switch answer.status {
	case fiber.StatusOK:
		err = json.Unmarshal(res.Body(), &answer.response)
	case fiber.StatusMisdirectedRequest:
		err = json.Unmarshal(res.Body(), &answer.redirect)
	}
	if err != nil {
		return heartbeatResult{}
	}
	return answer
}

// handleHeartbeatResult goes on after a heartbeat: the actor calls it.
func (w *machine) handleHeartbeatResult(sent clock.Micros, agentEpoch wire.AgentEpoch, answer heartbeatResult) {
	now := w.environment.clock.Now()
	w.heartbeatPending = false
	switch {
	case answer.status == fiber.StatusOK:
		if w.HandleResponse(now, sent, agentEpoch, answer.response) {
			w.scheduleHeartbeat()
		}
	case answer.status == fiber.StatusMisdirectedRequest && w.followRedirect(answer.redirect.Controller):
		w.nextHeartbeat = now
	default:
		w.controllerIndex = (w.controllerIndex + 1) % len(w.heartbeatLinks)
		w.nextHeartbeat = now + heartbeatRetryDelay
	}
}

// followRedirect turns to the controller that is named; false if it is unknown or the same.
func (w *machine) followRedirect(name string) bool {
	for i := range w.heartbeatLinks {
		if controllerName(i) == name && i != w.controllerIndex {
			w.controllerIndex = i
			return true
		}
	}
	return false
}

// workload tells the workers what the users know of their jobs.
type workload struct{ environment *environment }

// Job implements fake.Workload.
func (l workload) Job(ref string) (wire.Job, bool) {
	if job := l.environment.jobs[ref]; job != nil {
		return job.spec, true
	}
	return wire.Job{}, false
}

// RunSeconds implements fake.Workload.
func (l workload) RunSeconds(job *wire.Job, _ int) float64 { return l.environment.jobs[job.Ref].runS }

// Fails implements fake.Workload.
func (l workload) Fails(job *wire.Job, _ int) bool { return l.environment.jobs[job.Ref].faulty }

// observer counts what becomes of tasks.
type observer struct{ environment *environment }

// RunCommandExecuted implements fake.Observer.
func (observer) RunCommandExecuted(*fake.Agent, *fake.Task) {}

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(_ *fake.Agent, t *fake.Task) {
	if job := o.environment.jobs[t.Job.Ref]; job.startedAt == 0 {
		job.startedAt = o.environment.clock.Now()
	}
}

// TaskAlreadyDone implements fake.Observer.
func (observer) TaskAlreadyDone(*fake.Agent, *fake.Task) {}

// TaskEnded implements fake.Observer.
func (o observer) TaskEnded(_ *fake.Agent, t *fake.Task) {
	if t.Cause == wire.ExitDone {
		o.environment.jobs[t.Job.Ref].completions[t.Index]++
	}
}
