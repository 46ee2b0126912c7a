package scenario

import (
	"strconv"

	"swiftledge/internal/api"
)

// submitJob submits a job as a user.
func (c *simController) submitJob(body []byte) api.Result {
	return c.recordUserReply("POST /api/jobs", c.service.Submit(body))
}

// lookUpJob requests the status of a job as a user.
func (c *simController) lookUpJob(ref string) api.Result {
	return c.recordUserReply("GET /api/jobs/"+ref, c.service.Status(ref))
}

// cancelJob cancels a job as a user.
func (c *simController) cancelJob(ref string) api.Result {
	return c.recordUserReply("POST /api/jobs/"+ref+"/abort", c.service.Cancel(ref))
}

// isReady reports whether the load balancer may route users to the controller.
func (c *simController) isReady() bool {
	ready := c.service.Ready()
	c.recordSent(toUser, "GET /ready: "+strconv.FormatBool(ready))
	return ready
}
