package coordinator

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// displaceInRack stops others on the rack where that loses the least.
func (s *State) preemptInRack(r *request, pool *candidatePool, demand *placement.Request) bool {
	for _, minRank := range preemptableRanks(r) {
		units, victims, byRack := s.victims(pool, minRank)
		var places, stopped []int
		best := -1.0
		for _, rack := range sortedKeys(pool.racks) {
			if len(byRack[rack]) == 0 {
				continue
			}
			p, v, cost := placement.PlaceWithPreemption(pool.candidates, pool.racks[rack], demand, victims, byRack[rack])
			if len(p) == demand.Tasks && (best < 0 || cost < best) {
				places, stopped, best = p, v, cost
			}
		}
		if places != nil {
			s.commitPlacement(r, pool, r.indices, places, selectUnits(units, stopped))
			return true
		}
	}
	return false
}

// displaceable returns the lowest ranks that a request may displace, those that are
// tried first in front: guaranteed work stops other urgent work only when stopping
// what is not urgent makes no room.
func preemptableRanks(r *request) []int {
	if r.rank == rankGuaranteed {
		return []int{rankNonUrgent, rankUrgent}
	}
	return []int{rankNonUrgent}
}

// displace stops others anywhere for tasks that find no room.
func (s *State) preempt(r *request, pool *candidatePool, indices []int, demand *placement.Request, eligible []int) {
	for _, minRank := range preemptableRanks(r) {
		units, victims, _ := s.victims(pool, minRank)
		among := make([]int, len(victims))
		for i := range among {
			among[i] = i
		}
		places, stopped, _ := placement.PlaceWithPreemption(pool.candidates, eligible, demand, victims, among)
		if len(places) == demand.Tasks {
			s.commitPlacement(r, pool, indices, places, selectUnits(units, stopped))
			return
		}
	}
}

func selectUnits(units []*unit, indices []int) []*unit {
	out := make([]*unit, 0, len(indices))
	for _, i := range indices {
		out = append(out, units[i])
	}
	return out
}

func sortedKeys(m map[string][]int) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

// victims returns the units of a rank or a higher one that may be stopped, what each
// frees, and which of them are on each rack.
func (s *State) victims(pool *candidatePool, minRank int) (units []*unit, victims []placement.Victim, byRack map[string][]int) {
	positions := make(map[*unit]int)
	byRack = make(map[string][]int)
	for i, w := range pool.workers {
		for _, a := range sortedAttempts(w.attempts) {
			if a.orphan || a.phase == phaseStopping || a.phase == phasePlanned || s.rank(a.job) < minRank ||
				a.spec().LongRunning || a.job.progress.State.Ended() {
				continue
			}
			n, ok := positions[a.unit]
			if !ok {
				n = len(units)
				positions[a.unit] = n
				units = append(units, a.unit)
				victims = append(victims, placement.Victim{Frees: make(map[int]jobspec.Resources), Cost: restartCost})
			}
			victims[n].Frees[i] = victims[n].Frees[i].Add(a.need)
			victims[n].Cost += s.lostWork(a)
			if on := byRack[w.rack]; len(on) == 0 || on[len(on)-1] != n {
				byRack[w.rack] = append(on, n)
			}
		}
	}
	for rack, on := range byRack {
		slices.Sort(on)
		byRack[rack] = slices.Compact(on)
	}
	return units, victims, byRack
}

// restartCost is what any stop costs, in core seconds: the work is queued again.
const restartCost = 20

// lost returns the work that stopping a would lose, in core seconds.
func (s *State) lostWork(a *attempt) float64 {
	if a.startedAt == 0 {
		return 0
	}
	ms := s.now - a.startedAt
	if a.spec().Checkpoints {
		ms = min(ms, s.RestoreTime+stopTime)
	}
	return float64(ms) / 1000 * a.spec().Need.Weight()
}

// stopCost is the time in which a stopping run does no work, in milliseconds.
const stopTime = 300
