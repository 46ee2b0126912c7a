package scenario

// Commands about load and migrations.

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
)

// loadCommand tells the greatest load and the mean.
func loadCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	return w.machineLoads().String()
}

// balancedCommand tells whether no machine has more than some times the mean load, for a while.
func balancedCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for end := w.now + duration(t, d, "for"); ; w.run(clock.Second) {
		if l := w.machineLoads(); l.highestOverMean() > arg(t, d, "most", 2.0) {
			return l.String()
		}
		if w.now >= end {
			return "even"
		}
	}
}

// awaitMigrationCommand lets time pass until a move is in flight that has come so far.
func awaitMigrationCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	stage := arg(t, d, "stage", "stopping")
	for end := w.now + duration(t, d, "within"); w.now < end; w.run(tickInterval) {
		if m := w.leaderStatus().Migrations; len(m) > 0 && m[0].Stage == stage {
			return "yes"
		}
	}
	return fmt.Sprint("none: ", w.leaderStatus().Refusals)
}

// migrationsCommand tells how moves have ended.
func migrationsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	e := w.leaderStatus().MigrationOutcomes
	return fmt.Sprintf("begun %d, arrived %d, elsewhere %d, cancelled %d, given up %d", e.Started, e.Arrived, e.Diverted, e.Cancelled, e.TimedOut)
}
