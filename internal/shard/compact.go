package shard

import (
	"cmp"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// compactionInterval is the pause between two compactions of a block.
	compactionInterval = clock.Second
	// minStaleRecords is how many records of attempts that are gone make one worth its puts.
	minStaleRecords = 24
)

// CompactPages replaces pages by one that holds what of them is not proven gone. A replica that
// stands for hours would else keep a page full of records of tasks long over, which count
// in full, are read at each takeover and sent with each grant.
type CompactPages struct {
	Shard        int
	FencingToken wire.FencingToken
	KeyVersion   uint64
	Put          PageWrite
	Delete       []string
}

// PagesCompacted is its end; Revision is the new page's version, or 0 when it is not known.
type PagesCompacted struct {
	Shard        int
	FencingToken wire.FencingToken
	Committed    bool
	Fenced       bool
	Revision     uint64
}

// Txn is guarded on the block's key, and on the new page not to be there: a copy that is
// applied late must not bring it back over a newer one.
func (c CompactPages) Txn() (wire.Txn, error) {
	t, err := WriteAttempts{Shard: c.Shard, KeyVersion: c.KeyVersion, Pages: []PageWrite{c.Put}}.Txn()
	for _, k := range c.Delete {
		t.Writes = append(t.Writes, wire.Write{Delete: k})
	}
	return t, err
}

// Result is what the outcome of the transaction means; see Record.Result.
func (c CompactPages) Result(o store.TxnResult) PagesCompacted {
	r := WriteAttempts{Shard: c.Shard, FencingToken: c.FencingToken}.Result(o)
	return PagesCompacted{Shard: c.Shard, FencingToken: c.FencingToken, Committed: r.Committed, Fenced: r.Fenced, Revision: r.Revision}
}

// staleRecords is how many records of the page's stored value name attempts that are gone.
func (p *attemptPage) staleRecords() int { return p.storedRecords - len(p.attempts) }

// compact looks for pages of one grant, this or an earlier one, whose value is mostly waste,
// and puts what is left of them on one page. It does not hold up the cycles: the pages
// that it takes are theirs no more.
func (h *Holder) compact(now clock.Micros, b *heldShard) {
	if b.compacting != nil || now-b.lastCompaction < compactionInterval || now >= b.expiresAt {
		return
	}
	b.lastCompaction = now
	var pages []*attemptPage
	for _, p := range b.pages {
		if len(p.attempts) > 0 && p.staleRecords() > len(p.attempts) && (b.writing == nil || !slices.Contains(b.writing.pages, p)) {
			pages = append(pages, p)
		}
	}
	if len(pages) == 0 {
		return
	}
	slices.SortStableFunc(pages, func(a, c *attemptPage) int { return cmp.Compare(c.staleRecords(), a.staleRecords()) })
	token := pages[0].fencingToken
	pager := peer.NewAttemptPager(token, h.params.ValueBytes)
	var from []*attemptPage
	var recs []*taskAttempt
	var gone []string
	waste := 0
	for _, p := range pages {
		if p.fencingToken != token || len(gone)+1+len(p.replacedKeys) >= h.params.TxnOps {
			continue
		}
		if !p.fitsInto(pager) {
			break // part of it may be in the pager: that does no harm, a record more is an upper bound
		}
		from = append(from, p)
		recs = append(recs, p.attempts...)
		gone = append(append(gone, p.key), p.replacedKeys...)
		waste += p.staleRecords()
	}
	if waste < minStaleRecords || len(from) == 0 {
		return
	}
	to := b.newPage(token)
	to.storedRecords, to.replacedKeys, to.compacting = pager.Len(), gone, true
	for _, r := range recs {
		to.add(r)
	}
	b.pages = append(slices.DeleteFunc(b.pages, func(p *attemptPage) bool { return slices.Contains(from, p) }), to)
	b.compacting = to
	h.emit(CompactPages{Shard: b.id, FencingToken: b.fencingToken, KeyVersion: b.keyVersion, Put: PageWrite{Key: to.key, Page: pager.Page()}, Delete: gone})
}

func (h *Holder) handlePagesCompacted(m PagesCompacted) {
	b := h.shardOfWrite(m.Shard, m.FencingToken, m.Fenced)
	if b == nil || b.compacting == nil {
		return
	}
	p := b.compacting
	b.compacting, p.compacting = nil, false
	// Unless it is known to be there, and the others gone, all of them are erased in the end.
	if m.Committed {
		p.replacedKeys = nil
	}
	p.version = m.Revision
	p.sealed = p.fencingToken != b.fencingToken || m.Revision == 0
}
