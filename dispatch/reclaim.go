package dispatch

import (
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// hold keeps cells free for a job.
type reservation struct {
	organisation string
	cells        []rack.Cell
	virtual      []rack.Cell
	since        int64
	// placing is set while the Place record is on its way.
	placing bool
	// aged is set for the reservation of an aged gang, which waits for its
	// cells without stopping anyone.
	overdue bool
	// moving is set while the job that the cells are for still runs elsewhere.
	migrating bool
}

// placeHeld places a job on the cells that were held for it, once they are
// free.
func (s *State) placeReserved(r *schedulingRound, j *ledger.Job, res *reservation) bool {
	for _, c := range res.cells {
		if s.usableSlots(c.Node)&c.Mask != c.Mask {
			delete(s.reservations, j.ID)
			s.dirty = true
			return false
		}
	}
	for _, c := range res.cells {
		if r.plan.Taken(c.Node)&c.Mask != 0 {
			if !res.overdue && s.unresponsive(c.Node, res.since) {
				// Its cells cannot be proved free before its leases lapse.
				delete(s.reservations, j.ID)
				s.dirty = true
				return false
			}
			patience := int64(reservationTimeout)
			if res.overdue {
				patience = int64(keepAgeShare * float64(s.gangAge()))
			}
			if s.now-res.since > patience {
				delete(s.reservations, j.ID)
			}
			return false
		}
	}
	if len(res.virtual) > 0 && !r.plan.Keeps(res.organisation, res.cells, res.virtual) {
		delete(s.reservations, j.ID)
		s.dirty = true
		return false
	}
	s.recordPlacement(r, j, res.cells, res.virtual)
	return true
}

// reclaim stops the borrowers on cells and holds the cells for c.
func (s *State) reclaim(r *schedulingRound, c *policy.Candidate, cells, virtual []rack.Cell) {
	s.reservations[c.Job] = &reservation{organisation: c.Organisation, cells: cells, virtual: virtual, since: s.now}
	r.plan.Take(c.Organisation, nil, virtual)
	r.markUsed(cells)
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		j := s.Ledger.Jobs[id]
		if j == nil || j.Guaranteed || !overlaps(j.Members, cells) {
			continue
		}
		s.observe(j.Spec.Organisation, j.Spec.Class, "reclaimed", 1)
		s.stopAttempt(a, "its cells were reclaimed for the guarantee of "+c.Organisation)
	}
	s.dirty = true
}

// overlaps reports whether any member holds slots of cells.
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

// slotsOf returns the number of slots of members.
func slotCount(ms []record.Member) int {
	n := 0
	for _, m := range ms {
		n += m.Mask.Count()
	}
	return n
}

// cheapest ranks nodes by the work, in seconds, that would be lost by stopping
// the borrowers on them, and then by best fit.
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
	return func(n *rack.Node, broken rack.Level) int {
		if r.free.Node(n.Name) == nil {
			return 1 << 30
		}
		return int(min(lost[n.Name], 1<<40))*rack.NumLevels + int(broken)
	}
}

// stopCost returns what stopping a borrower costs: its work so far, in
// slot-seconds, more for urgent jobs and for each attempt that was stopped
// before, so that no job is stopped again and again. A once-only job cannot be
// repeated, so it is stopped last.
func (s *State) preemptionCost(j *ledger.Job, a *activeAttempt) int64 {
	const (
		urgentFactor = 8
		onceCost     = 1 << 22
		mostDoubled  = 6
	)
	cost := (s.now-a.placedAt)/1000 + 1
	cost *= int64(slotCount(j.Members)) << min(max(j.Attempt-1, 0), mostDoubled)
	if j.Spec.Urgent || s.Ledger.Config.Classes[j.Spec.Class].Urgent {
		cost *= urgentFactor
	}
	if j.Spec.Once {
		cost += onceCost
	}
	return cost
}
