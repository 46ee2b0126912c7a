//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

package compat

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	goccy "github.com/goccy/go-json"
	"github.com/vmihailenco/msgpack/v5"
	"go.yaml.in/yaml/v3"

	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

func testdata(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// codec is one of the two ways in which forms cross versions.
type codec struct {
	ext       string
	forms     []form
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

func codecs() []codec {
	return []codec{
		{".json", jsonForms(), goccy.Marshal, func(raw []byte, v any) error { return goccy.Unmarshal(raw, v) }},
		{".msgpack", messageForms(), msgpack.Marshal, msgpack.Unmarshal},
	}
}

// What the version in production wrote means here what it meant there.
func TestReadsWhatProductionWrote(t *testing.T) {
	for _, c := range codecs() {
		for _, f := range c.forms {
			got := reflect.New(reflect.TypeOf(f.value))
			if err := c.unmarshal(testdata(t, f.name+c.ext), got.Interface()); err != nil {
				t.Errorf("%s: %v", f.name, err)
			} else if !reflect.DeepEqual(got.Elem().Interface(), f.value) {
				t.Errorf("%s is read as %+v", f.name, got.Elem())
			}
		}
	}
}

// oldForms are empty values of the frozen forms.
func oldForms() map[string]func() any {
	return map[string]func() any{
		"leader": func() any { return &oldLeaderRecord{} }, "layout": func() any { return &oldLayoutRecord{} },
		"catalog": func() any { return &oldCatalog{} }, "job": func() any { return &oldJobRecord{} },
		"over": func() any { return &oldEndRecord{} }, "prog": func() any { return &oldProgRecord{} },
		"block": func() any { return &oldBlockRecord{} }, "run": func() any { return &oldRecordPage{} },
		"fleet": func() any { return &oldFleetRecord{} },
		"hello": func() any { return &oldHello{} }, "up": func() any { return &oldUp{} }, "down": func() any { return &oldDown{} },
	}
}

// What this version writes is read by the version in production as if that had written it,
// and what it makes of that, written again, is what there was.
func TestProductionReadsWhatIsWritten(t *testing.T) {
	for _, c := range codecs() {
		for _, f := range c.forms {
			raw, err := c.marshal(f.value)
			if err != nil {
				t.Fatal(err)
			}
			old := testdata(t, f.name+c.ext)
			got, want := oldForms()[f.name](), oldForms()[f.name]()
			if err := c.unmarshal(raw, got); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			if err := c.unmarshal(old, want); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s is read as %+v", f.name, got)
			}
			if again, err := c.marshal(got); err != nil || !bytes.Equal(again, old) {
				t.Errorf("%s is passed on as %q, %v", f.name, again, err)
			}
		}
	}
}

// Arrays of fields are refused by their reader when they have a field more or less, so a
// field must never be added to a message: this is what would happen.
func TestAFieldMoreIsRefused(t *testing.T) {
	type longer struct {
		_msgpack struct{} `msgpack:",as_array"`
		Node     string
		Run      uint64
		Epoch    uint64
		More     bool
	}
	raw, err := msgpack.Marshal(longer{Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	if msgpack.Unmarshal(raw, &oldHello{}) == nil {
		t.Error("a longer array was read: messages may grow after all, see internal/peer")
	}
}

// A service needs no form of its own: an older reader takes it for a batch whose tasks
// never complete, which is what going back would mean.
func TestProductionReadsAService(t *testing.T) {
	service := wire.Job{Ref: "j-000413", Team: "vision", Shape: wire.ShapeService, Priority: wire.PriorityProduction, Tasks: 3, CPUs: 2}
	raw, err := goccy.Marshal(leader.JobRecord{Spec: service})
	if err != nil {
		t.Fatal(err)
	}
	var r oldJobRecord
	if err := goccy.Unmarshal(raw, &r); err != nil || r.Spec.Tasks != 3 || r.Spec.EstimateS != 0 {
		t.Errorf("a service's record is read as %+v, %v", r, err)
	}
	raw, err = msgpack.Marshal(peer.FromLeader{Orders: []peer.ShardOrders{{Offers: []peer.TaskOffer{{Job: service, TaskIndexes: []int{0}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	var d oldDown
	if err := msgpack.Unmarshal(raw, &d); err != nil || d.Orders[0].Offers[0].Job.Ref != service.Ref {
		t.Errorf("an offer of a service is read as %+v, %v", d, err)
	}
}

// Machines belong to blocks, tokens and attempts grow and grants last as they did.
func TestChoicesStay(t *testing.T) {
	raw, err := json.MarshalIndent(currentChoices(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if want := testdata(t, "choices.json"); !bytes.Equal(bytes.TrimSpace(want), raw) {
		t.Errorf("choices are %s", raw)
	}
}

// The version in production refuses operators' settings with a key that it does not know.
func TestProductionReadsTheOperatorsFile(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "swiftledge.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var old oldTuning
	dec := yaml.NewDecoder(strings.NewReader(string(raw)))
	dec.KnownFields(true)
	if err := dec.Decode(&old); err != nil {
		t.Error(err)
	}
	if old.Grants.Blocks == 0 {
		t.Error("the file names no blocks")
	}
}
