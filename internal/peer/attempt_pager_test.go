package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The page of a pager decodes to the records that were added and does not exceed the size limit.
func TestAttemptPagerRoundTrip(t *testing.T) {
	const token, maxBytes = 5, 1000
	pager := NewAttemptPager(token, maxBytes)
	var want []AttemptRecord
	group := AttemptGroup{Job: "j-000001", Team: "red", CPUs: 1, Image: "img1"}
	for i := 0; ; i++ {
		record := AttemptRecord{Index: i, Attempt: NewAttemptID(token, uint64(i+1)), Machine: fmt.Sprintf("host-%06d", i%20)}
		if !pager.Add(&group, record.Index, record.Attempt, record.Machine) {
			break
		}
		want = append(want, record)
	}
	page := pager.Page()
	if raw, err := json.Marshal(page); err != nil || len(raw) > maxBytes {
		t.Errorf("JSON of the page takes %d bytes, error %v; want at most maxBytes", len(raw), err)
	}
	if pager.Len() != len(want) || len(want) < 20 || page.Prefix != "host-0000" || page.FencingToken != token {
		t.Errorf("pager has %d of %d added records and page %+v, want all of at least 20 records, prefix host-0000 and the token", pager.Len(), len(want), page)
	}
	if got, err := page.Records(&page.Groups[0]); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded records %+v, error %v; want %+v", got, err, want)
	}
	if err := page.Validate(); err != nil {
		t.Error(err)
	}
}

func TestValidateInvalidPages(t *testing.T) {
	for name, attempts := range map[string][]int{
		"incomplete record": {0, 1}, "machine index too large": {0, 1, 1}, "negative machine index": {0, 1, -1},
	} {
		page := AttemptPage{Machines: []string{"m1"}, Groups: []AttemptGroup{{Job: "j-000001", Attempts: attempts}}}
		var invalid *InvalidPageError
		if err := page.Validate(); !errors.As(err, &invalid) || invalid.Job != "j-000001" {
			t.Errorf("%s: error %v, want an InvalidPageError of j-000001", name, err)
		}
	}
}

// Guards against pages that the store rejects: names that grow when they are encoded, and numbers of many digits, once
// made a page larger than its limit.
func TestAttemptPageStaysBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.IntRange(900, 4000).Draw(t, "maxBytes")
		name := rapid.StringN(0, 300, -1)
		number := rapid.Float64Range(0, math.MaxFloat64)
		pager := NewAttemptPager(5, maxBytes)
		for i := range rapid.IntRange(1, 30).Draw(t, "records") {
			group := AttemptGroup{
				Job: fmt.Sprintf("j-%06d", i/2), Team: "red", CPUs: number.Draw(t, "CPUs"), GPUs: number.Draw(t, "GPUs"),
				MemoryGB: number.Draw(t, "MemoryGB"), SaveS: number.Draw(t, "SaveS"), CheckpointS: number.Draw(t, "CheckpointS"),
				Image: RecordedImage(name.Draw(t, "Image")), ImageGB: number.Draw(t, "ImageGB"),
			}
			added := pager.Add(&group, i, NewAttemptID(5, uint64(i+1)), fmt.Sprint("<host>", i))
			if !added && pager.IsEmpty() {
				t.Fatalf("record %+v does not fit on an empty page of %d bytes", group, maxBytes)
			}
		}
		if raw, err := json.Marshal(pager.Page()); err != nil || len(raw) > maxBytes {
			t.Fatalf("JSON of the page takes %d bytes, error %v; want at most %d", len(raw), err, maxBytes)
		}
	})
}

// A long name is replaced by a digest of the same length for all names. The digest is stored and compared by other
// controllers, so it must not change.
func TestRecordedImage(t *testing.T) {
	for _, name := range []string{"", "img-07", strings.Repeat("i", 256), strings.Repeat("ñ", 128)} {
		if got := RecordedImage(name); got != name {
			t.Errorf("name of %d bytes recorded as %q, want the name itself", len(name), got)
		}
	}
	for _, name := range []string{strings.Repeat("i", 257), strings.Repeat("<", 43)} {
		got := RecordedImage(name)
		if !strings.HasPrefix(got, digestPrefix) || got != RecordedImage(name) || RecordedImage(got) != got {
			t.Errorf("name of %d bytes recorded as %q, want a digest that is recorded as itself", len(name), got)
		}
	}
	if RecordedImage(strings.Repeat("i", 257)) == RecordedImage(strings.Repeat("i", 258)) {
		t.Error("two long names are recorded as the same name")
	}
}
