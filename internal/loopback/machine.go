package loopback

import (
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// machine is a fake machine with its agent. The environment owns its state.
type machine struct {
	*fake.Agent
	env            *environment
	instance       *fake.Instance
	booted         bool
	terminated     bool
	client         *fasthttp.Client
	heartbeatLinks []*Link // links to the controllers, by controller index
	commandLink    *Link   // for direct commands from the controllers to the agent

	controllerIndex  int // index of the controller that receives the next heartbeat
	nextHeartbeatAt  clock.Micros
	lastHeartbeatAt  clock.Micros
	heartbeatPending bool // a heartbeat was sent and its response has not arrived
}

const (
	// heartbeatTimeout bounds the time that an agent waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// minHeartbeatInterval is the minimum time between two heartbeats.
	minHeartbeatInterval = clock.Second / 2
	// heartbeatRetryDelay is the delay before an agent sends its heartbeat to the next controller after a failure.
	heartbeatRetryDelay = clock.Second
)

func newMachine(e *environment, instance *fake.Instance) *machine {
	m := &machine{env: e, instance: instance, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	identity := fake.Identity{Name: instance.Name, Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot}
	m.Agent = &fake.Agent{
		Identity:  identity,
		Resources: fake.Resources{CPUs: e.config.MachineType.CPUs, MemoryGB: e.config.MachineType.MemoryGB, FetchSeconds: 1},
		LeaseTime: clock.FromSeconds(e.config.LeaseS),
		Workload:  workload{e},
		Observer:  observer{e},
		Outputs:   e.outputs,
	}
	e.machinesByName[instance.Name] = m
	return m
}

// routes registers the HTTP API of the agent.
func (m *machine) routes(app *fiber.App) {
	app.Post("/orders", m.handleCommands)
	app.Get("/inspect", m.inspect)
}

func (m *machine) handleCommands(c fiber.Ctx) error {
	batch, err := decodeBody[wire.CommandBatch](c)
	if err != nil {
		return err
	}
	var result fake.CommandsResult
	m.env.call(func() {
		if m.terminated {
			return
		}
		if result = m.HandleCommands(m.env.clock.Now(), batch); result.Changed {
			m.scheduleHeartbeat()
		}
	})
	if result.Heartbeat == nil {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.Status(result.Status).JSON(result.Heartbeat)
}

func (m *machine) inspect(c fiber.Ctx) error {
	var heartbeat *wire.Heartbeat
	m.env.call(func() { heartbeat = m.Heartbeat() })
	return c.JSON(heartbeat)
}

// scheduleHeartbeat moves the next heartbeat forward to the earliest time that minHeartbeatInterval allows.
func (m *machine) scheduleHeartbeat() {
	m.nextHeartbeatAt = min(m.nextHeartbeatAt, max(m.env.clock.Now(), m.lastHeartbeatAt+minHeartbeatInterval))
}

// tick advances the machine and its agent to now, and sends a heartbeat if one is due. The actor calls it.
func (m *machine) tick(now clock.Micros) {
	m.terminated = m.terminated || m.instance.Deleted
	switch {
	case m.terminated || m.Address == "":
		return
	case !m.booted:
		if m.booted = now >= m.instance.BootedAt; m.booted {
			m.Boot(now)
			m.nextHeartbeatAt = now
		}
		return
	}
	if m.Advance(now) {
		m.scheduleHeartbeat()
	}
	if !m.heartbeatPending && now >= m.nextHeartbeatAt {
		m.sendHeartbeat(now)
	}
}

// sendHeartbeat starts to send a heartbeat to the current controller.
func (m *machine) sendHeartbeat(now clock.Micros) {
	m.heartbeatPending = true
	m.lastHeartbeatAt = now
	m.nextHeartbeatAt = now + jitter(clock.FromSeconds(m.env.config.HeartbeatIntervalS))
	heartbeat, agentEpoch := m.Heartbeat(), m.AgentEpoch
	link := m.heartbeatLinks[m.controllerIndex]
	m.env.goroutines.Go(func() {
		result := m.postHeartbeat(link, heartbeat)
		m.env.call(func() { m.handleHeartbeatResult(now, agentEpoch, result) })
	})
}

// heartbeatResult is a controller's response to a heartbeat.
type heartbeatResult struct {
	status   int                    // HTTP status; 0: no response, or one that cannot be decoded
	response wire.HeartbeatResponse // for status 200
	redirect wire.Redirect          // for status 421
}

// postHeartbeat sends a heartbeat over a link and returns the result.
func (m *machine) postHeartbeat(link *Link, heartbeat *wire.Heartbeat) heartbeatResult {
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
	if m.client.DoTimeout(req, res, heartbeatTimeout) != nil {
		return heartbeatResult{}
	}
	result := heartbeatResult{status: res.StatusCode()}
	switch result.status {
	case fiber.StatusOK:
		err = exactjson.Unmarshal(res.Body(), &result.response)
	case fiber.StatusMisdirectedRequest:
		err = exactjson.Unmarshal(res.Body(), &result.redirect)
	}
	if err != nil {
		return heartbeatResult{}
	}
	return result
}

// handleHeartbeatResult handles the result of the heartbeat that was sent at sentAt with agentEpoch, and schedules the
// next heartbeat. The actor calls it.
func (m *machine) handleHeartbeatResult(sentAt clock.Micros, agentEpoch wire.AgentEpoch, result heartbeatResult) {
	now := m.env.clock.Now()
	m.heartbeatPending = false
	switch {
	case result.status == fiber.StatusOK:
		if m.HandleResponse(now, sentAt, agentEpoch, result.response) {
			m.scheduleHeartbeat()
		}
	case result.status == fiber.StatusMisdirectedRequest && m.followRedirect(result.redirect.Controller):
		m.nextHeartbeatAt = now
	default:
		m.controllerIndex = (m.controllerIndex + 1) % len(m.heartbeatLinks)
		m.nextHeartbeatAt = now + heartbeatRetryDelay
	}
}

// followRedirect selects the named controller for the next heartbeat. It returns false if the controller is unknown or
// already selected.
func (m *machine) followRedirect(name string) bool {
	for i := range m.heartbeatLinks {
		if controllerName(i) == name && i != m.controllerIndex {
			m.controllerIndex = i
			return true
		}
	}
	return false
}

// workload implements fake.Workload: it provides the submitted jobs and the behavior of their tasks to the fake agents.
type workload struct{ env *environment }

// Job implements fake.Workload.
func (w workload) Job(ref string) (wire.Job, bool) {
	if job := w.env.jobs[ref]; job != nil {
		return job.spec, true
	}
	return wire.Job{}, false
}

// RunSeconds implements fake.Workload.
func (w workload) RunSeconds(job *wire.Job, _ int) float64 { return w.env.jobs[job.Ref].runS }

// Fails implements fake.Workload.
func (w workload) Fails(job *wire.Job, _ int) bool { return w.env.jobs[job.Ref].faulty }

// observer implements fake.Observer: it records the starts and completions of tasks.
type observer struct{ env *environment }

// RunCommandExecuted implements fake.Observer.
func (observer) RunCommandExecuted(*fake.Agent, *fake.Task) {}

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(_ *fake.Agent, t *fake.Task) {
	if job := o.env.jobs[t.Job.Ref]; job.startedAt == 0 {
		job.startedAt = o.env.clock.Now()
	}
}

// TaskAlreadyDone implements fake.Observer.
func (observer) TaskAlreadyDone(*fake.Agent, *fake.Task) {}

// TaskEnded implements fake.Observer.
func (o observer) TaskEnded(_ *fake.Agent, t *fake.Task) {
	if t.Cause == wire.ExitDone {
		o.env.jobs[t.Job.Ref].completions[t.Index]++
	}
}
