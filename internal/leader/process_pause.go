package leader

import (
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
)

// pauseDetected reports a pause of this process, and whether the leader's authority and its view of the jobs expired
// during the pause.
func (l *Leader) pauseDetected(start, end clock.Micros) {
	pause := pausedetect.Pause{Start: start, End: end}
	if l.leading && l.authorityEnds > start && !l.authorised(end) {
		pause.Expired = append(pause.Expired, fmt.Sprintf("authority of epoch %d", l.term))
	}
	if l.leading && l.loaded && !l.viewIsFresh(end) {
		pause.Expired = append(pause.Expired, "view of the jobs")
	}
	l.emit(PauseDetected{pause})
}
