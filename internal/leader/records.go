package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/wire"
)

// Store keys of the leader.
const (
	Key                 = election.Key
	LayoutKey           = "layout"
	CatalogKey          = "catalog"
	JobPrefix           = cluster.JobKeyPrefix
	FinalStatePrefix    = "over/"
	InstanceGroupPrefix = "fleet/"
)

// JobRecord is the value of job/<ref>.
type JobRecord struct {
	Spec       wire.Job     `json:"spec"`
	AcceptedAt clock.Micros `json:"at"` // time of day of the acceptance
}

// FinalStateRecord is the value of over/<ref>: the final state of a job, kept forever.
type FinalStateRecord struct {
	State wire.JobState `json:"state"`
	Tasks int           `json:"tasks"`
}

// ShardRecord is the value of block/<n>.
type ShardRecord struct {
	FencingToken wire.FencingToken   `json:"token"`
	Holder       string              `json:"holder"`
	Incarnation  cluster.Incarnation `json:"run"`
}

// LayoutRecord fixes the number of shards over which machines are distributed.
type LayoutRecord struct {
	Shards int `json:"blocks"`
}

// InstanceGroupRecord is a provision request and the machines that it brought, or machines that were discovered. These
// records are the durable inventory.
type InstanceGroupRecord struct {
	Request  wire.ProvisionRequest `json:"rental"`
	Machines []string              `json:"machines"`
	Answered bool                  `json:"asked"` // whether the cloud's answer to the request is known
}
