//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

package compat

// These are the types of stored values and messages as the version in production declares them (commit in
// deploy/service.toml). The types never change: they stand for a reader that does not know any later change. That
// is why the fields have the names that they have in production, and not the current terms.

type oldHello struct {
	_msgpack struct{} `msgpack:",as_array"`
	Node     string
	Run      uint64
	Epoch    uint64
}

type oldTask struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

type oldRecordGroup struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string   `json:"j"`
	Team     string   `json:"o"`
	CPUs     float64  `json:"c,omitempty"`
	GPUs     float64  `json:"g,omitempty"`
	Memory   float64  `json:"r,omitempty"`
	SaveS    float64  `json:"s,omitempty"`
	Ckpt     float64  `json:"k,omitempty"`
	Image    string   `json:"img,omitempty"`
	ImageGB  float64  `json:"b,omitempty"`
	Starts   []int    `json:"t"`
}

type oldRecordPage struct {
	_msgpack struct{}         `msgpack:",as_array"`
	Token    uint64           `json:"n"`
	Prefix   string           `json:"p,omitempty"`
	Machines []string         `json:"m"`
	Groups   []oldRecordGroup `json:"g"`
}

type oldRosterMachine struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Name, Address string
}

type oldGrant struct {
	_msgpack struct{} `msgpack:",as_array"`
	Block    int
	Token    uint64
	Stamp    uint64
	Pages    map[string]oldRecordPage
	Machines []oldRosterMachine
}

type oldOffer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      oldJob
	Zone     string
	Indexes  []int
}

type oldBlockOrders struct {
	_msgpack struct{} `msgpack:",as_array"`
	Block    int
	Token    uint64
	Offers   []oldOffer
	Seq      uint64
	Stop     []oldStopTask
	Stored   []oldTask
	Use      []string
	Drain    []string
	Gone     []string
	Rest     []string
	Wake     []string
}

type oldStopTask struct {
	_msgpack struct{} `msgpack:",as_array"`
	oldTask
	Save bool
}

type oldTaskCount struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Done, Running int
}

type oldDown struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Renewed  uint64
	Tokens   map[int]uint64
	Grants   []oldGrant
	Orders   []oldBlockOrders
	Holders  []string
	Counts   []oldTaskCount
	Types    []oldMachineType
	StoreOK  bool
}

type oldEvent struct {
	_msgpack struct{} `msgpack:",as_array"`
	oldTask
	Kind    string
	Machine string
	Secs    float64
}

type oldMachineState struct {
	_msgpack                  struct{} `msgpack:",as_array"`
	Name, Type, Zone, Address string
	Spot, Fit                 bool
	Silent                    bool
	Notice                    bool
	Gone                      bool
	Shown                     bool
	CPUs, GPUs, Memory        float64
	Tasks                     int
	Images                    []string
}

type oldBlockUpdate struct {
	_msgpack struct{} `msgpack:",as_array"`
	Block    int
	Token    uint64
	Seq      uint64
	Events   []oldEvent
	Machines []oldMachineState
	Lost     bool
}

type oldUp struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Renew    uint64
	StoreOK  bool
	Blind    bool // production's name for NoAgentContact
	Updates  []oldBlockUpdate
}

type oldJob struct {
	Ref         string   `json:"ref"`
	Class       string   `json:"lane"`
	Team        string   `json:"owner"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"lots"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"ramGb"`
	Image       string   `json:"kit"`
	ImageGB     float64  `json:"imageGb"`
	Types       []string `json:"breeds"`
	Zone        string   `json:"paddock,omitempty"`
	OneZone     bool     `json:"together"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"stray"`
	EstimateS   float64  `json:"reckonS"`
	CheckpointS float64  `json:"waypointS"`
	SaveS       float64  `json:"stashS"`
	DeadlineS   *float64 `json:"dueS"`
}

type oldMachineType struct {
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

type oldCatalog struct {
	Types []oldMachineType `json:"breeds"`
}

type oldRental struct {
	Request string `json:"hire"`
	Type    string `json:"breed"`
	Zone    string `json:"paddock"`
	Spot    bool   `json:"stray"`
	Count   int    `json:"count"`
}

type oldJobRecord struct {
	Spec oldJob `json:"spec"`
	At   int64  `json:"at"`
}

type oldEndRecord struct {
	State string `json:"state"`
	Tasks int    `json:"tasks"`
}

type oldProgRecord struct {
	Units []oldProgUnit `json:"u"`
}

type oldProgUnit struct {
	Job   string `json:"j"`
	Chunk int    `json:"c,omitempty"`
	Bits  []byte `json:"b"`
}

type oldBlockRecord struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	Run    uint64 `json:"run"`
}

type oldLayoutRecord struct {
	Blocks int `json:"blocks"`
}

type oldFleetRecord struct {
	Rental   oldRental `json:"rental"`
	Machines []string  `json:"machines"`
	Asked    bool      `json:"asked"`
}

type oldLeaderRecord struct {
	Node string `json:"node"`
	Run  uint64 `json:"run"`
}

// oldTuning is the operators' settings file. The decoder refuses a key that the type does not have.
type oldTuning struct {
	Placement struct {
		K       float64 `yaml:"k"`
		Eta     float64 `yaml:"eta"`
		Epsilon float64 `yaml:"epsilon"`
		Small   float64 `yaml:"small"`
		CycleS  float64 `yaml:"cycle_s"`
	} `yaml:"placement"`
	Queues struct {
		StartWithinS float64 `yaml:"start_within_s"`
		LeastShare   float64 `yaml:"least_share"`
	} `yaml:"queues"`
	Grants struct {
		Blocks int     `yaml:"blocks"`
		TimeS  float64 `yaml:"time_s"`
	} `yaml:"grants"`
	Election struct {
		TTLS float64 `yaml:"ttl_s"`
	} `yaml:"election"`
	Fleet struct {
		SpotClearS     float64 `yaml:"spot_clear_s"`
		OrdinaryClearS float64 `yaml:"ordinary_clear_s"`
		IdleS          float64 `yaml:"idle_s"`
		LateFactor     float64 `yaml:"late_factor"`
		Reserve        float64 `yaml:"reserve"`
	} `yaml:"fleet"`
}
