package pausedetect

import (
	"slices"
	"testing"
)

// What two actors notice is one pause.
func TestRecorder(t *testing.T) {
	var r Recorder
	if !r.Add(Pause{Began: 10, Ended: 40, Expired: []string{"grant of block 1"}}) {
		t.Error("the first report begins no pause")
	}
	if r.Add(Pause{Began: 12, Ended: 45, Expired: []string{"authority"}}) {
		t.Error("a second report begins another pause")
	}
	p := r.Close()
	if p.Length() != 35 || !slices.Equal(p.Expired, []string{"authority", "grant of block 1"}) {
		t.Errorf("%+v", p)
	}
	if last, count := r.Last(); count != 1 || last.Ended != 45 {
		t.Errorf("%d pauses, the last %+v", count, last)
	}
	if r.Close().Length() != 0 {
		t.Error("a pause is closed twice")
	}
}
