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

// waitTimeout bounds how long anything is waited for. Nothing is judged by how long it takes.
const waitTimeout = 2 * time.Minute

// eventually waits until something is so.
func eventually(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !so(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// controllerBinary builds the controller.
func controllerBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "swiftledge")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/swiftledge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// fastMigrationSettings has tasks moved soon after their start.
const fastMigrationSettings = `spread: {enabled: true, least_run_s: 1, calm_s: 1, pause_s: 0, every_s: 0.25, move_above: 1.2,
  bound: 1.1, moves_part: 0.25, imbalance_s: 600}
fleet: {reserve: 10, idle_s: 3600}
`

// jobSeries is a series of equal jobs.
type jobSeries struct {
	firstNumber, count int // numbers of the jobs
	tasks              int
	runS               float64
	// controllers are the controllers that take the jobs in turn; none: all of them.
	controllers []*Controller
}

// submitAll submits a batch and returns the references of its jobs.
func submitAll(t *testing.T, c *Cluster, b jobSeries) (refs []string) {
	t.Helper()
	via := b.controllers
	if len(via) == 0 {
		via = c.Controllers
	}
	for i := b.firstNumber; i < b.firstNumber+b.count; i++ {
		job := wire.Job{
			Ref:         fmt.Sprintf("j-%06d", i),
			Class:       "l",
			Team:        c.environment.config.Teams[i%2],
			Shape:       wire.ShapeBatch,
			Priority:    wire.PriorityStandard,
			Tasks:       b.tasks,
			CPUs:        0.5,
			MemoryGB:    0.5,
			Image:       fmt.Sprint("img-", i%2),
			ImageGB:     1,
			Spot:        true,
			EstimateS:   60,
			CheckpointS: 1,
			SaveS:       0.5,
		}
		controller := via[i%len(via)]
		eventually(t, "accepted", func() bool { return c.Submit(controller, job, b.runS) == nil })
		refs = append(refs, job.Ref)
	}
	return refs
}

func checkAllDone(t *testing.T, c *Cluster, refs []string, tasks int) {
	t.Helper()
	for _, ref := range refs {
		eventually(t, ref+" is done", func() bool { return c.JobState(c.Controllers[0], ref) == wire.JobDone })
		if ran, again := c.CompletedTasks(ref); ran != tasks || again > 0 {
			t.Errorf("%s: %d of %d tasks have run, %d more than once", ref, ran, tasks, again)
		}
	}
}

// The path of the surge's measurement, in short and by states alone: a load that is moved about, the leader's
// process that ends, a machine that ends, a link that is cut and healed. Every job is done, no task twice.
func TestFailoverUnderLoad(t *testing.T) {
	shape := DefaultClusterConfig()
	shape.Machines = 8
	file := filepath.Join(t.TempDir(), "quick.yaml")
	if err := os.WriteFile(file, []byte(fastMigrationSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Start(t.Context(), t.TempDir(), controllerBinary(t), shape, "../../deploy/swiftledge.yaml", "../../deploy/trace.yaml", file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	eventually(t, "a controller leads", func() bool { k, _ := c.Leader(); return k != nil })
	long := submitAll(t, c, jobSeries{firstNumber: 1, count: 4, tasks: 4, runS: 12})
	short := submitAll(t, c, jobSeries{firstNumber: 11, count: 4, tasks: 4, runS: 2})
	eventually(t, "work runs", func() bool { return c.SampleLoad().Mean > 0 })
	checkAllDone(t, c, short, 4)

	first, s := c.Leader()
	if first == nil || len(s.Machines) == 0 || len(s.Shards) == 0 {
		t.Fatalf("the leader's status is %+v", s)
	}
	// With the leader ended and another controller cut off from the state service, the third one leads.
	cut := c.Controllers[(indexOf(c, first)+1)%len(c.Controllers)]
	third := c.Controllers[(indexOf(c, first)+2)%len(c.Controllers)]
	cut.StoreLink.SetFaults(LinkFaults{CutFrom: true})
	first.Kill()
	eventually(t, "the third controller leads", func() bool { k, _ := c.Leader(); return k == third })
	cut.StoreLink.Heal()
	// Commands to one worker are held, reports of another: both work on when the links are whole again.
	held := []*Link{c.CommandLink(1), c.HeartbeatLink(2, indexOf(c, third))}
	for _, l := range held {
		l.SetFaults(LinkFaults{CutTo: true})
	}
	more := submitAll(t, c, jobSeries{firstNumber: 31, count: 2, tasks: 4, runS: 1, controllers: []*Controller{cut, third}})
	for _, l := range held {
		l.Heal()
	}
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	c.FailMachine(0)
	eventually(t, "the first controller answers again", func() bool {
		row := c.Status()[indexOf(c, first)]
		return row.Status != nil && row.Status.Leader != ""
	})
	checkAllDone(t, c, long, 4)
	checkAllDone(t, c, more, 4)
	eventually(t, "the cut controller knows the ends, too", func() bool { return c.JobState(cut, long[0]) == wire.JobDone })
	checkAllDone(t, c, submitAll(t, c, jobSeries{firstNumber: 21, count: 3, tasks: 4, runS: 1}), 4)
	c.Stop()
	checkTrace(t, c, long[0])
}

// checkTrace says whether the spans of a job tell of it from its submission to its end, in one trace over
// several controllers.
func checkTrace(t *testing.T, c *Cluster, ref string) {
	t.Helper()
	names, nodes, traces := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, k := range c.Controllers {
		raw, err := os.ReadFile(filepath.Join(k.WorkDir, "swiftledge-trace.jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		for text := range strings.Lines(string(raw)) {
			var span struct {
				Trace, Node, Name string
				Attributes        map[string]string
			}
			if err := json.Unmarshal([]byte(text), &span); err != nil {
				t.Errorf("%q: %v", text, err)
			}
			if span.Attributes["job"] == ref {
				names[span.Name], nodes[span.Node], traces[span.Trace] = true, true, true
			}
		}
	}
	for _, want := range []string{"submit", "queue", "start", "run", "job"} {
		if !names[want] {
			t.Errorf("no span %q of %s, only %v", want, ref, names)
		}
	}
	if len(nodes) < 2 || len(traces) != 1 {
		t.Errorf("%d controllers wrote spans of %s, in %d traces", len(nodes), ref, len(traces))
	}
}

func indexOf(c *Cluster, k *Controller) int {
	for i, o := range c.Controllers {
		if o == k {
			return i
		}
	}
	return -1
}

// startEchoServer answers what it is sent.
func startEchoServer(t *testing.T) string {
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
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // fails when the connection ends
			}()
		}
	}()
	return l.Addr().String()
}

// sendText sends a text.
func sendText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// A link can be refused, and cut in one direction: what was sent meanwhile arrives once it is healed, and
// nothing does before.
func TestLinkFaults(t *testing.T) {
	l, err := newLink(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	dial := func() net.Conn {
		t.Helper()
		var c net.Conn
		eventually(t, "connected", func() bool {
			c, err = net.Dial("tcp4", l.listenAddress)
			return err == nil
		})
		t.Cleanup(func() { c.Close() })
		return c
	}
	comes := func(c net.Conn, want string) bool {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(waitTimeout))
		got := make([]byte, len(want))
		_, err := io.ReadFull(c, got)
		return err == nil && string(got) == want
	}
	c := dial()
	sendText(t, c, "one")
	if !comes(c, "one") {
		t.Fatal("nothing comes over a whole link")
	}
	for _, cut := range []LinkFaults{{CutTo: true}, {CutFrom: true}} {
		l.SetFaults(cut)
		sendText(t, c, "two")
		c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if n, _ := c.Read(make([]byte, 3)); n > 0 {
			t.Errorf("%d bytes come over a link that is cut: %+v", n, cut)
		}
		l.Heal()
		if !comes(c, "two") {
			t.Errorf("what was held does not come: %+v", cut)
		}
	}
	l.SetFaults(LinkFaults{Refused: true})
	sendText(t, c, "three")
	c.SetReadDeadline(time.Now().Add(waitTimeout))
	if n, err := c.Read(make([]byte, 3)); err == nil {
		t.Errorf("%d bytes come though the link is refused", n)
	}
	eventually(t, "a new connection is refused", func() bool {
		c, err := net.Dial("tcp4", l.listenAddress)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	l.Heal()
	c = dial()
	sendText(t, c, "four")
	if !comes(c, "four") {
		t.Error("nothing comes over a healed link")
	}
}

// A controller that is stopped and resumed tells of its pause, a mistaken job is shown as suspect and then cancelled,
// and sound work is done beside both.
func TestPausedControllerAndFaultyJob(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "kept.yaml")
	if err := os.WriteFile(file, []byte("fleet: {reserve: 10, idle_s: 3600}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Start(t.Context(), dir, controllerBinary(t), DefaultClusterConfig(), file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	eventually(t, "somebody leads", func() bool { k, _ := c.Leader(); return k != nil })
	mistaken := wire.Job{Ref: "j-900001", Class: "l", Team: c.environment.config.Teams[0], Shape: wire.ShapeBatch, Priority: wire.PriorityStandard, Tasks: 12,
		CPUs: 0.5, MemoryGB: 0.5, Image: "img-9", ImageGB: 1, Spot: true, EstimateS: 10}
	eventually(t, "the mistaken job is accepted", func() bool { return c.SubmitFaulty(c.Controllers[0], mistaken) == nil })
	eventually(t, "the mistaken job is suspect", func() bool {
		_, s := c.Leader()
		return len(s.Suspects) == 1 && s.Suspects[0].Job == mistaken.Ref
	})
	refs := submitAll(t, c, jobSeries{firstNumber: 1, count: 4, tasks: 2, runS: 1})
	checkAllDone(t, c, refs, 2)
	leader, _ := c.Leader()
	if leader == nil {
		t.Fatal("nobody leads")
	}
	if err := leader.Pause(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "another leads", func() bool { k, _ := c.Leader(); return k != nil && k != leader })
	if err := leader.Resume(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the pause is told", func() bool {
		for _, row := range c.Status() {
			if row.Name == leader.Name && row.Status != nil && row.Status.LastPause != nil {
				return row.Status.LastPause.LengthS > 0
			}
		}
		return false
	})
	eventually(t, "the mistaken job is cancelled", func() bool { return c.Cancel(c.Controllers[0], mistaken.Ref) })
	refs = submitAll(t, c, jobSeries{firstNumber: 20, count: 4, tasks: 2, runS: 1})
	checkAllDone(t, c, refs, 2)
}
