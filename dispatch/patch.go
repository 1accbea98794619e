package dispatch

import (
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// onPatched follows an accepted patch, which may have closed a data centre: jobs
// then have moved away or ended without a record of their own.
func (s *State) onPatched() {
	s.dirty = true
	for _, id := range sortedKeys(s.drives) {
		if d := s.drives[id]; !s.drivesStill(d) {
			s.letGo(d)
		}
	}
	for _, id := range sortedKeys(s.holds) {
		if j := s.Ledger.Jobs[id]; j == nil || j.DataCentre != s.DataCentre {
			delete(s.holds, id)
		}
	}
	s.answerFinished()
}

// drivesStill reports whether the log still says that d's attempt is placed here.
func (s *State) drivesStill(d *drive) bool {
	j := s.Ledger.Jobs[d.job]
	return j != nil && j.State == ledger.Placed && j.DataCentre == s.DataCentre && j.Attempt == d.attempt
}

// letGo stops the members of an attempt that the operators have given up, as far
// as their workers can be reached, and forgets it.
func (s *State) letGo(d *drive) {
	for i := range d.members {
		if m := &d.members[i]; !m.ended() {
			m.calledAt = 0
			s.call(d, i, OpStop, upstream.Order{Task: m.task, Term: s.term(), Incarnation: m.incarnation})
		}
	}
	s.dropDrive(d.job)
}

// answerFinished answers everyone who waits for a job that has ended.
func (s *State) answerFinished() {
	for _, id := range sortedKeys(s.waits) {
		if j := s.Ledger.Jobs[id]; j != nil && j.State == ledger.Finished {
			s.answerWaits(id)
		}
	}
}
