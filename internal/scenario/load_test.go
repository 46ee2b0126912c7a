package scenario

import (
	"fmt"

	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
)

// machineLoads sums up the loads of the machines that are up, by what is on them.
type machineLoads struct {
	greatest, mean float64
	machines       int
}

func (l machineLoads) overMean() float64 {
	if l.mean == 0 {
		return 0
	}
	return l.greatest / l.mean
}

func (l machineLoads) String() string {
	return fmt.Sprintf("%d machines, mean %.2f, greatest %.2f", l.machines, l.mean, l.greatest)
}

// status is what the leader tells operators; nothing while nobody leads.
func (w *world) status() (s peer.Status) {
	for _, n := range w.leaders() {
		answer := make(chan peer.Status, 1)
		n.leaderStep(leader.StatusRequested{ReplyTo: answer})
		s = <-answer
	}
	return s
}

// loads judges by the machines themselves; the leader is only asked which of them take work.
func (w *world) loads() (l machineLoads) {
	for _, m := range w.status().Machines {
		s := w.worker(m.Name)
		if !m.TakesWork || s.dead {
			continue
		}
		l.machines++
		l.mean += s.Load()
		l.greatest = max(l.greatest, s.Load())
	}
	if l.machines > 0 {
		l.mean /= float64(l.machines)
	}
	return l
}

// moveEnd names the machine that the first move in flight goes from or to; "" if there is none.
func (w *world) moveEnd(which string) string {
	moves := w.status().Migrations
	switch {
	case len(moves) == 0:
		return ""
	case which == "from":
		return moves[0].From
	}
	return moves[0].To
}
