package shard

import (
	"fmt"
	"strings"

	"github.com/goccy/go-json"

	"swiftledge/internal/cluster"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Txn returns the transaction that writes the pages. Its conditions are the versions of the shard's key and of each
// page, so that a copy of the transaction that is applied late does not overwrite a newer page with an older page, and
// the versions of the jobs' keys, so that no task is started after the cancellation of its job was confirmed.
func (w WriteAttempts) Txn() (wire.Txn, error) {
	txn := wire.Txn{Conditions: []wire.Condition{{Key: Key(w.Shard), Version: w.KeyVersion}}}
	for _, job := range w.Jobs {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: cluster.JobKeyPrefix + job.Job, Version: job.Version})
	}
	for _, page := range w.Pages {
		value, err := json.Marshal(page.Page)
		if err != nil {
			return wire.Txn{}, fmt.Errorf("encode attempt page %s: %w", page.Key, err)
		}
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: page.Key, Version: page.Version})
		txn.Writes = append(txn.Writes, wire.Write{Put: page.Key, Value: value})
	}
	return txn, nil
}

// Result interprets the outcome of the transaction. Only the holder of the lease writes the lease's pages, one write at
// a time. So if the condition of a page fails after an earlier send of the same write got no answer, that earlier send
// was committed. A job whose condition fails has ended for ever.
func (w WriteAttempts) Result(result store.TxnResult) AttemptsWritten {
	fenced := result.FailedOn(Key(w.Shard))
	endedJobs := endedJobs(result.FailedKeys)
	pageFailed := !fenced && len(result.FailedKeys) > len(endedJobs)
	earlierSendCommitted := result.Ambiguous && pageFailed
	written := AttemptsWritten{
		Shard:         w.Shard,
		FencingToken:  w.FencingToken,
		Seq:           w.Seq,
		Committed:     result.Committed || earlierSendCommitted,
		Fenced:        fenced,
		EndedJobs:     endedJobs,
		NeverExecuted: !result.Committed && !result.Ambiguous && !fenced && !pageFailed,
		TooLarge:      result.Rejected,
	}
	if result.Committed {
		written.Revision = result.Revision
	}
	return written
}

// endedJobs returns the jobs whose keys are among the keys of failed conditions.
func endedJobs(failedKeys []string) (jobs []string) {
	for _, key := range failedKeys {
		if job, ok := strings.CutPrefix(key, cluster.JobKeyPrefix); ok {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// Txn returns the transaction that writes the new page and deletes the replaced ones. Its conditions are the version
// of the shard's key and that the new page does not exist, so that a copy of the transaction that is applied late does
// not restore the page over a newer page.
func (c CompactPages) Txn() (wire.Txn, error) {
	txn, err := WriteAttempts{Shard: c.Shard, KeyVersion: c.KeyVersion, Pages: []PageWrite{c.Put}}.Txn()
	txn.Writes = append(txn.Writes, deletions(c.Delete)...)
	return txn, err
}

// Result interprets the outcome of the transaction; see WriteAttempts.Result.
func (c CompactPages) Result(result store.TxnResult) PagesCompacted {
	written := WriteAttempts{Shard: c.Shard, FencingToken: c.FencingToken}.Result(result)
	return PagesCompacted{
		Shard:        c.Shard,
		FencingToken: c.FencingToken,
		Committed:    written.Committed,
		Fenced:       written.Fenced,
		Revision:     written.Revision,
	}
}

// Txn returns the transaction that deletes the pages. Its condition is the version of the shard's key.
func (d DeletePages) Txn() wire.Txn {
	return wire.Txn{
		Conditions: []wire.Condition{{Key: Key(d.Shard), Version: d.KeyVersion}},
		Writes:     deletions(d.Keys),
	}
}

func deletions(keys []string) (writes []wire.Write) {
	for _, key := range keys {
		writes = append(writes, wire.Write{Delete: key})
	}
	return writes
}

// DecodeAttemptPages decodes the attempt pages in items of the store and returns them by key. It fails if any page
// cannot be decoded.
func DecodeAttemptPages(items []wire.Item) (map[string]peer.AttemptPage, error) {
	pages := make(map[string]peer.AttemptPage, len(items))
	for _, item := range items {
		var page peer.AttemptPage
		err := exactjson.Unmarshal(item.Value, &page)
		if err == nil {
			err = page.Validate()
		}
		if err != nil {
			return nil, fmt.Errorf("decode attempt page %s: %w", item.Key, err)
		}
		pages[item.Key] = page
	}
	return pages, nil
}
