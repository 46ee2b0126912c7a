package scenario

// Commands about the controllers.

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/leader"
)

// runCommand lets time pass.
func runCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.run(duration(t, d, "for"))
	return ""
}

// crashCommand ends controllers.
func crashCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllersArg(t, d) {
		c.crash()
	}
	return ""
}

// startCommand starts those that have ended.
func startCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllers {
		if !c.running {
			c.runsOldVersion = d.HasArg("old_version")
			c.start()
		}
	}
	return ""
}

// controllerCommand sets what is wrong with controllers.
func controllerCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllersArg(t, d) {
		c.faults = controllerFaults{
			storeUnreachable:     d.HasArg("store_unreachable"),
			peersUnreachable:     d.HasArg("peers_unreachable"),
			agentsUnreachable:    d.HasArg("agents_unreachable"),
			watchHangs:           d.HasArg("watch_hangs"),
			storeResponsesToLose: arg(t, d, "lose_answers", 0),
			lostResponseShare:    arg(t, d, "lost_answers", 0.0),
			lateTxnShare:         arg(t, d, "late_txns", 0.0),
			requestsDelayedUntil: w.now + duration(t, d, "requests_held"),
			pausedUntil:          w.now + duration(t, d, "paused"),
		}
	}
	return ""
}

// readyCommand tells what the load balancer is told.
func readyCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if !w.controllerArg(t, d).isReady() {
		return "503"
	}
	return "200"
}

// leaderCommand tells whether one leads.
func leaderCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if len(w.leaders()) == 0 {
		return "none"
	}
	return "one"
}

// knownCommand tells whether every accepted job answers at every controller that is up.
func knownCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllers {
		for _, r := range sortedKeys(w.users.jobs) {
			if c.running && c.lookUpJob(r).Code != 200 {
				return r + " is not known to " + c.name
			}
		}
	}
	return "all"
}

// detectedPauseCommand says what a controller noticed of the last time in which it stood still.
func detectedPauseCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	c := w.controllerArg(t, d)
	p := c.pauses.Close()
	if p.Length() == 0 {
		return "not noticed"
	}
	return fmt.Sprintf("%.0f s: %s", p.Length().Seconds(), strings.Join(p.Expired, ", "))
}

// catalogCommand tells whether all controllers know the machine types.
func catalogCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllers {
		if _, ok := w.store.Get(leader.CatalogKey); !ok {
			return "unknown at " + c.name
		}
	}
	return "known"
}
