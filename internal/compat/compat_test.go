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

// codec is one of the two encodings in which versions exchange values, with the samples that are encoded in it.
type codec struct {
	ext       string
	samples   []sample
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

func codecs() []codec {
	return []codec{
		{".json", storedSamples(), goccy.Marshal, func(raw []byte, v any) error { return goccy.Unmarshal(raw, v) }},
		{".msgpack", messageSamples(), msgpack.Marshal, msgpack.Unmarshal},
	}
}

// TestReadsWhatProductionWrote checks that this version decodes the samples, which the version in production wrote, to
// the values that production had encoded.
func TestReadsWhatProductionWrote(t *testing.T) {
	for _, c := range codecs() {
		for _, s := range c.samples {
			got := reflect.New(reflect.TypeOf(s.value))
			if err := c.unmarshal(testdata(t, s.name+c.ext), got.Interface()); err != nil {
				t.Errorf("%s: %v", s.name, err)
			} else if !reflect.DeepEqual(got.Elem().Interface(), s.value) {
				t.Errorf("sample %s was decoded as %+v, want the value that production encoded", s.name, got.Elem())
			}
		}
	}
}

// newFrozenValues returns, by sample name, functions that make an empty value of the sample's frozen type: the copy of
// production's type in frozen_test.go.
func newFrozenValues() map[string]func() any {
	return map[string]func() any{
		"leader": func() any { return &oldLeaderRecord{} }, "layout": func() any { return &oldLayoutRecord{} },
		"catalog": func() any { return &oldCatalog{} }, "job": func() any { return &oldJobRecord{} },
		"over": func() any { return &oldEndRecord{} }, "prog": func() any { return &oldProgRecord{} },
		"block": func() any { return &oldBlockRecord{} }, "run": func() any { return &oldRecordPage{} },
		"fleet": func() any { return &oldFleetRecord{} },
		"hello": func() any { return &oldHello{} }, "up": func() any { return &oldUp{} }, "down": func() any { return &oldDown{} },
	}
}

// TestProductionReadsWhatThisVersionWrites checks that the version in production decodes what this version encodes like
// what production itself encodes, and that production encodes the decoded value to the original bytes again.
func TestProductionReadsWhatThisVersionWrites(t *testing.T) {
	for _, c := range codecs() {
		for _, s := range c.samples {
			raw, err := c.marshal(s.value)
			if err != nil {
				t.Fatal(err)
			}
			productionBytes := testdata(t, s.name+c.ext)
			got, want := newFrozenValues()[s.name](), newFrozenValues()[s.name]()
			if err := c.unmarshal(raw, got); err != nil {
				t.Errorf("%s: %v", s.name, err)
			}
			if err := c.unmarshal(productionBytes, want); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s: production decoded this version's bytes as %+v, want the same as from its own", s.name, got)
			}
			if again, err := c.marshal(got); err != nil || !bytes.Equal(again, productionBytes) {
				t.Errorf("%s: production encoded the decoded value as %q (error %v), want the original bytes", s.name, again, err)
			}
		}
	}
}

// TestAdditionalArrayFieldIsRefused shows why no field may ever be added to a message: the decoder refuses an array with
// more or fewer fields than the struct has.
func TestAdditionalArrayFieldIsRefused(t *testing.T) {
	type longerHello struct {
		_msgpack struct{} `msgpack:",as_array"`
		Node     string
		Run      uint64
		Epoch    uint64
		More     bool
	}
	raw, err := msgpack.Marshal(longerHello{Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	if msgpack.Unmarshal(raw, &oldHello{}) == nil {
		t.Error("an array with an additional field was decoded, want an error; if decoders accept it, messages may get new fields (see internal/peer)")
	}
}

// TestProductionReadsService checks that a service needs no encoding of its own. The version in production reads a
// service as a batch job whose tasks never complete, and would also run it as such after a rollback.
func TestProductionReadsService(t *testing.T) {
	service := wire.Job{Ref: "j-000413", Team: "vision", Shape: wire.ShapeService, Priority: wire.PriorityProduction, Tasks: 3, CPUs: 2}
	raw, err := goccy.Marshal(leader.JobRecord{Spec: service})
	if err != nil {
		t.Fatal(err)
	}
	var record oldJobRecord
	if err := goccy.Unmarshal(raw, &record); err != nil || record.Spec.Tasks != 3 || record.Spec.EstimateS != 0 {
		t.Errorf("the record of a service was decoded as %+v (error %v), want 3 tasks and no estimate", record, err)
	}
	raw, err = msgpack.Marshal(peer.FromLeader{Orders: []peer.ShardOrders{{Offers: []peer.TaskOffer{{Job: service, TaskIndexes: []int{0}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	var down oldDown
	if err := msgpack.Unmarshal(raw, &down); err != nil || down.Orders[0].Offers[0].Job.Ref != service.Ref {
		t.Errorf("an offer of a service was decoded as %+v (error %v), want the job of the service", down, err)
	}
}

// TestComputedValuesAreUnchanged checks that the mapping of machines to shards, the keys, the numbering of attempts, the size of
// progress chunks and the grant time are the same as in production.
func TestComputedValuesAreUnchanged(t *testing.T) {
	raw, err := json.MarshalIndent(currentComputedValues(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if want := testdata(t, "choices.json"); !bytes.Equal(bytes.TrimSpace(want), raw) {
		t.Errorf("computed values are %s, want those of production in choices.json", raw)
	}
}

// TestProductionReadsOperatorSettings checks that deploy/swiftledge.yaml has only keys that the version in production
// knows, because that version refuses a file with unknown keys.
func TestProductionReadsOperatorSettings(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "swiftledge.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var tuning oldTuning
	decoder := yaml.NewDecoder(strings.NewReader(string(raw)))
	decoder.KnownFields(true)
	if err := decoder.Decode(&tuning); err != nil {
		t.Error(err)
	}
	if tuning.Grants.Blocks == 0 {
		t.Error("swiftledge.yaml does not set grants.blocks, want a number of shards")
	}
}
