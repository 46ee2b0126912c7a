package api

// boundedMap is a map that keeps at least the latest entries, as many as size says, and at most twice as many. It has
// two generations of entries, and drops the older generation when the newer one is full.
type boundedMap[V any] struct {
	size         int
	newer, older map[string]V
}

func newBoundedMap[V any](size int) *boundedMap[V] {
	return &boundedMap[V]{size: max(size, 1), newer: map[string]V{}}
}

func (m *boundedMap[V]) get(key string) (V, bool) {
	if value, ok := m.newer[key]; ok {
		return value, true
	}
	value, ok := m.older[key]
	return value, ok
}

func (m *boundedMap[V]) put(key string, value V) {
	if _, ok := m.newer[key]; !ok && len(m.newer) >= m.size {
		m.older, m.newer = m.newer, map[string]V{}
	}
	m.newer[key] = value
}

func (m *boundedMap[V]) remove(key string) {
	delete(m.newer, key)
	delete(m.older, key)
}
