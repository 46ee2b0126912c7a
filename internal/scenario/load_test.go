package scenario

import (
	"fmt"

	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
)

// loadSummary is the mean and the highest load of the schedulable machines.
type loadSummary struct {
	highest, mean float64
	machines      int
}

func (l loadSummary) highestOverMean() float64 {
	if l.mean == 0 {
		return 0
	}
	return l.highest / l.mean
}

func (l loadSummary) String() string {
	return fmt.Sprintf("%d machines, mean %.2f, greatest %.2f", l.machines, l.mean, l.highest)
}

// leaderStatus returns the status that the leader reports to operators. The status is empty if no controller leads.
func (w *world) leaderStatus() (status peer.Status) {
	for _, c := range w.leaders() {
		replies := make(chan peer.Status, 1)
		c.leaderStep(leader.StatusRequested{ReplyTo: replies})
		status = <-replies
	}
	return status
}

// machineLoads computes the loads of the schedulable machines from the simulated agents. It uses the leader's status
// only to learn which machines are schedulable.
func (w *world) machineLoads() (l loadSummary) {
	for _, m := range w.leaderStatus().Machines {
		s := w.agentByName(m.Name)
		if !m.Schedulable || s.terminated {
			continue
		}
		l.machines++
		l.mean += s.Load()
		l.highest = max(l.highest, s.Load())
	}
	if l.machines > 0 {
		l.mean /= float64(l.machines)
	}
	return l
}

// migrationMachine returns the name of the source machine (end "from") or the target machine (any other end) of the
// first migration in flight, or "" if there is no migration.
func (w *world) migrationMachine(end string) string {
	migrations := w.leaderStatus().Migrations
	switch {
	case len(migrations) == 0:
		return ""
	case end == "from":
		return migrations[0].From
	}
	return migrations[0].To
}
