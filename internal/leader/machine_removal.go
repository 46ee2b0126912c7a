package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
)

// removalReason is why a machine that serves no tasks any longer is deleted. It is removalNone for a machine that is
// kept.
type removalReason string

// Reasons to remove a machine, as the log shows them.
const (
	removalNone          removalReason = ""
	removalFailed        removalReason = "failed"
	removalUnlisted      removalReason = "no longer listed"
	removalSilent        removalReason = "silent"
	removalDrained       removalReason = "drained"
	removalNeverCameUp   removalReason = "never came up"  // listed as starting, or not listed yet
	removalNeverReported removalReason = "never reported" // listed as running, but its agent sent no heartbeat
)

const (
	// minMissingLists is the number of consecutive machine lists that must lack a machine for it to count as gone.
	minMissingLists = 3
	// unlistedGrace is how long, beyond three times the lag of machine lists, an idle machine may be missing from the
	// lists before it is removed.
	unlistedGrace = 10 * clock.Second
)

// machinesToRemove returns the names of the machines that serve no tasks any longer: failed, lost, drained or never
// booted.
func (l *Leader) machinesToRemove(now clock.Micros) []string {
	silence := l.silenceByShard()
	var names []string
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.deleting {
			continue
		}
		reason := l.removalReason(now, m, silence[m.shard])
		if reason == removalNone {
			continue
		}
		names = append(names, name)
		if reason == removalNeverCameUp {
			l.autoscaler.bootFailures[m.option.Key()]++
		}
		l.debug("giving up machine", "machine", name, "reason", reason)
	}
	return names
}

// shardSilence counts the machines of a shard that are up, and how many of these are silent.
type shardSilence struct{ up, silent int }

// isMachineFault reports whether the silence of a machine may be its own fault. Many silent machines at once indicate
// a fault of the shard holder.
func (s shardSilence) isMachineFault() bool { return s.silent*2 < s.up || s.silent == 1 }

// silenceByShard counts the silent machines of each shard. It skips machines with a preemption notice: they are
// expected to fall silent, also many at once.
func (l *Leader) silenceByShard() map[*shardLease]shardSilence {
	counts := map[*shardLease]shardSilence{}
	for _, m := range l.inventory.machines {
		if !m.up || m.state.PreemptionNotice {
			continue
		}
		count := counts[m.shard]
		count.up++
		if m.state.Silent {
			count.silent++
		}
		counts[m.shard] = count
	}
	return counts
}

// silentBootTimeout returns how long a machine may be listed as running without a heartbeat. After that time, the lease
// of any task that an earlier shard holder started on the machine has expired.
func (l *Leader) silentBootTimeout(bootTimeout clock.Micros) clock.Micros {
	return max(bootTimeout, 2*l.cfg.AgentLeaseTime())
}

// maxBootFailures bounds how many failed boots of an option add to its expected boot delay.
const maxBootFailures = 4

// withExpectedBootDelay returns the option with the expected boot delay of its machines: one boot time for each machine
// of the option that did not come up since the last machine that came up.
func (l *Leader) withExpectedBootDelay(option autoscaler.Option) autoscaler.Option {
	option.DelayS = option.Type.BootS * float64(min(l.autoscaler.bootFailures[option.Key()], maxBootFailures))
	return option
}

// removalReason returns why a machine serves no tasks any longer, or removalNone if it may serve some.
func (l *Leader) removalReason(now clock.Micros, m *machine, silence shardSilence) removalReason {
	switch {
	case m.failed:
		return removalFailed
	case l.isUnlisted(now, m):
		return removalUnlisted
	case m.state.Silent && (m.state.PreemptionNotice || silence.isMachineFault()):
		return removalSilent
	case m.draining && m.up && m.state.Tasks == 0 && !m.shard.offerPending:
		return removalDrained
	case !m.up && m.shard.state == granted:
		return l.bootFailureReason(now, m)
	}
	return removalNone
}

// isUnlisted reports whether the cloud's machine lists show that a machine is gone. The lists alone never remove a
// machine that runs tasks: a machine that is really gone also falls silent.
func (l *Leader) isUnlisted(now clock.Micros, m *machine) bool {
	if m.missingLists < minMissingLists {
		return false
	}
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	idle := m.state.Tasks == 0 && now-m.listedAt > 3*lag+unlistedGrace
	return m.state.Silent || !m.up || idle
}

// bootFailureReason returns why a machine whose agent never sent a heartbeat is removed, or removalNone while it may
// still come up.
func (l *Leader) bootFailureReason(now clock.Micros, m *machine) removalReason {
	bootTimeout := clock.FromSeconds(m.option.Type.BootS*l.cfg.Tuning.Fleet.BootTimeoutFactor + l.cfg.Facts.Cloud.ListLagS)
	switch {
	case (m.booting || m.listedAt == 0) && now-m.firstSeenAt > bootTimeout && now-l.startedAt > bootTimeout/2:
		return removalNeverCameUp
	case m.runningSince > 0 && now-max(m.runningSince, l.startedAt) > l.silentBootTimeout(bootTimeout):
		return removalNeverReported
	}
	return removalNone
}
