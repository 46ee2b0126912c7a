package scenario

import (
	"fmt"
	"slices"
	"strings"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// troubled says whether anything is wrong that a scenario has brought about.
func (w *world) troubled() bool {
	return w.store.Down || w.cloudDown || w.cloudLate > 0 || w.commandsLate > 0 || w.now < w.cutUntil ||
		slices.ContainsFunc(w.nodes, func(n *simNode) bool {
			return !n.alive || n.refused || n.cut || n.blind || n.stale || n.late > 0 || n.lost > 0 || n.loseAnswers > 0 || n.holdUntil > w.now || n.frozenUntil > w.now
		}) ||
		slices.ContainsFunc(w.workers, func(s *simWorker) bool {
			return !s.rented.Deleted && (s.dead || s.cut || s.deaf || s.mute || s.FailsTasks || s.copies > 0 || s.keeps || s.holdUntil > w.now || s.hungUntil > w.now)
		})
}

// idleFor is how long a job may wait beside room for it once all troubles are over.
const idleFor = 90 * clock.Second

// mostPause is how long after its last try a task that fails wherever it runs may wait for the next: the longest
// pause, and the time to place it.
const mostPause = 40 * clock.Second

// watchWaiting judges, once a second, that no job is left waiting while a machine that fits
// has room and its team is under its limit.
func (w *world) watchWaiting() {
	if w.now%clock.Second >= step {
		return
	}
	if w.troubled() {
		clear(w.fits)
		return
	}
	use := map[string]float64{}
	on, at := map[string]int{}, map[string]int{}
	type room struct{ cpus, mem float64 }
	free := map[*simWorker]room{}
	for _, s := range w.workers {
		if s.dead || s.PreemptionNoticeS != nil {
			continue
		}
		r := room{s.CPUs, s.Memory}
		for _, t := range s.Tasks {
			if t.State != wire.TaskExited {
				r.cpus -= t.Job.CPUs
				r.mem -= t.Job.MemoryGB
				use[t.Job.Team] += t.Job.CPUs
				on[t.Job.Ref]++
			}
		}
		free[s] = r
	}
	for t := range w.ran {
		ref, _, _ := strings.Cut(t, "/")
		at[ref]++
	}
	for ref, j := range w.jobs {
		team, _ := w.cfg.Team(j.Team)
		_, over := w.store.Get(leader.FinalStatePrefix + ref)
		waits := !over && !j.IsService() && !j.OneZone && !j.Spread && at[ref]+on[ref] < j.Tasks && use[j.Team]+j.CPUs <= team.CPULimit()
		// What fails wherever it runs waits as long as it is not tried.
		if w.mistaken[ref] > 0 && w.now-w.tried[ref] < mostPause {
			waits = false
		}
		if waits {
			waits = false
			for s, r := range free {
				if s.allowed(&j) && r.cpus >= j.CPUs && r.mem >= j.MemoryGB {
					waits = true
					break
				}
			}
		}
		if !waits {
			delete(w.fits, ref)
			continue
		}
		if _, ok := w.fits[ref]; !ok {
			w.fits[ref] = w.now
		}
		if w.now-w.fits[ref] > idleFor {
			w.breaks("waits: %s beside room for it", ref)
		}
	}
}

// hear judges an answer to a user by what any node has told before: none may be older.
func (w *world) hear(ref string, r api.Result) api.Result {
	state := wire.JobState("")
	switch {
	case r.Code == 200 || r.Code == 201:
		state = r.Status.State
	case r.Code == 404:
		state = "unknown"
	}
	if _, submitted := w.runS[ref]; state == "" || state == "unknown" && (!submitted || w.told[ref] == "") {
		return r
	}
	before := w.told[ref]
	final := before == wire.JobDone || before == wire.JobCancelled
	if state == "unknown" || final && state != before {
		w.breaks("went_back: %s is %s after %s", ref, state, before)
	}
	if !final {
		w.told[ref] = state
	}
	if w.looks && (before == "" || !final && w.told[ref] != before && (state == wire.JobDone || state == wire.JobCancelled)) {
		w.lookClosely(ref)
	}
	return r
}

// lookClosely asks at all controllers within milliseconds, and submits again.
func (w *world) lookClosely(ref string) {
	for _, d := range []clock.Micros{0, clock.Millisecond, 5 * clock.Millisecond, 40 * clock.Millisecond} {
		for _, n := range w.nodes {
			w.after(d, func() {
				if !n.alive || n.frozenUntil > w.now {
					return
				}
				w.hear(ref, n.lookUp(ref))
				r := n.submit(w.bodies[ref])
				if w.hear(ref, r); r.Code == 400 || r.Code == 422 {
					w.breaks("forgotten: %s is answered %d", ref, r.Code)
				}
			})
		}
	}
}

func (w *world) breaks(f string, args ...any) {
	s := fmt.Sprintf(f, args...)
	if !slices.Contains(w.broken, s) {
		w.broken = append(w.broken, s)
	}
}

// started judges the rules that can break when a task begins to run.
func (w *world) started(at *simWorker, t *fake.Task) {
	w.history.start(at.Name, t)
	w.tried[t.Job.Ref] = w.now
	if _, ok := w.begun[t.Job.Ref]; !ok {
		w.begun[t.Job.Ref] = w.now
	}
	if told, ok := w.aborted[t.Job.Ref]; ok {
		if w.now-told > clock.FromSeconds(w.cfg.Facts.Workers.CancelS) {
			w.breaks("ran_cancelled: %s starts on %s", t.Task, at.Name)
		}
	}
	if !at.allowed(&t.Job) {
		w.breaks("wrong_place: %s on %s", t.Task, at.Name)
	}
	use := 0.0
	zones := map[string]int{}
	on := append(w.holds[t.Job.Team], held{at, t})
	on = slices.DeleteFunc(on, func(h held) bool { return h.s.dead || !h.t.IsActive() || h.s.leaseRanOut(w.now) })
	w.holds[t.Job.Team] = on
	for _, h := range on {
		if h.t.Task == t.Task && h.t != t {
			w.breaks("ran_twice: %s on %s and %s", t.Task, h.s.Name, at.Name)
		}
		use += h.t.Job.CPUs
		if h.t.Job.Ref == t.Job.Ref {
			zones[h.s.Zone]++
		}
	}
	if team, _ := w.cfg.Team(t.Job.Team); use > team.CPULimit()+1e-9 {
		w.breaks("quota: %s uses %.0f cpus", t.Job.Team, use)
	}
	if t.Job.OneZone && len(zones) > 1 {
		w.breaks("wrong_place: %s is in several zones", t.Job.Ref)
	}
	for z, k := range zones {
		if t.Job.Spread && k > (t.Job.Tasks+1)/2 {
			w.breaks("wrong_place: %s has %d tasks in %s", t.Job.Ref, k, z)
		}
	}
}
