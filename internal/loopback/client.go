package loopback

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/exactjson"
	"swiftledge/internal/peer"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// ErrSubmissionRefused reports that a controller refused a submission.
var ErrSubmissionRefused = errors.New("submission refused")

const (
	submitTimeout    = 5 * time.Second
	jobStatusTimeout = 2 * time.Second
)

// Status requests the status of every controller in the same way as the status command. It returns one row for each
// controller, in the order of c.Controllers.
func (c *Cluster) Status() []status.Controller {
	var rows []status.Controller
	for _, controller := range c.Controllers {
		rows = append(rows, status.Controller{Name: controller.Name, Address: controller.PeerAddress})
	}
	status.FetchEach(rows)
	return rows
}

// Leader returns the leader and its status, or nil if no controller reports that it is the leader.
func (c *Cluster) Leader() (*Controller, peer.Status) {
	for i, row := range c.Status() {
		if row.Status != nil && row.Status.IsLeader {
			return c.Controllers[i], *row.Status
		}
	}
	return nil, peer.Status{}
}

// Submit submits a job to a controller as a user does. runS is the actual run time of the job's tasks. If the job is
// submitted again, the run time and the submission time of the first submission are kept.
func (c *Cluster) Submit(controller *Controller, job wire.Job, runS float64) error {
	return c.submit(controller, job, submittedJob{runS: runS})
}

// SubmitFaulty submits a job whose tasks fail on every machine.
func (c *Cluster) SubmitFaulty(controller *Controller, job wire.Job) error {
	return c.submit(controller, job, submittedJob{faulty: true})
}

func (c *Cluster) submit(controller *Controller, job wire.Job, submitted submittedJob) error {
	c.env.call(func() {
		if c.env.jobs[job.Ref] == nil {
			submitted.spec, submitted.submittedAt, submitted.completions = job, c.env.clock.Now(), map[int]int{}
			c.env.jobs[job.Ref] = &submitted
		}
	})
	body, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("loopback: encode job: %w", err)
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fiber.MethodPost)
	req.SetRequestURI(controller.jobsURL())
	req.SetBodyRaw(body)
	if err := c.client.DoTimeout(req, res, submitTimeout); err != nil {
		return fmt.Errorf("loopback: submit job: %w", err)
	}
	if code := res.StatusCode(); code != fiber.StatusOK && code != fiber.StatusCreated {
		return fmt.Errorf("loopback: %w: %d %s", ErrSubmissionRefused, code, res.Body())
	}
	return nil
}

// Cancel sends a request to cancel a job to a controller. It reports whether the controller answered with status 200.
func (c *Cluster) Cancel(controller *Controller, ref string) bool {
	code, _, err := c.client.Post(nil, controller.jobsURL()+"/"+ref+"/abort", nil)
	return err == nil && code == fiber.StatusOK
}

// JobState requests a job's state from a controller. It returns "" if the controller gives no valid answer.
func (c *Cluster) JobState(controller *Controller, ref string) wire.JobState {
	code, body, err := c.client.GetTimeout(nil, controller.jobsURL()+"/"+ref, jobStatusTimeout)
	var jobStatus wire.JobStatus
	if err != nil || code != fiber.StatusOK || exactjson.Unmarshal(body, &jobStatus) != nil {
		return ""
	}
	return jobStatus.State
}

// jobsURL returns the URL to which users submit jobs.
func (c *Controller) jobsURL() string { return "http://" + c.ServeAddress + "/api/jobs" }

// CompletedTasks returns how many tasks of a job have completed and how many of these tasks completed more than once.
func (c *Cluster) CompletedTasks(ref string) (tasks, repeated int) {
	c.env.call(func() { tasks, repeated = c.env.jobs[ref].completedTasks() })
	return tasks, repeated
}
