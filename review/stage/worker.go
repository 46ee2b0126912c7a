package stage

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// Times of a worker's reports (PROTOCOL, "Workers -> controller nodes").
const (
	reportTimeout     = 4 * time.Second
	minReportInterval = 500 * time.Millisecond
	reportRetry       = time.Second
)

// Worker is one machine's worker: the decisions of fake.Agent, over HTTP.
type Worker struct {
	site   *Site
	record *Record
	client *http.Client

	mutex       *sync.Mutex // of all workers, as they share what tasks store outside the machines
	agent       *fake.Agent
	instance    *fake.Instance
	booted      bool
	ended       bool
	controller  int // index of the controller that gets the next report
	nextReport  time.Time
	lastReport  time.Time
	reporting   bool
	tokenTold   clock.Micros // when a higher token last counted as a change
	reports     map[int]int  // by HTTP status, 0 for none
	lastHealthy time.Time    // when a report was last answered with 200
}

// newWorker starts the worker of a machine.
func newWorker(site *Site, instance *fake.Instance) *Worker {
	w := &Worker{
		site: site, record: site.Record, instance: instance, reports: map[int]int{}, mutex: &site.workers,
		client:     &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		controller: rand.IntN(len(site.Controllers)),
	}
	machineType := site.typeNamed(instance.Type)
	w.agent = &fake.Agent{
		Identity: fake.Identity{Name: instance.Name, Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot},
		Resources: fake.Resources{
			CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB, FetchSeconds: site.Config.FetchS,
		},
		LeaseTime: clock.FromSeconds(site.Config.LeaseS),
		Workload:  site, Observer: site, Outputs: site.outputs,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.serveOrders)
	mux.HandleFunc("GET /inspect", w.serveInspect)
	address, err := serve(mux)
	if err != nil {
		site.Record.Printf("worker %s: %v", instance.Name, err)
		return w
	}
	w.agent.Address, instance.Address = address, address
	go w.run()
	return w
}

// run advances the worker until the machine ends.
func (w *Worker) run() {
	for range time.Tick(workerTick) {
		if !w.tick() {
			return
		}
	}
}

// tick advances the worker and reports whether the machine still exists.
func (w *Worker) tick() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.site.clock.Now()
	switch {
	case w.ended:
		return false
	case !w.booted:
		if w.booted = now >= w.instance.BootedAt; w.booted {
			w.agent.Boot(now)
			w.nextReport = time.Now()
		}
		return true
	}
	if w.agent.Advance(now) {
		w.reportSoon()
	}
	if !w.reporting && !time.Now().Before(w.nextReport) {
		w.report(now)
	}
	return true
}

// reportSoon moves the next report forward. The mutex must be held.
func (w *Worker) reportSoon() {
	if soonest := w.lastReport.Add(minReportInterval); soonest.Before(w.nextReport) {
		w.nextReport = soonest
	}
}

// report starts to send a report. The mutex must be held.
func (w *Worker) report(now clock.Micros) {
	w.reporting, w.lastReport = true, time.Now()
	interval := time.Duration(w.site.Config.ReportS * float64(time.Second))
	w.nextReport = w.lastReport.Add(interval*3/4 + rand.N(interval/2))
	heartbeat, epoch, controller := w.agent.Heartbeat(), w.agent.AgentEpoch, w.controller
	go func() {
		status, body := w.send(w.site.Controllers[controller].Address, heartbeat)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.reporting = false
		w.reports[status]++
		if !w.ended {
			w.answered(now, epoch, status, body)
		}
	}()
}

// send sends a report and returns the answer's status, 0 for none, and body.
func (w *Worker) send(address string, heartbeat *wire.Heartbeat) (int, []byte) {
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return 0, nil
	}
	response, err := w.client.Post("http://"+address+"/agent/beat", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // the answer was read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// answered handles the answer to the report that was sent at sentAt. The mutex must be held.
func (w *Worker) answered(sentAt clock.Micros, epoch wire.AgentEpoch, status int, body []byte) {
	switch status {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if json.Unmarshal(body, &response) != nil {
			break
		}
		w.lastHealthy = time.Now()
		before := w.agent.FencingToken
		if w.agent.HandleResponse(w.site.clock.Now(), sentAt, epoch, response) {
			w.changed(before)
		}
		return
	case http.StatusMisdirectedRequest:
		w.client.CloseIdleConnections()
		var redirect wire.Redirect
		if json.Unmarshal(body, &redirect) == nil && w.follow(redirect.Controller) {
			w.nextReport = time.Now().Add(rand.N(minReportInterval))
			return
		}
	}
	w.controller = (w.controller + 1) % len(w.site.Controllers)
	w.nextReport = time.Now().Add(reportRetry)
}

// changed reports soon after a change. A higher token counts as one at most once in half of a lease.
func (w *Worker) changed(tokenBefore wire.FencingToken) {
	now := w.site.clock.Now()
	if w.agent.FencingToken > tokenBefore && now-w.tokenTold > clock.FromSeconds(w.site.Config.LeaseS/2) {
		w.tokenTold = now
		w.reportSoon()
	}
}

// follow selects the named controller, and returns false if it is unknown or the same.
func (w *Worker) follow(name string) bool {
	for i, controller := range w.site.Controllers {
		if controller.Name == name && i != w.controller {
			w.controller = i
			return true
		}
	}
	return false
}

func (w *Worker) serveOrders(rw http.ResponseWriter, r *http.Request) {
	var batch wire.CommandBatch
	if !readBody(rw, r, &batch) {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended || !w.booted {
		drop()
	}
	before := w.agent.FencingToken
	result := w.agent.HandleCommands(w.site.clock.Now(), batch)
	if result.Changed {
		w.changed(before)
	}
	reply(rw, result.Status, result.Heartbeat)
}

func (w *Worker) serveInspect(rw http.ResponseWriter, _ *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended || !w.booted {
		drop()
	}
	reply(rw, http.StatusOK, w.agent.Heartbeat())
}

// end ends the machine with all that is on it.
func (w *Worker) end(cause string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.ended {
		w.ended = true
		w.record.Printf("machine %s: %s", w.instance.Name, cause)
	}
}

// WorkerState is what a worker has and does.
type WorkerState struct {
	Name, Type, Zone string
	Spot, Up         bool
	Active           map[string]int // active tasks by job
	UsedCPUs         float64
	Epoch            wire.AgentEpoch
	Reports          map[int]int
	LastHealthy      time.Time
}

// State returns a worker's state.
func (w *Worker) State() WorkerState {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := WorkerState{
		Name: w.instance.Name, Type: w.instance.Type, Zone: w.instance.Zone, Spot: w.instance.Spot,
		Up: w.booted && !w.ended, Active: map[string]int{}, Reports: map[int]int{}, LastHealthy: w.lastHealthy,
		Epoch: w.agent.AgentEpoch,
	}
	for status, count := range w.reports {
		state.Reports[status] = count
	}
	for _, task := range w.agent.Tasks {
		if task.State != wire.TaskExited {
			state.Active[task.Job.Ref]++
			state.UsedCPUs += task.Job.CPUs
		}
	}
	return state
}
