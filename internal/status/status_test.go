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

// serveConnections serves connections on a loopback port and returns its address.
func serveConnections(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// The table has a row for every controller: the leader, one of a version without status requests, one that answers
// with another protocol, and one that does not listen.
func TestTableHasARowForEveryController(t *testing.T) {
	leaderStatus := peer.Status{Controller: "c0", Leader: "c0", Term: 7, IsLeader: true, Rebalancing: true, MeanLoad: 0.5,
		Shards:     []peer.ShardStatus{{Shard: 0, Holder: "c0", Granted: true, Machines: 2, SchedulableMachines: 2, MeanLoad: 0.5, MaxLoad: 0.75}},
		Machines:   []peer.MachineStatus{{Name: "host-1", Load: 0.75, RelativeLoad: 1.5, UnschedulableReason: "not needed"}},
		Migrations: []peer.MigrationStatus{{Task: "j-000001/3", From: "host-1", To: "host-2", Stage: "stopping"}},
		Refusals:   []peer.RefusalStatus{{Machine: "host-3", Reason: "cannot save", Tasks: 4, Task: "j-000002/0"}, {Reason: "work waits for room", Tasks: 1}}}
	cfg := &config.Config{}
	cfg.Name = "c0"
	cfg.PeerAddress = serveConnections(t, func(conn net.Conn) {
		server := peer.Server{Controller: "c0", Status: func() peer.Status { return leaderStatus }}
		server.Serve(conn, peer.TransportTCP)
	})
	// The version in production refuses a Hello with a term other than its own, which includes every status request.
	oldVersion := serveConnections(t, func(conn net.Conn) {
		defer conn.Close()
		var hello peer.Hello
		if msgpack.NewDecoder(conn).Decode(&hello) == nil {
			_ = msgpack.NewEncoder(conn).Encode(peer.Hello{Controller: "c1"})
		}
	})
	httpServer := serveConnections(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\n\r\n"); err != nil {
			t.Error(err)
		}
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := listener.Addr().String()
	listener.Close()
	cfg.Peers = []config.Peer{{Name: "c1", Address: oldVersion}, {Name: "c2", Address: httpServer}, {Name: "c3", Address: closedAddress}}

	controllers := Fetch(cfg)
	if !AnyAnswered(controllers) || controllers[0].Status == nil || controllers[0].Status.Term != 7 {
		t.Fatalf("the leader's answer is %+v, want a status with term 7", controllers[0])
	}
	if controllers[1].Problem != "its version does not know the question" {
		t.Errorf("problem of the version without status requests is %q, want that it does not know the question", controllers[1].Problem)
	}
	for _, c := range controllers[2:] {
		if c.Status != nil || c.Problem == "" || strings.Contains(c.Problem, "\n") {
			t.Errorf("%s: %+v, want no status and a problem on one line", c.Name, c)
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
	var decoded []Controller
	if err := json.Unmarshal(out.Bytes(), &decoded); err != nil || len(decoded) != 4 || decoded[0].Status.Migrations[0].Task != "j-000001/3" {
		t.Errorf("decoded JSON output: error %v, controllers %+v, want 4 controllers and the migration of j-000001/3", err, decoded)
	}
	if AnyAnswered(controllers[1:]) {
		t.Error("AnyAnswered returned true for controllers without an answer")
	}
}

// The table shows process pauses of any controller, suspect jobs and teams without a limit. Without pauses and suspect
// jobs it has no such rows.
func TestTableShowsPausesAndSuspectJobs(t *testing.T) {
	var healthy, impaired bytes.Buffer
	leaderStatus := peer.Status{Controller: "c0", IsLeader: true, Teams: []peer.TeamStatus{{Team: "guest", CPUs: 2}}}
	if err := WriteTable(&healthy, []Controller{{Name: "c0", Status: &leaderStatus}}, WithoutMachines); err != nil {
		t.Fatal(err)
	}
	if s := healthy.String(); strings.Contains(s, "STOOD STILL") || strings.Contains(s, "SUSPECT") || !strings.Contains(s, "none") {
		t.Errorf("table of a site without pauses and suspect jobs has rows for them, or lacks a team without a limit:\n%s", s)
	}
	leaderStatus.Suspects = []peer.SuspectStatus{{Job: "j-000007", Team: "guest", Machines: 3, Probes: 2, NextProbeS: 7.5}}
	pausedStatus := peer.Status{Controller: "c1", Pauses: 4, LastPause: &peer.PauseStatus{
		AgoS: 61, LengthS: 12.5, Expired: []string{"grant of block 1", "view of the jobs"}}}
	if err := WriteTable(&impaired, []Controller{{Name: "c0", Status: &leaderStatus}, {Name: "c1", Status: &pausedStatus}}, WithoutMachines); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"STOOD STILL", "61.00", "12.50", "grant of block 1, view of the jobs", "j-000007", "3 machines", "7.50"} {
		if !strings.Contains(impaired.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, impaired.String())
		}
	}
}

// fullDiskWriter is an io.Writer that always fails.
type fullDiskWriter struct{}

var errFullDisk = errors.New("no space left")

// Write returns errFullDisk.
func (fullDiskWriter) Write([]byte) (int, error) { return 0, errFullDisk }

// WriteTable and WriteJSON return the error of the writer.
func TestWriteErrorsAreReturned(t *testing.T) {
	controllers := []Controller{{Name: "c0", Status: &peer.Status{IsLeader: true}}}
	if err := WriteTable(fullDiskWriter{}, controllers, WithMachines); !errors.Is(err, errFullDisk) {
		t.Errorf("WriteTable returned %v, want the writer's error", err)
	}
	if err := WriteJSON(fullDiskWriter{}, controllers); !errors.Is(err, errFullDisk) {
		t.Errorf("WriteJSON returned %v, want the writer's error", err)
	}
}
