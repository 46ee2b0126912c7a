package peer

import (
	"net"
	"testing"
	"time"
)

// A message of many frames must not break the link if each frame arrives in time: with the lowered limits of the store,
// a large shard grant takes longer than the read timeout.
func TestStoreTransportReadDeadlinePerFrame(t *testing.T) {
	writeEnd, readEnd := net.Pipe()
	t.Cleanup(func() {
		writeEnd.Close()
		readEnd.Close()
	})
	counter := &connCountingReadDeadlines{Conn: readEnd}
	reader := TransportStore.newReader(counter)
	go func() {
		for range 3 {
			if _, err := writeEnd.Write([]byte("x")); err != nil {
				t.Error(err)
			}
		}
	}()
	for range 3 {
		if _, err := reader.ReadByte(); err != nil {
			t.Fatal(err)
		}
	}
	if n := counter.deadlines; n < 3 {
		t.Errorf("read deadline was set %d times for three chunks, want at least 3", n)
	}
}

// connCountingReadDeadlines wraps a connection and counts how often a read deadline is set.
type connCountingReadDeadlines struct {
	net.Conn
	deadlines int
}

func (c *connCountingReadDeadlines) SetReadDeadline(t time.Time) error {
	c.deadlines++
	return c.Conn.SetReadDeadline(t)
}
