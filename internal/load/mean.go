package load

// Mean is the mean load of a set of machines, updated as tasks are placed. The zero value has no machines.
type Mean struct {
	sum      float64
	machines int
}

// Add adds a machine with the given load.
func (m *Mean) Add(load float64) {
	m.sum += load
	m.machines++
}

// Update records a change of a machine's load.
func (m *Mean) Update(before, after float64) { m.sum += after - before }

// Value returns the mean load, or 0 if there are no machines.
func (m *Mean) Value() float64 {
	if m.machines == 0 {
		return 0
	}
	return m.sum / float64(m.machines)
}
