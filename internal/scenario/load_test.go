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

// leaderStatus returns the status that the leader reports to operators. It is empty if no controller leads.
func (w *world) leaderStatus() (status peer.Status) {
	for _, c := range w.leaders() {
		replies := make(chan peer.Status, 1)
		c.leaderStep(leader.StatusRequested{ReplyTo: replies})
		status = <-replies
	}
	return status
}

// machineLoads computes loads from the simulated agents; the leader's status only tells which machines are schedulable.
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

// migrationMachine returns the name of the first migration's source ("from") or target, or "" if there is none.
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
