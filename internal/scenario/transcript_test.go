package scenario

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"hash"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/goccy/go-json"
	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

var (
	transcriptDir  = flag.String("transcripts", "", "record the messages that controllers send and write digests.txt to this directory")
	transcriptFull = flag.Bool("transcripts-full", false, "with -transcripts: also write the full text of each transcript")
)

// digestsFile is the name of the file that lists the transcripts of a run.
const digestsFile = "digests.txt"

// Receivers of a controller's messages, besides other controllers.
const (
	toStore = "store"
	toCloud = "cloud"
	toUser  = "user"
)

// toAgent returns the receiver of messages to a machine's agent.
func toAgent(machine string) string { return "worker " + machine }

// transcript is a record of all messages that the controllers of one world send, encoded as on the wire. It contains
// no Go identifiers, so that it stays comparable while the program is refactored. A world has a nil transcript, and
// nothing is recorded, unless the run has -transcripts.
type transcript struct {
	name   string
	count  int // number of messages
	digest hash.Hash
	out    *bufio.Writer // writes to the digest and, with -transcripts-full, to the file
	file   *os.File      // nil without -transcripts-full
}

// transcriptSet holds the transcripts of a run.
type transcriptSet struct {
	mu     sync.Mutex
	byName map[string]*transcript
}

var transcripts = transcriptSet{byName: map[string]*transcript{}}

// open begins a transcript, or returns nil if the run records none. A name that was used before gets a number as
// suffix. Worlds of the same name must therefore be created in a fixed order.
func (s *transcriptSet) open(name string) *transcript {
	if *transcriptDir == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &transcript{name: s.unusedName(transcriptName(name)), digest: sha256.New()}
	s.byName[t.name] = t
	var out io.Writer = t.digest
	if *transcriptFull {
		var err error
		t.file, err = os.Create(filepath.Join(*transcriptDir, t.name+".log"))
		must(err)
		out = io.MultiWriter(t.digest, t.file)
	}
	t.out = bufio.NewWriter(out)
	return t
}

// transcriptName converts a name to one that can be a file name and a column of digests.txt.
func transcriptName(name string) string {
	return strings.NewReplacer("/", "_", " ", "_").Replace(name)
}

func (s *transcriptSet) unusedName(name string) string {
	numbered := name
	for i := 2; s.byName[numbered] != nil; i++ {
		numbered = fmt.Sprintf("%s-%03d", name, i)
	}
	return numbered
}

// writeDigests closes all transcripts and writes their list: name, SHA-256 and number of messages.
func (s *transcriptSet) writeDigests() error {
	if *transcriptDir == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list bytes.Buffer
	for _, name := range sortedKeys(s.byName) {
		t := s.byName[name]
		if err := t.close(); err != nil {
			return err
		}
		fmt.Fprintf(&list, "%s %x %d\n", t.name, t.digest.Sum(nil), t.count)
	}
	return os.WriteFile(filepath.Join(*transcriptDir, digestsFile), list.Bytes(), 0o644)
}

func (t *transcript) close() error {
	err := t.out.Flush()
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	return err
}

// record adds one message.
func (t *transcript) record(sentAt clock.Micros, from, to, message string, body []byte) {
	t.count++
	fmt.Fprintf(t.out, "%d %s > %s: %s ", int64(sentAt), from, to, message)
	_, err := t.out.Write(body)
	must(err)
	must(t.out.WriteByte('\n'))
}

// recordSent records a message without a body.
func (c *simController) recordSent(to, message string) {
	if t := c.world.transcript; t != nil {
		t.record(c.world.now, c.name, to, message, nil)
	}
}

// recordJSON records a message with a body in JSON.
func (c *simController) recordJSON(to, message string, body any) {
	t := c.world.transcript
	if t == nil {
		return
	}
	raw, err := json.Marshal(body)
	must(err)
	t.record(c.world.now, c.name, to, message, raw)
}

// recordFrame records a message to another controller.
func (c *simController) recordFrame(to *simController, frame any) {
	t := c.world.transcript
	if t == nil {
		return
	}
	raw, err := msgpack.Marshal(frame)
	must(err)
	sorted, err := sortFrame(raw)
	must(err)
	t.record(c.world.now, c.name, to.name, "frame", hex.AppendEncode(nil, sorted))
}

