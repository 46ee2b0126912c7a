package peer

import (
	"slices"

	"swiftledge/wire"
)

// What the parts of a page take in JSON, apart from names and numbers, at most.
const (
	pageOverhead    = 64
	groupOverhead   = 120
	machineOverhead = 3
	recordOverhead  = 7 // three commas and the index of a machine
)

// AttemptPager gathers attempt records into a page of bounded size.
type AttemptPager struct {
	token        wire.FencingToken
	maxBytes     int
	bytes        int // upper bound of the page's JSON
	page         AttemptPage
	groupIndex   map[string]int // by job
	machineIndex map[string]int // by name
}

// NewAttemptPager makes a pager for records of a grant, whose page takes at most maxBytes of JSON.
func NewAttemptPager(token wire.FencingToken, maxBytes int) *AttemptPager {
	return &AttemptPager{
		token: token, maxBytes: maxBytes, bytes: pageOverhead,
		groupIndex: map[string]int{}, machineIndex: map[string]int{},
	}
}

// Add adds a record of a group and says whether it fitted.
func (p *AttemptPager) Add(group *AttemptGroup, index int, attempt wire.AttemptID, machine string) bool {
	count := attemptCount(attempt)
	bytes := recordOverhead + decimalDigits(index) + decimalDigits(count)
	groupIndex, hasGroup := p.groupIndex[group.Job]
	if !hasGroup {
		bytes += groupOverhead + len(group.Job) + len(group.Team) + len(group.Image)
	}
	machineIndex, hasMachine := p.machineIndex[machine]
	if !hasMachine {
		bytes += machineOverhead + len(machine)
	}
	if p.bytes+bytes > p.maxBytes {
		return false
	}
	p.bytes += bytes
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

// addGroup adds a group without records and returns its index.
func (p *AttemptPager) addGroup(group AttemptGroup) int {
	index := len(p.page.Groups)
	p.groupIndex[group.Job] = index
	group.Attempts = nil
	p.page.Groups = append(p.page.Groups, group)
	return index
}

// Len returns how many records were added.
func (p *AttemptPager) Len() int {
	records := 0
	for i := range p.page.Groups {
		records += len(p.page.Groups[i].Attempts) / recordLength
	}
	return records
}

// Page returns the page of all records that were added.
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

// commonPrefix returns the longest text that all names, of which there is one at least, begin with.
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

// decimalDigits returns how many digits a number that is not negative has.
func decimalDigits(n int) int {
	digits := 1
	for ; n > 9; n /= 10 {
		digits++
	}
	return digits
}
