package controller

import (
	"context"
	"errors"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// holderUp and holderDown change who the holder speaks to: a *peer.LeaderLink or a localLink.
type (
	holderUp struct {
		epoch cluster.Term
		link  any
	}
	holderDown struct {
		epoch cluster.Term
		link  any
	}
)

func (n *Controller) runHolder(ctx context.Context) {
	h := shard.FromConfig(n.cfg, n.health.ok)
	var link any
	for msg := range n.holder {
		switch m := msg.(type) {
		case holderUp:
			if l, ok := link.(*peer.LeaderLink); ok && l != m.link {
				l.Close()
			}
			link = m.link
			slow := false
			if l, ok := m.link.(*peer.LeaderLink); ok {
				slow = l.ViaStore()
			}
			msg = shard.LeaderConnected{Term: m.epoch, ViaStore: slow}
		case holderDown:
			if link != m.link {
				continue
			}
			link = nil
			msg = shard.LeaderDisconnected{Term: m.epoch}
		case *peer.FromLeader:
			msg = shard.LeaderMessage{Message: m}
		}
		for _, fx := range h.Step(n.clock.Now(), msg.(shard.Message)) {
			n.holderEffect(ctx, link, fx)
		}
	}
}

func (n *Controller) holderEffect(ctx context.Context, link any, fx shard.Effect) {
	switch x := fx.(type) {
	case shard.SendToLeader:
		switch l := link.(type) {
		case *peer.LeaderLink:
			l.Send(&x.Message)
		case localLink:
			n.leader <- leader.HolderMessage{Controller: n.cfg.Name, Link: l, Message: &x.Message}
		}
	case shard.HeartbeatReply:
		x.ReplyTo.Respond(x)
	case shard.RecordSpan:
		n.tracer.Post(x.Span)
	case shard.PauseDetected:
		n.pauses <- x.Pause
	case shard.Log:
		n.log.Warn(x.Message, x.Attributes...)
	case shard.SendCommands:
		go n.direct(x)
	case shard.InspectAgent:
		go n.inspect(x)
	case shard.WriteAttempts:
		// No task of it is ordered before the store has said yes.
		go n.keep(ctx, store.PriorityAttempts, x.Txn, func(o store.TxnResult) shard.Message { return x.Result(o) })
	case shard.CompactPages:
		go n.keep(ctx, store.PriorityBackground, x.Txn, func(o store.TxnResult) shard.Message { return x.Result(o) })
	case shard.DeletePages:
		go func() {
			if _, err := n.store.TryCommit(ctx, store.PriorityBackground, x.Txn()); err != nil {
				// They stay as upper bounds until the block's next grant.
				n.log.Debug("start records not erased", "error", err)
			}
		}()
	}
}

// direct sends a command to a worker and brings back what became of it.
func (n *Controller) direct(o shard.SendCommands) {
	n.commandSlots <- struct{}{}
	defer func() { <-n.commandSlots }()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	done := shard.CommandsAnswered{Request: o}
	raw, err := json.Marshal(o.Body)
	if err != nil {
		n.log.Error("encode orders", "error", err)
		return
	}
	req.Header.SetMethod("POST")
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + o.Address + "/orders")
	req.SetBodyRaw(raw)
	if n.dialled.count() > n.cfg.MaxCommandConnections() {
		req.SetConnectionClose()
	}
	switch err := n.workers.DoTimeout(req, res, 3*time.Second); {
	case errors.Is(err, errDial):
		done.Code = shard.NotSent
	case err == nil:
		done.Code = res.StatusCode()
		var r wire.Heartbeat
		if (done.Code == 200 || done.Code == 409) && json.Unmarshal(res.Body(), &r) == nil && r.Machine == o.Machine {
			done.Status = &r
		}
	}
	n.holder <- done
}

// inspect asks a worker for its report.
func (n *Controller) inspect(x shard.InspectAgent) {
	n.commandSlots <- struct{}{}
	defer func() { <-n.commandSlots }()
	done := shard.InspectionAnswered{Request: x}
	status, body, err := n.workers.GetTimeout(nil, "http://"+x.Address+"/inspect", 2*time.Second)
	var r wire.Heartbeat
	if err == nil && status == 200 && json.Unmarshal(body, &r) == nil && r.Machine == x.Machine {
		done.Status = &r
	}
	n.holder <- done
}

// keep writes start records and tells the holder what became of it.
func (n *Controller) keep(ctx context.Context, prio store.Priority, txn func() (wire.Txn, error), settled func(store.TxnResult) shard.Message) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	t, err := txn()
	if err != nil {
		n.log.Error("start records", "error", err)
		return
	}
	o, err := n.store.Commit(ctx, prio, t)
	if err != nil {
		n.log.Debug("start records not written", "error", err)
	}
	n.holder <- settled(o)
}
