package controller

import (
	"reflect"
	"testing"

	"swiftledge/wire"
)

// TestUnknownFieldsOfAgentStatusAreIgnored guards against a field that differs from a known one in case alone being taken
// for it in the answer to a command: the status would be refused, or prove what it does not say.
func TestUnknownFieldsOfAgentStatusAreIgnored(t *testing.T) {
	body := `{"rig":"host-000001","stint":1,"tally":5,"baton":7,"lots":[{"lot":"j-000412/3","try":2,"status":"running"}],
		"Rig":"host-000002","Tally":99,"BATON":8,"Lots":[]}`
	want := &wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Seq: 5, FencingToken: 7,
		Tasks: []wire.TaskStatus{{Task: "j-000412/3", Attempt: 2, State: wire.TaskRunning}}}
	if got := decodeStatus([]byte(body), "host-000001"); !reflect.DeepEqual(got, want) {
		t.Errorf("status was decoded as %+v, want %+v", got, want)
	}
}
