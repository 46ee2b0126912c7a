// Command 7 plays case 7: a controller that does not lead ends and comes back while the tasks of a job run. See
// claim.txt.
package main

import (
	"fmt"
	"time"

	"swiftledge/review/stage"
	"swiftledge/wire"
)

const (
	machines   = 4
	settleTime = 8 * time.Second
	submitTime = 20 * time.Second
	// restartDelay is how long a controller is away (BRIEF: "back about 8 s after an end").
	restartDelay = 8 * time.Second
	// calmTime is the time after the return in which the shards find their holders again.
	calmTime   = 20 * time.Second
	pollPeriod = 2 * time.Second
	polls      = 8

	jobRef = "j-000412"
	tasks  = 6
)

func main() { stage.Main("review/7", stage.Small(), run) }

func run(site *stage.Site) (int, string) {
	for i := range machines {
		site.RentAtStart("baler", site.Config.Zones[i%len(site.Config.Zones)], true)
	}
	if !site.StartAll() {
		return stage.NotRun, "the controllers did not start"
	}
	time.Sleep(settleTime)
	job := wire.Job{
		Ref: jobRef, Class: "appraisal", Team: "saleroom-00", Shape: wire.ShapeBatch, Priority: wire.PriorityStandard,
		Tasks: tasks, CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 300,
	}
	if answer := site.Submit(job, 300, submitTime); answer.Status != 201 && answer.Status != 200 {
		return stage.NotRun, "the job was not accepted"
	}
	for end := time.Now().Add(submitTime); site.Running(jobRef) < tasks; time.Sleep(time.Second) {
		if time.Now().After(end) {
			return stage.NotRun, "the job's tasks did not start"
		}
	}
	if stage.Trouble() {
		follower := site.Follower()
		if follower == nil {
			return stage.NotRun, "no controller leads"
		}
		follower.Kill()
		time.Sleep(restartDelay)
		if err := follower.Start(); err != nil {
			return stage.NotRun, err.Error()
		}
	}
	time.Sleep(calmTime)
	return ask(site)
}

// ask asks all controllers again and again while nothing changes, and compares what they answer with what runs.
func ask(site *stage.Site) (int, string) {
	wrong, asked, worst := 0, 0, 0
	running, starts := site.Running(jobRef), site.StartsOf(jobRef)
	for range polls {
		time.Sleep(pollPeriod)
		for _, controller := range site.Controllers {
			answer := site.Poll(controller, jobRef)
			if answer.Status != 200 {
				continue
			}
			asked++
			if answer.Job.Running != running {
				wrong++
				worst = max(worst, answer.Job.Running)
			}
		}
		site.Record.Printf("%d tasks of %s run", site.Running(jobRef), jobRef)
	}
	if site.Running(jobRef) != running || site.StartsOf(jobRef) != starts {
		return stage.NotRun, "the tasks did not stay as they were"
	}
	finding := fmt.Sprintf("%d tasks ran all the time; %d of %d answers told another number, up to %d", running, wrong,
		asked, worst)
	if running == tasks && asked > 0 && wrong == asked {
		return stage.Broken, "wrong_count: " + finding
	}
	return stage.Held, finding
}
