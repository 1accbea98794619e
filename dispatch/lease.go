package dispatch

import (
	"github.com/limpetrelay/limpetrelay/upstream"
)

// lapse marks the members whose worker has been silent for longer than their
// lease.
func (s *State) markLapsed(a *activeAttempt) {
	lease := s.leaseFor(len(a.members))
	for i := range a.members {
		m := &a.members[i]
		if !m.ended() && s.now-m.renewedAt > lease+leaseMargin && s.view(m.worker).silence(s.now) > lease+leaseMargin {
			m.lapsed = true
		}
	}
}

// lease returns the lease of the members of a gang of n.
func (s *State) leaseFor(n int) int64 {
	if n > 1 {
		return s.GangLease
	}
	return s.TaskLease
}

// renewals returns the tasks on a worker whose leases are to be renewed. A
// gang is renewed only while every member has been heard of lately, so that
// the rest lapses when one is lost, even with no placer alive.
func (s *State) tasksToRenew(worker string) []string {
	var ids []string
	for _, a := range s.attemptsOn(worker) {
		if a.phase == phaseStop || a.phase == phaseDone || len(a.members) > 1 && !s.allMembersHeard(a) {
			continue
		}
		for i := range a.members {
			if a.members[i].worker == worker {
				ids = append(ids, a.members[i].task)
			}
		}
	}
	return ids
}

// whole reports whether every member of a gang was heard of by this host within
// half of its lease. A gang that this host has just placed counts as whole for
// that time. One that it has taken over does not: otherwise each further
// take-over would keep the rest of a broken gang running for longer.
func (s *State) allMembersHeard(a *activeAttempt) bool {
	half := s.GangLease / 2
	for i := range a.members {
		m := &a.members[i]
		if m.ended() && m.report != nil && m.report.End == upstream.Completed {
			continue
		}
		heard := s.view(m.worker).heardAt
		if a.phase == phaseReserve || a.phase == phaseStart {
			heard = max(heard, a.placedAt)
		}
		if m.ended() || heard < 0 || s.now-heard > half {
			return false
		}
	}
	return true
}

// renewed notes that a renewal sent at the given time has arrived.
func (s *State) recordRenewal(worker, task string, sent int64) {
	for _, a := range s.attemptsOn(worker) {
		for i := range a.members {
			if a.members[i].task == task {
				a.members[i].renewedAt = max(a.members[i].renewedAt, sent)
				return
			}
		}
	}
}