// recordTxn records a transaction in the form in which the state service's client encodes it.
func (c *simController) recordTxn(t wire.Txn) {
	if t.Conditions == nil {
		t.Conditions = []wire.Condition{}
	}
	c.recordJSON(toStore, "POST /multi", t)
}

// recordRead records a read of one key.
func (c *simController) recordRead(key string) {
	if c.world.transcript != nil {
		c.recordSent(toStore, "GET /store/"+key)
	}
}

// recordList records a read of all keys with a prefix.
func (c *simController) recordList(prefix string) {
	if c.world.transcript != nil {
		c.recordSent(toStore, "GET /store?prefix="+url.QueryEscape(prefix))
	}
}

// recordWatch records a watch request for keys with a prefix.
func (c *simController) recordWatch(prefix string, since uint64) {
	if c.world.transcript != nil {
		c.recordSent(toStore, fmt.Sprintf("GET /watch?prefix=%s&since=%d", url.QueryEscape(prefix), since))
	}
}

// recordLeaseGrant records a request for a store lease.
func (c *simController) recordLeaseGrant(ttl clock.Micros) {
	c.recordJSON(toStore, "POST /grants", wire.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)})
}

// recordLeaseRenewal records the renewal of a store lease.
func (c *simController) recordLeaseRenewal(lease uint64) {
	c.recordSent(toStore, "POST /grants/"+strconv.FormatUint(lease, 10)+"/touch")
}

// recordLeaseRevocation records the revocation of a store lease.
func (c *simController) recordLeaseRevocation(lease uint64) {
	c.recordSent(toStore, "DELETE /grants/"+strconv.FormatUint(lease, 10))
}

// responderFunc adapts a function to shard.Responder.
type responderFunc func(shard.HeartbeatReply)

// Respond implements shard.Responder.
func (f responderFunc) Respond(reply shard.HeartbeatReply) { f(reply) }

// recordHeartbeatReply records the reply to an agent's heartbeat.
func (c *simController) recordHeartbeatReply(machine string, reply shard.HeartbeatReply) {
	message := "answer " + strconv.Itoa(reply.Status)
	switch reply.Status {
	case 200:
		c.recordJSON(toAgent(machine), message, reply.Body)
	case 421:
		c.recordJSON(toAgent(machine), message, reply.Redirect)
	default:
		c.recordSent(toAgent(machine), message)
	}
}

// recordUserReply records the response to a user as the service encodes it, and returns it.
func (c *simController) recordUserReply(request string, r api.Result) api.Result {
	var body any = r.Status
	if r.Code >= 400 {
		body = wire.ErrorResponse{Error: r.Reason}
	}
	c.recordJSON(toUser, request+": "+strconv.Itoa(r.Code), body)
	return r
}

// sortFrame sorts the entries of every map in a MessagePack value by their encoded keys, because the encoder writes
// them in any order. Everything else is copied unchanged.
func sortFrame(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	err := copySorted(&out, msgpack.NewDecoder(bytes.NewReader(raw)))
	return out.Bytes(), err
}

func copySorted(out *bytes.Buffer, in *msgpack.Decoder) error {
	code, err := in.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case code&0xf0 == 0x90 || code == 0xdc || code == 0xdd:
		return copyArray(out, in)
	case code&0xf0 == 0x80 || code == 0xde || code == 0xdf:
		return copyMap(out, in)
	}
	value, err := in.DecodeRaw()
	out.Write(value)
	return err
}

func copyArray(out *bytes.Buffer, in *msgpack.Decoder) error {
	n, err := in.DecodeArrayLen()
	if err == nil {
		err = msgpack.NewEncoder(out).EncodeArrayLen(n)
	}
	for i := 0; i < n && err == nil; i++ {
		err = copySorted(out, in)
	}
	return err
}

func copyMap(out *bytes.Buffer, in *msgpack.Decoder) error {
	n, err := in.DecodeMapLen()
	if err == nil {
		err = msgpack.NewEncoder(out).EncodeMapLen(n)
	}
	var entries [][]byte
	for i := 0; i < n && err == nil; i++ {
		var entry bytes.Buffer // the key followed by the value
		if err = copySorted(&entry, in); err == nil {
			err = copySorted(&entry, in)
		}
		entries = append(entries, entry.Bytes())
	}
	slices.SortFunc(entries, bytes.Compare)
	for _, entry := range entries {
		out.Write(entry)
	}
	return err
}
