package api

import (
	"strconv"
	"testing"
)

// However much is remembered, the latest is, and the size is bounded: a list that was emptied when it was
// full lost the entries that are asked for right now.
func TestBoundedMapKeepsTheLatest(t *testing.T) {
	const size = 100
	m := newBoundedMap[int](size)
	for i := range 10 * size {
		m.put(strconv.Itoa(i), i)
		for back := range min(i+1, size) {
			if v, ok := m.get(strconv.Itoa(i - back)); !ok || v != i-back {
				t.Fatalf("entry %d is lost when %d is the latest", i-back, i)
			}
		}
		if n := len(m.newer) + len(m.older); n > 2*size {
			t.Fatalf("%d entries", n)
		}
	}
	m.put("999", -1)
	m.remove("999")
	if _, ok := m.get("999"); ok {
		t.Error("a removed entry is still there")
	}
}
