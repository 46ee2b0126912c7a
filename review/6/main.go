// Command 6 plays case 6: a user submits a job that allows no machine type. See claim.txt.
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
	watchTime  = 20 * time.Second

	typelessRef, zonelessRef, knownRef = "j-000412", "j-000413", "j-000414"
	runS                               = 5
)

func main() { stage.Main("review/6", stage.Small(), run) }

// body returns the body of a submission. With the disruption, a list of types or a zone that no machine has replaces
// the null that allows any.
func body(ref string) ([]byte, error) {
	raw, err := json.Marshal(wire.Job{
		Ref: ref, Class: "settlement", Team: "saleroom-00", Shape: wire.ShapeBatch, Priority: wire.PriorityHigh, Tasks: 2,
		CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: runS,
	})
	if err != nil {
		return nil, err
	}
	fields := map[string]any{} // any: the values of a JSON object
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	fields["breeds"], fields["paddock"] = nil, nil
	switch {
	case !stage.Trouble():
	case ref == typelessRef:
		fields["breeds"] = []string{}
	case ref == zonelessRef:
		fields["paddock"] = ""
	}
	return json.Marshal(fields)
}

func run(site *stage.Site) (int, string) {
	for i := range machines {
		site.RentAtStart("baler", site.Config.Zones[i%len(site.Config.Zones)], true)
	}
	if !site.StartAll() {
		return stage.NotRun, "the controllers did not start"
	}
	time.Sleep(settleTime)
	answers := map[string]int{}
	for _, ref := range []string{knownRef, typelessRef, zonelessRef} {
		raw, err := body(ref)
		if err != nil {
			return stage.NotRun, err.Error()
		}
		site.Upload(wire.Job{Ref: ref, Shape: wire.ShapeBatch, Tasks: 2, CPUs: 2, MemoryGB: 2, Image: "img-1"}, runS)
		for end := time.Now().Add(submitTime); time.Now().Before(end); time.Sleep(time.Second) {
			answers[ref] = site.SubmitBody(site.Controllers[0], raw).Status
			if answers[ref] != http.StatusServiceUnavailable {
				break
			}
		}
	}
	if answers[knownRef] != http.StatusCreated {
		return stage.NotRun, "an ordinary job was not accepted"
	}
	time.Sleep(watchTime)
	typeless, zoneless := site.StartsOf(typelessRef), site.StartsOf(zonelessRef)
	finding := fmt.Sprintf("%s was answered with %d, %d of its tasks started; %s with %d, %d started; %d tasks of an "+
		"ordinary job started", typelessRef, answers[typelessRef], typeless, zonelessRef, answers[zonelessRef], zoneless,
		site.StartsOf(knownRef))
	switch {
	case site.StartsOf(knownRef) == 0:
		return stage.NotRun, finding
	case stage.Trouble() && typeless+zoneless > 0:
		return stage.Broken, "wrong_place: " + finding
	}
	return stage.Held, finding
}
