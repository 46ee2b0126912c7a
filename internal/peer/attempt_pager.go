package peer

import (
	"slices"

	"swiftledge/wire"
)

// Upper bounds for the JSON size of the parts of a page, excluding groups, names and numbers.
const (
	pageOverheadBytes    = 64
	machineOverheadBytes = 3
	recordOverheadBytes  = 7 // three commas and a machine index
)

// AttemptPager collects attempt records into a page of bounded size.
type AttemptPager struct {
	token        wire.FencingToken
	maxBytes     int
	jsonBytes    int // upper bound of the size of the page's JSON
	page         AttemptPage
	groupIndex   map[string]int // by job
	machineIndex map[string]int // by name
}

// NewAttemptPager returns a pager for the records of one grant. The JSON of its page is at most maxBytes long.
func NewAttemptPager(token wire.FencingToken, maxBytes int) *AttemptPager {
	return &AttemptPager{
		token: token, maxBytes: maxBytes, jsonBytes: pageOverheadBytes,
		groupIndex: map[string]int{}, machineIndex: map[string]int{},
	}
}

// Add adds a record to a group of the page. It returns false, and adds nothing, if the page would become too large.
func (p *AttemptPager) Add(group *AttemptGroup, index int, attempt wire.AttemptID, machine string) bool {
	count := attemptCount(attempt)
	bytes := recordOverheadBytes + decimalDigits(index) + decimalDigits(count)
	groupIndex, hasGroup := p.groupIndex[group.Job]
	if !hasGroup {
		bytes += groupBytes(*group)
	}
	machineIndex, hasMachine := p.machineIndex[machine]
	if !hasMachine {
		bytes += machineOverheadBytes + encodedStringBytes(machine)
	}
	if p.jsonBytes+bytes > p.maxBytes {
		return false
	}
	p.jsonBytes += bytes
	if !hasGroup {
		groupIndex = p.addGroup(*group)
	}
	if !hasMachine {
		machineIndex = len(p.page.Machines)
		p.machineIndex[machine] = machineIndex
		p.page.Machines = append(p.page.Machines, machine)
	}
	attempts := &p.page.Groups[groupIndex].Attempts
	*attempts = append(*attempts, index, count, machineIndex)
	return true
}

// groupBytes returns the JSON size of a group without records, and of the comma after it.
func groupBytes(group AttemptGroup) int {
	group.Attempts = nil
	return encodedBytes(group) + len(",")
}

// addGroup adds a group without records and returns its index.
func (p *AttemptPager) addGroup(group AttemptGroup) int {
	index := len(p.page.Groups)
	p.groupIndex[group.Job] = index
	group.Attempts = nil
	p.page.Groups = append(p.page.Groups, group)
	return index
}

// IsEmpty reports whether no record was added. A record that does not fit on an empty page fits on no page.
func (p *AttemptPager) IsEmpty() bool { return len(p.page.Groups) == 0 }

// Len returns the number of records on the page.
func (p *AttemptPager) Len() int {
	records := 0
	for i := range p.page.Groups {
		records += len(p.page.Groups[i].Attempts) / numbersPerRecord
	}
	return records
}

// Page returns the page with all records that were added.
func (p *AttemptPager) Page() AttemptPage {
	page := p.page
	page.FencingToken = p.token
	page.Machines = slices.Clone(p.page.Machines)
	if len(page.Machines) > 1 {
		page.Prefix = commonPrefix(page.Machines)
		for i, machine := range page.Machines {
			page.Machines[i] = machine[len(page.Prefix):]
		}
	}
	return page
}

// commonPrefix returns the longest common prefix of the names. There must be at least one name.
func commonPrefix(names []string) string {
	prefix := names[0]
	for _, name := range names[1:] {
		length := min(len(prefix), len(name))
		for length > 0 && name[:length] != prefix[:length] {
			length--
		}
		prefix = prefix[:length]
	}
	return prefix
}

// decimalDigits returns the number of decimal digits of a non-negative number.
func decimalDigits(n int) int {
	digits := 1
	for ; n > 9; n /= 10 {
		digits++
	}
	return digits
}
