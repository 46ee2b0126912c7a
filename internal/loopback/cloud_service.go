package loopback

import (
	"github.com/gofiber/fiber/v3"

	"swiftledge/wire"
)

// cloudRoutes answers as the cloud.
func (s *environment) cloudRoutes(app *fiber.App) {
	app.Get("/catalog", s.catalog)
	app.Get("/hosts", s.listMachines)
	app.Post("/hosts", s.provision)
	app.Post("/hosts/delete", s.deleteMachines)
}

func (s *environment) catalog(c fiber.Ctx) error {
	return c.JSON(wire.Catalog{Types: []wire.MachineType{s.config.MachineType}})
}

func (s *environment) listMachines(c fiber.Ctx) error {
	var page wire.MachineList
	s.call(func() {
		for _, machine := range s.cloud.List(s.clock.Now()) {
			if machine.Name > c.Query("since") {
				page.Machines = append(page.Machines, machine)
			}
		}
	})
	return c.JSON(page)
}

func (s *environment) provision(c fiber.Ctx) error {
	request, err := decodeBody[wire.ProvisionRequest](c)
	if err != nil {
		return err
	}
	var names []string
	provisioned := false
	s.call(func() { names, provisioned = s.cloud.Provision(s.clock.Now(), request) })
	if !provisioned {
		return c.Status(fiber.StatusServiceUnavailable).JSON(wire.ErrorResponse{Error: "no capacity"})
	}
	return c.JSON(wire.MachineNames{Names: names})
}

func (s *environment) deleteMachines(c fiber.Ctx) error {
	machines, err := decodeBody[wire.MachineNames](c)
	if err != nil {
		return err
	}
	s.call(func() { s.cloud.Delete(machines.Names) })
	return c.JSON(machines)
}
