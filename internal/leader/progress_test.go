package leader

import (
	"strings"
	"testing"

	"swiftledge/internal/store"
	"swiftledge/wire"
)

// progressStore is a state service that holds progress pages alone, for a leader's writes of them.
type progressStore struct {
	pages map[string]ProgressRecord
	late  []CommitTxn // transactions that are not carried out yet
}

// take carries out the progress transactions among the effects and answers them; those that hold
// picks come later.
func (p *progressStore) take(t *testing.T, l *Leader, fx []Effect, hold func(ProgressRecord) bool) {
	t.Helper()
	due := p.late
	p.late = nil
	for _, e := range fx {
		if c, ok := e.(CommitTxn); ok && strings.HasPrefix(c.Txn.Writes[0].Put+c.Txn.Writes[0].Delete, ProgressPrefix) {
			due = append(due, c)
		}
	}
	for _, c := range due {
		w := c.Txn.Writes[0]
		if w.Delete != "" {
			delete(p.pages, w.Delete)
			continue
		}
		r, ok := decode[ProgressRecord](l, wire.Item{Key: w.Put, Value: w.Value})
		if !ok {
			t.Fatalf("%s is written unreadable", w.Put)
		}
		if hold(r) {
			p.late = append(p.late, c)
			continue
		}
		p.pages[w.Put] = r
		l.Step(began, TxnCompleted{Term: 5, Tag: c.Tag, Result: store.TxnResult{Committed: true, Revision: 30}})
	}
}

// bits are the completed tasks of a chunk that the store knows of, whatever page names them.
func (p *progressStore) bits(job string) (bits byte) {
	for _, r := range p.pages {
		for _, u := range r.Chunks {
			if u.Job == job {
				bits |= u.Completed[0]
			}
		}
	}
	return bits
}

// A chunk is on three progress pages, as leaders ended while they moved it. None of the three may be
// written without it or deleted before one page has what all of them had: the completions that only
// that page names would be lost, and their tasks would run again.
func TestChunkOnThreeProgressPagesKeepsItsBits(t *testing.T) {
	for _, large := range []string{"", ProgressPrefix + "1-1", ProgressPrefix + "1-2", ProgressPrefix + "1-3"} {
		l := leading(t)
		s := spec
		s.Ref, s.Tasks = "j-300000", 8
		l.addJob(JobRecord{Spec: s}, 3).fillWaiting()
		stored := progressStore{pages: map[string]ProgressRecord{}}
		for i, key := range []string{ProgressPrefix + "1-1", ProgressPrefix + "1-2", ProgressPrefix + "1-3"} {
			r := ProgressRecord{Chunks: []ProgressChunk{{Job: s.Ref, Completed: []byte{1 << i}}}}
			stored.pages[key] = r
			l.valueBytes = 1800
			if key == large {
				l.valueBytes = 50 // it was written when values could be larger
			}
			l.loadProgressPage(item(t, key, 7, r), r)
		}
		l.valueBytes = 1800
		for round := 1; round <= 6; round++ {
			fx := l.Step(began, Tick{})
			l.jobs.progressWrittenAt = 0
			fx = append(fx, l.Step(began+progressEvery, Tick{})...)
			// What no longer has the chunk comes through at once, what has it after a while.
			stored.take(t, l, fx, func(r ProgressRecord) bool { return round <= 2 && len(r.Chunks) > 0 })
			if got := stored.bits(s.Ref); got != 7 {
				t.Fatalf("with %q too large: the store has bits %03b after round %d, and had 111", large, got, round)
			}
		}
		if len(stored.pages) > 1 {
			t.Errorf("with %q too large: %d progress pages are left of three, want one", large, len(stored.pages))
		}
	}
}
