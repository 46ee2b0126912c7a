package jobs

import (
	"encoding/json"
	"fmt"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const maxValueBytes = 1800

var committed = store.TxnResult{Committed: true, Revision: 30}

// addJob adds a batch job, all of whose tasks wait.
func addJob(table *Table, ref string, tasks int) *Job {
	j := New(wire.Job{Ref: ref, Class: "batch", Tasks: tasks, CPUs: 1, EstimateS: 10}, 0, 3)
	table.Add(j)
	j.EnqueueAll()
	return j
}

// progressStore is a store that holds only progress pages.
type progressStore struct {
	pages   map[string]ProgressRecord
	delayed []PageWrite // writes not applied yet
}

// apply applies writes and reports their outcome. It delays the writes for which delay returns true.
func (s *progressStore) apply(pages *ProgressPages, writes []PageWrite, delay func(PageWrite) bool) {
	due := append(s.delayed, writes...)
	s.delayed = nil
	for _, w := range due {
		switch {
		case w.Delete:
			delete(s.pages, w.Key)
		case delay(w):
			s.delayed = append(s.delayed, w)
		default:
			s.pages[w.Key] = w.Record
			pages.Committed(w, committed.Revision)
		}
	}
}

// bits returns the stored bitmap of a job's first chunk, merged over all pages.
func (s *progressStore) bits(job string) (bits byte) {
	for _, record := range s.pages {
		for _, chunk := range record.Chunks {
			if chunk.Job == job {
				bits |= chunk.Completed[0]
			}
		}
	}
	return bits
}

// Three progress pages hold the same chunk because leaders ended while they moved the chunk. No page may be rewritten
// without the chunk or deleted before one page holds the completions of all three. Otherwise completions stored on only
// one page are lost and their tasks run again.
func TestChunkOnThreePagesKeepsItsCompletions(t *testing.T) {
	keys := []string{ProgressPrefix + "1-1", ProgressPrefix + "1-2", ProgressPrefix + "1-3"}
	for _, oversized := range append([]string{""}, keys...) {
		table, pages := NewTable(), NewProgressPages(5)
		j := addJob(table, "j-300000", 8)
		stored := progressStore{pages: map[string]ProgressRecord{}}
		for i, key := range keys {
			r := ProgressRecord{Chunks: []ProgressChunk{{Job: j.Spec.Ref, Completed: []byte{1 << i}}}}
			stored.pages[key] = r
			limit := maxValueBytes
			if key == oversized {
				limit = 50 // the page was written when the maximum value size was larger
			}
			pages.Load(StoredPage{Key: key, Version: 7, Record: r}, table, limit)
		}
		for round := 1; round <= 6; round++ {
			writes := pages.DueWrites(clock.Micros(round)*ProgressInterval, table, maxValueBytes)
			// Writes without the chunk are applied at once, writes with the chunk are delayed.
			stored.apply(pages, writes, func(w PageWrite) bool { return round <= 2 && len(w.Record.Chunks) > 0 })
			if got := stored.bits(j.Spec.Ref); got != 7 {
				t.Fatalf("oversized page %q: stored bits were %03b after round %d, want 111", oversized, got, round)
			}
		}
		if len(stored.pages) > 1 {
			t.Errorf("oversized page %q: %d of three pages remained stored, want at most one", oversized, len(stored.pages))
		}
	}
}

// A progress page that was stored when the maximum value size was larger is neither lost nor written as it is. Its
// chunks move to pages that fit, and the old page is deleted only once all its chunks are stored on these.
func TestOversizedPageIsSplit(t *testing.T) {
	table, pages := NewTable(), NewProgressPages(5)
	old := StoredPage{Key: ProgressPrefix + "1-1", Version: 7}
	for i := range 40 {
		j := addJob(table, fmt.Sprintf("j-2000%02d", i), 300)
		old.Record.Chunks = append(old.Record.Chunks, ProgressChunk{Job: j.Spec.Ref, Completed: []byte{5}})
	}
	pages.Load(old, table, maxValueBytes)
	first := pages.DueWrites(ProgressInterval, table, maxValueBytes)
	if len(first) < 2 {
		t.Fatalf("%d progress pages written, want at least 2", len(first))
	}
	for _, w := range first {
		value, err := json.Marshal(w.Record)
		if err != nil {
			t.Fatal(err)
		}
		if w.Delete || w.Key == old.Key || len(value) > maxValueBytes {
			t.Errorf("write of %s with %d bytes, delete: %t, want a page other than the old one that fits into a value", w.Key, len(value), w.Delete)
		}
	}
	for i, w := range first {
		if again := pages.DueWrites(clock.Micros(2+i)*ProgressInterval, table, maxValueBytes); len(again) > 0 {
			t.Fatalf("page %s was written before all chunks of the old page were stored on other pages, want no write", again[0].Key)
		}
		pages.Committed(w, committed.Revision)
	}
	last := pages.DueWrites(100*ProgressInterval, table, maxValueBytes)
	if len(last) != 1 || !last[0].Delete || last[0].Key != old.Key {
		t.Errorf("writes %+v, want the deletion of the old page", last)
	}
	for j := range table.All() {
		if !j.IsPersisted(0) || !j.IsPersisted(2) || j.IsPersisted(1) {
			t.Errorf("tasks of job %s that counted as persisted were not exactly 0 and 2, as stored", j.Spec.Ref)
		}
	}
}

// A progress page is not written while another write of the same page is in flight. It is written again after a failed
// write.
func TestFailedWriteIsRepeated(t *testing.T) {
	conflict := store.TxnResult{FailedKeys: []string{"k"}}
	for name, c := range map[string]struct {
		result   store.TxnResult
		mustRead bool
	}{
		"conflict":  {conflict, true},
		"ambiguous": {store.TxnResult{Ambiguous: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, pages := NewTable(), NewProgressPages(5)
			j := addJob(table, "j-000001", 8)
			j.MarkCompleted(3)
			first := pages.DueWrites(ProgressInterval, table, maxValueBytes)
			if len(first) != 1 || first[0].Version != 0 {
				t.Fatalf("writes %+v, want one that creates a page", first)
			}
			j.MarkCompleted(4)
			if more := pages.DueWrites(2*ProgressInterval, table, maxValueBytes); len(more) > 0 {
				t.Errorf("writes %+v while the first write was in flight, want none", more)
			}
			if mustRead := pages.Failed(first[0], c.result, maxValueBytes); mustRead != c.mustRead {
				t.Errorf("Failed reported that the page's key must be read: %t, want %t", mustRead, c.mustRead)
			}
			version := uint64(0)
			if c.mustRead {
				version = 12
				pages.ReadBack(first[0], version)
			}
			again := pages.DueWrites(3*ProgressInterval, table, maxValueBytes)
			if len(again) != 1 || again[0].Version != version || again[0].Record.Chunks[0].Completed[0] != 1<<3|1<<4 {
				t.Errorf("writes %+v, want one with tasks 3 and 4, conditional on the last known version of the key", again)
			}
			if j.IsPersisted(3) {
				t.Error("task counted as persisted after a failed write")
			}
		})
	}
}

// A stored progress page that holds only tasks of a finished job is deleted.
func TestPageOfAFinishedJobIsDeleted(t *testing.T) {
	table, pages := NewTable(), NewProgressPages(5)
	j := addJob(table, "j-000001", 8)
	j.MarkCompleted(3)
	w := pages.DueWrites(ProgressInterval, table, maxValueBytes)[0]
	pages.Committed(w, committed.Revision)
	table.Remove(j.Spec.Ref)
	pages.Forget(j)
	writes := pages.DueWrites(2*ProgressInterval, table, maxValueBytes)
	if len(writes) != 1 || !writes[0].Delete || writes[0].Key != w.Key {
		t.Errorf("writes %+v, want only the deletion of page %s", writes, w.Key)
	}
}

// A service has no progress, even if an older version treated it as a batch job and stored some. All its replicas
// run, and it never completes.
func TestServiceHasNoProgress(t *testing.T) {
	table, pages := NewTable(), NewProgressPages(5)
	j := New(wire.Job{Ref: "j-400000", Shape: wire.ShapeService, Tasks: 2}, 0, 3)
	table.Add(j)
	r := ProgressRecord{Chunks: []ProgressChunk{{Job: j.Spec.Ref, Completed: []byte{3}}}}
	pages.Load(StoredPage{Key: ProgressPrefix + "1-1", Version: 7, Record: r}, table, maxValueBytes)
	if j.IsCompleted(0) || j.IsCompleted(1) {
		t.Error("replica of a service counted as completed")
	}
}
