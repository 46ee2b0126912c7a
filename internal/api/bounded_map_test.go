package api

import (
	"strconv"
	"testing"
)

// The map keeps its latest entries and its size is bounded. A map that is cleared whenever it is full would lose the
// entries that are currently in use.
func TestBoundedMapKeepsLatestEntries(t *testing.T) {
	const size = 100
	m := newBoundedMap[int](size)
	for i := range 10 * size {
		m.put(strconv.Itoa(i), i)
		for age := range min(i+1, size) {
			if v, ok := m.get(strconv.Itoa(i - age)); !ok || v != i-age {
				t.Fatalf("entry %d was lost when the latest entry was %d", i-age, i)
			}
		}
		if n := len(m.newer) + len(m.older); n > 2*size {
			t.Fatalf("%d entries, want at most twice the size", n)
		}
	}
	m.put("999", -1)
	m.remove("999")
	if _, ok := m.get("999"); ok {
		t.Error("entry still found after its removal")
	}
}
