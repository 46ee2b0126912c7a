package controller

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"swiftledge/internal/cloud"
	"swiftledge/internal/leader"
)

// Guards against machines that stay marked as being deleted for ever: a deletion that was dropped because the queue of
// cloud requests was full had no result.
func TestDroppedDeletionIsReportedAsFailed(t *testing.T) {
	leaderMailbox := newMailbox[leader.Message](minMailboxSize)
	worker := newCloudWorker(cloud.New(unusedAddress(t), 1), leaderMailbox, slog.New(slog.DiscardHandler))
	for range cloudQueueSize {
		if !worker.enqueue(func(context.Context) {}) {
			t.Fatal("request dropped before the queue is full")
		}
	}
	var background sync.WaitGroup
	worker.deleteMachines(&background, leader.DeleteMachines{Term: 7, Machines: []string{"m1", "m2"}})
	background.Wait()
	select {
	case message := <-leaderMailbox.messages:
		deleted, ok := message.(leader.MachinesDeleted)
		if !ok || deleted.Term != 7 || len(deleted.Machines) != 2 || deleted.Err == nil {
			t.Errorf("leader received %+v, want a failed deletion of both machines in term 7", message)
		}
	default:
		t.Error("leader received no result of the dropped deletion")
	}
}
