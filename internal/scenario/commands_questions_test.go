package scenario

// What scenarios ask.

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// readyCommand tells what the load balancer is told.
func readyCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if !w.nodeOf(t, d).ready() {
		return "503"
	}
	return "200"
}

// lostCommand tells whether sessions have ended because a lease ran out.
func lostCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, s := range w.workers {
		if s.AgentEpoch > 1 {
			return "leases"
		}
	}
	return "none"
}

// loadCommand tells the greatest load and the mean.
func loadCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	return w.loads().String()
}

// evenCommand tells whether no machine has more than some times the mean load, for a while.
func evenCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for end := w.now + span(t, d, "for"); ; w.run(clock.Second) {
		if l := w.loads(); l.overMean() > arg(t, d, "most", 2.0) {
			return l.String()
		}
		if w.now >= end {
			return "even"
		}
	}
}

// movingCommand lets time pass until a move is in flight that has come so far.
func movingCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	stage := arg(t, d, "stage", "stopping")
	for end := w.now + span(t, d, "within"); w.now < end; w.run(step) {
		if m := w.status().Migrations; len(m) > 0 && m[0].Stage == stage {
			return "yes"
		}
	}
	return fmt.Sprint("none: ", w.status().Refusals)
}

// movesCommand tells how moves have ended.
func movesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	e := w.status().MigrationOutcomes
	return fmt.Sprintf("begun %d, arrived %d, elsewhere %d, cancelled %d, given up %d", e.Begun, e.Arrived, e.Elsewhere, e.Cancelled, e.GivenUp)
}

// begunCommand tells whether a job began in time.
func begunCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	at, ok := w.begun[ref]
	if !ok {
		return "not begun"
	}
	if late := at - w.sent[ref]; late > span(t, d, "within") {
		return fmt.Sprintf("after %.0f s", late.Seconds())
	}
	return "in time"
}

// servedCommand tells whether enough of what was accepted of a class or team has completed.
func servedCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	done, all := 0, 0
	for _, r := range sortedKeys(w.jobs) {
		if j := w.jobs[r]; j.Class == arg(t, d, "class", j.Class) && j.Team == arg(t, d, "team", j.Team) {
			all++
			if s := w.nodeOf(t, d).lookUp(r); s.Code == 200 && s.Status.State == wire.JobDone {
				done++
			}
		}
	}
	if least := arg(t, d, "least", 0.5); all == 0 || float64(done) < least*float64(all) {
		return fmt.Sprintf("%d of %d", done, all)
	}
	return "enough"
}

// knownCommand tells whether every accepted job answers at every controller that is up.
func knownCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, n := range w.nodes {
		for _, r := range sortedKeys(w.jobs) {
			if n.alive && n.lookUp(r).Code != 200 {
				return r + " is not known to " + n.name
			}
		}
	}
	return "all"
}

// leaderCommand tells whether one leads.
func leaderCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, n := range w.nodes {
		if n.alive && n.elector.Term() > 0 {
			return "one"
		}
	}
	return "none"
}

// refusedCommand tells whether few transactions were malformed.
func refusedCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if most := arg(t, d, "most", 0); w.malformed > most {
		return fmt.Sprint(w.malformed)
	}
	return "few"
}

// rulesCommand tells which rules were broken.
func rulesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if len(w.broken) == 0 {
		return "kept"
	}
	return strings.Join(w.broken, "\n")
}

// ranCommand tells how often a job's tasks have run.
func ranCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	once, more := 0, 0
	for i := range w.jobs[ref].Tasks {
		switch k := w.ran[fmt.Sprintf("%s/%d", ref, i)]; {
		case k == 1:
			once++
		case k > 1:
			more++
		}
	}
	return fmt.Sprintf("once %d, repeated %d", once, more)
}

// onCommand counts a job's tasks that are on machines.
func onCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return fmt.Sprint(w.on(ref))
}

// onMachinesCommand counts the machines that a job is on.
func onMachinesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return fmt.Sprint(len(w.where(ref)))
}

// backCommand tells how soon as many tasks are on machines again.
func backCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	n, end := arg(t, d, "tasks", 1), w.now+span(t, d, "within")
	for w.on(ref) < n {
		if w.now >= end {
			return fmt.Sprintf("%d of %d", w.on(ref), n)
		}
		w.run(step)
	}
	return "in time"
}

// triesCommand tells how often a task of a job was ordered, wherever.
func triesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	n, most := 0, arg(t, d, "most", 1)
	for _, s := range w.workers {
		n += s.RunCommands[ref]
	}
	if n > most {
		return fmt.Sprintf("%d, more than %d", n, most)
	}
	return "few"
}

// largestCommand tells whether all values are within a size.
func largestCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	items, _ := w.store.List(arg(t, d, "prefix", ""))
	n := 0
	for _, it := range items {
		n = max(n, len(it.Value))
	}
	if n > arg(t, d, "most", 2048) {
		return "over"
	}
	return "within"
}

// machinesCommand counts the machines.
func machinesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	n := 0
	for _, m := range w.cloud.Instances {
		if !m.Deleted {
			n++
		}
	}
	return fmt.Sprint(n)
}

// machineCommand tells whether a machine is there.
func machineCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if m := w.cloud.Instances[arg(t, d, "name", "")]; m == nil || m.Deleted {
		return "gone"
	}
	return "there"
}

// catalogCommand tells whether all controllers know the machine types.
func catalogCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, n := range w.nodes {
		if _, ok := w.store.Get(leader.CatalogKey); !ok {
			return "unknown at " + n.name
		}
	}
	return "known"
}

// keysCommand counts keys.
func keysCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	items, _ := w.store.List(arg(t, d, "prefix", ""))
	return fmt.Sprint(len(items))
}

// suspectsCommand lists the suspect jobs, as an operator is told of them.
func suspectsCommand(_ *testing.T, w *world, _ *datadriven.TestData) string {
	var refs []string
	for _, s := range w.status().Suspects {
		refs = append(refs, s.Job)
	}
	if len(refs) == 0 {
		return "none"
	}
	return strings.Join(refs, " ")
}

// pausedCommand says what a controller noticed of the last time in which it stood still.
func pausedCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	n := w.nodeOf(t, d)
	p := n.pauses.Close()
	if p.Length() == 0 {
		return "not noticed"
	}
	return fmt.Sprintf("%.0f s: %s", p.Length().Seconds(), strings.Join(p.Expired, ", "))
}
