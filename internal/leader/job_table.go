package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// jobTable owns the jobs that are not over, what is known of their classes, and the pages on which their progress
// is stored.
type jobTable struct {
	byRef       map[string]*job
	runTimes    map[string]*runTimeRatio // by class
	classesSeen map[string]bool          // classes of which a job has come in this term

	reportedCounts   map[string]peer.TaskCount // by job: what the controllers were last told of it
	countsReportedAt clock.Micros

	progressPages     []*progressPage
	progressPageSeq   int // of the page made last
	progressWrittenAt clock.Micros
}

func newJobTable() jobTable {
	return jobTable{
		byRef: map[string]*job{}, runTimes: map[string]*runTimeRatio{}, classesSeen: map[string]bool{},
		reportedCounts: map[string]peer.TaskCount{},
	}
}

// runTimeRatio learns how long tasks of a class really run against their estimate.
type runTimeRatio struct {
	ratio float64
	n     int
}
