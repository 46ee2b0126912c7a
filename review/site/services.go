package site

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"

	"swiftledge/wire"
)

// serve serves handler on a free loopback port until the process ends, and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = (&http.Server{Handler: handler}).Serve(listener) // ends with the process
	}()
	return listener.Addr().String(), nil
}

// Ports for the controllers. They are below those that the system gives to outgoing connections, so that no connection
// takes a controller's port before the controller listens, or while it is being restarted.
const (
	minPort, maxPort = 10000, 30000
	maxPortAttempts  = 100
)

var errNoFreePort = errors.New("no free port")

// freeAddress returns a loopback address that nothing uses at present and that it has not returned before.
func (s *Site) freeAddress() (string, error) {
	err := errNoFreePort
	for range maxPortAttempts {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(maxPort-minPort)))
		if s.addresses[address] {
			continue
		}
		s.addresses[address] = true
		var listener net.Listener
		if listener, err = net.Listen("tcp4", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// writeJSON writes a response. A failure only means that the client has gone.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Site) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wire.Catalog{Types: s.options.MachineTypes})
	})
	mux.HandleFunc("GET /hosts", s.listMachines)
	mux.HandleFunc("POST /hosts", s.provision)
	mux.HandleFunc("POST /hosts/delete", s.deleteMachines)
	return mux
}

func (s *Site) listMachines(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	page := wire.MachineList{Machines: []wire.Machine{}}
	s.mu.Lock()
	machines := s.cloud.List(s.clock.Now())
	s.mu.Unlock()
	for _, machine := range machines {
		if machine.Name <= r.URL.Query().Get("since") {
			continue
		}
		if page.More = len(page.Machines) == pageSize; page.More {
			break
		}
		page.Machines = append(page.Machines, machine)
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Site) provision(w http.ResponseWriter, r *http.Request) {
	var request wire.ProvisionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.mu.Lock()
	names, provisioned := s.cloud.Provision(s.clock.Now(), request)
	err := s.startWorkers()
	s.mu.Unlock()
	if err != nil {
		s.record.Logf("cannot start a worker: %v", err)
	}
	s.record.Logf("cloud: hire %s, %d of %s spot=%t: %v",
		request.RequestID, request.Count, request.Type, request.Spot, names)
	if !provisioned {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	writeJSON(w, http.StatusOK, wire.MachineNames{Names: names})
}

func (s *Site) deleteMachines(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.mu.Lock()
	s.cloud.Delete(request.Names)
	for _, name := range request.Names {
		if worker := s.workers[name]; worker != nil && !worker.gone {
			worker.gone = true
			worker.agent.Reboot(s.clock.Now()) // all that was on the machine is gone
		}
	}
	s.mu.Unlock()
	s.record.Logf("cloud: delete %v", request.Names)
	writeJSON(w, http.StatusOK, struct{}{})
}
