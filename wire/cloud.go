package wire

// The cloud's protocol: GET /catalog, POST /hosts, POST /hosts/delete and GET /hosts. The tags below use these words
// of the protocol, besides those of the users' and agents' protocols, for the following terms:
//
//	sku         name of a machine type
//	localGb     size of the machine's image cache
//	pullGbPerS  bandwidth of image fetches
//	lowPrice    spot price
//	readyS      nominal boot time
//	paddocks    zones that offer the machine type
//	hire        ID of a provision request
//	rigs        machines
//	heldS       time since the provision request

// MachineState is the state of a machine in the cloud's list of machines.
type MachineState string

// Machine states. A failed machine is no longer charged but stays in the list until it is deleted.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// MachineType is one entry of the cloud's catalog. Controllers send it to each other as a msgpack map whose keys are
// the names of the Go fields.
type MachineType struct {
	Name      string   `json:"sku"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemoryGB  float64  `json:"ramGb"`
	CacheGB   float64  `json:"localGb"`
	FetchGBPS float64  `json:"pullGbPerS"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"readyS"`
	ZoneNames []string `json:"paddocks"`
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `json:"breeds"`
}

// ProvisionRequest asks the cloud to provision machines. RequestID makes the request idempotent.
type ProvisionRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"breed"`
	Zone      string `json:"paddock"`
	Spot      bool   `json:"stray"`
	Count     int    `json:"count"`
}

// MachineNames lists machines by name. It is the response to a provision request and the body of a delete request.
type MachineNames struct {
	Names []string `json:"rigs"`
}

// Machine is one entry of the cloud's list of machines.
type Machine struct {
	Name    string       `json:"ref"`
	Address string       `json:"address"`
	Type    string       `json:"breed"`
	Zone    string       `json:"paddock"`
	Spot    bool         `json:"stray"`
	State   MachineState `json:"status"`
	AgeS    float64      `json:"heldS"`
}

// MachineList is one page of the cloud's list of machines.
type MachineList struct {
	Machines []Machine `json:"rigs"`
	More     bool      `json:"more"`
}
