package wire

// The cloud's protocol: GET /catalog, POST /hosts, POST /hosts/delete and GET /hosts. Its words in the tags
// below, beside those of the users' and agents' protocols, and the terms that they stand for:
//
//	sku         name of a machine type
//	localGb     size of the machine's image cache
//	pullGbPerS  bandwidth of image fetches
//	lowPrice    spot price
//	readyS      nominal boot time
//	paddocks    zones that offer the machine type
//	hire        id of a provision request
//	rigs        machines
//	heldS       age since the provision request

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// Machine states. A machine that failed is no longer charged but stays listed until it is deleted.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// MachineType is one row of the cloud's catalog. Controllers send it to each other as a msgpack map whose
// keys are the names of the fields.
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

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"breeds"`
}

// ProvisionRequest asks the cloud for machines; RequestID makes it idempotent.
type ProvisionRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"breed"`
	Zone      string `json:"paddock"`
	Spot      bool   `json:"stray"`
	Count     int    `json:"count"`
}

// MachineNames names machines: the answer to a provision request and the body of a deletion.
type MachineNames struct {
	Names []string `json:"rigs"`
}

// Machine is one row of the cloud's list.
type Machine struct {
	Name    string       `json:"ref"`
	Address string       `json:"address"`
	Type    string       `json:"breed"`
	Zone    string       `json:"paddock"`
	Spot    bool         `json:"stray"`
	State   MachineState `json:"status"`
	AgeS    float64      `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"rigs"`
	More     bool      `json:"more"`
}
