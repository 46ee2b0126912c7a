package controller

import (
	"context"
	"log/slog"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
)

// pauseMessage is a message to the pause log.
//
//sumtype:decl
type pauseMessage interface{ pauseMessage() }

// pauseDetected reports a process pause that one of the actors has detected.
type pauseDetected struct{ pause pausedetect.Pause }

// pauseQuery requests the pause history.
type pauseQuery struct{ reply chan<- pauseHistory }

func (pauseDetected) pauseMessage() {}
func (pauseQuery) pauseMessage()    {}

// pauseHistory holds the number of pauses of this process and the last pause.
type pauseHistory struct {
	count int
	last  pausedetect.Pause
}

// pauseLogMailboxSize is the capacity of the pause log's mailbox.
const pauseLogMailboxSize = 16

// pauseLog is the actor that records the pauses of this process and logs each pause once.
type pauseLog struct {
	log     *slog.Logger
	clock   clock.Steady
	mailbox mailbox[pauseMessage]
}

func newPauseLog(log *slog.Logger, steady clock.Steady) *pauseLog {
	return &pauseLog{log: log, clock: steady, mailbox: newMailbox[pauseMessage](pauseLogMailboxSize)}
}

// record records a pause that an actor has detected.
func (p *pauseLog) record(pause pausedetect.Pause) { p.mailbox.send(pauseDetected{pause}) }

// run is the main loop of the actor. Several actors detect the same pause: their reports are collected for a short
// time and logged as one pause.
func (p *pauseLog) run(ctx context.Context) {
	defer close(p.mailbox.stopped)
	var recorder pausedetect.Recorder
	var collectionEnd <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-p.mailbox.messages:
			switch m := message.(type) {
			case pauseDetected:
				if first := recorder.Add(m.pause); first {
					collectionEnd = time.After(pausedetect.CollectionWindow.Duration())
				}
			case pauseQuery:
				last, count := recorder.Last()
				m.reply <- pauseHistory{count, last}
			}
		case <-collectionEnd:
			pause := recorder.Close()
			p.log.Warn("process was paused",
				"length_s", pause.Length().Seconds(), "expired", pausedetect.ExpiredText(pause.Expired))
		}
	}
}

// status returns the number of pauses of this process and the last pause, which is nil if there was none.
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
