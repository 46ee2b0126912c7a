package fake

import (
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// Instance is a machine that the cloud has created, with the times of its life cycle and its faults.
type Instance struct {
	wire.Machine
	// CreatedAt, BootedAt and ListedAt are the times at which the instance is created, has booted and appears in
	// the machine list.
	CreatedAt, BootedAt, ListedAt clock.Micros
	NeverBoots                    bool // the instance stays in the starting state
	NeverHeartbeats               bool // the instance boots, but its agent never sends a heartbeat
	Failed                        bool // the instance stopped without a delete request
	Deleted                       bool
}

// Cloud is the fake cloud: it provisions, lists and deletes machines.
type Cloud struct {
	Types    []wire.MachineType
	Capacity int // maximum number of machines that are not deleted; 0: unlimited
	// ListLag is the delay between a machine's creation and its appearance in the machine list.
	ListLag            clock.Micros
	NextNeverBoot      int // number of next machines that never boot
	NextNeverHeartbeat int // number of next machines that boot but never send a heartbeat
	// BootFactor multiplies the boot time of the machines created from now on; 0: the usual boot time.
	BootFactor float64
	Instances  map[string]*Instance // by name
	Created    []*Instance          // all instances in the order of creation, which is also the order of their names

	namesByRequest map[string][]string // names of the created machines by request ID
}

// NewCloud returns a cloud without machines.
func NewCloud(types []wire.MachineType, listLag clock.Micros) *Cloud {
	return &Cloud{Types: types, ListLag: listLag, Instances: map[string]*Instance{}, namesByRequest: map[string][]string{}}
}

// Provision creates the machines of a request, or as many of them as the capacity allows, and returns their names. A
// repeated request ID returns the names of the first request. The second result is false if there is no capacity
// or the machine type is unknown.
func (c *Cloud) Provision(now clock.Micros, request wire.ProvisionRequest) ([]string, bool) {
	if names, ok := c.namesByRequest[request.RequestID]; ok {
		return names, true
	}
	count := request.Count
	if c.Capacity > 0 {
		count = min(count, c.Capacity-c.countExisting())
	}
	if count <= 0 || c.machineType(request.Type) == nil {
		return nil, false
	}
	var names []string
	for range count {
		names = append(names, c.CreateInstance(now, request.Type, request.Zone, request.Spot).Name)
	}
	c.namesByRequest[request.RequestID] = names
	return names, true
}

// CreateInstance creates a machine without a provision request and without a check of the capacity. The type must
// be known.
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

// Delete deletes machines and ignores unknown names.
func (c *Cloud) Delete(names []string) {
	for _, name := range names {
		if instance := c.Instances[name]; instance != nil {
			instance.Deleted = true
		}
	}
}

// List returns the listed machines that are not deleted, with their state and age at now.
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

// machineType returns the machine type with the given name, or nil if there is none.
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
