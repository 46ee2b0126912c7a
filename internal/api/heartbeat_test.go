package api

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// countingListener counts the reads and writes of the connections that it accepts.
type countingListener struct {
	net.Listener
	reads, writes *atomic.Int64
}

// Accept returns the next connection, wrapped in a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l}, nil
}

type countingConn struct {
	net.Conn
	listener countingListener
}

// Read counts the call and reads from the connection.
func (c countingConn) Read(b []byte) (int, error) {
	c.listener.reads.Add(1)
	return c.Conn.Read(b)
}

// Write counts the call and writes to the connection.
func (c countingConn) Write(b []byte) (int, error) {
	c.listener.writes.Add(1)
	return c.Conn.Write(b)
}

// testAgent is an agent with a connection to a controller that holds its machine's shard.
type testAgent struct {
	conn      net.Conn
	reader    *bufio.Reader
	seq       uint64
	heartbeat wire.Heartbeat
	response  fasthttp.Response
	// reads and writes count the controller's reads and writes on all connections to the controller.
	reads, writes *atomic.Int64
	address       string
}

// newTestHolder returns a shard holder that accepts the heartbeats of all agents.
func newTestHolder() *shard.Holder {
	params := shard.Params{Controller: "n0", GrantTime: 20 * clock.Second, LongestGrant: 20 * clock.Second,
		AgentLease: 20 * clock.Second, HeartbeatInterval: 3 * clock.Second, MaxValueBytes: 4000, MaxTxnOps: 8}
	weights := placement.Params{DecayRate: 0.001, Eta: 0.05, Epsilon: 0.01, LoadOffset: 0.5}
	holder := shard.New(params, weights, func() bool { return true })
	holder.Step(0, shard.LeaderConnected{Term: 9})
	for _, message := range []*peer.FromLeader{
		{Term: 9, Holders: []string{"n0"}, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 50, KeyVersion: 7}}},
		{Term: 9, RenewedSeq: 2, FencingTokens: map[int]wire.FencingToken{0: 50}},
	} {
		holder.Step(0, shard.LeaderMessage{Message: message})
	}
	return holder
}

// replyChannel receives the reply to one heartbeat.
type replyChannel chan shard.HeartbeatReply

// Respond sends the reply to the waiting goroutine.
func (c replyChannel) Respond(reply shard.HeartbeatReply) { c <- reply }

// startHolder starts a shard holder that answers heartbeats until the test ends. It returns a function that sends the
// holder a heartbeat and waits for the reply.
func startHolder(tb testing.TB) func(*wire.Heartbeat) shard.HeartbeatReply {
	tb.Helper()
	holder := newTestHolder()
	received := make(chan shard.HeartbeatReceived)
	go func() {
		for {
			select {
			case <-tb.Context().Done():
				return
			case message := <-received:
				for _, effect := range holder.Step(clock.Second, message) {
					if reply, ok := effect.(shard.HeartbeatReply); ok {
						reply.ReplyTo.Respond(reply)
					}
				}
			}
		}
	}()
	return func(heartbeat *wire.Heartbeat) shard.HeartbeatReply {
		replies := make(replyChannel, 1)
		received <- shard.HeartbeatReceived{ReplyTo: replies, Heartbeat: heartbeat}
		return <-replies
	}
}

// newTestAgent starts a controller and connects an agent with the given number of tasks to it.
func newTestAgent(tb testing.TB, tasks int) *testAgent {
	tb.Helper()
	cfg := &config.Config{Tuning: config.DefaultTuning()}
	cfg.Facts.Quota.MaxSockets = 1500
	listener, err := netio.Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	counting := countingListener{listener, &atomic.Int64{}, &atomic.Int64{}}
	serveInBackground(tb, newHeartbeatService(tb, cfg, startHolder(tb)), counting)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	agent := &testAgent{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		reads:   counting.reads,
		writes:  counting.writes,
		address: listener.Addr().String(),
		heartbeat: wire.Heartbeat{Machine: "host-000001", Address: "10.1.0.1:9000", Type: "small", Zone: "a",
			AgentEpoch: 1, FencingToken: 50},
	}
	for i := range tasks {
		// The tasks have exited and no attempt record names them, so the answer is the same each time.
		agent.heartbeat.Tasks = append(agent.heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprintf("j-000412/%d", i),
			Attempt: wire.AttemptID(i + 1), State: wire.TaskExited, Cause: wire.ExitDone})
	}
	return agent
}

