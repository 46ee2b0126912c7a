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

// storeRoutes answers as the state service.
func (s *environment) storeRoutes(app *fiber.App) {
	app.Get("/store", s.list)
	app.Get("/store/*", s.get)
	app.Post("/multi", s.commitTransaction)
	app.Post("/grants", s.grantLease)
	app.Post("/grants/:id/touch", s.renewLease)
	app.Delete("/grants/:id", s.revokeLease)
	app.Get("/watch", s.watch)
}

// revisionResponse is the answer for a key that is not there.
type revisionResponse struct {
	Revision uint64 `json:"ledger"`
}

func (s *environment) get(c fiber.Ctx) error {
	var item wire.Item
	var found bool
	var revision uint64
	s.call(func() {
		item, found = s.store.Get(c.Params("*"))
		revision = s.storeRevision()
	})
	if !found {
		return c.Status(fiber.StatusNotFound).JSON(revisionResponse{revision})
	}
	return c.JSON(item)
}

func (s *environment) list(c fiber.Ctx) error {
	limit, err := strconv.Atoi(c.Query("most", "1000"))
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "most")
	}
	var page wire.ItemList
	s.call(func() {
		var items []wire.Item
		items, page.Revision = s.store.List(c.Query("prefix"))
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

func (s *environment) commitTransaction(c fiber.Ctx) error {
	txn, err := decodeBody[wire.Txn](c)
	if err != nil {
		return err
	}
	var result store.TxnResult
	var problem string
	s.call(func() {
		before := s.storeRevision()
		result, problem = s.store.Txn(txn)
		s.wakeWatches(before)
	})
	switch {
	case problem != "":
		return c.Status(fiber.StatusBadRequest).JSON(wire.TxnResponse{Error: problem})
	case !result.Committed:
		return c.Status(fiber.StatusConflict).JSON(wire.TxnResponse{Revision: result.Revision, Failed: result.FailedKeys})
	}
	return c.JSON(wire.TxnResponse{Revision: result.Revision})
}

func (s *environment) grantLease(c fiber.Ctx) error {
	request, err := decodeBody[wire.LeaseRequest](c)
	if err != nil {
		return err
	}
	var id uint64
	ttl := clock.Micros(request.TTLMs) * clock.Millisecond
	s.call(func() { id = s.store.GrantLease(s.clock.Now(), ttl) })
	return c.JSON(wire.LeaseResponse{Lease: id})
}

func (s *environment) renewLease(c fiber.Ctx) error {
	id, err := strconv.ParseUint(c.Params("id"), 10, 64)
	found := false
	s.call(func() { found = err == nil && s.store.RenewLease(s.clock.Now(), id) })
	if !found {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.JSON(wire.LeaseResponse{Lease: id})
}

func (s *environment) revokeLease(c fiber.Ctx) error {
	id, err := strconv.ParseUint(c.Params("id"), 10, 64)
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	s.call(func() {
		before := s.storeRevision()
		s.store.RevokeLease(id)
		s.wakeWatches(before)
	})
	return c.SendStatus(fiber.StatusOK)
}

func (s *environment) watch(c fiber.Ctx) error {
	since, err := strconv.ParseUint(c.Query("since", "0"), 10, 64)
	blockMs, blockErr := strconv.Atoi(c.Query("blockMs", "0"))
	if err != nil || blockErr != nil {
		return fiber.NewError(fiber.StatusBadRequest, "since or blockMs")
	}
	prefix := strings.Clone(c.Query("prefix"))
	timeout := time.NewTimer(time.Duration(blockMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		var response wire.WatchResponse
		var changed chan struct{}
		running := s.call(func() { response, changed = s.store.ChangesSince(prefix, since), s.storeChanged })
		if !running || len(response.Events) > 0 {
			return c.JSON(response)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return c.JSON(response)
		case <-s.done:
			return c.JSON(response)
		}
	}
}
