package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

const (
	// emptyPageRetention is how long a page without attempts is kept to be written again.
	emptyPageRetention = 5 * clock.Second
	// deletionInterval is the pause between two deletions of pages, unless they fill a transaction.
	deletionInterval = 5 * clock.Second
)

// storeLimits is what the store takes.
type storeLimits struct{ valueBytes, txnOps int }

// limits returns what the store takes, as far as is known now.
func (p *Params) limits() storeLimits { return storeLimits{p.MaxValueBytes, p.MaxTxnOps} }

// attemptPage is one store key of attempt records. Pages of this lease are written over, live records first, so that
// a placement cycle costs one put and no deletes; those of earlier leases, and those whose last write is uncertain,
// are only deleted.
type attemptPage struct {
	key          string
	version      uint64
	fencingToken wire.FencingToken // of the lease whose attempts it names
	attempts     []*taskAttempt    // that are not proven gone
	sealed       bool              // never written again
	compacting   bool              // it is being written in place of others
	stored       int               // how many records its stored value has
	replacedKeys []string          // keys that may hold its records, too
	emptySince   clock.Micros
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

// addTo adds the page's records to a pager; false when not all of them fit.
func (p *attemptPage) addTo(pager *peer.AttemptPager) bool {
	for _, a := range p.attempts {
		if !pager.Add(a.group, a.task.Index, a.id, a.machine.name) {
			return false
		}
	}
	return true
}

// staleRecords is how many records of the page's stored value name attempts that are gone.
func (p *attemptPage) staleRecords() int { return p.stored - len(p.attempts) }

// attemptLog keeps the write-ahead records of a shard's attempts in pages. It has one write under way at a time.
type attemptLog struct {
	shard        int
	fencingToken wire.FencingToken // of the lease
	keyVersion   uint64

	pages     []*attemptPage // in the order in which they came
	pageCount int            // pages that were begun under the lease
	writeSeq  int
	write     *attemptWrite // under way

	compaction     *attemptPage // being written in place of others
	lastCompaction clock.Micros

	deletions    []string // keys that are to be deleted
	lastDeletion clock.Micros
}

// attemptWrite is a write of attempt records that is under way.
type attemptWrite struct {
	seq      int
	pages    []*attemptPage
	attempts []*taskAttempt
}

// newPage begins a page of this lease for records under its own or an earlier token.
func (l *attemptLog) newPage(token wire.FencingToken) *attemptPage {
	l.pageCount++
	key := AttemptPrefix(l.shard) + strconv.FormatUint(uint64(l.fencingToken), 10) + "-" + strconv.Itoa(l.pageCount)
	return &attemptPage{key: key, fencingToken: token}
}

// isBeingWritten says whether a page is part of the write under way.
func (l *attemptLog) isBeingWritten(p *attemptPage) bool {
	return l.write != nil && slices.Contains(l.write.pages, p)
}

// completeWrite takes in the end of the write under way and returns its attempts; nil if it is another write's end.
func (l *attemptLog) completeWrite(result AttemptsWritten) []*taskAttempt {
	if l.write == nil || l.write.seq != result.Seq {
		return nil
	}
	write := l.write
	l.write = nil
	for _, p := range write.pages {
		// Without the new version no condition would protect the next write: what the page holds, before or after
		// this one, covers all that may run.
		if result.Revision > 0 {
			p.version = result.Revision
		} else if !result.NeverExecuted {
			p.sealed = true
		}
	}
	return write.attempts
}

// dropEmptyPages takes pages that name no attempt any more out of use; their keys are to be deleted.
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
			l.deletions = append(append(l.deletions, p.key), p.replacedKeys...)
			return true
		}
		return false
	})
}

// nextDeletion returns the keys that are to be deleted now, if it is time.
func (l *attemptLog) nextDeletion(now clock.Micros, limits storeLimits) (effect DeletePages, ok bool) {
	count := len(l.deletions)
	if count == 0 || count < limits.txnOps && now-l.lastDeletion <= deletionInterval {
		return DeletePages{}, false
	}
	count = min(count, limits.txnOps)
	effect = DeletePages{Shard: l.shard, KeyVersion: l.keyVersion, Keys: slices.Clone(l.deletions[:count])}
	l.deletions = l.deletions[count:]
	l.lastDeletion = now
	return effect, true
}
