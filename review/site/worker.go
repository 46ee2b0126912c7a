package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

const (
	workerTick         = 20 * time.Millisecond
	reportTimeout      = 4 * time.Second
	minReportInterval  = clock.Second / 2
	nextControllerWait = clock.Second
)

// worker is the worker of one machine. The site's lock guards its fields.
type worker struct {
	site     *Site
	agent    *fake.Agent
	instance *fake.Instance
	client   *http.Client
	booted   bool
	gone     bool // the machine has been deleted

	controller     int // index of the controller that it reports to
	nextReportAt   clock.Micros
	lastReportAt   clock.Micros
	reportInFlight bool
	lastAnswerAt   clock.Micros // when a report was last answered with 200
}

// startWorkers starts a worker for each machine that has none. The caller holds the lock.
func (s *Site) startWorkers() error {
	for _, instance := range s.cloud.Created[len(s.workers):] {
		w := &worker{site: s, instance: instance, client: &http.Client{Timeout: reportTimeout}}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /orders", w.handleCommands)
		mux.HandleFunc("GET /inspect", w.inspect)
		address, err := serve(mux)
		if err != nil {
			return err
		}
		instance.Address = address
		machineType := s.machineType(instance.Type)
		w.agent = &fake.Agent{
			Identity: fake.Identity{Name: instance.Name, Address: address, Type: instance.Type, Zone: instance.Zone,
				Spot: instance.Spot},
			Resources: fake.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB, FetchSeconds: 0.5},
			LeaseTime: clock.FromSeconds(s.options.LeaseS),
			Workload:  workload{s}, Observer: observer{s}, Outputs: s.outputs,
		}
		w.controller = len(s.workers) % len(s.Controllers)
		s.workers[instance.Name] = w
		go w.run()
	}
	return nil
}

func (s *Site) machineType(name string) wire.MachineType {
	i := slices.IndexFunc(s.options.MachineTypes, func(t wire.MachineType) bool { return t.Name == name })
	return s.options.MachineTypes[max(i, 0)]
}

// run lets the machine boot and work until it is deleted.
func (w *worker) run() {
	for {
		time.Sleep(workerTick)
		w.site.mu.Lock()
		now := w.site.clock.Now()
		if w.gone {
			w.site.mu.Unlock()
			return
		}
		if !w.booted && now >= w.instance.BootedAt {
			w.booted, w.nextReportAt, w.lastAnswerAt = true, now, now
			w.agent.Boot(now)
			w.site.record.Logf("%s is up", w.agent.Name)
		}
		if w.booted {
			w.advance(now)
		}
		w.site.mu.Unlock()
	}
}

func (w *worker) advance(now clock.Micros) {
	epoch := w.agent.AgentEpoch
	if w.agent.Advance(now) {
		w.reportSoon(now)
	}
	if w.agent.AgentEpoch > epoch {
		w.site.leaseExpired++
		w.site.record.Logf("%s: lease expired, session %d begins", w.agent.Name, w.agent.AgentEpoch)
	}
	if w.reportInFlight || now < w.nextReportAt {
		return
	}
	interval := clock.FromSeconds(w.site.options.ReportS)
	w.reportInFlight, w.lastReportAt = true, now
	w.nextReportAt = now + interval*3/4 + clock.Micros(rand.Int64N(int64(interval/2)))
	go w.report(now, w.agent.Heartbeat(), w.agent.AgentEpoch, w.controller)
}

func (w *worker) reportSoon(now clock.Micros) {
	w.nextReportAt = min(w.nextReportAt, max(now, w.lastReportAt+minReportInterval))
}

// report sends one report and handles the response.
func (w *worker) report(sentAt clock.Micros, heartbeat *wire.Heartbeat, epoch wire.AgentEpoch, controller int) {
	url := "http://" + w.site.Controllers[controller].ServeAddress + "/agent/beat"
	status, body, sent := post(w.client, url, heartbeat)
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if status != http.StatusOK && status != http.StatusMisdirectedRequest {
		s.record.Logf("%s -> %s: report of %d tasks, %d bytes: %d %s", w.agent.Name, s.Controllers[controller].Name,
			len(heartbeat.Tasks), sent, status, body)
	}
	now := s.clock.Now()
	w.reportInFlight = false
	if w.gone {
		return
	}
	switch status {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if json.Unmarshal(body, &response) != nil {
			return
		}
		w.lastAnswerAt = now
		if w.agent.HandleResponse(now, sentAt, epoch, response) {
			w.reportSoon(now)
		}
		return
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		_ = json.Unmarshal(body, &redirect) // without a name the worker tries the next controller
		named := slices.IndexFunc(s.Controllers, func(c *Controller) bool { return c.Name == redirect.Controller })
		if named >= 0 && named != controller {
			w.controller, w.nextReportAt = named, now
			return
		}
	}
	w.controller, w.nextReportAt = (controller+1)%len(s.Controllers), now+nextControllerWait
}

// post sends a body. It returns the status of the response (0: no response), its body and the number
// of bytes that were sent.
func post(client *http.Client, url string, body any) (status int, answer []byte, sent int) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil, 0
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, 0
	}
	status, answer = do(client, request)
	return status, answer, len(raw)
}

func do(client *http.Client, request *http.Request) (int, []byte) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func (w *worker) handleCommands(writer http.ResponseWriter, r *http.Request) {
	var batch wire.CommandBatch
	if json.NewDecoder(r.Body).Decode(&batch) != nil {
		writeJSON(writer, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	w.site.mu.Lock()
	if w.gone || !w.booted {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler) // a machine that is gone or not up does not answer
	}
	now := w.site.clock.Now()
	result := w.agent.HandleCommands(now, batch)
	if result.Changed {
		w.reportSoon(now)
	}
	w.site.mu.Unlock()
	writeJSON(writer, result.Status, result.Heartbeat)
}

func (w *worker) inspect(writer http.ResponseWriter, _ *http.Request) {
	w.site.mu.Lock()
	if w.gone || !w.booted {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	heartbeat := w.agent.Heartbeat()
	w.site.mu.Unlock()
	writeJSON(writer, http.StatusOK, heartbeat)
}
