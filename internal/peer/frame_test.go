package peer

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// Frames must be readable by both versions during an upgrade: testdata/frame.json is a frame that the version in
// production (deploy/service.toml) wrote, and productionFrame is the type that this version decodes frames into.
func TestFrameCompatibleAcrossVersions(t *testing.T) {
	type productionFrame struct {
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
	var current frame
	if err := json.Unmarshal(raw, &current); err != nil {
		t.Fatal(err)
	}
	want := frame{Connection: 77, FromOpener: true, Sequence: 3, Acknowledged: 2, Data: []byte("abc"), End: true}
	if !reflect.DeepEqual(current, want) {
		t.Errorf("decoded frame of the production version is %+v, want the fields of testdata/frame.json", current)
	}
	if raw, err = json.Marshal(current); err != nil {
		t.Fatal(err)
	}
	var decoded productionFrame
	if err := json.Unmarshal(raw, &decoded); err != nil || !reflect.DeepEqual(decoded, productionFrame(current)) {
		t.Errorf("production version decoded our frame as %+v, error %v; want the fields of our frame", decoded, err)
	}
}
