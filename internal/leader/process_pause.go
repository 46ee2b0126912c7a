package leader

import (
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
)

// pauseDetected tells that this controller stood still, and what of its leadership ran out meanwhile.
func (l *Leader) pauseDetected(began, now clock.Micros) {
	p := pausedetect.Pause{Start: began, End: now}
	if l.leading && l.authorityEnds > began && !l.authorised(now) {
		p.Expired = append(p.Expired, fmt.Sprintf("authority of epoch %d", l.term))
	}
	if l.leading && l.loaded && !l.viewIsFresh(now) {
		p.Expired = append(p.Expired, "view of the jobs")
	}
	l.emit(PauseDetected{p})
}
