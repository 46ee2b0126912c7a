package scenario

import (
	"fmt"

	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
)

// loadSummary sums up the loads of the machines that are up, by what is on them.
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

// leaderStatus is what the leader tells operators; nothing while nobody leads.
func (w *world) leaderStatus() (s peer.Status) {
	for _, c := range w.leaders() {
		answer := make(chan peer.Status, 1)
		c.leaderStep(leader.StatusRequested{ReplyTo: answer})
		s = <-answer
	}
	return s
}

// machineLoads judges by the machines themselves; the leader is only asked which of them take work.
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

// migrationMachine names the machine that the first move in flight goes from or to; "" if there is none.
func (w *world) migrationMachine(which string) string {
	moves := w.leaderStatus().Migrations
	switch {
	case len(moves) == 0:
		return ""
	case which == "from":
		return moves[0].From
	}
	return moves[0].To
}
