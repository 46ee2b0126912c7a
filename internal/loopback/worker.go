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
	*fake.Worker
	site     *site
	rented   *fake.Instance
	up       bool
	dead     bool
	target   int          // the controller that it reports to
	next     clock.Micros // when the next report is due
	last     clock.Micros
	busy     bool    // a report is under way
	links    []*Link // to the controllers
	commands *Link   // over which the controllers\' direct commands come
	client   *fasthttp.Client
}

const (
	reportTimeout = 4 * time.Second
	// leastGap is the least time between two reports.
	leastGap = clock.Second / 2
)

func newWorker(s *site, m *fake.Instance) *worker {
	w := &worker{site: s, rented: m, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	w.Worker = &fake.Worker{
		Identity:  fake.Identity{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot},
		Resources: fake.Resources{CPUs: s.shape.Type.CPUs, Memory: s.shape.Type.MemoryGB, FetchSeconds: 1},
		LeaseTime: clock.FromSeconds(s.shape.LeaseS),
		Workload:  workload{s},
		Observer:  observer{s},
		Outputs:   s.outputs,
	}
	s.byName[m.Name] = w
	return w
}

// routes answers direct commands.
func (w *worker) routes(app *fiber.App) {
	app.Post("/orders", func(c fiber.Ctx) error {
		var o wire.CommandBatch
		if err := json.Unmarshal(c.Body(), &o); err != nil {
			return fiber.NewError(400, err.Error())
		}
		var result fake.CommandsResult
		w.site.do(func() {
			if w.dead {
				return
			}
			if result = w.HandleCommands(w.site.clock.Now(), o); result.Changed {
				w.hasChanged()
			}
		})
		if result.Heartbeat == nil {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		return c.Status(result.Status).JSON(result.Heartbeat)
	})
	app.Get("/inspect", func(c fiber.Ctx) error {
		var report *wire.Heartbeat
		w.site.do(func() { report = w.Heartbeat() })
		return c.JSON(report)
	})
}

// hasChanged has the next report sent soon.
func (w *worker) hasChanged() { w.next = min(w.next, max(w.site.clock.Now(), w.last+leastGap)) }

// tick lets time pass for the worker: the actor calls it.
func (w *worker) tick(now clock.Micros) {
	w.dead = w.dead || w.rented.Deleted
	switch {
	case w.dead || w.Address == "":
		return
	case !w.up:
		if w.up = now >= w.rented.BootedAt; w.up {
			w.Boot(now)
			w.next = now
		}
		return
	}
	if w.Advance(now) {
		w.hasChanged()
	}
	if !w.busy && now >= w.next {
		w.send(now)
	}
}

// send reports to the controller whose turn it is.
func (w *worker) send(now clock.Micros) {
	w.busy, w.last, w.next = true, now, now+jitter(clock.FromSeconds(w.site.shape.ReportS))
	r, epoch := w.Heartbeat(), w.AgentEpoch
	link := w.links[w.target]
	go func() {
		status, answer, redirect := w.post(link, r)
		w.site.do(func() { w.answered(now, epoch, status, answer, redirect) })
	}()
}

// post sends a report; status 0 is no answer.
func (w *worker) post(link *Link, r *wire.Heartbeat) (status int, a wire.HeartbeatResponse, to wire.Redirect) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, a, to
	}
	req.Header.SetMethod("POST")
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + link.listen + "/agent/beat")
	req.SetBodyRaw(raw)
	if w.client.DoTimeout(req, res, reportTimeout) != nil {
		return 0, a, to
	}
	switch status = res.StatusCode(); {
	case status == 200 && json.Unmarshal(res.Body(), &a) != nil, status == 421 && json.Unmarshal(res.Body(), &to) != nil:
		return 0, a, to
	}
	return status, a, to
}

// answered goes on after a report: the actor calls it.
func (w *worker) answered(sent clock.Micros, epoch wire.AgentEpoch, status int, a wire.HeartbeatResponse, to wire.Redirect) {
	now := w.site.clock.Now()
	w.busy = false
	switch {
	case status == 200:
		if w.HandleResponse(now, sent, epoch, a) {
			w.hasChanged()
		}
	case status == 421 && w.redirected(to.Controller):
		w.next = now
	default:
		w.target = (w.target + 1) % len(w.links)
		w.next = now + clock.Second
	}
}

// redirected turns to the controller that is named; false if it is unknown or the same.
func (w *worker) redirected(name string) bool {
	for i := range w.links {
		if controllerName(i) == name && i != w.target {
			w.target = i
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

// TaskOrdered implements fake.Observer.
func (observer) TaskOrdered(*fake.Worker, *fake.Task) {}

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(_ *fake.Worker, t *fake.Task) {
	if job := o.site.jobs[t.Job.Ref]; job.began == 0 {
		job.began = o.site.clock.Now()
	}
}

// TaskRestarted implements fake.Observer.
func (observer) TaskRestarted(*fake.Worker, *fake.Task) {}

// TaskEnded implements fake.Observer.
func (o observer) TaskEnded(_ *fake.Worker, t *fake.Task) {
	if t.Cause == wire.ExitDone {
		o.site.jobs[t.Job.Ref].ran[t.Index]++
	}
}
