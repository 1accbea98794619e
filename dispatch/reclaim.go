package dispatch

import (
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// reservation is a set of cells that the placer sets aside for one job before it
// places the job. Only the placer has it; workers reserve slots for the tasks of
// a placed job (see upstream.Worker.Reserve).
type reservation struct {
	organisation string
	cells        []rack.Cell
	// virtual lists the virtual cells of the organisation's guarantee that the
	// job will use. It is empty for a borrower, a job outside the guarantee.
	virtual []rack.Cell
	since   int64
	// placing is set while the Place record has no verdict.
	placing bool
	// overdue is set for the reservation of an overdue gang, which waits for
	// its cells without preempting other jobs.
	overdue bool
	// migrating is set for a job that was stopped in order to run on these
	// cells.
	migrating bool
}

// placeReserved places a job on the cells reserved for it once they are all
// free. It cancels the reservation when a cell cannot be used any more or does
// not become free in time. It reports whether the job is being placed.
func (s *State) placeReserved(r *schedulingRound, j *ledger.Job, res *reservation) bool {
	for _, c := range res.cells {
		if s.usableSlots(c.Node)&c.Mask != c.Mask {
			delete(s.reservations, j.ID)
			s.dirty = true
			return false
		}
	}
	for _, c := range res.cells {
		if r.plan.AllocatedSlots(c.Node)&c.Mask != 0 {
			if !res.overdue && s.unresponsive(c.Node, res.since) {
				// The worker cannot confirm that its cells are free before the
				// leases of its tasks expire.
				delete(s.reservations, j.ID)
				s.dirty = true
				return false
			}
			timeout := int64(reservationTimeout)
			if res.overdue {
				timeout = int64(keepAgeShare * float64(s.gangAgeLimit()))
			}
			if s.now-res.since > timeout {
				delete(s.reservations, j.ID)
			}
			return false
		}
	}
	if len(res.virtual) > 0 && !r.plan.PreservesGuarantees(res.organisation, res.cells, res.virtual) {
		delete(s.reservations, j.ID)
		s.dirty = true
		return false
	}
	s.recordPlacement(r, j, res.cells, res.virtual)
	return true
}

// reclaim preempts the borrowers on cells and reserves the cells for q.
func (s *State) reclaim(r *schedulingRound, q *policy.QueuedJob, cells, virtual []rack.Cell) {
	s.reservations[q.Job] = &reservation{organisation: q.Organisation, cells: cells, virtual: virtual, since: s.now}
	r.plan.Allocate(q.Organisation, nil, virtual)
	r.markUsed(cells)
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		j := s.Ledger.Jobs[id]
		if j == nil || j.Guaranteed || !overlaps(j.Members, cells) {
			continue
		}
		s.observe(j.Spec.Organisation, j.Spec.Class, "reclaimed", 1)
		s.stopAttempt(a, "its cells were reclaimed for the guarantee of "+q.Organisation)
	}
	s.dirty = true
}

// overlaps reports whether any member uses slots of cells.
func overlaps(ms []record.Member, cells []rack.Cell) bool {
	for _, m := range ms {
		for _, c := range cells {
			if m.Worker == c.Node && m.Mask&c.Mask != 0 {
				return true
			}
		}
	}
	return false
}

// slotCount returns the number of slots of members.
func slotCount(ms []record.Member) int {
	n := 0
	for _, m := range ms {
		n += m.Mask.Count()
	}
	return n
}

// rankByLostWork ranks nodes by the cost of preempting the borrowers on them,
// lowest first, and then by best fit.
func (s *State) rankByLostWork(r *schedulingRound) rack.Rank {
	lost := map[string]int64{}
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		j := s.Ledger.Jobs[id]
		if j == nil || j.Guaranteed {
			continue
		}
		cost := s.preemptionCost(j, a)
		for _, m := range j.Members {
			lost[m.Worker] += cost
		}
	}
	return func(n *rack.Node, split rack.Level) int {
		if r.free.Node(n.Name) == nil {
			return 1 << 30
		}
		return int(min(lost[n.Name], 1<<40))*rack.NumLevels + int(split)
	}
}

// preemptionCost returns the cost of preempting a borrower: its work so far in
// slot-seconds, multiplied for urgent jobs and doubled for each earlier
// attempt, so that the same job is not preempted again and again. An
// at-most-once job cannot be repeated, so it is preempted last.
func (s *State) preemptionCost(j *ledger.Job, a *activeAttempt) int64 {
	const (
		urgentFactor   = 8
		atMostOnceCost = 1 << 22
		maxDoublings   = 6
	)
	cost := (s.now-a.placedAt)/1000 + 1
	cost *= int64(slotCount(j.Members)) << min(max(j.Attempt-1, 0), maxDoublings)
	if j.Spec.Urgent || s.Ledger.Config.Classes[j.Spec.Class].Urgent {
		cost *= urgentFactor
	}
	if j.Spec.AtMostOnce {
		cost += atMostOnceCost
	}
	return cost
}
