package leader

import "swiftledge/internal/clock"

const (
	// countsReportInterval is the time between two reports of task counts to the controllers.
	countsReportInterval = clock.Second
	// confirmationHeartbeats is the number of heartbeat intervals from the start of a term in which holders report on
	// the tasks that were recorded in earlier terms. Until then, controllers keep the counts of the term before for the
	// jobs of these tasks.
	confirmationHeartbeats = 2
)

// tick performs the periodic work that is due.
func (l *Leader) tick(now clock.Micros) {
	if !l.loaded || !l.authorised(now) {
		return
	}
	if now-l.scheduling.ranAt >= clock.FromSeconds(l.cfg.Tuning.Placement.CycleS) {
		l.scheduling.requested = true
	}
	l.assignShards(now)
	for job := range l.jobs.Sorted() {
		l.writeFinalState(job)
		if job.RetryDelayed(now) {
			l.scheduling.requestUrgently()
		}
		l.clearSuspicion(now, job)
	}
	l.writeProgress(now)
	l.rebalance(now)
	if now-l.countsReportedAt >= countsReportInterval {
		l.countsReportedAt = now
		l.reportTaskCounts(now)
	}
	if now-l.stateLoggedAt >= stateLogInterval {
		l.stateLoggedAt = now
		l.logState()
	}
	l.reconcileInventory(now)
}
