package loopback

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// serve answers on loopback until the site ends, and gives the address.
func (s *site) serve(routes func(*fiber.App)) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	app := fiber.New()
	routes(app)
	go app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	go func() {
		<-s.done
		l.Close()
	}()
	return l.Addr().String(), nil
}

// stateService answers as the state service.
func (s *site) stateService(app *fiber.App) {
	app.Get("/store", s.list)
	app.Get("/store/*", s.get)
	app.Post("/multi", s.transact)
	app.Post("/grants", s.grantLease)
	app.Post("/grants/:id/touch", s.touchLease)
	app.Delete("/grants/:id", s.endLease)
	app.Get("/watch", s.watch)
}

// body reads the body of a request.
func body[T any](c fiber.Ctx) (v T, err error) {
	if json.Unmarshal(c.Body(), &v) != nil {
		return v, fiber.NewError(400, "malformed")
	}
	return v, nil
}

type revisionAnswer struct {
	Revision uint64 `json:"ledger"`
}

func (s *site) get(c fiber.Ctx) error {
	var it wire.Item
	var found bool
	var revision uint64
	s.do(func() {
		it, found = s.store.Get(c.Params("*"))
		_, revision = s.store.List(" ")
	})
	if !found {
		return c.Status(404).JSON(revisionAnswer{revision})
	}
	return c.JSON(it)
}

func (s *site) list(c fiber.Ctx) error {
	most, err := strconv.Atoi(c.Query("most", "1000"))
	if err != nil {
		return fiber.NewError(400, "most")
	}
	var out wire.ItemList
	s.do(func() {
		var items []wire.Item
		items, out.Revision = s.store.List(c.Query("prefix"))
		for _, it := range items {
			if it.Key <= c.Query("since") {
				continue
			}
			if out.More = len(out.Items) == most; out.More {
				return
			}
			out.Items = append(out.Items, it)
		}
	})
	return c.JSON(out)
}

func (s *site) transact(c fiber.Ctx) error {
	t, err := body[wire.Txn](c)
	if err != nil {
		return err
	}
	var o store.TxnResult
	var problem string
	s.do(func() {
		_, before := s.store.List(" ")
		o, problem = s.store.Txn(t)
		s.noteChange(before)
	})
	switch {
	case problem != "":
		return c.Status(400).JSON(wire.TxnResponse{Error: problem})
	case !o.Committed:
		return c.Status(409).JSON(wire.TxnResponse{Revision: o.Revision, Failed: o.FailedKeys})
	}
	return c.JSON(wire.TxnResponse{Revision: o.Revision})
}

func (s *site) grantLease(c fiber.Ctx) error {
	f, err := body[wire.LeaseRequest](c)
	if err != nil {
		return err
	}
	var id uint64
	s.do(func() { id = s.store.GrantLease(s.clock.Now(), clock.Micros(f.TTLMs)*clock.Millisecond) })
	return c.JSON(wire.LeaseResponse{Lease: id})
}

func (s *site) touchLease(c fiber.Ctx) error {
	id, err := strconv.ParseUint(c.Params("id"), 10, 64)
	found := false
	s.do(func() { found = err == nil && s.store.RenewLease(s.clock.Now(), id) })
	if !found {
		return c.SendStatus(404)
	}
	return c.JSON(wire.LeaseResponse{Lease: id})
}

func (s *site) endLease(c fiber.Ctx) error {
	id, err := strconv.ParseUint(c.Params("id"), 10, 64)
	if err != nil {
		return c.SendStatus(400)
	}
	s.do(func() {
		_, before := s.store.List(" ")
		s.store.RevokeLease(id)
		s.noteChange(before)
	})
	return c.SendStatus(200)
}

func (s *site) watch(c fiber.Ctx) error {
	since, err := strconv.ParseUint(c.Query("since", "0"), 10, 64)
	block, badBlock := strconv.Atoi(c.Query("blockMs", "0"))
	if err != nil || badBlock != nil {
		return fiber.NewError(400, "since or blockMs")
	}
	prefix := strings.Clone(c.Query("prefix"))
	over := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer over.Stop()
	for {
		var a wire.WatchResponse
		var changed chan struct{}
		if !s.do(func() { a, changed = s.store.ChangesSince(prefix, since), s.changed }) || len(a.Events) > 0 {
			return c.JSON(a)
		}
		select {
		case <-changed:
		case <-over.C:
			return c.JSON(a)
		}
	}
}

// cloudService answers as the cloud.
func (s *site) cloudService(app *fiber.App) {
	app.Get("/catalog", func(c fiber.Ctx) error { return c.JSON(wire.Catalog{Types: []wire.MachineType{s.shape.Type}}) })
	app.Get("/hosts", s.listMachines)
	app.Post("/hosts", s.rent)
	app.Post("/hosts/delete", s.deleteMachines)
}

func (s *site) listMachines(c fiber.Ctx) error {
	var out wire.MachineList
	s.do(func() {
		for _, m := range s.cloud.List(s.clock.Now()) {
			if m.Name > c.Query("since") {
				out.Machines = append(out.Machines, m)
			}
		}
	})
	return c.JSON(out)
}

func (s *site) rent(c fiber.Ctx) error {
	r, err := body[wire.ProvisionRequest](c)
	if err != nil {
		return err
	}
	var names []string
	ok := false
	s.do(func() { names, ok = s.cloud.Provision(s.clock.Now(), r) })
	if !ok {
		return c.Status(503).JSON(wire.ErrorResponse{Error: "no capacity"})
	}
	return c.JSON(wire.MachineNames{Names: names})
}

func (s *site) deleteMachines(c fiber.Ctx) error {
	m, err := body[wire.MachineNames](c)
	if err != nil {
		return err
	}
	s.do(func() { s.cloud.Delete(m.Names) })
	return c.JSON(m)
}
