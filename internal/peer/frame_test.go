package peer

import (
	"encoding/json"
	"net"
	"os"
	"reflect"
	"testing"
	"time"
)

// Frames between two versions: testdata/frame.json is one that the version in production
// (deploy/service.toml) wrote, and frozen is how it reads them.
func TestLettersCrossVersions(t *testing.T) {
	type frozen struct {
		Conn uint64 `json:"c"`
		Open bool   `json:"o,omitempty"`
		Seq  int    `json:"n"`
		Ack  int    `json:"a"`
		Data []byte `json:"d,omitempty"`
		End  bool   `json:"e,omitempty"`
	}
	raw, err := os.ReadFile("testdata/frame.json")
	if err != nil {
		t.Fatal(err)
	}
	var ours frame
	if err := json.Unmarshal(raw, &ours); err != nil {
		t.Fatal(err)
	}
	if want := (frame{Conn: 77, Open: true, Seq: 3, Ack: 2, Data: []byte("abc"), End: true}); !reflect.DeepEqual(ours, want) {
		t.Errorf("production's frame is read as %+v", ours)
	}
	if raw, err = json.Marshal(ours); err != nil {
		t.Fatal(err)
	}
	var old frozen
	if err := json.Unmarshal(raw, &old); err != nil || !reflect.DeepEqual(old, frozen(ours)) {
		t.Errorf("our frame is read as %+v, %v", old, err)
	}
}

// A message that needs many frames, each in time, must not break the link: at the lowered
// limits a large grant takes longer than a link may be silent.
func TestSlowLinksWaitForPiecesNotForWholes(t *testing.T) {
	a, b := pipe(t)
	in := source(b, true)
	go func() {
		for range 3 {
			a.Write([]byte("x"))
		}
	}()
	for range 3 {
		if _, err := in.ReadByte(); err != nil {
			t.Fatal(err)
		}
	}
	if n := b.deadlines; n < 3 {
		t.Errorf("the deadline was set %d times for three pieces", n)
	}
}

type counted struct {
	net.Conn
	deadlines int
}

func (c *counted) SetReadDeadline(t time.Time) error {
	c.deadlines++
	return c.Conn.SetReadDeadline(t)
}

func pipe(t *testing.T) (net.Conn, *counted) {
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, &counted{Conn: b}
}
