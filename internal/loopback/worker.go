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

// worker is a machine with its worker; the site owns its state.
type worker struct {
	*fake.Agent
	site     *site
	instance *fake.Instance
	up       bool
	ended    bool
	client   *fasthttp.Client
	links    []*Link // to the controllers
	commands *Link   // over which the controllers' direct commands come

	controller       int // that it sends heartbeats to
	nextHeartbeat    clock.Micros
	lastHeartbeat    clock.Micros
	heartbeatPending bool // one is under way
}

const (
	// heartbeatTimeout is how long a worker waits for the answer.
	heartbeatTimeout = 4 * time.Second
	// minHeartbeatGap is the least time between two heartbeats.
	minHeartbeatGap = clock.Second / 2
	// heartbeatRetry is how long a worker waits before it turns to the next controller.
	heartbeatRetry = clock.Second
)

func newWorker(s *site, instance *fake.Instance) *worker {
	w := &worker{site: s, instance: instance, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	identity := fake.Identity{Name: instance.Name, Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot}
	w.Agent = &fake.Agent{
		Identity:  identity,
		Resources: fake.Resources{CPUs: s.shape.Type.CPUs, MemoryGB: s.shape.Type.MemoryGB, FetchSeconds: 1},
		LeaseTime: clock.FromSeconds(s.shape.LeaseS),
		Workload:  workload{s},
		Observer:  observer{s},
		Outputs:   s.outputs,
	}
	s.byName[instance.Name] = w
	return w
}

// routes answers direct commands.
func (w *worker) routes(app *fiber.App) {
	app.Post("/orders", w.handleCommands)
	app.Get("/inspect", w.inspect)
}

func (w *worker) handleCommands(c fiber.Ctx) error {
	batch, err := decodeBody[wire.CommandBatch](c)
	if err != nil {
		return err
	}
	var result fake.CommandsResult
	w.site.call(func() {
		if w.ended {
			return
		}
		if result = w.HandleCommands(w.site.clock.Now(), batch); result.Changed {
			w.heartbeatSoon()
		}
	})
	if result.Heartbeat == nil {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.Status(result.Status).JSON(result.Heartbeat)
}

func (w *worker) inspect(c fiber.Ctx) error {
	var heartbeat *wire.Heartbeat
	w.site.call(func() { heartbeat = w.Heartbeat() })
	return c.JSON(heartbeat)
}

// heartbeatSoon has the next heartbeat sent as soon as the least gap allows.
func (w *worker) heartbeatSoon() {
	w.nextHeartbeat = min(w.nextHeartbeat, max(w.site.clock.Now(), w.lastHeartbeat+minHeartbeatGap))
}

// tick lets time pass for the worker: the actor calls it.
func (w *worker) tick(now clock.Micros) {
	w.ended = w.ended || w.instance.Deleted
	switch {
	case w.ended || w.Address == "":
		return
	case !w.up:
		if w.up = now >= w.instance.BootedAt; w.up {
			w.Boot(now)
			w.nextHeartbeat = now
		}
		return
	}
	if w.Advance(now) {
		w.heartbeatSoon()
	}
	if !w.heartbeatPending && now >= w.nextHeartbeat {
		w.sendHeartbeat(now)
	}
}

// sendHeartbeat sends a heartbeat to the controller whose turn it is.
func (w *worker) sendHeartbeat(now clock.Micros) {
	w.heartbeatPending = true
	w.lastHeartbeat = now
	w.nextHeartbeat = now + jitter(clock.FromSeconds(w.site.shape.HeartbeatS))
	heartbeat, agentEpoch := w.Heartbeat(), w.AgentEpoch
	link := w.links[w.controller]
	w.site.running.Go(func() {
		answer := w.postHeartbeat(link, heartbeat)
		w.site.call(func() { w.handleAnswer(now, agentEpoch, answer) })
	})
}

// heartbeatAnswer is what a controller answers to a heartbeat.
type heartbeatAnswer struct {
	status   int                    // 0: there is no answer, or none that can be read
	response wire.HeartbeatResponse // of a 200
	redirect wire.Redirect          // of a 421
}

// postHeartbeat sends a heartbeat and returns the answer.
func (w *worker) postHeartbeat(link *Link, heartbeat *wire.Heartbeat) heartbeatAnswer {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return heartbeatAnswer{}
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fiber.MethodPost)
	req.Header.SetContentType(fiber.MIMEApplicationJSON)
	req.SetRequestURI("http://" + link.listen + "/agent/beat")
	req.SetBodyRaw(body)
	if w.client.DoTimeout(req, res, heartbeatTimeout) != nil {
		return heartbeatAnswer{}
	}
	answer := heartbeatAnswer{status: res.StatusCode()}
	switch answer.status {
	case fiber.StatusOK:
		err = json.Unmarshal(res.Body(), &answer.response)
	case fiber.StatusMisdirectedRequest:
		err = json.Unmarshal(res.Body(), &answer.redirect)
	}
	if err != nil {
		return heartbeatAnswer{}
	}
	return answer
}

// handleAnswer goes on after a heartbeat: the actor calls it.
func (w *worker) handleAnswer(sent clock.Micros, agentEpoch wire.AgentEpoch, answer heartbeatAnswer) {
	now := w.site.clock.Now()
	w.heartbeatPending = false
	switch {
	case answer.status == fiber.StatusOK:
		if w.HandleResponse(now, sent, agentEpoch, answer.response) {
			w.heartbeatSoon()
		}
	case answer.status == fiber.StatusMisdirectedRequest && w.redirect(answer.redirect.Controller):
		w.nextHeartbeat = now
	default:
		w.controller = (w.controller + 1) % len(w.links)
		w.nextHeartbeat = now + heartbeatRetry
	}
}

// redirect turns to the controller that is named; false if it is unknown or the same.
func (w *worker) redirect(name string) bool {
	for i := range w.links {
		if controllerName(i) == name && i != w.controller {
			w.controller = i
			return true
		}
	}
	return false
}

// workload tells the workers what the users know of their jobs.
type workload struct{ site *site }

// Job implements fake.Workload.
func (l workload) Job(ref string) (wire.Job, bool) {
	if job := l.site.jobs[ref]; job != nil {
		return job.spec, true
	}
	return wire.Job{}, false
}

// RunSeconds implements fake.Workload.
func (l workload) RunSeconds(job *wire.Job, _ int) float64 { return l.site.jobs[job.Ref].runS }

// Fails implements fake.Workload.
func (l workload) Fails(job *wire.Job, _ int) bool { return l.site.jobs[job.Ref].mistaken }

// observer counts what becomes of tasks.
type observer struct{ site *site }

// RunCommandExecuted implements fake.Observer.
func (observer) RunCommandExecuted(*fake.Agent, *fake.Task) {}

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(_ *fake.Agent, t *fake.Task) {
	if job := o.site.jobs[t.Job.Ref]; job.startedAt == 0 {
		job.startedAt = o.site.clock.Now()
	}
}

// TaskAlreadyDone implements fake.Observer.
func (observer) TaskAlreadyDone(*fake.Agent, *fake.Task) {}

// TaskEnded implements fake.Observer.
func (o observer) TaskEnded(_ *fake.Agent, t *fake.Task) {
	if t.Cause == wire.ExitDone {
		o.site.jobs[t.Job.Ref].completions[t.Index]++
	}
}
