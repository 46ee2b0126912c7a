package fake

import (
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// Instance is a machine of the cloud.
type Instance struct {
	wire.Machine
	Since, UpAt, Listed clock.Micros
	Never               bool // it will not come up
	Quiet               bool // it comes up, and its worker never reports
	Dead                bool // it stopped by itself
	Gone                bool
}

// Cloud rents machines.
type Cloud struct {
	Types    []wire.MachineType
	Capacity int // machines at once; 0: no bound
	Lag      clock.Micros
	NoBoot   int // how many of the next machines never come up
	NoReport int // how many of the next machines come up and never report
	// BootFactor makes the next machines boot in so many times the usual time; 0: in the usual time.
	BootFactor float64
	Machines   map[string]*Instance
	Order      []*Instance // all of them, in the order of creation, which is that of their names

	requests map[string][]string
	n        int
}

// NewCloud makes a cloud without machines.
func NewCloud(types []wire.MachineType, lag clock.Micros) *Cloud {
	return &Cloud{Types: types, Lag: lag, Machines: map[string]*Instance{}, requests: map[string][]string{}}
}

func (c *Cloud) typ(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Provision carries out a request, once for each name; false: no capacity.
func (c *Cloud) Provision(now clock.Micros, r wire.ProvisionRequest) ([]string, bool) {
	if names, ok := c.requests[r.RequestID]; ok {
		return names, true
	}
	left := r.Count
	if c.Capacity > 0 {
		have := 0
		for _, m := range c.Order {
			if !m.Gone {
				have++
			}
		}
		left = min(left, c.Capacity-have)
	}
	if left <= 0 || c.typ(r.Type) == nil {
		return nil, false
	}
	var names []string
	for range left {
		m := c.Add(now, r.Type, r.Zone, r.Spot)
		names = append(names, m.Name)
	}
	c.requests[r.RequestID] = names
	return names, true
}

// Add starts a machine.
func (c *Cloud) Add(now clock.Micros, typ, zone string, spot bool) *Instance {
	t := c.typ(typ)
	m := &Instance{Machine: wire.Machine{Name: fmt.Sprintf("host-%06d", c.n), Address: fmt.Sprintf("10.1.0.%d:9000", c.n),
		Type: typ, Zone: zone, Spot: spot, State: wire.MachineStarting},
		Since: now, UpAt: now + clock.FromSeconds(t.BootS), Listed: now + c.Lag}
	c.n++
	if c.NoBoot > 0 {
		c.NoBoot--
		m.Never = true
	} else if c.NoReport > 0 {
		c.NoReport--
		m.Quiet = true
	}
	if c.BootFactor > 0 {
		m.UpAt = now + clock.FromSeconds(t.BootS*c.BootFactor)
	}
	c.Machines[m.Name] = m
	c.Order = append(c.Order, m)
	return m
}

// Delete ends machines.
func (c *Cloud) Delete(names []string) {
	for _, n := range names {
		if m := c.Machines[n]; m != nil {
			m.Gone = true
		}
	}
}

// List is the machine list.
func (c *Cloud) List(now clock.Micros) []wire.Machine {
	var out []wire.Machine
	for _, m := range c.Order {
		if m.Gone || now < m.Listed {
			continue
		}
		w := m.Machine
		w.AgeS = (now - m.Since).Seconds()
		switch {
		case m.Dead:
			w.State = wire.MachineFailed
		case !m.Never && now >= m.UpAt:
			w.State = "running"
		}
		out = append(out, w)
	}
	return out
}
