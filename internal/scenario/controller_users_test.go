package scenario

import (
	"strconv"

	"swiftledge/internal/api"
)

// submitJob has a user submit a job.
func (c *simController) submitJob(body []byte) api.Result {
	return c.recordUserReply("POST /api/jobs", c.service.Submit(body))
}

// lookUpJob has a user ask for a job.
func (c *simController) lookUpJob(ref string) api.Result {
	return c.recordUserReply("GET /api/jobs/"+ref, c.service.Status(ref))
}

// cancelJob has a user cancel a job.
func (c *simController) cancelJob(ref string) api.Result {
	return c.recordUserReply("POST /api/jobs/"+ref+"/abort", c.service.Cancel(ref))
}

// isReady says whether the load balancer may send users.
func (c *simController) isReady() bool {
	ready := c.service.Ready()
	c.recordSent(toUser, "GET /ready: "+strconv.FormatBool(ready))
	return ready
}
