package scenario

// Commands about the controllers.

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/leader"
)

// runCommand runs the cluster for a duration.
func runCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.run(duration(t, d, "for"))
	return ""
}

// crashCommand crashes controllers.
func crashCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllersArg(t, d) {
		c.crash()
	}
	return ""
}

// startCommand starts the controllers that have crashed.
func startCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllers {
		if !c.running {
			c.runsOldVersion = d.HasArg("old_version")
			c.start()
		}
	}
	return ""
}

// controllerCommand sets the faults of controllers that its arguments name, and clears all other faults of these
// controllers.
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

// readyCommand returns the status code that a controller sends to the load balancer's readiness check.
func readyCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if !w.controllerArg(t, d).isReady() {
		return "503"
	}
	return "200"
}

// leaderCommand tells whether any controller leads.
func leaderCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if len(w.leaders()) == 0 {
		return "none"
	}
	return "one"
}

// knownCommand tells whether every running controller knows every accepted job.
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

// detectedPauseCommand tells what a controller detected of its last process pause: the length of the pause and which of
// its leases and grants expired meanwhile.
func detectedPauseCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	c := w.controllerArg(t, d)
	p := c.pauses.Close()
	if p.Length() == 0 {
		return "not noticed"
	}
	return fmt.Sprintf("%.0f s: %s", p.Length().Seconds(), strings.Join(p.Expired, ", "))
}

// catalogCommand tells whether the machine types are stored in the state service, from which all controllers read them.
func catalogCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, c := range w.controllers {
		if _, ok := w.store.Get(leader.CatalogKey); !ok {
			return "unknown at " + c.name
		}
	}
	return "known"
}
