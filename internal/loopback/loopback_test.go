package loopback

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftledge/wire"
)

// waitTimeout bounds each wait for a condition. It is generous, because the tests check only what is reached and not
// how long that takes.
const waitTimeout = 2 * time.Minute

// eventually waits until a condition holds, and fails the test after waitTimeout.
func eventually(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// controllerBinary builds the controller and returns the path of its executable.
func controllerBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "swiftledge")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/swiftledge").CombinedOutput(); err != nil {
		t.Fatalf("build controller: %v\n%s", err, output)
	}
	return binary
}

// fastMigrationSettings are settings with which tasks are migrated soon after their start.
const fastMigrationSettings = `spread: {enabled: true, least_run_s: 1, calm_s: 1, pause_s: 0, every_s: 0.25, move_above: 1.2,
  bound: 1.1, moves_part: 0.25, imbalance_s: 600}
fleet: {reserve: 10, idle_s: 3600}
`

// jobSeriesSpec describes a series of similar jobs with consecutive numbers that submitAll submits.
type jobSeriesSpec struct {
	firstNumber, count int     // number of the first job, and number of jobs
	tasks              int     // number of tasks of each job
	runS               float64 // actual run time of each task
	// controllers are those to which the jobs are submitted in turn; empty: all controllers.
	controllers []*Controller
}

// submitAll submits a series of jobs and returns their references.
func submitAll(t *testing.T, c *Cluster, series jobSeriesSpec) (refs []string) {
	t.Helper()
	controllers := series.controllers
	if len(controllers) == 0 {
		controllers = c.Controllers
	}
	for i := series.firstNumber; i < series.firstNumber+series.count; i++ {
		job := wire.Job{
			Ref:         fmt.Sprintf("j-%06d", i),
			Class:       "l",
			Team:        c.env.config.Teams[i%2],
			Shape:       wire.ShapeBatch,
			Priority:    wire.PriorityStandard,
			Tasks:       series.tasks,
			CPUs:        0.5,
			MemoryGB:    0.5,
			Image:       fmt.Sprint("img-", i%2),
			ImageGB:     1,
			Spot:        true,
			EstimateS:   60,
			CheckpointS: 1,
			SaveS:       0.5,
		}
		controller := controllers[i%len(controllers)]
		eventually(t, "the job is accepted", func() bool { return c.Submit(controller, job, series.runS) == nil })
		refs = append(refs, job.Ref)
	}
	return refs
}

// checkAllDone waits until all jobs are done and checks that each of their tasks completed exactly once.
func checkAllDone(t *testing.T, c *Cluster, refs []string, tasks int) {
	t.Helper()
	for _, ref := range refs {
		eventually(t, ref+" is done", func() bool { return c.JobState(c.Controllers[0], ref) == wire.JobDone })
		if completed, repeated := c.CompletedTasks(ref); completed != tasks || repeated > 0 {
			t.Errorf("%s: %d tasks completed, want %d; %d of them completed more than once, want 0", ref, completed, tasks, repeated)
		}
	}
}

