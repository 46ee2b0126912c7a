//lint:file-ignore U1000 msgpack looks up the fields _msgpack by name

package peer

import (
	"fmt"

	"swiftledge/wire"
)

// AttemptRecord is the write-ahead record of a launch: the attempt of the task may be running on the machine.
type AttemptRecord struct {
	Index   int
	Attempt wire.AttemptID
	Machine string
}

// AttemptCountBits is the number of low bits of an attempt ID that hold the count of the attempt within its grant. The
// remaining bits hold the fencing token of the grant.
const AttemptCountBits = 20

// NewAttemptID returns the ID of the attempt with the given count within the grant that has the given fencing token.
func NewAttemptID(token wire.FencingToken, count uint64) wire.AttemptID {
	return wire.AttemptID(token)<<AttemptCountBits | wire.AttemptID(count)
}

// attemptCount returns the count of an attempt within its grant.
func attemptCount(attempt wire.AttemptID) int { return int(attempt & (1<<AttemptCountBits - 1)) }

// numbersPerRecord is the number of elements of AttemptGroup.Attempts that encode one record.
const numbersPerRecord = 3

// AttemptGroup holds the attempt records of one job. The group includes the resources of the job's tasks, so that these
// resources are accounted for in full even when the job is no longer known.
type AttemptGroup struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Job         string   `json:"j"`
	Team        string   `json:"o"`
	CPUs        float64  `json:"c,omitempty"`
	GPUs        float64  `json:"g,omitempty"`
	MemoryGB    float64  `json:"r,omitempty"`
	SaveS       float64  `json:"s,omitempty"`
	CheckpointS float64  `json:"k,omitempty"`
	Image       string   `json:"img,omitempty"`
	ImageGB     float64  `json:"b,omitempty"`
	// Attempts encodes each record as three numbers: the index of the task, the count of the attempt within the grant,
	// and the index of the machine in AttemptPage.Machines.
	Attempts []int `json:"t"`
}

// AttemptPage is the value of one store key that holds attempt records, all of the same grant. Each machine is named
// once, without the common prefix of all names, so that hundreds of records fit into a few kilobytes.
type AttemptPage struct {
	_msgpack     struct{}          `msgpack:",as_array"`
	FencingToken wire.FencingToken `json:"n"`
	Prefix       string            `json:"p,omitempty"`
	Machines     []string          `json:"m"`
	Groups       []AttemptGroup    `json:"g"`
}

// InvalidPageError reports an attempt page whose records cannot be decoded.
type InvalidPageError struct {
	Job     string
	Problem string
}

// Error implements error.
func (e *InvalidPageError) Error() string {
	return fmt.Sprintf("invalid attempt records of job %s: %s", e.Job, e.Problem)
}

// Records decodes the records of one of the page's groups. If they are invalid, the error is an *InvalidPageError.
func (p *AttemptPage) Records(group *AttemptGroup) ([]AttemptRecord, error) {
	if len(group.Attempts)%numbersPerRecord != 0 {
		return nil, &InvalidPageError{Job: group.Job, Problem: "last record is incomplete"}
	}
	records := make([]AttemptRecord, 0, len(group.Attempts)/numbersPerRecord)
	for i := 0; i < len(group.Attempts); i += numbersPerRecord {
		index, count, machine := group.Attempts[i], group.Attempts[i+1], group.Attempts[i+2]
		if machine < 0 || machine >= len(p.Machines) {
			return nil, &InvalidPageError{Job: group.Job, Problem: "machine index is out of range"}
		}
		records = append(records, AttemptRecord{
			Index:   index,
			Attempt: NewAttemptID(p.FencingToken, uint64(count)),
			Machine: p.Prefix + p.Machines[machine],
		})
	}
	return records, nil
}

// Validate returns an *InvalidPageError if any record of the page cannot be decoded.
func (p *AttemptPage) Validate() error {
	for i := range p.Groups {
		if _, err := p.Records(&p.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}
