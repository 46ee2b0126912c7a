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
	w.Worker = &fake.Worker{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Lease: clock.FromSeconds(s.shape.LeaseS),
		CPUs: s.shape.Type.CPUs, Memory: s.shape.Type.MemoryGB, FetchS: 1, Kept: s.kept, Progress: s.saved,
		Find: func(ref string) (wire.Job, bool) {
			j := s.jobs[ref]
			if j == nil {
				return wire.Job{}, false
			}
			return j.spec, true
		},
		RunS:      func(j *wire.Job, _ int) float64 { return s.jobs[j.Ref].runS },
		Fails:     func(j *wire.Job, _ int) bool { return s.jobs[j.Ref].mistaken },
		Ordered:   func(*fake.Task) {},
		Restarted: func(*fake.Task) {},
		Started: func(t *fake.Task) {
			if j := s.jobs[t.Job.Ref]; j.began == 0 {
				j.began = s.clock.Now()
			}
		},
		Ended: func(t *fake.Task) {
			if t.Cause == wire.ExitDone {
				s.jobs[t.Job.Ref].ran[t.Index]++
			}
		},
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
		status, report := 0, (*wire.Heartbeat)(nil)
		w.site.do(func() {
			if w.dead {
				return
			}
			var changed bool
			status, report, changed = w.Orders(w.site.clock.Now(), o)
			if changed {
				w.hasChanged()
			}
		})
		if report == nil {
			return c.SendStatus(503)
		}
		return c.Status(status).JSON(report)
	})
	app.Get("/inspect", func(c fiber.Ctx) error {
		var report *wire.Heartbeat
		w.site.do(func() { report = w.Report() })
		return c.JSON(report)
	})
}

// hasChanged has the next report sent soon.
func (w *worker) hasChanged() { w.next = min(w.next, max(w.site.clock.Now(), w.last+leastGap)) }

// tick lets time pass for the worker: the actor calls it.
func (w *worker) tick(now clock.Micros) {
	w.dead = w.dead || w.rented.Gone
	switch {
	case w.dead || w.Address == "":
		return
	case !w.up:
		if w.up = now >= w.rented.UpAt; w.up {
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
	r, epoch := w.Report(), w.AgentEpoch
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
		if w.Answered(now, sent, epoch, a) {
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
