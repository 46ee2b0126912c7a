package site

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	// maxRecordedTasks is the size of a job from which on its tasks are recorded as sums.
	maxRecordedTasks = 1000
)

// Job is a job as the users know it, and what the workers saw of it.
type Job struct {
	Spec       wire.Job
	RunS       float64 // mean run time of the tasks
	AcceptedAt time.Duration
	Commands   []Event // executed run commands
	Starts     []Event
	Ends       []Event
}

// Event is something that happened to a task on a machine.
type Event struct {
	At      time.Duration // since the start of the record
	Machine string
	Task    string
	Cause   string
}

// Answer is the answer to a user's request. Code 0 means that there was none.
type Answer struct {
	Code  int
	State wire.JobState
	Text  string
	At    time.Duration // when it arrived
}

func (s *Site) answer(code int, body []byte) Answer {
	var status wire.JobStatus
	_ = json.Unmarshal(body, &status) // errors have another form
	return Answer{Code: code, State: status.State, Text: string(body), At: s.record.Elapsed()}
}

// Submit submits a job once.
func (s *Site) Submit(c *Controller, spec wire.Job, runS float64) Answer {
	s.mu.Lock()
	if s.jobs[spec.Ref] == nil {
		s.jobs[spec.Ref] = &Job{Spec: spec, RunS: runS}
	}
	s.mu.Unlock()
	code, body, _ := post(&http.Client{Timeout: submitTimeout}, "http://"+c.ServeAddress+"/api/jobs", spec)
	answer := s.answer(code, body)
	s.record.Logf("user -> %s: POST /api/jobs %s (%s, %d tasks, image name of %d characters): %d %s",
		c.Name, spec.Ref, spec.Team, spec.Tasks, len(spec.Image), code, body)
	if code == http.StatusCreated || code == http.StatusOK {
		s.mu.Lock()
		s.jobs[spec.Ref].AcceptedAt = answer.At
		s.mu.Unlock()
	}
	return answer
}

// SubmitUntilAccepted repeats a submission as users do, for up to 60 s and at the controllers in turn.
func (s *Site) SubmitUntilAccepted(spec wire.Job, runS float64) bool {
	for try := range 30 {
		answer := s.Submit(s.Controllers[try%len(s.Controllers)], spec, runS)
		switch answer.Code {
		case http.StatusCreated, http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(2 * time.Second)
	}
	return false
}

// Status polls a job once.
func (s *Site) Status(c *Controller, ref string) Answer {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+c.ServeAddress+"/api/jobs/"+ref, nil)
	if err != nil {
		return Answer{}
	}
	code, body := do(&http.Client{Timeout: pollTimeout}, request)
	s.record.Logf("user -> %s: GET /api/jobs/%s: %d %s", c.Name, ref, code, body)
	return s.answer(code, body)
}

// Cancel asks once to cancel a job.
func (s *Site) Cancel(c *Controller, ref string) Answer {
	sentAt := s.record.Elapsed()
	code, body, _ := post(&http.Client{Timeout: submitTimeout}, "http://"+c.ServeAddress+"/api/jobs/"+ref+"/abort", nil)
	answer := s.answer(code, body)
	s.record.Logf("user -> %s: POST /api/jobs/%s/abort (sent at %.3f): %d %s",
		c.Name, ref, sentAt.Seconds(), code, body)
	return answer
}

// Job returns a copy of what is known of a job.
func (s *Site) Job(ref string) Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.jobs[ref]
}

// workload tells the workers about the jobs.
type workload struct{ site *Site }

func (w workload) Job(ref string) (wire.Job, bool) {
	if job := w.site.jobs[ref]; job != nil {
		return job.Spec, true
	}
	return wire.Job{}, false
}

// RunSeconds returns the run time of a task. The tasks of a job differ by up to half of its mean run time.
func (w workload) RunSeconds(job *wire.Job, index int) float64 {
	const variants = 10
	return w.site.jobs[job.Ref].RunS * (0.55 + float64(index*7%variants)/variants)
}

func (w workload) Fails(*wire.Job, int) bool { return false }

// observer records what the workers do.
type observer struct{ site *Site }

func (o observer) note(what string, a *fake.Agent, t *fake.Task) (*Job, Event) {
	event := Event{At: o.site.record.Elapsed(), Machine: a.Name, Task: t.Task, Cause: string(t.Cause)}
	ref, _, _ := strings.Cut(t.Task, "/")
	job := o.site.jobs[ref]
	if job != nil && job.Spec.Tasks > maxRecordedTasks {
		o.site.sums[a.Name+": "+strings.TrimSpace(what+" "+event.Cause)+", tasks of "+ref]++
	} else {
		o.site.record.Logf("%s: %s %s attempt %d %s", a.Name, what, t.Task, t.Attempt, t.Cause)
	}
	return job, event
}

// recordSums records what happened to the tasks of large jobs, as sums, every half second until done is closed.
func (s *Site) recordSums() {
	ticker := time.NewTicker(time.Second / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for _, what := range slices.Sorted(maps.Keys(s.sums)) {
			s.record.Logf("%s: %d", what, s.sums[what])
		}
		clear(s.sums)
		s.mu.Unlock()
	}
}

func (o observer) RunCommandExecuted(a *fake.Agent, t *fake.Task) {
	if job, event := o.note("run command executed", a, t); job != nil {
		job.Commands = append(job.Commands, event)
	}
}

func (o observer) TaskStarted(a *fake.Agent, t *fake.Task) {
	if job, event := o.note("task started", a, t); job != nil {
		job.Starts = append(job.Starts, event)
	}
}

func (o observer) TaskAlreadyDone(a *fake.Agent, t *fake.Task) { o.note("task was done before", a, t) }

func (o observer) TaskEnded(a *fake.Agent, t *fake.Task) {
	if job, event := o.note("task ended", a, t); job != nil {
		job.Ends = append(job.Ends, event)
	}
}

// now returns the steady time of the stand-ins.
func (s *Site) now() clock.Micros { return s.clock.Now() }