// request encodes the next heartbeat as an HTTP request.
func (a *testAgent) request(tb testing.TB) []byte {
	tb.Helper()
	a.seq++
	a.heartbeat.Seq = a.seq
	body, err := json.Marshal(a.heartbeat)
	if err != nil {
		tb.Fatal(err)
	}
	const header = "POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	return append(fmt.Appendf(nil, header, len(body)), body...)
}

// send sends a request and reads the response, which must have the fencing token of the shard.
func (a *testAgent) send(tb testing.TB, request []byte) {
	tb.Helper()
	if _, err := a.conn.Write(request); err != nil {
		tb.Fatal(err)
	}
	if err := a.response.Read(a.reader); err != nil {
		tb.Fatal(err)
	}
	if a.response.StatusCode() != 200 || !strings.Contains(string(a.response.Body()), "50") {
		tb.Fatalf("heartbeat: status %d, body %s, want status 200 and fencing token 50", a.response.StatusCode(), a.response.Body())
	}
}

// BenchmarkHeartbeat measures the time from writing a heartbeat to the agent's connection until the agent has read the
// answer. Apart from the sequence number, all heartbeats are the same.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 4, 40} {
		b.Run(fmt.Sprint(tasks, " tasks"), func(b *testing.B) {
			agent := newTestAgent(b, tasks)
			requests := make([][]byte, b.N)
			for i := range requests {
				requests[i] = agent.request(b)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, request := range requests {
				agent.send(b, request)
			}
		})
	}
}

// Heartbeats without any change since the previous one are a controller's most frequent requests: 200 per second at the
// cluster sizes that operators name, with a thirtieth of a core to answer them. Such a heartbeat takes few allocations,
// from writing it to the agent's connection until the answer is read, and a few more for each task that it lists.
func TestUnchangedHeartbeatAllocations(t *testing.T) {
	for _, c := range []struct {
		tasks          int
		maxAllocations float64
	}{{0, 16}, {4, 34}, {40, 170}} {
		agent := newTestAgent(t, c.tasks)
		const n = 300
		requests := make([][]byte, n+1) // AllocsPerRun calls the function once before it counts
		for i := range requests {
			requests[i] = agent.request(t)
		}
		next := 0
		got := testing.AllocsPerRun(n, func() { agent.send(t, requests[next]); next++ })
		if got > c.maxAllocations {
			t.Errorf("%.0f allocations for a heartbeat of %d tasks, want at most %.0f", got, c.tasks, c.maxAllocations)
		}
	}
}

// System calls are most of the cost of a heartbeat, and each read and write is one. A heartbeat takes one read for the
// request and one write for the answer.
func TestHeartbeatTakesOneReadAndOneWrite(t *testing.T) {
	agent := newTestAgent(t, 4)
	agent.send(t, agent.request(t))
	reads, writes := agent.reads.Load(), agent.writes.Load()
	const n = 100
	for range n {
		agent.send(t, agent.request(t))
	}
	if newReads, newWrites := agent.reads.Load()-reads, agent.writes.Load()-writes; newReads > n+1 || newWrites > n {
		t.Errorf("%d reads and %d writes for %d heartbeats, want one of each per heartbeat", newReads, newWrites, n)
	}
}

// An agent's connection, which stays open between heartbeats, takes little memory. A controller may have as many such
// connections as its socket limit allows.
func TestIdleConnectionMemory(t *testing.T) {
	agent := newTestAgent(t, 4)
	agent.send(t, agent.request(t))
	memoryInUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	before := memoryInUse()
	const n = 400
	for range n {
		c, err := net.Dial("tcp4", agent.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		otherAgent := &testAgent{conn: c, reader: bufio.NewReaderSize(c, 256), seq: agent.seq, heartbeat: agent.heartbeat}
		otherAgent.send(t, otherAgent.request(t))
		agent.seq = otherAgent.seq
	}
	if perConnection := (memoryInUse() - before) / n; perConnection > 30<<10 {
		t.Errorf("%d bytes per connection including the agent's side, want at most 30 KiB", perConnection)
	} else {
		t.Logf("%d bytes per connection including the agent's side", perConnection)
	}
}
