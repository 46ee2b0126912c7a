package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"swiftledge/internal/cloud"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

const (
	// cloudWorkers is the maximum number of concurrent requests to the cloud. There are several so that a slow or
	// refused request does not delay the others.
	cloudWorkers = 4
	// cloudQueueSize is the maximum number of queued requests to the cloud.
	cloudQueueSize = 64
)

// cloudWorker performs the leader's requests to the cloud and sends the cloud's answers to the leader as messages.
type cloudWorker struct {
	client *cloud.Client
	leader mailbox[leader.Message]
	log    *slog.Logger
	queue  chan func(context.Context)
}

func newCloudWorker(client *cloud.Client, leaderMailbox mailbox[leader.Message], log *slog.Logger) *cloudWorker {
	return &cloudWorker{
		client: client,
		leader: leaderMailbox,
		log:    log,
		queue:  make(chan func(context.Context), cloudQueueSize),
	}
}

// errQueueFull is the error of a request that was dropped because too many requests were queued.
var errQueueFull = errors.New("queue of cloud requests is full")

// enqueue queues a request without blocking. If the queue is full, enqueue drops the request and returns false. The
// leader repeats provision requests, lists and requests for the catalog after a time without an answer.
func (w *cloudWorker) enqueue(request func(context.Context)) bool {
	select {
	case w.queue <- request:
		return true
	default:
		w.log.Debug("cloud request dropped", "reason", "queue is full")
		return false
	}
}

// deleteMachines queues a deletion. The leader waits for the result of every deletion, so a dropped one has a result,
// too.
func (w *cloudWorker) deleteMachines(background *sync.WaitGroup, request leader.DeleteMachines) {
	if w.enqueue(func(ctx context.Context) { w.delete(ctx, request) }) {
		return
	}
	// The leader's actor is the caller, so it must not wait for space in its own mailbox.
	background.Go(func() { w.reportDeletion(request, errQueueFull) })
}

// run performs queued requests one at a time until the context ends. Several goroutines may call run, to perform
// several requests concurrently.
func (w *cloudWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-w.queue:
			request(ctx)
		}
	}
}

func (w *cloudWorker) provision(ctx context.Context, request leader.ProvisionMachines) {
	names, err := w.client.Provision(ctx, request.Request)
	w.leader.send(leader.MachinesProvisioned{
		Term:       request.Term,
		RequestID:  request.Request.RequestID,
		Machines:   names,
		NoCapacity: errors.Is(err, cloud.ErrNoCapacity),
		Err:        err,
	})
}

func (w *cloudWorker) delete(ctx context.Context, request leader.DeleteMachines) {
	w.reportDeletion(request, w.client.Delete(ctx, request.Machines))
}

func (w *cloudWorker) reportDeletion(request leader.DeleteMachines, err error) {
	w.leader.send(leader.MachinesDeleted{Term: request.Term, Machines: request.Machines, Err: err})
}

func (w *cloudWorker) loadCatalog(ctx context.Context) {
	catalog, err := w.client.Catalog(ctx)
	if err != nil {
		w.log.Debug("cannot load the machine catalog", "error", err)
		return
	}
	w.leader.send(leader.CatalogLoaded{Types: catalog.Types})
}

// listMachines reads all pages of the cloud's list of machines. The leader receives the complete list or nothing.
func (w *cloudWorker) listMachines(ctx context.Context) {
	var machines []wire.Machine
	after := ""
	for {
		page, err := w.client.List(ctx, after)
		if err != nil {
			w.log.Debug("cannot list the machines", "error", err)
			return
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			w.leader.send(leader.MachinesListed{Machines: machines})
			return
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
