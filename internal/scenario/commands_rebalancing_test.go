package scenario

// Commands about load and migrations.

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
)

// loadCommand returns the mean and the highest load of the schedulable machines.
func loadCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	return w.machineLoads().String()
}

// balancedCommand runs the cluster for a duration and tells whether no machine's load ever exceeded a multiple of the
// mean load.
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

// awaitMigrationCommand runs the cluster until the first migration in flight is at a stage, or until a timeout.
func awaitMigrationCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	stage := arg(t, d, "stage", "stopping")
	for end := w.now + duration(t, d, "within"); w.now < end; w.run(tickInterval) {
		if m := w.leaderStatus().Migrations; len(m) > 0 && m[0].Stage == stage {
			return "yes"
		}
	}
	return fmt.Sprint("none: ", w.leaderStatus().Refusals)
}

// migrationsCommand counts the migrations by outcome.
func migrationsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	o := w.leaderStatus().MigrationOutcomes
	return fmt.Sprintf("begun %d, arrived %d, elsewhere %d, cancelled %d, given up %d", o.Begun, o.Arrived, o.Elsewhere, o.Cancelled, o.GivenUp)
}
