package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
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
