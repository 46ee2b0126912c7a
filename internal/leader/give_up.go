package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
)

// giveUpReason is why a machine is given up; "": it is not.
type giveUpReason string

// Reasons to give a machine up, as the log shows them.
const (
	giveUpNone          giveUpReason = ""
	giveUpFailed        giveUpReason = "failed"
	giveUpUnlisted      giveUpReason = "no longer listed"
	giveUpSilent        giveUpReason = "silent"
	giveUpDrained       giveUpReason = "drained"
	giveUpNeverCameUp   giveUpReason = "never came up" // the cloud still starts it
	giveUpNeverReported giveUpReason = "never reported"
)

const (
	// listsUntilGone is in how many lists in a row a machine has to be missing to count as gone.
	listsUntilGone = 3
	// unlistedGrace is for how long beyond the lag of lists an idle machine may be missing in them.
	unlistedGrace = 10 * clock.Second
)

// machinesToGiveUp names the machines that serve nobody any more.
func (l *Leader) machinesToGiveUp(now clock.Micros) []string {
	silence := l.silenceByShard()
	var names []string
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.deleting {
			continue
		}
		reason := l.giveUpReason(now, m, silence[m.shard])
		if reason == giveUpNone {
			continue
		}
		names = append(names, name)
		if reason == giveUpNeverCameUp {
			l.autoscaler.bootFailures[m.option.Key()]++
		}
		l.debug("giving up machine", "machine", name, "reason", reason)
	}
	return names
}

// shardSilence counts the machines of a shard that are up, and those of them that are silent.
type shardSilence struct{ up, silent int }

// onItsOwn reports whether a silent machine may be at fault itself: many silent machines at once point at the holder.
func (s shardSilence) onItsOwn() bool { return s.silent*2 < s.up || s.silent == 1 }

// silenceByShard counts silent machines. Those under a preemption notice are expected to fall silent, many at once
// too.
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

// silentBootTimeout is how long a machine may be listed as up without a heartbeat. Whatever an earlier holder had
// started there has lost its lease by then.
func (l *Leader) silentBootTimeout(late clock.Micros) clock.Micros {
	return max(late, 2*l.cfg.AgentLeaseTime())
}

// maxBootFailures bounds by how much an option's machines that did not come up count.
const maxBootFailures = 4

// withExpectedDelay is an option with how late its machines are expected: by a boot time for each that did not come up
// since one last did.
func (l *Leader) withExpectedDelay(o autoscaler.Option) autoscaler.Option {
	o.DelayS = o.Type.BootS * float64(min(l.autoscaler.bootFailures[o.Key()], maxBootFailures))
	return o
}

// giveUpReason says why a machine serves nobody any more, if that is so.
func (l *Leader) giveUpReason(now clock.Micros, m *machine, silence shardSilence) giveUpReason {
	switch {
	case m.failed:
		return giveUpFailed
	case l.isUnlisted(now, m):
		return giveUpUnlisted
	case m.state.Silent && (m.state.PreemptionNotice || silence.onItsOwn()):
		return giveUpSilent
	case m.draining && m.up && m.state.Tasks == 0 && !m.shard.offerPending:
		return giveUpDrained
	case !m.up && m.shard.state == granted:
		return l.bootFailureReason(now, m)
	}
	return giveUpNone
}

// isUnlisted reports whether the cloud's lists show that a machine is gone. They alone cost no machine that runs work:
// whatever they say, one that is gone falls silent.
func (l *Leader) isUnlisted(now clock.Micros, m *machine) bool {
	if m.missingLists < listsUntilGone {
		return false
	}
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	idle := m.state.Tasks == 0 && now-m.listedAt > 3*lag+unlistedGrace
	return m.state.Silent || !m.up || idle
}

// bootFailureReason says why a machine is given up whose agent never sent a heartbeat; it may come up yet.
func (l *Leader) bootFailureReason(now clock.Micros, m *machine) giveUpReason {
	late := clock.FromSeconds(m.option.Type.BootS*l.cfg.Tuning.Fleet.BootTimeoutFactor + l.cfg.Facts.Cloud.ListLagS)
	switch {
	case (m.booting || m.listedAt == 0) && now-m.firstSeenAt > late && now-l.startedAt > late/2:
		return giveUpNeverCameUp
	case m.runningSince > 0 && now-max(m.runningSince, l.startedAt) > l.silentBootTimeout(late):
		return giveUpNeverReported
	}
	return giveUpNone
}
