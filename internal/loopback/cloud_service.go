package loopback

import (
	"github.com/gofiber/fiber/v3"

	"swiftledge/wire"
)

// cloudRoutes registers the HTTP API of the cloud.
func (e *environment) cloudRoutes(app *fiber.App) {
	app.Get("/catalog", e.catalog)
	app.Get("/hosts", e.listMachines)
	app.Post("/hosts", e.provision)
	app.Post("/hosts/delete", e.deleteMachines)
}

func (e *environment) catalog(c fiber.Ctx) error {
	return c.JSON(wire.Catalog{Types: []wire.MachineType{e.config.MachineType}})
}

func (e *environment) listMachines(c fiber.Ctx) error {
	var page wire.MachineList
	e.call(func() {
		for _, machine := range e.cloud.List(e.clock.Now()) {
			if machine.Name > c.Query("since") {
				page.Machines = append(page.Machines, machine)
			}
		}
	})
	return c.JSON(page)
}

func (e *environment) provision(c fiber.Ctx) error {
	request, err := decodeBody[wire.ProvisionRequest](c)
	if err != nil {
		return err
	}
	var names []string
	provisioned := false
	e.call(func() { names, provisioned = e.cloud.Provision(e.clock.Now(), request) })
	if !provisioned {
		return c.Status(fiber.StatusServiceUnavailable).JSON(wire.ErrorResponse{Error: "no capacity"})
	}
	return c.JSON(wire.MachineNames{Names: names})
}

func (e *environment) deleteMachines(c fiber.Ctx) error {
	machines, err := decodeBody[wire.MachineNames](c)
	if err != nil {
		return err
	}
	e.call(func() { e.cloud.Delete(machines.Names) })
	return c.JSON(machines)
}
