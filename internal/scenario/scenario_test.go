package scenario

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios plays every file in testdata. Each begins with a cluster
// command; go test ./internal/scenario -args -rewrite renews expected output,
// which is then to be read like code.
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

// command carries out one line of a scenario.
type command func(t *testing.T, w *world, d *datadriven.TestData) string

// commands are all that scenarios may say, by name.
func commands() map[string]command {
	return map[string]command{
		"abort":       cancelCommand,
		"await":       awaitCommand,
		"back":        backCommand,
		"begun":       begunCommand,
		"boot":        bootCommand,
		"call_off":    cancelRepeatedlyCommand,
		"catalog":     catalogCommand,
		"cloud":       cloudCommand,
		"crash":       crashCommand,
		"even":        evenCommand,
		"flood":       floodCommand,
		"forget":      forgetCommand,
		"keys":        keysCommand,
		"known":       knownCommand,
		"largest":     largestCommand,
		"leader":      leaderCommand,
		"limits":      limitsCommand,
		"load":        loadCommand,
		"looks":       queryOftenCommand,
		"lost":        lostCommand,
		"machine":     machineCommand,
		"machines":    machinesCommand,
		"moves":       movesCommand,
		"moving":      movingCommand,
		"noboot":      nobootCommand,
		"node":        controllerCommand,
		"on":          onCommand,
		"on_machines": onMachinesCommand,
		"paused":      pausedCommand,
		"ran":         ranCommand,
		"raw":         rawCommand,
		"ready":       readyCommand,
		"refused":     refusedCommand,
		"rules":       rulesCommand,
		"run":         runCommand,
		"served":      servedCommand,
		"start":       startCommand,
		"status":      statusCommand,
		"store":       storeCommand,
		"submit":      submitCommand,
		"suspects":    suspectsCommand,
		"tries":       triesCommand,
		"worker":      workerCommand,
		"zone":        zoneCommand,
	}
}
