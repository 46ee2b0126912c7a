package scenario

import (
	"slices"

	"swiftledge/internal/clock"
)

// eachMachine applies a fault of one machine to as many machines as the fault's count says. If the fault's target is
// even, it selects the machines with the most tasks first.
func eachMachine(inject func(*world, fault, *simAgent) (end func())) func(*world, fault) func() {
	return func(w *world, f fault) func() {
		var ends []func()
		isGone := func(s *simAgent) bool { return s.terminated || s.instance.Deleted }
		machines := slices.DeleteFunc(slices.Clone(w.machines.agents), isGone)
		if f.target%2 == 0 {
			slices.SortStableFunc(machines, func(a, b *simAgent) int { return len(b.Tasks) - len(a.Tasks) })
		}
		for i := range min(f.count, len(machines)) {
			ends = append(ends, inject(w, f, machines[i]))
		}
		return callAll(ends)
	}
}

func disconnectMachine(_ *world, _ fault, s *simAgent) func() {
	return setFlag(&s.network.unreachable)
}
func dropInbound(_ *world, _ fault, s *simAgent) func() { return setFlag(&s.network.inboundDropped) }
func dropHeartbeats(_ *world, _ fault, s *simAgent) func() {
	return setFlag(&s.network.heartbeatsDropped)
}
func captureHeartbeats(_ *world, _ fault, s *simAgent) func() { return setFlag(&s.capturesHeartbeats) }
func failTasks(_ *world, _ fault, s *simAgent) func()         { return setFlag(&s.FailsTasks) }

func delayMessages(w *world, f fault, s *simAgent) func() {
	s.network.delayedUntil = w.now + f.duration
	return nil
}

func duplicateMessages(_ *world, _ fault, s *simAgent) func() {
	s.network.duplicateDelay = 25 * clock.Second
	return func() { s.network.duplicateDelay = 0 }
}

func hangMachine(w *world, f fault, s *simAgent) func() {
	s.hungUntil = w.now + f.duration
	return nil
}

func failMachine(_ *world, _ fault, s *simAgent) func() {
	s.terminated, s.instance.Failed = true, true
	return nil
}

func rebootMachine(w *world, _ fault, s *simAgent) func() {
	if !s.terminated {
		s.reboot(w)
	}
	return nil
}

func preemptMachine(w *world, _ fault, s *simAgent) func() {
	const notice = 12 * clock.Second
	seconds := notice.Seconds()
	s.PreemptionNoticeS = &seconds
	s.scheduleHeartbeat(w)
	w.after(notice, func() { s.instance.Deleted = true })
	return nil
}

// silenceNewMachines makes a number of the next machines boot without an agent that sends heartbeats.
func silenceNewMachines(w *world, f fault) func() {
	w.cloud.NextNeverHeartbeat = f.count / 4
	return func() { w.cloud.NextNeverHeartbeat = 0 }
}

func changeBootTime(w *world, f fault) func() {
	factors := []float64{0.05, 3, 6}
	w.cloud.BootFactor = factors[f.target%len(factors)]
	return func() { w.cloud.BootFactor = 0 }
}
