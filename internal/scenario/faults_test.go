package scenario

import (
	"fmt"
	"slices"

	"swiftledge/internal/clock"
)

// fault is one fault that is injected into a random world.
type fault struct {
	startAt, duration clock.Micros
	kind              string  // a name in faultKinds
	target            int     // number that selects a controller, the order of the machines, or a job's team and parameters
	count             int     // number of machines, jobs or tasks that the fault concerns
	share             float64 // share of the messages that are lost or late
}

// String describes a fault in the output of a failed test.
func (f fault) String() string {
	return fmt.Sprintf("%.1f s: %s for %.1f s, target %d, count %d, share %.1f",
		f.startAt.Seconds(), f.kind, f.duration.Seconds(), f.target, f.count, f.share)
}

// controller returns the one controller that a fault of a single controller concerns.
func (f fault) controller(w *world) *simController { return w.controllers[f.target%len(w.controllers)] }

// faultKind is a kind of fault. inject begins a fault and returns a function that ends it, or nil if it ends by itself.
type faultKind struct {
	name   string
	inject func(w *world, f fault) (end func())
}

// faultKinds returns the kinds of faults that operators have named (docs/meetings.md). A seed draws a kind by its
// index, so new kinds must be appended.
func faultKinds() []faultKind {
	return []faultKind{
		{"burst of jobs", submitBurst},
		{"guest's long job", submitGuestJob},
		{"mistaken job", submitFaultyJob},
		{"all controllers crash", crashAll},
		{"all controllers pause", pauseAll},
		{"store answers are lost", loseStoreResponses},
		{"cloud is late", delayCloud},
		{"cloud is down", beginCloudOutage},
		{"commands are late", delayCommands},
		{"controller crashes", crashOneController},
		{"controller loses peers", disconnectPeersOfOne},
		{"controller loses workers", disconnectAgentsOfOne},
		{"controller pauses", pauseOneController},
		{"machines' messages are duplicated", eachMachine(duplicateMessages)},
		{"jobs are cancelled", cancelJobs},
		{"leader crashes", crashLeaders},
		{"leader loses store and peers", isolateLeaders},
		{"leader pauses", pauseLeaders},
		{"machines are unreachable", eachMachine(disconnectMachine)},
		{"machines' heartbeats are lost", eachMachine(dropHeartbeats)},
		{"machines are preempted", eachMachine(preemptMachine)},
		{"machines reboot", eachMachine(rebootMachine)},
		{"machines boot late or at once", changeBootTime},
		{"machines fail", eachMachine(failMachine)},
		{"machines fail their tasks", eachMachine(failTasks)},
		{"machines hang", eachMachine(hangMachine)},
		{"machines' inbound messages are lost", eachMachine(dropInbound)},
		{"new machines never report", silenceNewMachines},
		{"machines' messages are held", eachMachine(delayMessages)},
		{"heartbeats are kept for the next leader", eachMachine(captureHeartbeats)},
		{"store requests are held", delayStoreRequests},
		{"store is down", beginStoreOutage},
		{"store refuses the leader", disconnectStoreOfLeaders},
		{"store refuses one", disconnectStoreOfOne},
		{"watch hangs", hangWatchOfLeaders},
		{"writes are late", delayTxns},
		{"zone is cut", partitionZone},
	}
}

// faultKindNames returns the names of the kinds, in the same order.
func faultKindNames() []string {
	var names []string
	for _, kind := range faultKinds() {
		names = append(names, kind.name)
	}
	return names
}

// injectFault begins a fault and schedules its end.
func (w *world) injectFault(f fault) {
	kinds := faultKinds()
	kind := slices.IndexFunc(kinds, func(k faultKind) bool { return k.name == f.kind })
	end := kinds[kind].inject(w, f)
	if end == nil {
		end = func() {}
	}
	w.after(f.duration, end)
}

// Faults of controllers.

func crashOneController(w *world, f fault) func() { return crashControllers(f.controller(w)) }
func crashLeaders(w *world, _ fault) func()       { return crashControllers(w.leaders()...) }
func crashAll(w *world, _ fault) func()           { return crashControllers(w.controllers...) }
func pauseOneController(w *world, f fault) func() { return pauseControllers(f, f.controller(w)) }
func pauseLeaders(w *world, f fault) func()       { return pauseControllers(f, w.leaders()...) }
func pauseAll(w *world, f fault) func()           { return pauseControllers(f, w.controllers...) }
func disconnectStoreOfOne(w *world, f fault) func() {
	return setFlag(&f.controller(w).faults.storeUnreachable)
}
func disconnectPeersOfOne(w *world, f fault) func() {
	return setFlag(&f.controller(w).faults.peersUnreachable)
}
func disconnectAgentsOfOne(w *world, f fault) func() {
	return setFlag(&f.controller(w).faults.agentsUnreachable)
}

