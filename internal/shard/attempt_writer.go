package shard

import (
	"errors"
	"slices"

	"swiftledge/internal/peer"
)

// conditionsPerTxnOp is how many conditions a transaction may have for each put or delete that it may have.
const conditionsPerTxnOp = 4

// Limits of one transaction, which may have 64 KiB altogether. Each condition takes up to 70 bytes.
const (
	maxTxnBytes      = 56 << 10 // of the values
	maxJobConditions = 48
)

// attemptWriter adds new records to the pages of an attempt log, starting with the pages that have the fewest
// attempts.
type attemptWriter struct {
	log       *attemptLog
	limits    storeLimits
	reusable  []*attemptPage // emptiest first
	write     *attemptWrite
	jobs      []JobCondition // of the jobs of the new records
	puts      []PageWrite
	pager     *peer.AttemptPager // pager of the open page, which is the write's last page; nil if no page is open
	added     int                // new records on the open page
	pageIsNew bool               // the open page is not part of the log yet
}

// newWriter returns a writer for the next write. Nothing may be added to the writer while another write is in flight.
func (l *attemptLog) newWriter(limits storeLimits) *attemptWriter {
	w := &attemptWriter{log: l, limits: limits, write: &attemptWrite{seq: l.writeSeq + 1}}
	for _, p := range l.pages {
		if !p.sealed && !p.compacting {
			w.reusable = append(w.reusable, p)
		}
	}
	slices.SortStableFunc(w.reusable, func(a, b *attemptPage) int { return len(a.attempts) - len(b.attempts) })
	return w
}

// Reasons why an attempt's record is not added to a write.
var (
	errTransactionFull = errors.New("the transaction is full")
	errRecordTooLarge  = errors.New("the record fits on no page")
)

// add puts an attempt's record on a page.
func (w *attemptWriter) add(a *taskAttempt) error {
	condition, isNew := w.jobCondition(a)
	if isNew && len(w.jobs) >= w.maxJobs() {
		return errTransactionFull
	}
	if err := w.addRecord(a); err != nil {
		return err
	}
	if isNew {
		w.jobs = append(w.jobs, condition)
	}
	return nil
}

// jobCondition returns the condition on the job of an attempt, and whether the write needs it and does not have it yet.
func (w *attemptWriter) jobCondition(a *taskAttempt) (condition JobCondition, isNew bool) {
	condition = JobCondition{Job: a.task.Job, Version: a.launch.jobVersion}
	return condition, condition.Version > 0 && !slices.Contains(w.jobs, condition)
}

// maxJobs returns how many jobs may have conditions, beside those of the shard and of as many pages as a transaction
// may write.
func (w *attemptWriter) maxJobs() int {
	return min((conditionsPerTxnOp-1)*w.limits.txnOps-1, maxJobConditions)
}

// addRecord puts an attempt's record on the open page, or on the next one if the open page is full.
func (w *attemptWriter) addRecord(a *taskAttempt) error {
	for {
		if w.pager != nil {
			if w.pager.Add(a.group, a.task.Index, a.id, a.machine.name) {
				w.added++
				w.openPage().add(a)
				w.write.attempts = append(w.write.attempts, a)
				return nil
			}
			if w.pager.IsEmpty() {
				return errRecordTooLarge // another page would have no more space
			}
			w.releasePage()
		}
		if len(w.puts) >= min(w.limits.txnOps, max(1, maxTxnBytes/w.limits.valueBytes)) {
			return errTransactionFull
		}
		w.nextPage()
	}
}

// openPage returns the page that records are being added to.
func (w *attemptWriter) openPage() *attemptPage { return w.write.pages[len(w.write.pages)-1] }

// releasePage closes the open page, or takes the page out of the write if no new record was added to it.
func (w *attemptWriter) releasePage() {
	if w.added > 0 {
		w.closePage()
		return
	}
	// The page was already full. Writing it unchanged would only take the place of a page with free space, and the
	// remaining reusable pages are even fuller.
	w.reusable, w.pager = nil, nil
	w.write.pages = w.write.pages[:len(w.write.pages)-1]
}

// nextPage opens the next page, which keeps the records that are already on it.
func (w *attemptWriter) nextPage() {
	w.added, w.pageIsNew = 0, false
	w.pager = w.newPager()
	if len(w.reusable) > 0 {
		page := w.reusable[0]
		w.reusable = w.reusable[1:]
		if page.addTo(w.pager) {
			w.write.pages = append(w.write.pages, page)
			return
		}
		w.reusable = nil
		w.pager = w.newPager()
	}
	w.pageIsNew = true
	w.write.pages = append(w.write.pages, w.log.newPage(w.log.fencingToken))
}

func (w *attemptWriter) newPager() *peer.AttemptPager {
	return peer.NewAttemptPager(w.log.fencingToken, w.limits.valueBytes)
}

// closePage adds the open page to the transaction.
func (w *attemptWriter) closePage() {
	page := w.openPage()
	if w.pageIsNew {
		w.log.pages = append(w.log.pages, page)
	}
	page.storedRecords = w.pager.Len()
	w.puts = append(w.puts, PageWrite{Key: page.key, Version: page.version, Page: w.pager.Page()})
	w.pager = nil
}

// finish starts the write and returns its effect. It returns false if nothing was added.
func (w *attemptWriter) finish() (effect WriteAttempts, ok bool) {
	if w.pager != nil {
		w.releasePage()
	}
	if len(w.write.attempts) == 0 {
		return WriteAttempts{}, false
	}
	l := w.log
	l.writeSeq++
	l.pendingWrite = w.write
	return WriteAttempts{
		Shard:        l.shard,
		FencingToken: l.fencingToken,
		Seq:          w.write.seq,
		KeyVersion:   l.keyVersion,
		Jobs:         w.jobs,
		Pages:        w.puts,
	}, true
}
