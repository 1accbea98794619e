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
	guaranteeAgeShare = 1.0 / 12
	// reserveAge is the part after which cells are reserved for a gang as they
	// become free.
	reserveAgeShare = 1.0 / 4
	// keepAge is the part for which cells are kept before they are chosen anew.
	keepAgeShare = 1.0 / 2
)

// mostReserved bounds the gangs of a data centre that need adjacent cells and have
// them reserved. Reserved cells stand empty until the last one is free.
const maxAdjacentReservations = 1

// aged reports whether c is a gang that has waited for the given part of the age
// bound.
func (s *State) overdue(c *policy.Candidate, part float64) bool {
	return c.Need.Members > 1 && float64(c.Waited) > part*float64(s.gangAge())
}

// placeAged keeps cells for a gang that has waited long. It reports whether the
// gang is being placed.
func (s *State) placeOverdue(r *schedulingRound, c *policy.Candidate, j *ledger.Job, res *reservation) bool {
	if res != nil {
		if s.placeReserved(r, j, res) {
			return true
		}
		if s.reservations[c.Job] != nil {
			return false
		}
		// The hold has ended. Cells are chosen anew in the same round, before others
		// can use them, and the old ones are among them.
		s.releaseCells(r, res)
	}
	if r.mayReserve[c.Job] {
		s.reserveForOverdue(r, c)
	}
	return false
}

// oldestAged returns the gangs that may have cells reserved: the oldest of those
// that need adjacent cells, and the oldest of the others.
func (s *State) oldestOverdue(queue []policy.Candidate) map[string]bool {
	var adjacent, others []*policy.Candidate
	for i := range queue {
		c := &queue[i]
		switch {
		case !s.overdue(c, reserveAgeShare):
		case c.Need.Adjacency == rack.AdjacencyAny:
			others = append(others, c)
		default:
			adjacent = append(adjacent, c)
		}
	}
	oldest := map[string]bool{}
	for _, g := range []struct {
		gangs []*policy.Candidate
		most  int
	}{{adjacent, maxAdjacentReservations}, {others, 1}} {
		slices.SortFunc(g.gangs, func(a, b *policy.Candidate) int { return cmp.Compare(a.Accepted, b.Accepted) })
		for _, c := range g.gangs[:min(len(g.gangs), g.most)] {
			oldest[c.Job] = true
		}
	}
	return oldest
}

// giveBack frees the cells held for a job in the forests of a round, as far as
// nothing else uses them.
func (s *State) releaseCells(r *schedulingRound, res *reservation) {
	for ; r != nil; r = r.parent {
		for _, c := range res.cells {
			if s.onProbation(c.Node) {
				continue
			}
			taken, v := r.plan.Taken(c.Node), s.view(c.Node)
			if n := r.free.Node(c.Node); n != nil {
				n.Used &^= c.Mask &^ (taken | v.smallMask() | v.unaccountedMask(taken))
			}
			if n := r.reclaimable.Node(c.Node); n != nil {
				n.Used &^= c.Mask &^ r.plan.Fixed(c.Node)
			}
		}
	}
}

// claimAgain lets a moved job take its organisation's guarantee on the cells
// held for it.
func (r *schedulingRound) useGuarantee(c *policy.Candidate, res *reservation) {
	virtual, ok := r.plan.Guarantee(c.Organisation, c.Need)
	if ok && r.plan.Keeps(c.Organisation, res.cells, virtual) {
		res.virtual = virtual
	}
}

// holdAged reserves cells for an aged gang: those whose jobs are expected to have
// ended first. Nobody is stopped for it.
func (s *State) reserveForOverdue(r *schedulingRound, c *policy.Candidate) {
	all := r.reclaimable.Clone()
	for i := range all.Nodes {
		all.Nodes[i].Used &^= r.plan.Fixed(all.Nodes[i].Name)
	}
	cells, ok := all.Place(c.Need, s.rankByExpectedEnd(r))
	if !ok {
		return
	}
	s.reservations[c.Job] = &reservation{organisation: c.Organisation, cells: cells, since: s.now, overdue: true}
	r.markUsed(cells)
}

// soonest ranks nodes by when their jobs are expected to have ended.
func (s *State) rankByExpectedEnd(r *schedulingRound) rack.Rank {
	until := map[string]int64{}
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		j := s.Ledger.Jobs[id]
		if j == nil {
			continue
		}
		left := s.remaining(j, a) / 1000
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
