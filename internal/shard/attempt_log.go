package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

const (
	// emptyPageRetention is how long a page without attempts is kept for reuse.
	emptyPageRetention = 5 * clock.Second
	// deletionInterval is the minimum time between two page deletions, unless the deletions fill a transaction.
	deletionInterval = 5 * clock.Second
)

// storeLimits are the store's limits on the size of a value and on the operations of a transaction.
type storeLimits struct{ valueBytes, txnOps int }

// limits returns the store's limits as currently known.
func (p *Params) limits() storeLimits { return storeLimits{p.MaxValueBytes, p.MaxTxnOps} }

// attemptPage is a page of attempt records, stored under one key. A page of this lease is overwritten with its live
// records followed by new records, so that a placement cycle costs one put and no deletes. Pages of earlier leases, and
// pages whose last write has an unknown outcome, are sealed: they are only ever deleted.
type attemptPage struct {
	key           string
	version       uint64
	fencingToken  wire.FencingToken // of the lease under which the attempts were placed
	attempts      []*taskAttempt    // attempts on the page that are not proven to have ended
	sealed        bool              // never to be overwritten
	compacting    bool              // being written to replace other pages
	storedRecords int               // number of records in the stored value
	replacedKeys  []string          // keys of replaced pages, which may also hold records of this page
	emptySince    clock.Micros
}

func (p *attemptPage) add(a *taskAttempt) {
	a.page, a.pageIndex = p, len(p.attempts)
	p.attempts = append(p.attempts, a)
}

func (p *attemptPage) remove(a *taskAttempt) {
	last := p.attempts[len(p.attempts)-1]
	p.attempts[a.pageIndex], last.pageIndex = last, a.pageIndex
	p.attempts = p.attempts[:len(p.attempts)-1]
	a.page = nil
}

// addTo adds the page's records to a pager. It returns false if the records do not all fit.
func (p *attemptPage) addTo(pager *peer.AttemptPager) bool {
	for _, a := range p.attempts {
		if !pager.Add(a.group, a.task.Index, a.id, a.machine.name) {
			return false
		}
	}
	return true
}

// staleRecords returns how many records of the page's stored value belong to attempts that have ended.
func (p *attemptPage) staleRecords() int { return p.storedRecords - len(p.attempts) }

// attemptLog keeps the write-ahead records of a shard's attempts in pages. At most one write is in flight at a time.
type attemptLog struct {
	shard        int
	fencingToken wire.FencingToken // of the lease
	keyVersion   uint64

	pages        []*attemptPage // in the order in which they were added
	pageCount    int            // pages created under the lease
	writeSeq     int            // sequence number of the last write
	pendingWrite *attemptWrite  // the write in flight; nil if there is none

	compaction     *attemptPage // the page being written to replace other pages; nil if there is none
	lastCompaction clock.Micros

	tooLargeLogged bool // a record that fits on no page was logged

	pendingDeletions []string // keys still to be deleted
	lastDeletion     clock.Micros
}

// attemptWrite is a write of attempt records that is in flight.
type attemptWrite struct {
	seq      int
	pages    []*attemptPage
	attempts []*taskAttempt
}

// newPage returns a new page of this lease. The records on the page are under the given token, which is the token of
// this lease or of an earlier lease.
func (l *attemptLog) newPage(token wire.FencingToken) *attemptPage {
	l.pageCount++
	key := AttemptPrefix(l.shard) + strconv.FormatUint(uint64(l.fencingToken), 10) + "-" + strconv.Itoa(l.pageCount)
	return &attemptPage{key: key, fencingToken: token}
}

// isBeingWritten reports whether a page is part of the write in flight.
func (l *attemptLog) isBeingWritten(p *attemptPage) bool {
	return l.pendingWrite != nil && slices.Contains(l.pendingWrite.pages, p)
}

// completeWrite handles the result of the write in flight and returns its attempts, or nil for any other write.
func (l *attemptLog) completeWrite(result AttemptsWritten) []*taskAttempt {
	if l.pendingWrite == nil || l.pendingWrite.seq != result.Seq {
		return nil
	}
	write := l.pendingWrite
	l.pendingWrite = nil
	for _, p := range write.pages {
		// If the new version is unknown, no condition can protect the next write of the page, so the page is sealed. The
		// stored value of the page, whether from before or after this write, covers every attempt that may run.
		if result.Revision > 0 {
			p.version = result.Revision
		} else if !result.NeverExecuted {
			p.sealed = true
		}
	}
	return write.attempts
}

// dropEmptyPages removes pages without attempts and queues their keys for deletion.
func (l *attemptLog) dropEmptyPages(now clock.Micros) {
	l.pages = slices.DeleteFunc(l.pages, func(p *attemptPage) bool {
		switch {
		case len(p.attempts) > 0 || p.compacting || l.isBeingWritten(p):
			p.emptySince = 0
			return false
		case p.emptySince == 0:
			p.emptySince = now
		}
		if p.sealed || now-p.emptySince > emptyPageRetention {
			l.pendingDeletions = append(append(l.pendingDeletions, p.key), p.replacedKeys...)
			return true
		}
		return false
	})
}

// nextDeletion returns the next batch of keys to delete. It returns false if no deletion is due.
func (l *attemptLog) nextDeletion(now clock.Micros, limits storeLimits) (effect DeletePages, ok bool) {
	count := len(l.pendingDeletions)
	if count == 0 || count < limits.txnOps && now-l.lastDeletion <= deletionInterval {
		return DeletePages{}, false
	}
	count = min(count, limits.txnOps)
	effect = DeletePages{Shard: l.shard, KeyVersion: l.keyVersion, Keys: slices.Clone(l.pendingDeletions[:count])}
	l.pendingDeletions = l.pendingDeletions[count:]
	l.lastDeletion = now
	return effect, true
}
