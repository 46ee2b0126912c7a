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

// addJob adds a batch of some tasks, all of which wait.
func addJob(table *Table, ref string, tasks int) *Job {
	j := New(wire.Job{Ref: ref, Class: "batch", Tasks: tasks, CPUs: 1, EstimateS: 10}, 0, 3)
	table.Add(j)
	j.EnqueueAll()
	return j
}

// progressStore is a store that holds progress pages alone.
type progressStore struct {
	pages   map[string]ProgressRecord
	delayed []PageWrite // writes that are not carried out yet
}

// apply carries out writes and tells their outcome; those that hold picks come later.
func (s *progressStore) apply(pages *ProgressPages, writes []PageWrite, hold func(PageWrite) bool) {
	due := append(s.delayed, writes...)
	s.delayed = nil
	for _, w := range due {
		switch {
		case w.Delete:
			delete(s.pages, w.Key)
		case hold(w):
			s.delayed = append(s.delayed, w)
		default:
			s.pages[w.Key] = w.Record
			pages.Committed(w, committed.Revision)
		}
	}
}

// bits returns the completed tasks of a chunk that the store knows of, whatever page names them.
func (s *progressStore) bits(job string) (bits byte) {
	for _, r := range s.pages {
		for _, u := range r.Chunks {
			if u.Job == job {
				bits |= u.Completed[0]
			}
		}
	}
	return bits
}

// A chunk is on three pages, as leaders ended while they moved it. None of the three may be written without it or
// deleted before one page has what all of them had: the completions that only that page names would be lost, and their
// tasks would run again.
func TestChunkOnThreePagesKeepsItsCompletions(t *testing.T) {
	keys := []string{ProgressPrefix + "1-1", ProgressPrefix + "1-2", ProgressPrefix + "1-3"}
	for _, large := range append([]string{""}, keys...) {
		table, pages := NewTable(), NewProgressPages(5)
		j := addJob(table, "j-300000", 8)
		stored := progressStore{pages: map[string]ProgressRecord{}}
		for i, key := range keys {
			r := ProgressRecord{Chunks: []ProgressChunk{{Job: j.Spec.Ref, Completed: []byte{1 << i}}}}
			stored.pages[key] = r
			limit := maxValueBytes
			if key == large {
				limit = 50 // it was written when values could be larger
			}
			pages.Load(StoredPage{Key: key, Version: 7, Record: r}, table, limit)
		}
		for round := 1; round <= 6; round++ {
			writes := pages.DueWrites(clock.Micros(round)*ProgressInterval, table, maxValueBytes)
			// What no longer has the chunk comes through at once, what has it after a while.
			stored.apply(pages, writes, func(w PageWrite) bool { return round <= 2 && len(w.Record.Chunks) > 0 })
			if got := stored.bits(j.Spec.Ref); got != 7 {
				t.Fatalf("with %q too large: the store has bits %03b after round %d, and had 111", large, got, round)
			}
		}
		if len(stored.pages) > 1 {
			t.Errorf("with %q too large: %d pages are left of three, want one", large, len(stored.pages))
		}
	}
}

// Progress that was stored when values could be larger is neither lost nor written as it is: its chunks go to pages
// that fit, and the old one is deleted only when all are there.
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
		t.Fatalf("%d pages are written", len(first))
	}
	for _, w := range first {
		value, err := json.Marshal(w.Record)
		if err != nil {
			t.Fatal(err)
		}
		if w.Delete || w.Key == old.Key || len(value) > maxValueBytes {
			t.Errorf("%s is written with %d bytes, deleted: %t", w.Key, len(value), w.Delete)
		}
	}
	for i, w := range first {
		if again := pages.DueWrites(clock.Micros(2+i)*ProgressInterval, table, maxValueBytes); len(again) > 0 {
			t.Fatalf("%s is written before all chunks of the old page are stored elsewhere", again[0].Key)
		}
		pages.Committed(w, committed.Revision)
	}
	last := pages.DueWrites(100*ProgressInterval, table, maxValueBytes)
	if len(last) != 1 || !last[0].Delete || last[0].Key != old.Key {
		t.Errorf("written are %+v, want the deletion of the old page", last)
	}
	for j := range table.All() {
		if !j.IsPersisted(0) || !j.IsPersisted(2) || j.IsPersisted(1) {
			t.Errorf("%s lost what was stored of it", j.Spec.Ref)
		}
	}
}

// A page is not written while a write of it is under way, and is again after one that failed.
func TestFailedWriteIsRepeated(t *testing.T) {
	conflict := store.TxnResult{FailedKeys: []string{"k"}}
	for name, c := range map[string]struct {
		result store.TxnResult
		read   bool
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
				t.Fatalf("writes %+v", first)
			}
			j.MarkCompleted(4)
			if more := pages.DueWrites(2*ProgressInterval, table, maxValueBytes); len(more) > 0 {
				t.Errorf("written twice at once: %+v", more)
			}
			if read := pages.Failed(first[0], c.result, maxValueBytes); read != c.read {
				t.Errorf("read %t, want %t", read, c.read)
			}
			version := uint64(0)
			if c.read {
				version = 12
				pages.ReadBack(first[0], version)
			}
			again := pages.DueWrites(3*ProgressInterval, table, maxValueBytes)
			if len(again) != 1 || again[0].Version != version || again[0].Record.Chunks[0].Completed[0] != 1<<3|1<<4 {
				t.Errorf("writes %+v", again)
			}
			if j.IsPersisted(3) {
				t.Error("counts as persisted")
			}
		})
	}
}

// The page of a job that is over is deleted, if it is stored.
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
		t.Errorf("writes %+v, want the deletion of %s", writes, w.Key)
	}
}

// A service has no progress, whatever a version that took it for a batch has stored: all its replicas run, and it is
// never done.
func TestServiceHasNoProgress(t *testing.T) {
	table, pages := NewTable(), NewProgressPages(5)
	j := New(wire.Job{Ref: "j-400000", Shape: wire.ShapeService, Tasks: 2}, 0, 3)
	table.Add(j)
	r := ProgressRecord{Chunks: []ProgressChunk{{Job: j.Spec.Ref, Completed: []byte{3}}}}
	pages.Load(StoredPage{Key: ProgressPrefix + "1-1", Version: 7, Record: r}, table, maxValueBytes)
	if j.IsCompleted(0) || j.IsCompleted(1) {
		t.Error("replicas count as completed")
	}
}