// TestFailoverUnderLoad runs a shortened version of the surge measurement and checks no times. Tasks are migrated, the
// leader's process is killed, a machine fails, and links are cut and healed. Every job must complete, and no task may
// complete twice.
func TestFailoverUnderLoad(t *testing.T) {
	config := DefaultClusterConfig()
	config.Machines = 8
	settingsFile := filepath.Join(t.TempDir(), "quick.yaml")
	if err := os.WriteFile(settingsFile, []byte(fastMigrationSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Start(t.Context(), t.TempDir(), controllerBinary(t), config,
		"../../deploy/swiftledge.yaml", "../../deploy/trace.yaml", settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	eventually(t, "a controller is leader", func() bool { leader, _ := c.Leader(); return leader != nil })
	longJobs := submitAll(t, c, jobSeriesSpec{firstNumber: 1, count: 4, tasks: 4, runS: 12})
	shortJobs := submitAll(t, c, jobSeriesSpec{firstNumber: 11, count: 4, tasks: 4, runS: 2})
	eventually(t, "tasks run", func() bool { return c.SampleLoad().Mean > 0 })
	checkAllDone(t, c, shortJobs, 4)

	killed, leaderStatus := c.Leader()
	if killed == nil || len(leaderStatus.Machines) == 0 || len(leaderStatus.Shards) == 0 {
		t.Fatalf("leader status = %+v, want machines and shards", leaderStatus)
	}
	// The leader is killed while another controller is partitioned from the state service: the third controller must
	// become leader.
	partitioned := c.Controllers[(indexOf(c, killed)+1)%len(c.Controllers)]
	successor := c.Controllers[(indexOf(c, killed)+2)%len(c.Controllers)]
	partitioned.StoreLink.SetFaults(LinkFaults{CutFrom: true})
	killed.Kill()
	eventually(t, "the third controller is leader", func() bool { leader, _ := c.Leader(); return leader == successor })
	partitioned.StoreLink.Heal()
	// The commands to one agent and the heartbeats of another are held back. Both agents must resume their work after
	// the links are healed.
	cutLinks := []*Link{c.CommandLink(1), c.HeartbeatLink(2, indexOf(c, successor))}
	for _, link := range cutLinks {
		link.SetFaults(LinkFaults{CutTo: true})
	}
	jobsDuringCut := submitAll(t, c,
		jobSeriesSpec{firstNumber: 31, count: 2, tasks: 4, runS: 1, controllers: []*Controller{partitioned, successor}})
	for _, link := range cutLinks {
		link.Heal()
	}
	if err := killed.Start(); err != nil {
		t.Fatal(err)
	}
	c.FailMachine(0)
	eventually(t, "the restarted controller knows the leader", func() bool {
		row := c.Status()[indexOf(c, killed)]
		return row.Status != nil && row.Status.Leader != ""
	})
	checkAllDone(t, c, longJobs, 4)
	checkAllDone(t, c, jobsDuringCut, 4)
	eventually(t, "the partitioned controller knows the final states", func() bool {
		return c.JobState(partitioned, longJobs[0]) == wire.JobDone
	})
	checkAllDone(t, c, submitAll(t, c, jobSeriesSpec{firstNumber: 21, count: 3, tasks: 4, runS: 1}), 4)
	c.Stop()
	checkTrace(t, c, longJobs[0])
}

// checkTrace checks that the recorded spans of a job include every stage from its submission to its end, and that they
// belong to one trace to which several controllers contributed.
func checkTrace(t *testing.T, c *Cluster, ref string) {
	t.Helper()
	names, controllers, traces := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, controller := range c.Controllers {
		raw, err := os.ReadFile(filepath.Join(controller.WorkDir, "swiftledge-trace.jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(raw)) {
			var span struct {
				Trace, Node, Name string
				Attributes        map[string]string
			}
			if err := json.Unmarshal([]byte(line), &span); err != nil {
				t.Errorf("decode span %q: %v", line, err)
			}
			if span.Attributes["job"] == ref {
				names[span.Name], controllers[span.Node], traces[span.Trace] = true, true, true
			}
		}
	}
	for _, want := range []string{"submit", "queue", "start", "run", "job"} {
		if !names[want] {
			t.Errorf("span %q of job %s was not recorded; got spans %v", want, ref, names)
		}
	}
	if len(controllers) < 2 || len(traces) != 1 {
		t.Errorf("%d controllers wrote spans of job %s in %d traces, want at least 2 controllers and 1 trace",
			len(controllers), ref, len(traces))
	}
}

func indexOf(c *Cluster, controller *Controller) int {
	for i, other := range c.Controllers {
		if other == controller {
			return i
		}
	}
	return -1
}

// startEchoServer starts a TCP server that sends back all data it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				_, _ = io.Copy(connection, connection) // returns an error when the connection is closed
			}()
		}
	}()
	return listener.Addr().String()
}

func sendText(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
}

