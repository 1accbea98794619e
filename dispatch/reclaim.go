package dispatch

import (
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// hold keeps cells free for a job.
type hold struct {
	org      string
	cells    []rack.Cell
	abstract []rack.Cell
	since    int64
	// placing is set while the Place record is on its way.
	placing bool
	// aged is set for the reservation of an aged gang, which waits for its
	// cells without stopping anyone.
	aged bool
	// moving is set while the job that the cells are for still runs elsewhere.
	moving bool
}

// placeHeld places a job on the cells that were held for it, once they are
// free.
func (s *State) placeHeld(r *planning, j *ledger.Job, h *hold) bool {
	for _, c := range h.cells {
		if s.usable(c.Node)&c.Mask != c.Mask {
			delete(s.holds, j.ID)
			s.dirty = true
			return false
		}
	}
	for _, c := range h.cells {
		if r.plan.AllocatedSlots(c.Node)&c.Mask != 0 {
			if !h.aged && s.owes(c.Node, h.since) {
				// Its cells cannot be proved free before its leases lapse.
				delete(s.holds, j.ID)
				s.dirty = true
				return false
			}
			patience := int64(holdPatience)
			if h.aged {
				patience = int64(keepAge * float64(s.gangAge()))
			}
			if s.now-h.since > patience {
				delete(s.holds, j.ID)
			}
			return false
		}
	}
	if len(h.abstract) > 0 && !r.plan.PreservesGuarantees(h.org, h.cells, h.abstract) {
		delete(s.holds, j.ID)
		s.dirty = true
		return false
	}
	s.writePlace(r, j, h.cells, h.abstract)
	return true
}

// reclaim stops the borrowers on cells and holds the cells for c.
func (s *State) reclaim(r *planning, c *policy.QueuedJob, cells, abstract []rack.Cell) {
	s.holds[c.Job] = &hold{org: c.Organisation, cells: cells, abstract: abstract, since: s.now}
	r.plan.Allocate(c.Organisation, nil, abstract)
	r.use(cells)
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		j := s.Ledger.Jobs[id]
		if j == nil || j.Guaranteed || !overlaps(j.Members, cells) {
			continue
		}
		s.observe(j.Spec.Organisation, j.Spec.Class, "reclaimed", 1)
		s.stopDrive(d, "its cells were reclaimed for the guarantee of "+c.Organisation)
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
func slotsOf(ms []record.Member) int {
	n := 0
	for _, m := range ms {
		n += m.Mask.Count()
	}
	return n
}

// cheapest ranks nodes by the work, in seconds, that would be lost by stopping
// the borrowers on them, and then by best fit.
func (s *State) cheapest(r *planning) rack.Rank {
	lost := map[string]int64{}
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		j := s.Ledger.Jobs[id]
		if j == nil || j.Guaranteed {
			continue
		}
		cost := s.stopCost(j, d)
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
func (s *State) stopCost(j *ledger.Job, d *drive) int64 {
	const (
		urgentFactor = 8
		onceCost     = 1 << 22
		mostDoubled  = 6
	)
	cost := (s.now-d.placedAt)/1000 + 1
	cost *= int64(slotsOf(j.Members)) << min(max(j.Attempt-1, 0), mostDoubled)
	if j.Spec.Urgent || s.Ledger.Config.Classes[j.Spec.Class].Urgent {
		cost *= urgentFactor
	}
	if j.Spec.AtMostOnce {
		cost += onceCost
	}
	return cost
}
