package controller

import (
	"context"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
)

// askPauses asks for the pauses of this process.
type askPauses struct{ answer chan pausesSeen }

// pausesSeen are how often this process stood still, and the last time.
type pausesSeen struct {
	count int
	last  pausedetect.Pause
}

// runPauses is the actor that remembers when this process stood still, and logs each pause once.
func (n *Controller) runPauses(ctx context.Context) {
	var recorder pausedetect.Recorder
	var gathered <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-n.pauses:
			switch m := msg.(type) {
			case pausedetect.Pause:
				if recorder.Add(m) {
					gathered = time.After(time.Duration(pausedetect.CollectionTime) * time.Microsecond)
				}
			case askPauses:
				last, count := recorder.Last()
				m.answer <- pausesSeen{count, last}
			}
		case <-gathered:
			p := recorder.Close()
			n.log.Warn("stood still", "length_s", p.Length().Seconds(), "expired", pausedetect.ExpiredText(p.Expired))
		}
	}
}

// pausesSeen is what an operator is told of the pauses of this process; nil without any.
func (n *Controller) pausesSeen() (int, *peer.PauseStatus) {
	q := askPauses{make(chan pausesSeen, 1)}
	n.pauses <- q
	seen := <-q.answer
	if seen.count == 0 {
		return 0, nil
	}
	ago := n.clock.Now() - seen.last.Ended
	return seen.count, &peer.PauseStatus{AgoS: ago.Seconds(), LengthS: seen.last.Length().Seconds(), EndedAt: clock.Wall() - ago, Expired: seen.last.Expired}
}
