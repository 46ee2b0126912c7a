package scenario

import (
	"slices"

	"swiftledge/internal/clock"
)

// eachMachine is a fault of as many machines as it says, those with most tasks first in every other case.
func eachMachine(begin func(*world, fault, *simWorker) (end func())) func(*world, fault) func() {
	return func(w *world, f fault) func() {
		var ends []func()
		isGone := func(s *simWorker) bool { return s.ended || s.instance.Deleted }
		machines := slices.DeleteFunc(slices.Clone(w.machines.workers), isGone)
		if f.target%2 == 0 {
			slices.SortStableFunc(machines, func(a, b *simWorker) int { return len(b.Tasks) - len(a.Tasks) })
		}
		for i := range min(f.count, len(machines)) {
			ends = append(ends, begin(w, f, machines[i]))
		}
		return inOrder(ends)
	}
}

func cutMachine(_ *world, _ fault, s *simWorker) func()     { return set(&s.network.unreachable) }
func cutInbound(_ *world, _ fault, s *simWorker) func()     { return set(&s.network.inboundCut) }
func cutHeartbeats(_ *world, _ fault, s *simWorker) func()  { return set(&s.network.heartbeatsCut) }
func keepHeartbeats(_ *world, _ fault, s *simWorker) func() { return set(&s.keepsHeartbeats) }
func failTasks(_ *world, _ fault, s *simWorker) func()      { return set(&s.FailsTasks) }

func holdMessages(w *world, f fault, s *simWorker) func() {
	s.network.heldUntil = w.now + f.duration
	return nil
}

func duplicateMessages(_ *world, _ fault, s *simWorker) func() {
	s.network.duplicateDelay = 25 * clock.Second
	return func() { s.network.duplicateDelay = 0 }
}

func hangMachine(w *world, f fault, s *simWorker) func() {
	s.hungUntil = w.now + f.duration
	return nil
}

func failMachine(_ *world, _ fault, s *simWorker) func() {
	s.ended, s.instance.Failed = true, true
	return nil
}

func rebootMachine(w *world, _ fault, s *simWorker) func() {
	if !s.ended {
		s.Reboot(w.now)
	}
	return nil
}

func preemptMachine(w *world, _ fault, s *simWorker) func() {
	const notice = 12 * clock.Second
	seconds := notice.Seconds()
	s.PreemptionNoticeS = &seconds
	s.heartbeatSoon(w)
	w.after(notice, func() { s.instance.Deleted = true })
	return nil
}

// silenceNewMachines lets machines come up whose workers never report.
func silenceNewMachines(w *world, f fault) func() {
	w.cloud.NextNeverHeartbeat = f.count / 4
	return func() { w.cloud.NextNeverHeartbeat = 0 }
}

func changeBootTime(w *world, f fault) func() {
	factors := []float64{0.05, 3, 6}
	w.cloud.BootFactor = factors[f.target%len(factors)]
	return func() { w.cloud.BootFactor = 0 }
}
