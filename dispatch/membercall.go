package dispatch

import (
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// sendMemberCall sends a call about member i unless one was sent less than
// callRetryInterval ago.
func (s *State) sendMemberCall(a *activeAttempt, i int, op Operation, o upstream.Order) {
	m := &a.members[i]
	if m.calledAt != 0 && s.now-m.calledAt < callRetryInterval {
		return
	}
	m.calledAt = max(s.now, 1)
	c := MemberCall{
		Operation: op, Job: a.job, Attempt: a.number, Index: i,
		Worker: m.worker, Address: s.address(m.worker), Order: o,
	}
	if op == OpStop {
		c.Grace = s.StopGrace
	} else {
		m.ordersInFlight++
	}
	s.emit(Effect{Member: &c})
}

// onMember processes the result of a call about a member.
func (s *State) onMember(e *MemberResult) {
	a := s.attempts[e.Job]
	if a == nil || a.number != e.Attempt || e.Index >= len(a.members) {
		return
	}
	m := &a.members[e.Index]
	s.noteMemberReply(s.view(m.worker), e)
	if e.Operation != OpStop {
		m.ordersInFlight = max(0, m.ordersInFlight-1)
		if !fault.NothingDone(e.Err) {
			// The worker may have received the order, which begins a lease, at any time until now.
			m.renewedAt = s.now
		}
	}
	if m.ended() {
		return
	}
	if e.Err == nil {
		r := e.Report
		m.report = &r
		s.stepAttempt(a)
		return
	}
	if !fault.NothingDone(e.Err) || fault.KindOf(e.Err) == fault.Unavailable {
		// The result is unknown or the call did not get through: the next step
		// of the attempt repeats it.
		return
	}
	if e.Operation != OpStop && a.phase != phaseStop {
		s.stopAttempt(a, fault.As(e.Err).Message)
	}
}

// noteMemberReply stores when a worker answered a call, and when it refused a
// reservation.
func (s *State) noteMemberReply(v *workerView, e *MemberResult) {
	refused := fault.KindOf(e.Err) == fault.Refused
	if e.Err == nil || refused {
		v.answeredAt = s.now
	}
	if refused && e.Operation == OpReserve {
		v.refusedAt = s.now
	}
}
