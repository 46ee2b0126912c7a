package controller

import (
	"context"
	"log/slog"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
)

// pauseMessage is what the pause log is told.
//
//sumtype:decl
type pauseMessage interface{ pauseMessage() }

// pauseDetected is a pause as one of the actors noticed it.
type pauseDetected struct{ pause pausedetect.Pause }

// pauseQuery asks for the pauses so far.
type pauseQuery struct{ reply chan<- pauseHistory }

func (pauseDetected) pauseMessage() {}
func (pauseQuery) pauseMessage()    {}

// pauseHistory is how often this process was paused, and the last time.
type pauseHistory struct {
	count int
	last  pausedetect.Pause
}

// pauseLogSize is how many messages may wait for the pause log.
const pauseLogSize = 16

// pauseLog is the actor that remembers the pauses of this process and logs each once.
type pauseLog struct {
	log     *slog.Logger
	clock   clock.Steady
	mailbox mailbox[pauseMessage]
}

func newPauseLog(log *slog.Logger, steady clock.Steady) *pauseLog {
	return &pauseLog{log: log, clock: steady, mailbox: newMailbox[pauseMessage](pauseLogSize)}
}

// record takes in a pause that an actor noticed.
func (p *pauseLog) record(pause pausedetect.Pause) { p.mailbox.send(pauseDetected{pause}) }

// run is the actor.
func (p *pauseLog) run(ctx context.Context) {
	defer close(p.mailbox.stopped)
	var recorder pausedetect.Recorder
	var collected <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-p.mailbox.messages:
			switch m := message.(type) {
			case pauseDetected:
				if first := recorder.Add(m.pause); first {
					collected = time.After(pausedetect.CollectionWindow.Duration())
				}
			case pauseQuery:
				last, count := recorder.Last()
				m.reply <- pauseHistory{count, last}
			}
		case <-collected:
			pause := recorder.Close()
			p.log.Warn("process was paused",
				"length_s", pause.Length().Seconds(), "expired", pausedetect.ExpiredText(pause.Expired))
		}
	}
}

// status returns how often this process was paused, and the last pause; nil if there was none.
func (p *pauseLog) status() (int, *peer.PauseStatus) {
	reply := make(chan pauseHistory, 1)
	p.mailbox.send(pauseQuery{reply})
	history, _ := receiveReply(p.mailbox, reply)
	if history.count == 0 {
		return 0, nil
	}
	ago := p.clock.Now() - history.last.End
	return history.count, &peer.PauseStatus{
		AgoS:    ago.Seconds(),
		LengthS: history.last.Length().Seconds(),
		EndedAt: clock.Wall() - ago,
		Expired: history.last.Expired,
	}
}
