package dispatch

import (
	"github.com/limpetrelay/limpetrelay/upstream"
)

// lapse marks the members whose worker has been silent for longer than their
// lease.
func (s *State) lapse(d *drive) {
	lease := s.lease(len(d.members))
	for i := range d.members {
		m := &d.members[i]
		if !m.ended() && s.now-m.renewed > lease+leaseMargin && s.view(m.worker).silent(s.now) > lease+leaseMargin {
			m.lapsed = true
		}
	}
}

// lease returns the lease of the members of a gang of n.
func (s *State) lease(n int) int64 {
	if n > 1 {
		return s.GangLease
	}
	return s.TaskLease
}

// renewals returns the tasks on a worker whose leases are to be renewed. A
// gang is renewed only while every member has been heard of lately, so that
// the rest lapses when one is lost, even with no placer alive.
func (s *State) renewals(worker string) []string {
	var ids []string
	for _, d := range s.drivesOn(worker) {
		if d.phase == phaseStop || d.phase == phaseDone || len(d.members) > 1 && !s.whole(d) {
			continue
		}
		for i := range d.members {
			if d.members[i].worker == worker {
				ids = append(ids, d.members[i].task)
			}
		}
	}
	return ids
}

// whole reports whether every member of a gang was heard of by this host within
// half of its lease. A gang that this host has just placed counts as whole for
// that time. One that it has taken over does not: otherwise each further
// take-over would keep the rest of a broken gang running for longer.
func (s *State) whole(d *drive) bool {
	half := s.GangLease / 2
	for i := range d.members {
		m := &d.members[i]
		if m.ended() && m.report != nil && m.report.Outcome == upstream.Completed {
			continue
		}
		heard := s.view(m.worker).heard
		if d.phase == phaseReserve || d.phase == phaseStart {
			heard = max(heard, d.placedAt)
		}
		if m.ended() || heard < 0 || s.now-heard > half {
			return false
		}
	}
	return true
}

// renewed notes that a renewal sent at the given time has arrived.
func (s *State) renewed(worker, task string, sent int64) {
	for _, d := range s.drivesOn(worker) {
		for i := range d.members {
			if d.members[i].task == task {
				d.members[i].renewed = max(d.members[i].renewed, sent)
				return
			}
		}
	}
}
