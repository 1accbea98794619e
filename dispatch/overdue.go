package dispatch

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
)

// Shares of the age limit of gangs that gangAgeLimit returns.
const (
	// guaranteeAgeShare is the share after which a waiting gang keeps younger
	// jobs of its organisation from using the organisation's guarantee.
	guaranteeAgeShare = 1.0 / 12
	// reserveAgeShare is the share after which cells are reserved for a waiting
	// gang, also cells that are still in use.
	reserveAgeShare = 1.0 / 4
	// keepAgeShare is the share after which the reservation of an overdue gang
	// is cancelled and its cells are chosen anew.
	keepAgeShare = 1.0 / 2
)

// maxAdjacentReservations is the maximum number of gangs of a data centre that
// need adjacent cells and have them reserved at the same time. Reserved cells
// stay idle until the last one is free.
const maxAdjacentReservations = 1

// overdue reports whether q is a gang that has waited for longer than the given
// share of the age limit.
func (s *State) overdue(q *policy.QueuedJob, share float64) bool {
	return q.Need.Members > 1 && float64(q.Waited) > share*float64(s.gangAgeLimit())
}

// placeOverdue places a gang on its reservation res, or reserves cells for it
// when it may have a reservation. It reports whether the gang is being placed.
func (s *State) placeOverdue(r *schedulingRound, q *policy.QueuedJob, j *ledger.Job, res *reservation) bool {
	if res != nil {
		if s.placeReserved(r, j, res) {
			return true
		}
		if s.reservations[q.Job] != nil {
			return false
		}
		// The reservation has ended. Cells are chosen anew in the same round,
		// before other jobs can use them, and may include the old ones.
		s.releaseCells(r, res)
	}
	if r.mayReserve[q.Job] {
		s.reserveForOverdue(r, q)
	}
	return false
}

// oldestOverdue returns the gangs that may have cells reserved: the oldest of
// those that need adjacent cells, and the oldest of the others.
func (s *State) oldestOverdue(queue []policy.QueuedJob) map[string]bool {
	var adjacent, others []*policy.QueuedJob
	for i := range queue {
		q := &queue[i]
		switch {
		case !s.overdue(q, reserveAgeShare):
		case q.Need.Adjacency == rack.AdjacencyAny:
			others = append(others, q)
		default:
			adjacent = append(adjacent, q)
		}
	}
	oldest := map[string]bool{}
	for _, g := range []struct {
		gangs []*policy.QueuedJob
		limit int
	}{{adjacent, maxAdjacentReservations}, {others, 1}} {
		slices.SortFunc(g.gangs, func(a, b *policy.QueuedJob) int { return cmp.Compare(a.Accepted, b.Accepted) })
		for _, q := range g.gangs[:min(len(g.gangs), g.limit)] {
			oldest[q.Job] = true
		}
	}
	return oldest
}

// releaseCells frees the reserved cells in the forests of a round, unless
// something else uses them.
func (s *State) releaseCells(r *schedulingRound, res *reservation) {
	for ; r != nil; r = r.parent {
		for _, c := range res.cells {
			if s.onProbation(c.Node) {
				continue
			}
			allocated, v := r.plan.AllocatedSlots(c.Node), s.view(c.Node)
			if n := r.free.Node(c.Node); n != nil {
				n.Used &^= c.Mask &^ (allocated | v.smallMask() | v.unaccountedMask(allocated))
			}
			if n := r.reclaimable.Node(c.Node); n != nil {
				n.Used &^= c.Mask &^ r.plan.GuaranteedSlots(c.Node)
			}
		}
	}
}

// useGuarantee assigns virtual cells of its organisation's guarantee to the
// reservation of a migrating job, if the unused guarantee covers the job.
func (r *schedulingRound) useGuarantee(q *policy.QueuedJob, res *reservation) {
	virtual, ok := r.plan.FindVirtualCells(q.Organisation, q.Need)
	if ok && r.plan.PreservesGuarantees(q.Organisation, res.cells, virtual) {
		res.virtual = virtual
	}
}

// reserveForOverdue reserves the cells whose jobs are expected to end first for
// an overdue gang. It preempts no job.
func (s *State) reserveForOverdue(r *schedulingRound, q *policy.QueuedJob) {
	forest := r.reclaimable.Clone()
	for i := range forest.Nodes {
		forest.Nodes[i].Used &^= r.plan.GuaranteedSlots(forest.Nodes[i].Name)
	}
	cells, ok := forest.Place(q.Need, s.rankByExpectedEnd(r))
	if !ok {
		return
	}
	s.reservations[q.Job] = &reservation{organisation: q.Organisation, cells: cells, since: s.now, overdue: true}
	r.markUsed(cells)
}

// rankByExpectedEnd ranks nodes by the time until all their jobs are expected
// to have ended, shortest first.
func (s *State) rankByExpectedEnd(r *schedulingRound) rack.Rank {
	freeIn := map[string]int64{}
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		j := s.Ledger.Jobs[id]
		if j == nil {
			continue
		}
		seconds := s.remaining(j, a) / 1000
		for _, m := range j.Members {
			freeIn[m.Worker] = max(freeIn[m.Worker], seconds+1)
		}
	}
	return func(n *rack.Node, split rack.Level) int {
		if r.free.Node(n.Name) == nil {
			return 1 << 30
		}
		return int(min(freeIn[n.Name], 1<<24))*rack.NumLevels + int(split)
	}
}
