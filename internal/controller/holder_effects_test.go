package controller

import (
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// receivedMessage returns the message in a mailbox. It fails the test if there is none.
func receivedMessage(t *testing.T, actor mailbox[shard.Message]) shard.Message {
	t.Helper()
	select {
	case message := <-actor.messages:
		return message
	default:
		t.Fatal("no message, want the result of the effect")
		return nil
	}
}

// Guards against a holder that waits for ever: commands and attempt records that cannot be encoded had no result.
func TestEffectsThatCannotBeEncodedHaveResults(t *testing.T) {
	infinite := math.Inf(1)
	cfg := singleControllerConfig(t, unusedAddress(t))
	c := New(cfg, slog.New(slog.DiscardHandler))

	kill := wire.Command{Verb: wire.VerbKill, GraceS: &infinite}
	c.sendCommands(t.Context(), shard.SendCommands{
		Machine: "m1", Address: unusedAddress(t), Body: wire.CommandBatch{Commands: []wire.Command{kill}},
	})
	answer, ok := receivedMessage(t, c.holder).(shard.CommandsAnswered)
	if !ok || answer.Code != shard.NotSent || answer.Request.Machine != "m1" {
		t.Errorf("result of the commands is %+v, want that they were not sent to m1", answer)
	}

	page := peer.AttemptPage{Groups: []peer.AttemptGroup{{Job: "j-000001", CPUs: infinite}}}
	c.writeAttempts(t.Context(), shard.WriteAttempts{Seq: 3, Pages: []shard.PageWrite{{Key: "run/000/1-1", Page: page}}})
	written, ok := receivedMessage(t, c.holder).(shard.AttemptsWritten)
	if !ok || written.Seq != 3 || written.Committed || !written.NeverExecuted {
		t.Errorf("result of the write is %+v, want that write 3 was never executed", written)
	}
}

// An agent that refuses the connection certainly gets no commands. An agent that accepts the connection and does not
// answer may have executed them.
func TestCommandsWithoutAnswerAreToldFromUnsentOnes(t *testing.T) {
	c := New(singleControllerConfig(t, unusedAddress(t)), slog.New(slog.DiscardHandler))
	refused, err := c.agents.sendCommands(t.Context(), shard.SendCommands{Address: unusedAddress(t)})
	if err != nil || refused.Code != shard.NotSent {
		t.Errorf("refused connection: code %d, error %v; want NotSent", refused.Code, err)
	}
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer silent.Close()
	request := shard.SendCommands{Address: silent.Listener.Addr().String()}
	unanswered, err := c.agents.sendCommands(t.Context(), request)
	if err != nil || unanswered.Code != shard.NoAnswer {
		t.Errorf("connection closed without an answer: code %d, error %v; want NoAnswer", unanswered.Code, err)
	}
}
