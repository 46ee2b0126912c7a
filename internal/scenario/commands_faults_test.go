package scenario

// What goes wrong in scenarios.

import (
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// runCommand lets time pass.
func runCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.run(span(t, d, "for"))
	return ""
}

// crashCommand ends controllers.
func crashCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, n := range w.pick(t, d) {
		n.crash()
	}
	return ""
}

// startCommand starts those that have ended.
func startCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, n := range w.nodes {
		if !n.alive {
			n.old = d.HasArg("old")
			n.start()
		}
	}
	return ""
}

// limitsCommand lowers the limits of the state service.
func limitsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.store.SetLimits(2, 4)
	w.unannounced = w.next == nil || d.HasArg("early")
	return ""
}

// nodeCommand sets the troubles of controllers.
func nodeCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, n := range w.pick(t, d) {
		n.refused = d.HasArg("refused")
		n.cut = d.HasArg("cut")
		n.blind = d.HasArg("blind")
		n.stale = d.HasArg("stale")
		n.late = arg(t, d, "late", 0.0)
		n.loseAnswers = arg(t, d, "lose", 0)
		n.lost = arg(t, d, "lost", 0.0)
		n.holdUntil = w.now + span(t, d, "hold")
		n.frozenUntil = w.now + span(t, d, "frozen")
	}
	return ""
}

// cloudCommand has the cloud fail or serve.
func cloudCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.cloudDown = d.HasArg("down")
	return ""
}

// zoneCommand cuts a zone off.
func zoneCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.cutZone, w.cutUntil = arg(t, d, "name", ""), w.now+span(t, d, "cut")
	return ""
}

// storeCommand has the state service fail or serve.
func storeCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if d.HasArg("down") {
		w.store.Down = true
	} else {
		w.store.EndOutage(w.now)
	}
	return ""
}

// workerCommand sets the troubles of machines.
func workerCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	of := arg(t, d, "of", "")
	concerned := w.moveEnd(arg(t, d, "move", ""))
	for _, s := range w.workers[arg(t, d, "from", 0):arg(t, d, "to", len(w.workers))] {
		if d.HasArg("move") && s.Name != concerned {
			continue
		}
		if of != "" && !slices.Contains(w.where(of), s) || d.HasArg("noticed") && s.PreemptionNoticeS == nil {
			continue
		}
		s.cut = d.HasArg("cut")
		s.deaf = d.HasArg("deaf")
		s.mute = d.HasArg("mute")
		s.keeps = d.HasArg("keep")
		s.hungUntil = w.now + span(t, d, "hang")
		s.copies = span(t, d, "copies")
		if d.HasArg("reboot") {
			s.Reboot(w.now)
		}
		s.FailsTasks = d.HasArg("sick")
		s.holdUntil = w.now + span(t, d, "hold")
		if d.HasArg("die") {
			s.dead = true
			s.rented.Failed = d.HasArg("listed")
		}
		if d.HasArg("notice") {
			left := 10.0
			s.PreemptionNoticeS = &left
			s.changed(w)
		}
	}
	return ""
}

// forgetCommand has the state service forget its changes.
func forgetCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.store.CompactChanges()
	return ""
}

// nobootCommand keeps the next machines from booting, or has them boot and never report.
func nobootCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if d.HasArg("quiet") {
		w.cloud.NextNeverReport = arg(t, d, "next", 1)
	} else {
		w.cloud.NextNeverBoot = arg(t, d, "next", 1)
	}
	return ""
}

// bootCommand has the next machines boot in so many times the usual time, and the machine list be late.
func bootCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.cloud.BootFactor = arg(t, d, "factor", 0.0)
	if lag := span(t, d, "lag"); lag > 0 {
		w.cloud.ListLag = lag
	}
	return ""
}
