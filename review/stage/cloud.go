package stage

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// Cloud is the cloud. Each machine that it rents gets a worker.
type Cloud struct {
	Address string

	clock  clock.Steady
	record *Record
	boot   func(instance *fake.Instance) *Worker

	mutex   sync.Mutex
	cloud   *fake.Cloud
	workers map[string]*Worker
}

// newCloud returns a cloud that has machines of the types, as many as the capacity says.
func newCloud(types []wire.MachineType, capacity int, steady clock.Steady, record *Record) *Cloud {
	c := &Cloud{clock: steady, record: record, cloud: fake.NewCloud(types, 2*clock.Second), workers: map[string]*Worker{}}
	c.cloud.Capacity = capacity
	return c
}

// start serves the cloud. The function boot makes the worker of a new machine.
func (c *Cloud) start(boot func(instance *fake.Instance) *Worker) (err error) {
	c.boot = boot
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, wire.Catalog{Types: c.cloud.Types})
	})
	mux.HandleFunc("GET /hosts", c.serveList)
	mux.HandleFunc("POST /hosts", c.serveProvision)
	mux.HandleFunc("POST /hosts/delete", c.serveDelete)
	c.Address, err = serve(mux)
	return err
}

// rent makes a machine that nobody asked for, as one that was up before the script began.
func (c *Cloud) rent(typeName, zone string, spot bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	instance := c.cloud.CreateInstance(c.clock.Now(), typeName, zone, spot)
	instance.BootedAt, instance.ListedAt = 0, 0
	c.workers[instance.Name] = c.boot(instance)
}

func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		most = 500
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	page := wire.MachineList{Machines: []wire.Machine{}}
	for _, machine := range c.cloud.List(c.clock.Now()) {
		if machine.Name <= query.Get("since") {
			continue
		}
		if page.More = len(page.Machines) >= most; page.More {
			break
		}
		page.Machines = append(page.Machines, machine)
	}
	reply(w, http.StatusOK, page)
}

func (c *Cloud) serveProvision(w http.ResponseWriter, r *http.Request) {
	var request wire.ProvisionRequest
	if !readBody(w, r, &request) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	names, ok := c.cloud.Provision(c.clock.Now(), request)
	c.record.Printf("cloud: asked for %d of %s in %s, spot %v: %d", request.Count, request.Type, request.Zone,
		request.Spot, len(names))
	if !ok {
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	for _, name := range names {
		if c.workers[name] == nil {
			c.workers[name] = c.boot(c.cloud.Instances[name])
		}
	}
	reply(w, http.StatusOK, wire.MachineNames{Names: names})
}

func (c *Cloud) serveDelete(w http.ResponseWriter, r *http.Request) {
	var machines wire.MachineNames
	if !readBody(w, r, &machines) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cloud.Delete(machines.Names)
	for _, name := range machines.Names {
		if worker := c.workers[name]; worker != nil {
			worker.end("deleted")
		}
	}
	reply(w, http.StatusOK, struct{}{})
}

// Workers returns the workers of all machines that were ever rented.
func (c *Cloud) Workers() (workers []*Worker) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, instance := range c.cloud.Created {
		if worker := c.workers[instance.Name]; worker != nil {
			workers = append(workers, worker)
		}
	}
	return workers
}

// workerTick is the interval at which workers advance their tasks.
const workerTick = 20 * time.Millisecond
