package shard

import (
	"cmp"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

const (
	// compactionInterval is the minimum time between two compactions of a log.
	compactionInterval = clock.Second
	// minStaleRecords is the number of records of ended attempts from which a compaction is worth its puts.
	minStaleRecords = 24
)

// compact merges pages of one lease, this or an earlier one, whose stored records are mostly stale into one new page.
// The compaction does not block placement cycles, because they no longer write to the merged pages.
func (l *attemptLog) compact(now clock.Micros, limits storeLimits) (effect CompactPages, ok bool) {
	if l.compaction != nil || now-l.lastCompaction < compactionInterval {
		return CompactPages{}, false
	}
	l.lastCompaction = now
	stale := l.mostlyStalePages()
	if len(stale) == 0 {
		return CompactPages{}, false
	}
	token := stale[0].fencingToken
	pager := peer.NewAttemptPager(token, limits.valueBytes)
	merged, replacedKeys := mergePages(stale, pager, limits)
	staleRecords := 0
	for _, p := range merged {
		staleRecords += p.staleRecords()
	}
	if staleRecords < minStaleRecords || len(merged) == 0 {
		return CompactPages{}, false
	}
	page := l.newPage(token)
	page.storedRecords, page.replacedKeys, page.compacting = pager.Len(), replacedKeys, true
	for _, p := range merged {
		for _, a := range p.attempts {
			page.add(a)
		}
	}
	isMerged := func(p *attemptPage) bool { return slices.Contains(merged, p) }
	l.pages = append(slices.DeleteFunc(l.pages, isMerged), page)
	l.compaction = page
	return CompactPages{
		Shard:        l.shard,
		FencingToken: l.fencingToken,
		KeyVersion:   l.keyVersion,
		Put:          PageWrite{Key: page.key, Page: pager.Page()},
		Delete:       replacedKeys,
	}, true
}

// mostlyStalePages returns the pages in use whose stored records are mostly stale, those with the most stale records
// first.
func (l *attemptLog) mostlyStalePages() (pages []*attemptPage) {
	for _, p := range l.pages {
		if len(p.attempts) > 0 && p.staleRecords() > len(p.attempts) && !l.isBeingWritten(p) {
			pages = append(pages, p)
		}
	}
	slices.SortStableFunc(pages, func(a, b *attemptPage) int { return cmp.Compare(b.staleRecords(), a.staleRecords()) })
	return pages
}

// mergePages adds pages of the same lease as the first one to a pager, as many as fit into it and into a transaction.
// It returns the pages that it added and all keys that hold records of these pages.
func mergePages(
	pages []*attemptPage, pager *peer.AttemptPager, limits storeLimits,
) (merged []*attemptPage, keys []string) {
	for _, p := range pages {
		if p.fencingToken != pages[0].fencingToken || len(keys)+1+len(p.replacedKeys) >= limits.txnOps {
			continue
		}
		if !p.addTo(pager) {
			break // the pager may have some of the page's records: harmless, because the records are an upper bound
		}
		merged = append(merged, p)
		keys = append(append(keys, p.key), p.replacedKeys...)
	}
	return merged, keys
}

// completeCompaction handles the result of the compaction.
func (l *attemptLog) completeCompaction(result PagesCompacted) {
	page := l.compaction
	if page == nil {
		return
	}
	l.compaction, page.compacting = nil, false
	// Unless the new page is known to be stored and the replaced pages to be deleted, all of these keys are deleted
	// together, once the new page is empty.
	if result.Committed {
		page.replacedKeys = nil
	}
	page.version = result.Revision
	page.sealed = page.fencingToken != l.fencingToken || result.Revision == 0
}
