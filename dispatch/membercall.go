package dispatch

import (
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// call sends a call about member i unless one was sent lately.
func (s *State) call(d *drive, i int, op Operation, o upstream.Order) {
	m := &d.members[i]
	if m.calledAt != 0 && s.now-m.calledAt < callAgain {
		return
	}
	m.calledAt = max(s.now, 1)
	c := MemberCall{
		Operation: op, Job: d.job, Attempt: d.attempt, Index: i,
		Worker: m.worker, Address: s.address(m.worker), Order: o,
	}
	if op == OpStop {
		c.Grace = s.StopGrace
	}
	s.emit(Effect{Member: &c})
}

// onMember takes the result of a call about a member.
func (s *State) onMember(e *MemberResult) {
	d := s.drives[e.Job]
	if d == nil || d.attempt != e.Attempt || e.Index >= len(d.members) {
		return
	}
	m := &d.members[e.Index]
	s.onAnswer(s.view(m.worker), e)
	if m.ended() {
		return
	}
	if e.Err == nil {
		r := e.Report
		m.report = &r
		s.step(d)
		return
	}
	if !fault.NothingDone(e.Err) || fault.KindOf(e.Err) == fault.Unavailable {
		return
	}
	if e.Operation != OpStop && d.phase != phaseStop {
		s.stopDrive(d, fault.As(e.Err).Message)
	}
}

// onAnswer notes when a worker has answered a call, and when it refused a
// reservation.
func (s *State) onAnswer(v *workerView, e *MemberResult) {
	refused := fault.KindOf(e.Err) == fault.Refused
	if e.Err == nil || refused {
		v.answered = s.now
	}
	if refused && e.Operation == OpReserve {
		v.refusedAt = s.now
	}
}
