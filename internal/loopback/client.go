package loopback

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/peer"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// ErrSubmissionRefused says that a submission was not accepted.
var ErrSubmissionRefused = errors.New("not accepted")

const (
	submitTimeout = 5 * time.Second
	statusTimeout = 2 * time.Second
)

// Status asks every controller for its status, as an operator would.
func (c *Cluster) Status() []status.Controller {
	var all []status.Controller
	for _, k := range c.Controllers {
		all = append(all, status.Controller{Name: k.Name, Address: k.PeerAddress})
	}
	status.FetchEach(all)
	return all
}

// Leader is the controller that leads, with its status; nil while none does.
func (c *Cluster) Leader() (*Controller, peer.Status) {
	for i, row := range c.Status() {
		if row.Status != nil && row.Status.IsLeader {
			return c.Controllers[i], *row.Status
		}
	}
	return nil, peer.Status{}
}

// Submit submits a job at a controller, as its user; runS is how long its tasks really run. The first
// submission's time counts.
func (c *Cluster) Submit(k *Controller, j wire.Job, runS float64) error {
	return c.submit(k, j, submittedJob{runS: runS})
}

// SubmitFaulty submits a job whose tasks fail on every machine.
func (c *Cluster) SubmitFaulty(k *Controller, j wire.Job) error {
	return c.submit(k, j, submittedJob{faulty: true})
}

func (c *Cluster) submit(k *Controller, j wire.Job, run submittedJob) error {
	c.environment.call(func() {
		if c.environment.jobs[j.Ref] == nil {
			run.spec, run.submittedAt, run.completions = j, c.environment.clock.Now(), map[int]int{}
			c.environment.jobs[j.Ref] = &run
		}
	})
	body, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fiber.MethodPost)
	req.SetRequestURI(k.jobsURL())
	req.SetBodyRaw(body)
	if err := c.client.DoTimeout(req, res, submitTimeout); err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	if code := res.StatusCode(); code != fiber.StatusOK && code != fiber.StatusCreated {
		return fmt.Errorf("loopback: %w: %d %s", ErrSubmissionRefused, code, res.Body())
	}
	return nil
}

// Cancel cancels a job at a controller; false without its answer.
func (c *Cluster) Cancel(k *Controller, ref string) bool {
	code, _, err := c.client.Post(nil, k.jobsURL()+"/"+ref+"/abort", nil)
	return err == nil && code == fiber.StatusOK
}

// JobState asks a controller for a job's state; "" without an answer.
func (c *Cluster) JobState(k *Controller, ref string) wire.JobState {
	code, body, err := c.client.GetTimeout(nil, k.jobsURL()+"/"+ref, statusTimeout)
	var s wire.JobStatus
	if err != nil || code != fiber.StatusOK || json.Unmarshal(body, &s) != nil {
		return ""
	}
	return s.State
}

// jobsURL is where users submit jobs.
func (k *Controller) jobsURL() string { return "http://" + k.ServeAddress + "/api/jobs" }

// CompletedTasks says how many tasks of a job have completed, and how many of them more than once.
func (c *Cluster) CompletedTasks(ref string) (tasks, repeated int) {
	c.environment.call(func() { tasks, repeated = c.environment.jobs[ref].completedTasks() })
	return tasks, repeated
}
