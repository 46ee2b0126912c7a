package stage

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"swiftledge/wire"
)

// Times that users wait for an answer (PROTOCOL).
const (
	submitWait = 5 * time.Second
	pollWait   = 2 * time.Second
)

// Answer is a controller's answer to a user. A status of 0 means that there was none.
type Answer struct {
	Status int
	Body   []byte
	Job    wire.JobStatus
}

// request sends one request of a user on a connection of its own, and records it with the answer.
func (s *Site) request(method string, c *Controller, path string, body []byte, wait time.Duration) Answer {
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	sent := s.Record.Seconds()
	var answer Answer
	if response, err := client.Do(request); err == nil {
		answer.Status = response.StatusCode
		if answer.Body, err = io.ReadAll(response.Body); err != nil {
			answer = Answer{}
		}
		_ = response.Body.Close() // the answer was read
	}
	_ = json.Unmarshal(answer.Body, &answer.Job) // left empty for other bodies
	s.Record.Printf("user: %s %s to %s at %.3f %s: %d %s", method, path, c.Name, sent, body, answer.Status, answer.Body)
	return answer
}

// SubmitBody sends the body of a submission.
func (s *Site) SubmitBody(c *Controller, body []byte) Answer {
	return s.request(http.MethodPost, c, "/api/jobs", body, submitWait)
}

// Submit uploads a job for the workers and submits it. It repeats the submission at the next controller, as a user
// does, until it is accepted or refused, or the time is over.
func (s *Site) Submit(job wire.Job, runS float64, limit time.Duration) Answer {
	s.Upload(job, runS)
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}
	}
	for i, end := 0, time.Now().Add(limit); ; i++ {
		answer := s.SubmitBody(s.Controllers[i%len(s.Controllers)], body)
		switch answer.Status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return answer
		}
		if time.Now().After(end) {
			return answer
		}
		time.Sleep(time.Second)
	}
}

// Poll asks a controller for a job.
func (s *Site) Poll(c *Controller, ref string) Answer {
	return s.request(http.MethodGet, c, "/api/jobs/"+ref, nil, pollWait)
}

// Cancel asks a controller to cancel a job.
func (s *Site) Cancel(c *Controller, ref string) Answer {
	return s.request(http.MethodPost, c, "/api/jobs/"+ref+"/abort", nil, submitWait)
}
