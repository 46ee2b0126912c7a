package scenario

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/wire"
)

const (
	lateStartMachines = 12
	// movedJob has tasks that are migrated, cancelledJob is cancelled while its tasks run.
	movedJob, cancelledJob = "j-000001", "j-000003"
)

// stoppedTasks counts the tasks of a job that an agent lists as stopped and that a copy of a run command would start
// again if the agent did not list them.
func (s *simAgent) stoppedTasks(ref string) (count int) {
	for _, t := range s.Tasks {
		if t.Job.Ref != ref || t.State != wire.TaskExited || t.Cause != wire.ExitStopped {
			continue
		}
		isItsStart := func(batch wire.CommandBatch) bool {
			return batch.FencingToken == s.FencingToken && batch.Commands[0].Attempt == t.Attempt
		}
		if slices.ContainsFunc(s.capturedStarts, isItsStart) {
			count++
		}
	}
	return count
}

// agentsWithStoppedTasks returns the agents that list stopped tasks of the moved or of the cancelled job.
func (w *world) agentsWithStoppedTasks() (agents []*simAgent) {
	for _, s := range w.machines.agents {
		if !s.instance.Deleted && s.stoppedTasks(movedJob)+s.stoppedTasks(cancelledJob) > 0 {
			agents = append(agents, s)
		}
	}
	return agents
}

// submitForLateStarts submits a job as a user.
func (w *world) submitForLateStarts(team string, tasks, runSeconds int) {
	job := w.nextJob("l", team, tasks)
	job.EstimateS, job.CheckpointS, job.SaveS = float64(runSeconds), 2, 1
	w.users.runSeconds[job.Ref] = float64(runSeconds)
	w.submitUntilAccepted(job, 0)
}

// worldWithLateStarts returns a world in which the agents have executed and answered run commands of tasks that were
// migrated or cancelled since. Copies of these commands are at hand.
func worldWithLateStarts(t *testing.T) *world {
	spread := config.Spread{Enabled: true, Bound: 1.05, ImbalanceCostS: 3600, MigrateAbove: 1.06, IntervalS: 0.25,
		LeaderCooldownS: 1, MigrationShare: 0.25, TeamShare: 1, TimeoutS: 30}
	w := randomWorld(t.Name(), 1, lateStartMachines, spread)
	t.Cleanup(w.stop)
	w.after(3*clock.Second, func() {
		for _, s := range w.machines.agents {
			s.capturesStarts = true
		}
		w.submitForLateStarts("red", 14, 200)
	})
	w.after(6*clock.Second, func() { w.submitForLateStarts("blue", 20, 5) })
	w.after(30*clock.Second, func() { w.submitForLateStarts("red", 8, 200) })
	w.after(36*clock.Second, func() { w.cancelUntilAnswered(cancelledJob, 0) })
	w.run(36*clock.Second + w.cancelTime())
	moved, cancelled := 0, 0
	for _, s := range w.agentsWithStoppedTasks() {
		moved, cancelled = moved+s.stoppedTasks(movedJob), cancelled+s.stoppedTasks(cancelledJob)
	}
	if moved == 0 || cancelled == 0 {
		t.Fatalf("%d migrated and %d cancelled tasks are listed as stopped, want at least one of each", moved, cancelled)
	}
	w.run(2 * clock.Second)
	return w
}

// TestLateCopiesOfAnsweredStarts guards against tasks that run on two machines, or after their cancellation, because a
// controller or a machine is back within a second and copies of run commands, which were executed and answered before,
// reach the machine again.
func TestLateCopiesOfAnsweredStarts(t *testing.T) {
	const backAfter = 300 * clock.Millisecond
	reboot := func(w *world) {
		for _, s := range w.agentsWithStoppedTasks() {
			rebootMachine(w, fault{}, s)
		}
	}
	followersOf := func(w *world) (followers []*simController) {
		for _, c := range w.controllers {
			if !c.leads() {
				followers = append(followers, c)
			}
		}
		return followers
	}
	crash := func(w *world, controllers []*simController) { w.after(backAfter, crashControllers(controllers...)) }
	for _, c := range []struct {
		name    string
		restart func(w *world)
		// notBefore is when the first copies arrive after the restart. No controller can keep an agent from executing
		// what arrives before the agent has reported and a higher token has reached it.
		notBefore clock.Micros
	}{
		{"nothing restarts", func(*world) {}, 0},
		{"holders restart", func(w *world) { crash(w, followersOf(w)) }, 0},
		{"leader restarts", func(w *world) { crash(w, w.leaders()) }, 0},
		{"all controllers restart", func(w *world) { crash(w, w.controllers) }, 0},
		{"machines hang", func(w *world) {
			for _, s := range w.agentsWithStoppedTasks() {
				s.hungUntil = w.now + backAfter
			}
		}, 0},
		{"machines reboot", reboot, clock.Second},
		{"machines reboot and holders restart", func(w *world) {
			crash(w, followersOf(w))
			reboot(w)
		}, clock.Second},
		{"machines reboot and all controllers restart", func(w *world) {
			crash(w, w.controllers)
			reboot(w)
		}, 5 * clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := worldWithLateStarts(t)
			c.restart(w)
			w.run(c.notBefore)
			for range 180 {
				for _, s := range w.machines.agents {
					s.replayStarts(w)
				}
				w.run(clock.Second / 4)
			}
			w.checkNoViolations(t)
		})
	}
}
