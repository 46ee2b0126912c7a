package peer

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// Frames between two versions: testdata/frame.json is one that the version in production (deploy/service.toml) wrote,
// and frozen is how it reads them.
func TestFramesCrossVersions(t *testing.T) {
	type frozen struct {
		Connection   uint64 `json:"c"`
		FromOpener   bool   `json:"o,omitempty"`
		Sequence     int    `json:"n"`
		Acknowledged int    `json:"a"`
		Data         []byte `json:"d,omitempty"`
		End          bool   `json:"e,omitempty"`
	}
	raw, err := os.ReadFile("testdata/frame.json")
	if err != nil {
		t.Fatal(err)
	}
	var ours frame
	if err := json.Unmarshal(raw, &ours); err != nil {
		t.Fatal(err)
	}
	want := frame{Connection: 77, FromOpener: true, Sequence: 3, Acknowledged: 2, Data: []byte("abc"), End: true}
	if !reflect.DeepEqual(ours, want) {
		t.Errorf("production's frame is read as %+v", ours)
	}
	if raw, err = json.Marshal(ours); err != nil {
		t.Fatal(err)
	}
	var old frozen
	if err := json.Unmarshal(raw, &old); err != nil || !reflect.DeepEqual(old, frozen(ours)) {
		t.Errorf("our frame is read as %+v, %v", old, err)
	}
}
