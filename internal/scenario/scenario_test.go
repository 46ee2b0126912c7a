package scenario

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs every file in testdata. Each file begins with a cluster
// command. go test ./internal/scenario -args -rewrite updates the expected
// output; review the result like code.
func TestScenarios(t *testing.T) {
	known := commands()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *world
		t.Cleanup(func() {
			if w != nil {
				w.stop()
			}
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				if w != nil {
					w.stop()
				}
				w = clusterWorld(t, d)
				return ""
			}
			run, ok := known[d.Cmd]
			if !ok {
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return run(t, w, d)
		})
	})
}

// command executes one command of a scenario and returns its output.
type command func(t *testing.T, w *world, d *datadriven.TestData) string

// commands returns all commands that scenarios may use, by name.
func commands() map[string]command {
	return map[string]command{
		"cancel":            cancelCommand,
		"await":             awaitCommand,
		"await_active":      awaitActiveCommand,
		"started":           startedCommand,
		"boot":              bootCommand,
		"cancel_repeatedly": cancelRepeatedlyCommand,
		"catalog":           catalogCommand,
		"cloud":             cloudCommand,
		"crash":             crashCommand,
		"balanced":          balancedCommand,
		"flood":             floodCommand,
		"compact":           compactCommand,
		"keys":              keysCommand,
		"known":             knownCommand,
		"largest_value":     largestValueCommand,
		"late_launch":       lateLaunchCommand,
		"leader":            leaderCommand,
		"limits":            limitsCommand,
		"load":              loadCommand,
		"query_often":       queryOftenCommand,
		"expired_leases":    expiredLeasesCommand,
		"machine":           machineCommand,
		"machines":          machinesCommand,
		"migrations":        migrationsCommand,
		"await_migration":   awaitMigrationCommand,
		"fail_boots":        failBootsCommand,
		"controller":        controllerCommand,
		"active_tasks":      activeTasksCommand,
		"active_machines":   activeMachinesCommand,
		"detected_pause":    detectedPauseCommand,
		"completions":       completionsCommand,
		"raw":               rawCommand,
		"ready":             readyCommand,
		"malformed_txns":    malformedTxnsCommand,
		"rules":             rulesCommand,
		"run":               runCommand,
		"completed_jobs":    completedJobsCommand,
		"start":             startCommand,
		"counts":            countsCommand,
		"status":            statusCommand,
		"store":             storeCommand,
		"submit":            submitCommand,
		"suspects":          suspectsCommand,
		"run_commands":      runCommandsCommand,
		"worker":            workerCommand,
		"zone":              zoneCommand,
	}
}
