package dispatch

import (
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// onPatched follows an accepted patch, which may have closed a data centre: jobs
// then have moved away or ended without a record of their own.
func (s *State) onPatched() {
	s.dirty = true
	for _, id := range sortedKeys(s.attempts) {
		if a := s.attempts[id]; !s.stillPlaced(a) {
			s.abandonAttempt(a)
		}
	}
	for _, id := range sortedKeys(s.reservations) {
		if j := s.Ledger.Jobs[id]; j == nil || j.DataCentre != s.DataCentre {
			delete(s.reservations, id)
		}
	}
	s.answerFinished()
}

// drivesStill reports whether the log still says that d's attempt is placed here.
func (s *State) stillPlaced(a *activeAttempt) bool {
	j := s.Ledger.Jobs[a.job]
	return j != nil && j.State == ledger.Placed && j.DataCentre == s.DataCentre && j.Attempt == a.number
}

// letGo stops the members of an attempt that the operators have given up, as far
// as their workers can be reached, and forgets it.
func (s *State) abandonAttempt(a *activeAttempt) {
	for i := range a.members {
		if m := &a.members[i]; !m.ended() {
			m.calledAt = 0
			s.sendMemberCall(a, i, OpStop, upstream.Order{Task: m.task, Term: s.term(), Incarnation: m.incarnation})
		}
	}
	s.dropAttempt(a.job)
}

// answerFinished answers everyone who waits for a job that has ended.
func (s *State) answerFinished() {
	for _, id := range sortedKeys(s.jobWaits) {
		if j := s.Ledger.Jobs[id]; j != nil && j.State == ledger.Finished {
			s.answerWaits(id)
		}
	}
}
