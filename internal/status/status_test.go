package status

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/config"
	"swiftledge/internal/peer"
)

// listen serves connections on loopback and gives the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Every controller is a row: one that leads, one of a version that does not know the question, one that
// sends something else, and one that is not there.
func TestEveryControllerIsARow(t *testing.T) {
	leads := peer.Status{Controller: "c0", Leader: "c0", Term: 7, IsLeader: true, Rebalancing: true, MeanLoad: 0.5,
		Shards:     []peer.ShardStatus{{Shard: 0, Holder: "c0", Granted: true, Machines: 2, SchedulableMachines: 2, MeanLoad: 0.5, MaxLoad: 0.75}},
		Machines:   []peer.MachineStatus{{Name: "host-1", Load: 0.75, RelativeLoad: 1.5, UnschedulableReason: "not needed"}},
		Migrations: []peer.MigrationStatus{{Task: "j-000001/3", From: "host-1", To: "host-2", Stage: "stopping"}},
		Refusals:   []peer.RefusalStatus{{Machine: "host-3", Reason: "cannot save", Tasks: 4, Task: "j-000002/0"}, {Reason: "work waits for room", Tasks: 1}}}
	cfg := &config.Config{}
	cfg.Name = "c0"
	cfg.PeerAddress = listen(t, func(c net.Conn) {
		server := peer.Server{Controller: "c0", Status: func() peer.Status { return leads }}
		server.Serve(c, peer.TransportTCP)
	})
	// The version in production refuses an epoch that is not its own.
	old := listen(t, func(c net.Conn) {
		defer c.Close()
		var h peer.Hello
		if msgpack.NewDecoder(c).Decode(&h) == nil {
			_ = msgpack.NewEncoder(c).Encode(peer.Hello{Controller: "c1"})
		}
	})
	noise := listen(t, func(c net.Conn) {
		defer c.Close()
		if _, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n"); err != nil {
			t.Error(err)
		}
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	l.Close()
	cfg.Peers = []config.Peer{{Name: "c1", Address: old}, {Name: "c2", Address: noise}, {Name: "c3", Address: gone}}

	controllers := Fetch(cfg)
	if !AnyAnswered(controllers) || controllers[0].Status == nil || controllers[0].Status.Term != 7 {
		t.Fatalf("the leader's answer is %+v", controllers[0])
	}
	if controllers[1].Problem != "its version does not know the question" {
		t.Errorf("the old version: %q", controllers[1].Problem)
	}
	for _, c := range controllers[2:] {
		if c.Status != nil || c.Problem == "" || strings.Contains(c.Problem, "\n") {
			t.Errorf("%s: %+v", c.Name, c)
		}
	}
	var out bytes.Buffer
	if err := WriteTable(&out, controllers, WithMachines); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"c0", "leads", "does not know the question", "c3", "host-1", "no: not needed",
		"j-000001/3", "stopping", "cannot save", "work waits for room"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, out.String())
		}
	}
	out.Reset()
	if err := WriteJSON(&out, controllers); err != nil {
		t.Fatal(err)
	}
	var back []Controller
	if err := json.Unmarshal(out.Bytes(), &back); err != nil || len(back) != 4 || back[0].Status.Migrations[0].Task != "j-000001/3" {
		t.Errorf("JSON: %v, %+v", err, back)
	}
	if AnyAnswered(controllers[1:]) {
		t.Error("answered though nobody did")
	}
}

// Pauses of any controller, suspect jobs and teams without a limit show; a site without them has no such rows.
func TestBadNightsShow(t *testing.T) {
	var quiet, bad bytes.Buffer
	plain := peer.Status{Controller: "c0", IsLeader: true, Teams: []peer.TeamStatus{{Team: "guest", CPUs: 2}}}
	if err := WriteTable(&quiet, []Controller{{Name: "c0", Status: &plain}}, WithoutMachines); err != nil {
		t.Fatal(err)
	}
	if s := quiet.String(); strings.Contains(s, "STOOD STILL") || strings.Contains(s, "SUSPECT") || !strings.Contains(s, "none") {
		t.Errorf("a quiet site shows\n%s", s)
	}
	plain.Suspects = []peer.SuspectStatus{{Job: "j-000007", Team: "guest", Machines: 3, Probes: 2, NextProbeS: 7.5}}
	froze := peer.Status{Controller: "c1", Pauses: 4, LastPause: &peer.PauseStatus{
		AgoS: 61, LengthS: 12.5, Expired: []string{"grant of block 1", "view of the jobs"}}}
	if err := WriteTable(&bad, []Controller{{Name: "c0", Status: &plain}, {Name: "c1", Status: &froze}}, WithoutMachines); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"STOOD STILL", "61.00", "12.50", "grant of block 1, view of the jobs", "j-000007", "3 machines", "7.50"} {
		if !strings.Contains(bad.String(), want) {
			t.Errorf("no %q in\n%s", want, bad.String())
		}
	}
}

// fullDisk is a writer that takes nothing.
type fullDisk struct{}

var errFullDisk = errors.New("no space left")

// Write fails.
func (fullDisk) Write([]byte) (int, error) { return 0, errFullDisk }

// What cannot be written is an error, in both forms.
func TestWriteErrorsAreReturned(t *testing.T) {
	controllers := []Controller{{Name: "c0", Status: &peer.Status{IsLeader: true}}}
	if err := WriteTable(fullDisk{}, controllers, WithMachines); !errors.Is(err, errFullDisk) {
		t.Errorf("table: error %v", err)
	}
	if err := WriteJSON(fullDisk{}, controllers); !errors.Is(err, errFullDisk) {
		t.Errorf("JSON: error %v", err)
	}
}
