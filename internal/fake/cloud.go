package fake

import (
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// Instance is a machine of the cloud.
type Instance struct {
	wire.Machine
	// CreatedAt, BootedAt and ListedAt are when it was created, comes up and appears in the machine list.
	CreatedAt, BootedAt, ListedAt clock.Micros
	NeverBoots                    bool // it will not come up
	NeverHeartbeats               bool // it comes up, and its worker never sends a heartbeat
	Failed                        bool // it stopped by itself
	Deleted                       bool
}

// Cloud provisions, lists and deletes machines.
type Cloud struct {
	Types    []wire.MachineType
	Capacity int // machines that may exist at once; 0: no bound
	// ListLag is how long after its creation a machine appears in the machine list.
	ListLag            clock.Micros
	NextNeverBoot      int // how many of the next machines never come up
	NextNeverHeartbeat int // how many of the next machines come up and never send a heartbeat
	// BootFactor makes the next machines boot in so many times the usual time; 0: in the usual time.
	BootFactor float64
	Instances  map[string]*Instance // by name
	Created    []*Instance          // all of them, in the order of creation, which is that of their names

	namesByRequest map[string][]string // names of the machines by request
}

// NewCloud makes a cloud without machines.
func NewCloud(types []wire.MachineType, listLag clock.Micros) *Cloud {
	return &Cloud{Types: types, ListLag: listLag, Instances: map[string]*Instance{}, namesByRequest: map[string][]string{}}
}

// Provision carries out a request, once for each request ID, and returns the names of its machines; false: no
// capacity.
func (c *Cloud) Provision(now clock.Micros, r wire.ProvisionRequest) ([]string, bool) {
	if names, ok := c.namesByRequest[r.RequestID]; ok {
		return names, true
	}
	count := r.Count
	if c.Capacity > 0 {
		count = min(count, c.Capacity-c.countExisting())
	}
	if count <= 0 || c.machineType(r.Type) == nil {
		return nil, false
	}
	var names []string
	for range count {
		names = append(names, c.CreateInstance(now, r.Type, r.Zone, r.Spot).Name)
	}
	c.namesByRequest[r.RequestID] = names
	return names, true
}

// CreateInstance creates a machine of a known type outside of any request.
func (c *Cloud) CreateInstance(now clock.Micros, typeName, zone string, spot bool) *Instance {
	bootSeconds := c.machineType(typeName).BootS
	number := len(c.Created)
	instance := &Instance{
		Machine: wire.Machine{
			Name:    fmt.Sprintf("host-%06d", number),
			Address: fmt.Sprintf("10.1.0.%d:9000", number),
			Type:    typeName,
			Zone:    zone,
			Spot:    spot,
			State:   wire.MachineStarting,
		},
		CreatedAt: now,
		BootedAt:  now + clock.FromSeconds(bootSeconds),
		ListedAt:  now + c.ListLag,
	}
	if c.NextNeverBoot > 0 {
		c.NextNeverBoot--
		instance.NeverBoots = true
	} else if c.NextNeverHeartbeat > 0 {
		c.NextNeverHeartbeat--
		instance.NeverHeartbeats = true
	}
	if c.BootFactor > 0 {
		instance.BootedAt = now + clock.FromSeconds(bootSeconds*c.BootFactor)
	}
	c.Instances[instance.Name] = instance
	c.Created = append(c.Created, instance)
	return instance
}

// Delete deletes machines; names that it does not know are skipped.
func (c *Cloud) Delete(names []string) {
	for _, name := range names {
		if instance := c.Instances[name]; instance != nil {
			instance.Deleted = true
		}
	}
}

// List returns the machine list as of now.
func (c *Cloud) List(now clock.Micros) []wire.Machine {
	var machines []wire.Machine
	for _, instance := range c.Created {
		if instance.Deleted || now < instance.ListedAt {
			continue
		}
		machine := instance.Machine
		machine.AgeS = (now - instance.CreatedAt).Seconds()
		switch {
		case instance.Failed:
			machine.State = wire.MachineFailed
		case !instance.NeverBoots && now >= instance.BootedAt:
			machine.State = wire.MachineRunning
		}
		machines = append(machines, machine)
	}
	return machines
}

// machineType returns the type of that name, or nil.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// countExisting counts the machines that are not deleted.
func (c *Cloud) countExisting() int {
	count := 0
	for _, instance := range c.Created {
		if !instance.Deleted {
			count++
		}
	}
	return count
}
