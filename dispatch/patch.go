package dispatch

import (
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// onPatched processes an accepted patch. The patch may have closed a data
// centre. In that case, its jobs have moved to another data centre or ended
// without a record of their own.
func (s *State) onPatched() {
	s.dirty = true
	for _, id := range sortedKeys(s.attempts) {
		if a := s.attempts[id]; !s.stillPlaced(a) {
			s.stopAndDropAttempt(a)
		}
	}
	for _, id := range sortedKeys(s.reservations) {
		if j := s.Ledger.Jobs[id]; j == nil || j.DataCentre != s.DataCentre {
			delete(s.reservations, id)
		}
	}
	s.answerFinished()
}

// stillPlaced reports whether a is still the placed attempt of its job in this
// data centre, according to the log.
func (s *State) stillPlaced(a *activeAttempt) bool {
	j := s.Ledger.Jobs[a.job]
	return j != nil && j.State == ledger.Placed && j.DataCentre == s.DataCentre && j.Attempt == a.number
}

// stopAndDropAttempt sends a stop call for each member that may still run, and
// discards the attempt without waiting for the answers. The attempt's job was
// moved or ended by an operator's patch.
func (s *State) stopAndDropAttempt(a *activeAttempt) {
	for i := range a.members {
		if m := &a.members[i]; !m.ended() {
			m.calledAt = 0
			s.sendMemberCall(a, i, OpStop, upstream.Order{Task: m.task, Term: s.term(), Incarnation: m.incarnation})
		}
	}
	s.dropAttempt(a.job)
}

// answerFinished answers all callers that wait for a job that has ended.
func (s *State) answerFinished() {
	for _, id := range sortedKeys(s.jobWaits) {
		if j := s.Ledger.Jobs[id]; j != nil && j.State == ledger.Finished {
			s.answerWaits(id)
		}
	}
}
