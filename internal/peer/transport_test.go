package peer

import (
	"net"
	"testing"
	"time"
)

// A message that needs many frames, each in time, must not break the link: at the lowered limits a large grant takes
// longer than a link may be silent.
func TestStoreTransportTimesOutByPieceNotByMessage(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	counter := &deadlineCounter{Conn: far}
	reader := TransportStore.newReader(counter)
	go func() {
		for range 3 {
			if _, err := near.Write([]byte("x")); err != nil {
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
		t.Errorf("the deadline was set %d times for three pieces", n)
	}
}

// deadlineCounter counts how often a read deadline is set.
type deadlineCounter struct {
	net.Conn
	deadlines int
}

func (c *deadlineCounter) SetReadDeadline(t time.Time) error {
	c.deadlines++
	return c.Conn.SetReadDeadline(t)
}
