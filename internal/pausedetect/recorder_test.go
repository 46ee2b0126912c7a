package pausedetect

import (
	"slices"
	"testing"
)

// The reports of two actors are merged into one pause.
func TestRecorder(t *testing.T) {
	var r Recorder
	if !r.Add(Pause{Start: 10, End: 40, Expired: []string{"grant of block 1"}}) {
		t.Error("first report did not start a pause")
	}
	if r.Add(Pause{Start: 12, End: 45, Expired: []string{"authority"}}) {
		t.Error("second report started another pause, want it merged into the first pause")
	}
	p := r.Close()
	if p.Length() != 35 || !slices.Equal(p.Expired, []string{"authority", "grant of block 1"}) {
		t.Errorf("merged pause %+v, want a length of 35 and both expired entries", p)
	}
	if last, count := r.Last(); count != 1 || last.End != 45 {
		t.Errorf("recorded %d pauses, the last %+v, want one that ends at 45", count, last)
	}
	if r.Close().Length() != 0 {
		t.Error("second Close returned a pause, want the zero Pause")
	}
}
