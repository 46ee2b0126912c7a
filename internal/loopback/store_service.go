package loopback

import (
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// storeRoutes registers the HTTP API of the state service.
func (e *environment) storeRoutes(app *fiber.App) {
	app.Get("/store", e.list)
	app.Get("/store/*", e.get)
	app.Post("/multi", e.commitTransaction)
	app.Post("/grants", e.grantLease)
	app.Post("/grants/:id/touch", e.renewLease)
	app.Delete("/grants/:id", e.revokeLease)
	app.Get("/watch", e.watch)
}

// revisionResponse is the response for a key that does not exist.
type revisionResponse struct {
	Revision uint64 `json:"ledger"`
}

func (e *environment) get(c fiber.Ctx) error {
	var item wire.Item
	var found bool
	var revision uint64
	e.call(func() {
		item, found = e.store.Get(c.Params("*"))
		revision = e.storeRevision()
	})
	if !found {
		return c.Status(fiber.StatusNotFound).JSON(revisionResponse{revision})
	}
	return c.JSON(item)
}

func (e *environment) list(c fiber.Ctx) error {
	limit, err := strconv.Atoi(c.Query("most", "1000"))
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "most")
	}
	var page wire.ItemList
	e.call(func() {
		var items []wire.Item
		items, page.Revision = e.store.List(c.Query("prefix"))
		for _, item := range items {
			if item.Key <= c.Query("since") {
				continue
			}
			if page.More = len(page.Items) == limit; page.More {
				return
			}
			page.Items = append(page.Items, item)
		}
	})
	return c.JSON(page)
}

func (e *environment) commitTransaction(c fiber.Ctx) error {
	txn, err := decodeBody[wire.Txn](c)
	if err != nil {
		return err
	}
	var result store.TxnResult
	var problem string
	e.call(func() {
		before := e.storeRevision()
		result, problem = e.store.Txn(txn)
		e.wakeWatches(before)
	})
	switch {
	case problem != "":
		return c.Status(fiber.StatusBadRequest).JSON(wire.TxnResponse{Error: problem})
	case !result.Committed:
		return c.Status(fiber.StatusConflict).JSON(wire.TxnResponse{Revision: result.Revision, Failed: result.FailedKeys})
	}
	return c.JSON(wire.TxnResponse{Revision: result.Revision})
}

func (e *environment) grantLease(c fiber.Ctx) error {
	request, err := decodeBody[wire.LeaseRequest](c)
	if err != nil {
		return err
	}
	var id uint64
	ttl := clock.Micros(request.TTLMs) * clock.Millisecond
	e.call(func() { id = e.store.GrantLease(e.clock.Now(), ttl) })
	return c.JSON(wire.LeaseResponse{Lease: id})
}

func (e *environment) renewLease(c fiber.Ctx) error {
	id, err := strconv.ParseUint(c.Params("id"), 10, 64)
	found := false
	e.call(func() { found = err == nil && e.store.RenewLease(e.clock.Now(), id) })
	if !found {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.JSON(wire.LeaseResponse{Lease: id})
}

func (e *environment) revokeLease(c fiber.Ctx) error {
	id, err := strconv.ParseUint(c.Params("id"), 10, 64)
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	e.call(func() {
		before := e.storeRevision()
		e.store.RevokeLease(id)
		e.wakeWatches(before)
	})
	return c.SendStatus(fiber.StatusOK)
}

func (e *environment) watch(c fiber.Ctx) error {
	since, err := strconv.ParseUint(c.Query("since", "0"), 10, 64)
	blockMs, blockErr := strconv.Atoi(c.Query("blockMs", "0"))
	if err != nil || blockErr != nil {
		return fiber.NewError(fiber.StatusBadRequest, "since or blockMs")
	}
	prefix := strings.Clone(c.Query("prefix"))
	timer := time.NewTimer(time.Duration(blockMs) * time.Millisecond)
	defer timer.Stop()
	for {
		var response wire.WatchResponse
		var changed chan struct{}
		isRunning := e.call(func() { response, changed = e.store.ChangesSince(prefix, since), e.storeChanged })
		if !isRunning || len(response.Events) > 0 {
			return c.JSON(response)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(response)
		case <-e.done:
			return c.JSON(response)
		}
	}
}