// TestLinkFaults checks that a link can refuse connections and can be cut in one direction. Data that is sent during a
// cut must arrive after the link is healed, and not before.
func TestLinkFaults(t *testing.T) {
	link, err := newLink(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	dial := func() net.Conn {
		t.Helper()
		var connection net.Conn
		eventually(t, "the client is connected", func() bool {
			connection, err = net.Dial("tcp4", link.listenAddress)
			return err == nil
		})
		t.Cleanup(func() { connection.Close() })
		return connection
	}
	receives := func(connection net.Conn, want string) bool {
		t.Helper()
		connection.SetReadDeadline(time.Now().Add(waitTimeout))
		got := make([]byte, len(want))
		_, err := io.ReadFull(connection, got)
		return err == nil && string(got) == want
	}
	connection := dial()
	sendText(t, connection, "one")
	if !receives(connection, "one") {
		t.Fatal("text was not echoed over a link without faults")
	}
	for _, faults := range []LinkFaults{{CutTo: true}, {CutFrom: true}} {
		link.SetFaults(faults)
		sendText(t, connection, "two")
		connection.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if n, _ := connection.Read(make([]byte, 3)); n > 0 {
			t.Errorf("received %d bytes over a cut link, want none; faults %+v", n, faults)
		}
		link.Heal()
		if !receives(connection, "two") {
			t.Errorf("text that was sent during a cut did not arrive after the link was healed; faults %+v", faults)
		}
	}
	link.SetFaults(LinkFaults{Refused: true})
	sendText(t, connection, "three")
	connection.SetReadDeadline(time.Now().Add(waitTimeout))
	if n, err := connection.Read(make([]byte, 3)); err == nil {
		t.Errorf("received %d bytes over a link that refuses connections, want an error", n)
	}
	eventually(t, "a new connection is refused", func() bool {
		connection, err := net.Dial("tcp4", link.listenAddress)
		if err == nil {
			connection.Close()
		}
		return err != nil
	})
	link.Heal()
	connection = dial()
	sendText(t, connection, "four")
	if !receives(connection, "four") {
		t.Error("text was not echoed over a healed link")
	}
}

// TestPausedControllerAndFaultyJob checks that a controller reports its pause after it was paused and resumed, that a
// faulty job is marked as suspect (its tasks failed on several machines) and can be cancelled, and that other jobs
// complete meanwhile.
func TestPausedControllerAndFaultyJob(t *testing.T) {
	dir := t.TempDir()
	settingsFile := filepath.Join(dir, "kept.yaml")
	if err := os.WriteFile(settingsFile, []byte("fleet: {reserve: 10, idle_s: 3600}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Start(t.Context(), dir, controllerBinary(t), DefaultClusterConfig(), settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	eventually(t, "a controller is leader", func() bool { leader, _ := c.Leader(); return leader != nil })
	faultyJob := wire.Job{Ref: "j-900001", Class: "l", Team: c.env.config.Teams[0], Shape: wire.ShapeBatch, Priority: wire.PriorityStandard, Tasks: 12,
		CPUs: 0.5, MemoryGB: 0.5, Image: "img-9", ImageGB: 1, Spot: true, EstimateS: 10}
	eventually(t, "the faulty job is accepted", func() bool { return c.SubmitFaulty(c.Controllers[0], faultyJob) == nil })
	eventually(t, "the faulty job is suspect", func() bool {
		_, leaderStatus := c.Leader()
		return len(leaderStatus.Suspects) == 1 && leaderStatus.Suspects[0].Job == faultyJob.Ref
	})
	refs := submitAll(t, c, jobSeriesSpec{firstNumber: 1, count: 4, tasks: 2, runS: 1})
	checkAllDone(t, c, refs, 2)
	paused, _ := c.Leader()
	if paused == nil {
		t.Fatal("no controller was leader, want one to pause")
	}
	if err := paused.Pause(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "another controller is leader", func() bool {
		leader, _ := c.Leader()
		return leader != nil && leader != paused
	})
	if err := paused.Resume(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the resumed controller reports its pause", func() bool {
		for _, row := range c.Status() {
			if row.Name == paused.Name && row.Status != nil && row.Status.LastPause != nil {
				return row.Status.LastPause.LengthS > 0
			}
		}
		return false
	})
	eventually(t, "the faulty job is cancelled", func() bool { return c.Cancel(c.Controllers[0], faultyJob.Ref) })
	refs = submitAll(t, c, jobSeriesSpec{firstNumber: 20, count: 4, tasks: 2, runS: 1})
	checkAllDone(t, c, refs, 2)
}
