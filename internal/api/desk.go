package api

import (
	"context"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Following says who leads now.
type Following struct {
	Epoch uint64
	Node  string
}

// Desk is the actor that keeps what user requests need at hand: the catalog,
// counts for display, final states (which never change), and the leader's word.
type Desk struct {
	cfg   *config.Config
	clock clock.Steady
	box   chan any
}

type ended struct {
	ref string
	end leader.EndRecord
}

type ask struct {
	ref    string
	answer chan View
}

type learnt struct{ types []wire.MachineType }

// View is what the desk knows, at one moment, of one job and in general.
type View struct {
	Epoch    uint64
	Types    []wire.MachineType
	Count    peer.TaskCount
	End      *leader.EndRecord
	LeaderOK bool // a leader that the state service serves spoke to us lately
}

// maxEnds bounds the final states kept at hand; the store has them all.
const maxEnds = 5000

// NewDesk makes a desk; Run serves it.
func NewDesk(cfg *config.Config, c clock.Steady) *Desk {
	return &Desk{cfg: cfg, clock: c, box: make(chan any, 1024)}
}

// Post takes *peer.Down and Following.
func (d *Desk) Post(msg any) { d.box <- msg }

// Look asks for a View.
func (d *Desk) Look(ref string) View {
	q := ask{ref, make(chan View, 1)}
	d.box <- q
	return <-q.answer
}

// Epoch is the leader's, as far as known.
func (d *Desk) Epoch() uint64 { return d.Look("").Epoch }

// Run is the actor.
func (d *Desk) Run(ctx context.Context) {
	v := View{}
	var leaderAt clock.Micros
	counts := map[string]peer.TaskCount{}
	ends := map[string]leader.EndRecord{}
	for {
		var msg any
		select {
		case <-ctx.Done():
			return
		case msg = <-d.box:
		}
		switch m := msg.(type) {
		case Following:
			v.Epoch = m.Epoch
			leaderAt = 0
		case *peer.Down:
			if len(m.Types) > 0 {
				v.Types = m.Types
			}
			if m.Renewed > 0 && m.StoreOK && m.Epoch == v.Epoch {
				leaderAt = d.clock.Now()
			}
			for _, c := range m.Counts {
				counts[c.Job] = c
			}
		case learnt:
			v.Types = m.types
		case ended:
			if len(ends) >= maxEnds {
				clear(ends)
			}
			ends[m.ref] = m.end
			delete(counts, m.ref)
		case ask:
			out := v
			out.Count = counts[m.ref]
			if e, ok := ends[m.ref]; ok {
				out.End = &e
			}
			out.LeaderOK = leaderAt > 0 && d.clock.Now()-leaderAt < 3*clock.Second
			m.answer <- out
		}
	}
}
