package dispatch

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
)

// The parts of the age bound of gangs after which something is done for one.
const (
	// ownAge is the part after which a gang queues for its organisation's
	// guarantee.
	ownAge = 1.0 / 12
	// reserveAge is the part after which cells are reserved for a gang as they
	// become free.
	reserveAge = 1.0 / 4
	// keepAge is the part for which cells are kept before they are chosen anew.
	keepAge = 1.0 / 2
)

// mostReserved bounds the gangs of a data centre that need adjacent cells and have
// them reserved. Reserved cells stand empty until the last one is free.
const mostReserved = 1

// aged reports whether c is a gang that has waited for the given part of the age
// bound.
func (s *State) aged(c *policy.QueuedJob, part float64) bool {
	return c.Need.Members > 1 && float64(c.Waited) > part*float64(s.gangAge())
}

// placeAged keeps cells for a gang that has waited long. It reports whether the
// gang is being placed.
func (s *State) placeAged(r *planning, c *policy.QueuedJob, j *ledger.Job, h *hold) bool {
	if h != nil {
		if s.placeHeld(r, j, h) {
			return true
		}
		if s.holds[c.Job] != nil {
			return false
		}
		// The hold has ended. Cells are chosen anew in the same round, before others
		// can use them, and the old ones are among them.
		s.giveBack(r, h)
	}
	if r.oldest[c.Job] {
		s.holdAged(r, c)
	}
	return false
}

// oldestAged returns the gangs that may have cells reserved: the oldest of those
// that need adjacent cells, and the oldest of the others.
func (s *State) oldestAged(queue []policy.QueuedJob) map[string]bool {
	var adjacent, others []*policy.QueuedJob
	for i := range queue {
		c := &queue[i]
		switch {
		case !s.aged(c, reserveAge):
		case c.Need.Adjacency == rack.AdjacencyAny:
			others = append(others, c)
		default:
			adjacent = append(adjacent, c)
		}
	}
	oldest := map[string]bool{}
	for _, g := range []struct {
		gangs []*policy.QueuedJob
		most  int
	}{{adjacent, mostReserved}, {others, 1}} {
		slices.SortFunc(g.gangs, func(a, b *policy.QueuedJob) int { return cmp.Compare(a.Accepted, b.Accepted) })
		for _, c := range g.gangs[:min(len(g.gangs), g.most)] {
			oldest[c.Job] = true
		}
	}
	return oldest
}

// giveBack frees the cells held for a job in the forests of a round, as far as
// nothing else uses them.
func (s *State) giveBack(r *planning, h *hold) {
	for ; r != nil; r = r.whole {
		for _, c := range h.cells {
			if s.onTrial(c.Node) {
				continue
			}
			taken, v := r.plan.AllocatedSlots(c.Node), s.view(c.Node)
			if n := r.free.Node(c.Node); n != nil {
				n.Used &^= c.Mask &^ (taken | v.smallMask() | v.foreignMask(taken))
			}
			if n := r.reclaimable.Node(c.Node); n != nil {
				n.Used &^= c.Mask &^ r.plan.GuaranteedSlots(c.Node)
			}
		}
	}
}

// claimAgain lets a moved job take its organisation's guarantee on the cells
// held for it.
func (r *planning) claimAgain(c *policy.QueuedJob, h *hold) {
	abstract, ok := r.plan.FindVirtualCells(c.Organisation, c.Need)
	if ok && r.plan.PreservesGuarantees(c.Organisation, h.cells, abstract) {
		h.abstract = abstract
	}
}

// holdAged reserves cells for an aged gang: those whose jobs are expected to have
// ended first. Nobody is stopped for it.
func (s *State) holdAged(r *planning, c *policy.QueuedJob) {
	all := r.reclaimable.Clone()
	for i := range all.Nodes {
		all.Nodes[i].Used &^= r.plan.GuaranteedSlots(all.Nodes[i].Name)
	}
	cells, ok := all.Place(c.Need, s.soonest(r))
	if !ok {
		return
	}
	s.holds[c.Job] = &hold{org: c.Organisation, cells: cells, since: s.now, aged: true}
	r.use(cells)
}

// soonest ranks nodes by when their jobs are expected to have ended.
func (s *State) soonest(r *planning) rack.Rank {
	until := map[string]int64{}
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		j := s.Ledger.Jobs[id]
		if j == nil {
			continue
		}
		left := s.rest(j, d) / 1000
		for _, m := range j.Members {
			until[m.Worker] = max(until[m.Worker], left+1)
		}
	}
	return func(n *rack.Node, broken rack.Level) int {
		if r.free.Node(n.Name) == nil {
			return 1 << 30
		}
		return int(min(until[n.Name], 1<<24))*rack.NumLevels + int(broken)
	}
}
