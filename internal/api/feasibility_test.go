package api

import (
	"encoding/json"
	"testing"

	"swiftledge/wire"
)

// Submissions that can never run are rejected. A team's limit of 0 means no limit, any other limit applies, and a task
// that fits no machine type is rejected regardless of the team's limit.
func TestInfeasibleJobsAreRejected(t *testing.T) {
	service := newService(t, newHookedStore())
	for _, c := range []struct {
		name string
		job  wire.Job
		code int
	}{
		{"within the limit", wire.Job{Ref: "j-000001", Team: "red", CPUs: 4}, 201},
		{"without a limit", wire.Job{Ref: "j-000002", Team: "guest", CPUs: 4}, 201},
		{"a large array without a limit", wire.Job{Ref: "j-000003", Team: "guest", CPUs: 4, Tasks: 20000}, 201},
		{"replicas over the limit", wire.Job{Ref: "j-000004", Team: "red", CPUs: 4, Tasks: 3, Shape: wire.ShapeService}, 422},
		{"replicas without a limit", wire.Job{Ref: "j-000005", Team: "guest", CPUs: 4, Tasks: 3, Shape: wire.ShapeService}, 201},
		{"a task that fits no machine", wire.Job{Ref: "j-000006", Team: "guest", CPUs: 5}, 422},
		{"GPUs that no machine has", wire.Job{Ref: "j-000007", Team: "guest", CPUs: 1, GPUs: 1}, 422},
		{"a list without machine types", wire.Job{Ref: "j-000009", Team: "guest", CPUs: 1, Types: []string{}}, 422},
		{"an unknown team", wire.Job{Ref: "j-000008", Team: "nobody", CPUs: 1}, 422},
	} {
		c.job.Class, c.job.Priority, c.job.MemoryGB, c.job.Image, c.job.EstimateS = "l", wire.PriorityStandard, 1, "img", 10
		c.job.Tasks = max(c.job.Tasks, 1)
		if c.job.Shape == "" {
			c.job.Shape = wire.ShapeBatch
		}
		body, err := json.Marshal(c.job)
		if err != nil {
			t.Fatal(err)
		}
		if r := service.Submit(body); r.Code != c.code {
			t.Errorf("%s: status %d %s, want %d", c.name, r.Code, r.Reason, c.code)
		}
	}
}