func disconnectStoreOfLeaders(w *world, _ fault) func() {
	return setOnLeaders(w, func(c *controllerFaults) *bool { return &c.storeUnreachable })
}

func isolateLeaders(w *world, f fault) func() {
	restoreStore := disconnectStoreOfLeaders(w, f)
	restorePeers := setOnLeaders(w, func(c *controllerFaults) *bool { return &c.peersUnreachable })
	return func() {
		restoreStore()
		restorePeers()
	}
}

func hangWatchOfLeaders(w *world, _ fault) func() {
	return setOnLeaders(w, func(c *controllerFaults) *bool { return &c.watchHangs })
}

func delayStoreRequests(w *world, f fault) func() {
	f.controller(w).faults.requestsDelayedUntil = w.now + f.duration
	return nil
}

func delayTxns(w *world, f fault) func() {
	return setShareOnAll(w, f.share, func(c *controllerFaults) *float64 { return &c.lateTxnShare })
}

func loseStoreResponses(w *world, f fault) func() {
	return setShareOnAll(w, f.share, func(c *controllerFaults) *float64 { return &c.lostResponseShare })
}

// crashControllers crashes controllers. The function that it returns restarts them.
func crashControllers(controllers ...*simController) func() {
	for _, c := range controllers {
		if c.running {
			c.crash()
		}
	}
	return func() {
		for _, c := range controllers {
			if !c.running {
				c.start()
			}
		}
	}
}

// pauseControllers pauses the processes of controllers for the fault's duration.
func pauseControllers(f fault, controllers ...*simController) func() {
	for _, c := range controllers {
		c.faults.pausedUntil = c.world.now + f.duration
	}
	return nil
}

// setFlag sets the flag of a fault. The function that it returns clears the flag.
func setFlag(flag *bool) func() {
	*flag = true
	return func() { *flag = false }
}

// setOnLeaders sets a flag in the faults of all leaders. The function that it returns clears the flags.
func setOnLeaders(w *world, flag func(*controllerFaults) *bool) func() {
	var ends []func()
	for _, c := range w.leaders() {
		ends = append(ends, setFlag(flag(&c.faults)))
	}
	return callAll(ends)
}

// setShareOnAll sets a share in the faults of all controllers. The function that it returns resets the share to zero.
func setShareOnAll(w *world, value float64, share func(*controllerFaults) *float64) func() {
	for _, c := range w.controllers {
		*share(&c.faults) = value
	}
	return func() {
		for _, c := range w.controllers {
			*share(&c.faults) = 0
		}
	}
}

// callAll returns a function that calls the given functions in order. It skips functions that are nil.
func callAll(functions []func()) func() {
	return func() {
		for _, f := range functions {
			if f != nil {
				f()
			}
		}
	}
}

// Faults of the store, the cloud and the network.

func beginStoreOutage(w *world, _ fault) func() {
	w.store.Down = true
	return func() { w.store.EndOutage(w.now) }
}

func beginCloudOutage(w *world, _ fault) func() { return setFlag(&w.faults.cloudDown) }

func delayCloud(w *world, f fault) func() {
	w.faults.lateCloudRequestShare = f.share
	return func() { w.faults.lateCloudRequestShare = 0 }
}

func delayCommands(w *world, f fault) func() {
	w.faults.lateCommandShare = f.share
	return func() { w.faults.lateCommandShare = 0 }
}

func partitionZone(w *world, f fault) func() {
	w.faults.partitionedZone, w.faults.partitionedUntil = "b", w.now+f.duration
	return nil
}

// Users' actions.

func submitBurst(w *world, f fault) func() {
	const jobs = 3
	for i := range jobs {
		w.submitRandom(f.target+i, 40+f.count, 6+f.target)
	}
	return nil
}

func submitFaultyJob(w *world, f fault) func() {
	ref := w.submitFaulty(f.target, 20+f.count)
	return func() { w.cancelUntilAnswered(ref, f.target) }
}

func submitGuestJob(w *world, f fault) func() {
	w.submitGuest(f.target, 20+4*f.count)
	return nil
}

func cancelJobs(w *world, f fault) func() {
	refs := sortedKeys(w.users.jobs)
	for i := range min(f.count, len(refs)) {
		if c := w.controllers[(f.target+i)%len(w.controllers)]; c.isResponsive() {
			w.cancel(c, refs[(f.target*7+i*3)%len(refs)])
		}
	}
	return nil
}
