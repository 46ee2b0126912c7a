package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// handleHeartbeat answers an agent's heartbeat.
func (h *Holder) handleHeartbeat(now clock.Micros, m HeartbeatReceived) {
	reply := h.replyTo(now, m.Heartbeat)
	reply.ReplyTo = m.ReplyTo
	h.emit(reply)
}

// replyTo applies a heartbeat and returns the reply to it.
func (h *Holder) replyTo(now clock.Micros, heartbeat *wire.Heartbeat) HeartbeatReply {
	if len(h.holders) == 0 {
		return HeartbeatReply{Status: statusUnavailable}
	}
	id := ForMachine(heartbeat.Machine, len(h.holders))
	s := h.shards[id]
	if s == nil || s.lease.hasExpired(now) {
		if s != nil && s.machines[heartbeat.Machine] != nil {
			s.machines[heartbeat.Machine].agent.recordIfOutdated(now, heartbeat)
		}
		return h.redirect(id)
	}
	if heartbeat.FencingToken > s.lease.fencingToken {
		// A newer holder of the shard has sent its token to this machine.
		h.dropShard(s)
		return HeartbeatReply{Status: statusMisdirected}
	}
	m := s.ensureMachine(heartbeat.Machine)
	if m.terminated {
		return HeartbeatReply{Status: statusUnavailable}
	}
	if m.agent.recordIfOutdated(now, heartbeat) {
		h.probeForRestart(now, s, m, heartbeat)
		return HeartbeatReply{Status: statusUnavailable}
	}
	m.agent.recordHeartbeat(heartbeat)
	if h.agentLostLease(now, m, heartbeat) {
		h.markUnreachable(now, s, m)
	}
	commands := limitToOneReply(h.applyStatus(now, s, m, heartbeat, fromHeartbeat))
	m.agent.lastReply = now
	body := wire.HeartbeatResponse{FencingToken: s.lease.fencingToken, Commands: commands}
	return HeartbeatReply{Status: statusOK, Body: body}
}

// redirect returns a reply that names the holder of the agent's shard. The reply names no holder if this controller is
// the only known holder.
func (h *Holder) redirect(shard int) HeartbeatReply {
	holder := h.holders[shard]
	if holder == h.params.Controller {
		holder = ""
	}
	return HeartbeatReply{Status: statusMisdirected, Redirect: wire.Redirect{Controller: holder}}
}

// agentLostLease reports whether an agent's lease expired although its heartbeats were answered, which shows that the
// replies do not reach the agent.
func (h *Holder) agentLostLease(now clock.Micros, m *machine, heartbeat *wire.Heartbeat) bool {
	newEpoch := m.agent.epoch > 0 && heartbeat.AgentEpoch > m.agent.epoch
	answeredRecently := m.agent.lastReply > 0 && now-m.agent.lastReply < h.params.AgentLease
	return newEpoch && answeredRecently && m.fence.confirmed
}

// recordStatus stores what a status says about the machine itself. The caller has checked that the status is newer than
// all earlier statuses.
func (h *Holder) recordStatus(now clock.Micros, s *heldShard, m *machine, status *wire.Heartbeat) {
	info := infoFrom(status)
	sameInfo := m.info.typeName == info.typeName && m.info.preemptionNotice == info.preemptionNotice
	noLongerSilent := m.silent && !m.commands.isUnreachable()
	if !sameInfo || m.leaseExpired || noLongerSilent {
		s.markChanged(m)
		m.silent = m.silent && m.commands.isUnreachable()
	}
	h.lastStatus = now
	m.agent.record(now, status)
	m.info = info
	m.leaseExpired = false
}
