package dispatch

import (
	"github.com/limpetrelay/limpetrelay/upstream"
)

// markLapsed marks the members whose worker has been silent for longer than
// their lease.
func (s *State) markLapsed(a *activeAttempt) {
	lease := s.leaseFor(len(a.members))
	for i := range a.members {
		m := &a.members[i]
		v := s.view(m.worker)
		if !m.ended() && !v.renewalInFlight && m.ordersInFlight == 0 && s.now-m.renewedAt > lease+leaseMargin && v.silence(s.now) > lease+leaseMargin {
			m.lapsed = true
		}
	}
}

// leaseFor returns the lease duration of the members of a gang of n, in
// milliseconds.
func (s *State) leaseFor(n int) int64 {
	if n > 1 {
		return s.GangLease
	}
	return s.TaskLease
}

// tasksToRenew returns the tasks on a worker whose leases are to be renewed.
// The leases of a gang are renewed only while every member is known to be
// alive, so that the remaining members lapse when one is lost, even without a
// placer.
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

// allMembersHeard reports whether the worker of every member that has not
// completed answered a heartbeat of this host within half of the gang's lease.
// While this host starts a gang that it has placed, the placement counts as an
// answer of every worker. For a gang that it has taken over it does not:
// otherwise each further takeover would prolong the run of an incomplete gang.
func (s *State) allMembersHeard(a *activeAttempt) bool {
	half := s.GangLease / 2
	for i := range a.members {
		m := &a.members[i]
		if m.ended() && m.report != nil && m.report.Outcome == upstream.Completed {
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

// noteRenewals stores the latest time at which a worker may have received a renewal of the
// leases of tasks.
func (s *State) noteRenewals(worker string, tasks []string, at int64) {
	for _, t := range tasks {
		s.noteRenewal(worker, t, at)
	}
}

// noteRenewal stores the latest time at which a worker may have received a renewal of a
// task's lease.
func (s *State) noteRenewal(worker, task string, at int64) {
	for _, a := range s.attemptsOn(worker) {
		for i := range a.members {
			if a.members[i].task == task {
				a.members[i].renewedAt = max(a.members[i].renewedAt, at)
				return
			}
		}
	}
}
