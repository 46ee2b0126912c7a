package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// What is added to a pager is read back from its page, which is no larger than allowed.
func TestAttemptPager(t *testing.T) {
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
		t.Errorf("a page of %d bytes, %v", len(raw), err)
	}
	if pager.Len() != len(want) || len(want) < 20 || page.Prefix != "host-0000" || page.FencingToken != token {
		t.Errorf("%d of %d records, page %+v", pager.Len(), len(want), page)
	}
	if got, err := page.Records(&page.Groups[0]); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	if err := page.Validate(); err != nil {
		t.Error(err)
	}
}

func TestInvalidPages(t *testing.T) {
	for name, attempts := range map[string][]int{
		"cut short": {0, 1}, "machine missing": {0, 1, 1}, "machine before the first": {0, 1, -1},
	} {
		page := AttemptPage{Machines: []string{"m1"}, Groups: []AttemptGroup{{Job: "j-000001", Attempts: attempts}}}
		var invalid *InvalidPageError
		if err := page.Validate(); !errors.As(err, &invalid) || invalid.Job != "j-000001" {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
