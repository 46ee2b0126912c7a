//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

package peer

import (
	"fmt"

	"swiftledge/wire"
)

// AttemptRecord is the write-ahead record of a launch: this attempt of a task may run on a machine.
type AttemptRecord struct {
	Index   int
	Attempt wire.AttemptID
	Machine string
}

// AttemptBits is how many low bits of an attempt's number count the attempts of one grant; the others are the grant's
// fencing token.
const AttemptBits = 20

// NewAttemptID returns the number of the attempt that has the given count within a grant.
func NewAttemptID(token wire.FencingToken, count uint64) wire.AttemptID {
	return wire.AttemptID(token)<<AttemptBits | wire.AttemptID(count)
}

// attemptCount returns an attempt's count within its grant.
func attemptCount(attempt wire.AttemptID) int { return int(attempt & (1<<AttemptBits - 1)) }

// recordLength is how many numbers AttemptGroup.Attempts has for each record.
const recordLength = 3

// AttemptGroup is the records of one job, with the resources of its tasks, so that they count in full also when the
// job is no longer known.
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
	// Attempts has three numbers for each record: the task's index, the attempt's count within the grant, and the
	// index of its machine in the page's list.
	Attempts []int `json:"t"`
}

// AttemptPage is the value of one key of attempt records, all of one grant. Hundreds of records go into a few
// kilobytes: machines are named once, without the prefix that their names have in common.
type AttemptPage struct {
	_msgpack     struct{}          `msgpack:",as_array"`
	FencingToken wire.FencingToken `json:"n"`
	Prefix       string            `json:"p,omitempty"`
	Machines     []string          `json:"m"`
	Groups       []AttemptGroup    `json:"g"`
}

// InvalidPageError is an attempt page whose records can't be read.
type InvalidPageError struct {
	Job     string
	Problem string
}

// Error implements error.
func (e *InvalidPageError) Error() string {
	return fmt.Sprintf("attempt records of %s: %s", e.Job, e.Problem)
}

// Records returns the records of one of the page's groups, or an *InvalidPageError.
func (p *AttemptPage) Records(group *AttemptGroup) ([]AttemptRecord, error) {
	if len(group.Attempts)%recordLength != 0 {
		return nil, &InvalidPageError{Job: group.Job, Problem: "cut short"}
	}
	records := make([]AttemptRecord, 0, len(group.Attempts)/recordLength)
	for i := 0; i < len(group.Attempts); i += recordLength {
		index, count, machine := group.Attempts[i], group.Attempts[i+1], group.Attempts[i+2]
		if machine < 0 || machine >= len(p.Machines) {
			return nil, &InvalidPageError{Job: group.Job, Problem: "machine not in the page's list"}
		}
		records = append(records, AttemptRecord{
			Index:   index,
			Attempt: NewAttemptID(p.FencingToken, uint64(count)),
			Machine: p.Prefix + p.Machines[machine],
		})
	}
	return records, nil
}

// Validate returns an *InvalidPageError if not all records of the page can be read.
func (p *AttemptPage) Validate() error {
	for i := range p.Groups {
		if _, err := p.Records(&p.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}
