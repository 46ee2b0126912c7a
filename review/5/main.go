// Command 5 plays case 5: the body of a submission has a field that the protocol does not know. See claim.txt.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"swiftledge/review/stage"
	"swiftledge/wire"
)

const (
	machines   = 4
	settleTime = 8 * time.Second
	submitTime = 20 * time.Second
	pollPeriod = 5 * time.Second
	polls      = 6

	// jobRef is the job that a user submits. otherRef is what the unknown field holds: the user's own number of another
	// job, which nobody has submitted here.
	jobRef, otherRef = "j-000412", "j-000777"
	unknownField     = "Ref"
)

func main() { stage.Main("review/5", stage.Small(), run) }

// submission returns the body of the submission: a job of the page's form, and with the disruption one field more.
func submission(job wire.Job) ([]byte, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	if stage.Trouble() {
		raw = append(raw[:len(raw)-1], fmt.Sprintf(",%q:%q}", unknownField, otherRef)...)
	}
	return raw, nil
}

func run(site *stage.Site) (int, string) {
	for i := range machines {
		site.RentAtStart("baler", site.Config.Zones[i%len(site.Config.Zones)], true)
	}
	if !site.StartAll() {
		return stage.NotRun, "the controllers did not start"
	}
	time.Sleep(settleTime)
	job := wire.Job{
		Ref: jobRef, Class: "settlement", Team: "saleroom-00", Shape: wire.ShapeBatch, Priority: wire.PriorityHigh, Tasks: 2,
		CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 5,
	}
	site.Upload(job, 5)
	body, err := submission(job)
	if err != nil {
		return stage.NotRun, err.Error()
	}
	var answer stage.Answer
	for end := time.Now().Add(submitTime); time.Now().Before(end); time.Sleep(time.Second) {
		if answer = site.SubmitBody(site.Controllers[0], body); answer.Status != http.StatusServiceUnavailable {
			break
		}
	}
	if answer.Status != http.StatusCreated {
		return stage.NotRun, fmt.Sprintf("the submission was answered with %d %s", answer.Status, answer.Body)
	}
	return ask(site)
}

// ask asks all controllers for the job that was submitted, and for the other one, as users do.
func ask(site *stage.Site) (int, string) {
	forgotten, invented := 0, 0
	for range polls {
		time.Sleep(pollPeriod)
		for _, controller := range site.Controllers {
			if site.Poll(controller, jobRef).Status == http.StatusNotFound {
				forgotten++
			}
			if site.Poll(controller, otherRef).Status == http.StatusOK {
				invented++
			}
		}
	}
	finding := fmt.Sprintf("of %d polls each: %s, which was accepted, got 404 %d times, and %s, which nobody submitted, "+
		"got 200 %d times; %d tasks of %s started", polls*len(site.Controllers), jobRef, forgotten, otherRef, invented,
		site.StartsOf(jobRef), jobRef)
	if forgotten > 0 || invented > 0 {
		return stage.Broken, "forgotten, invented: " + finding
	}
	return stage.Held, finding
}
