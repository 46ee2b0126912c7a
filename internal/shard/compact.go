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
	// compactEvery is the pause between two compactions of a block.
	compactEvery = clock.Second
	// wasteful is how many records of attempts that are gone make one worth its puts.
	wasteful = 24
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

// waste is how many records of the page's stored value name attempts that are gone.
func (p *page) waste() int { return p.stored - len(p.recs) }

// compact looks for pages of one grant, this or an earlier one, whose value is mostly waste,
// and puts what is left of them on one page. It does not hold up the cycles: the pages
// that it takes are theirs no more.
func (h *Holder) compact(now clock.Micros, b *heldBlock) {
	if b.compacting != nil || now-b.compactedAt < compactEvery || now >= b.expires {
		return
	}
	b.compactedAt = now
	var pages []*page
	for _, p := range b.pages {
		if len(p.recs) > 0 && p.waste() > len(p.recs) && (b.writing == nil || !slices.Contains(b.writing.pages, p)) {
			pages = append(pages, p)
		}
	}
	if len(pages) == 0 {
		return
	}
	slices.SortStableFunc(pages, func(a, c *page) int { return cmp.Compare(c.waste(), a.waste()) })
	token := pages[0].token
	pager := peer.NewAttemptPager(token, h.p.ValueBytes)
	var from []*page
	var recs []*taskAttempt
	var gone []string
	waste := 0
	for _, p := range pages {
		if p.token != token || len(gone)+1+len(p.also) >= h.p.TxnOps {
			continue
		}
		if !p.fits(pager) {
			break // part of it may be in the pager: that does no harm, a record more is an upper bound
		}
		from = append(from, p)
		recs = append(recs, p.recs...)
		gone = append(append(gone, p.key), p.also...)
		waste += p.waste()
	}
	if waste < wasteful || len(from) == 0 {
		return
	}
	to := b.newPage(token)
	to.stored, to.also, to.busy = pager.Len(), gone, true
	for _, r := range recs {
		to.add(r)
	}
	b.pages = append(slices.DeleteFunc(b.pages, func(p *page) bool { return slices.Contains(from, p) }), to)
	b.compacting = to
	h.emit(CompactPages{Shard: b.id, FencingToken: b.token, KeyVersion: b.stamp, Put: PageWrite{Key: to.key, Page: pager.Page()}, Delete: gone})
}

func (h *Holder) compacted(m PagesCompacted) {
	b := h.answeredFor(m.Shard, m.FencingToken, m.Fenced)
	if b == nil || b.compacting == nil {
		return
	}
	p := b.compacting
	b.compacting, p.busy = nil, false
	// Unless it is known to be there, and the others gone, all of them are erased in the end.
	if m.Committed {
		p.also = nil
	}
	p.version = m.Revision
	p.fixed = p.token != b.token || m.Revision == 0
}
