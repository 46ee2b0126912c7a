package leader

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
)

// A leader that stood still and leads on has the words of the other controllers in its queues yet: none of them
// counts as gone, or all blocks would change hands for it.
func TestNobodyIsGoneForAPauseOfTheLeader(t *testing.T) {
	l := leading(t)
	thawed := began + controllerTimeout + clock.Second
	l.Step(began+clock.Second/2, Tick{})
	l.jobsViewedAt, l.authorityEnds = thawed, thawed+clock.Second
	effects := l.Step(thawed, Tick{})
	if l.shards.controllers["n0"] == nil {
		t.Error("a controller counts as gone for a pause of ours")
	}
	if !slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(PauseDetected); return ok }) {
		t.Error("the pause was not noticed")
	}
	for at := thawed; at < thawed+2*controllerTimeout; at += clock.Second / 2 {
		l.authorityEnds = at + clock.Second
		l.Step(at, Tick{})
	}
	if l.shards.controllers["n0"] != nil {
		t.Error("silence after the pause does not count")
	}
}

// What ran out during a pause is told.
func TestPauseTellsWhatRanOut(t *testing.T) {
	l := leading(t)
	l.Step(began+clock.Second, Tick{})
	l.authorityEnds = began + 3*clock.Second
	for _, e := range l.Step(began+10*clock.Second, Tick{}) {
		if p, ok := e.(PauseDetected); ok {
			if want := []string{"authority of epoch 5", "view of the jobs"}; !slices.Equal(p.Pause.Expired, want) {
				t.Errorf("%v, want %v", p.Pause.Expired, want)
			}
			return
		}
	}
	t.Error("the pause was not noticed")
}
