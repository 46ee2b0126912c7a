package load

// Mean is the mean load of a set of machines, updated as tasks are placed. The zero value is the mean of none.
type Mean struct {
	sum      float64
	machines int
}

// Add adds a machine.
func (m *Mean) Add(load float64) {
	m.sum += load
	m.machines++
}

// Update records that a machine's load has changed.
func (m *Mean) Update(before, after float64) { m.sum += after - before }

// Value returns the mean; 0 of no machines.
func (m *Mean) Value() float64 {
	if m.machines == 0 {
		return 0
	}
	return m.sum / float64(m.machines)
}
