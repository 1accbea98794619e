package coordinator

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// reserveForGang reserves candidates for a gang that does not fit into the free
// capacity, so that smaller requests do not use the capacity up as it becomes free.
// A gang that needs one rack reserves a whole rack that could hold it, the one with the
// most free capacity. Each service has at most one reservation at a time. Nothing is
// reserved before reservationDelay, or if the gang can no longer meet its deadline.
func (s *State) reserveForGang(r *request, pool *candidatePool, demand *placement.Request, inRack bool) {
	if !s.mayReserve(r, pool) {
		return
	}
	if !placement.FitsAnywhere(pool.candidates, demand) {
		// The gang would not fit even on empty workers.
		return
	}
	pool.reserved = make(map[int]bool)
	defer s.saveReservation(r, pool)
	if !inRack {
		pool.reserve(demand)
		return
	}
	bestRack, mostFree := "", -1
	for rack, indices := range pool.racks {
		free, capacity := 0, 0
		for _, i := range indices {
			free += demand.Fit(&pool.candidates[i])
			capacity += demand.Step.Reserved().Fit(pool.candidates[i].Capacity, demand.Tasks)
		}
		if capacity >= demand.Tasks && (free > mostFree || free == mostFree && rack < bestRack) {
			bestRack, mostFree = rack, free
		}
	}
	for _, i := range pool.racks[bestRack] {
		pool.reserved[i] = true
	}
}

// mayReserve reports whether candidates may be reserved for a gang now.
func (s *State) mayReserve(r *request, pool *candidatePool) bool {
	if pool.reserved != nil && pool.reservedFor != stepID(r.job, r.occurrence, r.step) {
		return false
	}
	return s.age(r) >= reservationDelay && lateness(r.laxity) == 0
}

// reservation is the set of workers reserved for one gang of a service.
type reservation struct {
	gang    jobspec.TaskID
	workers map[string]bool
}

// saveReservation stores the reserved candidates in the state, where they stay reserved
// until activeReservation finds the reservation obsolete.
func (s *State) saveReservation(r *request, pool *candidatePool) {
	pool.reservedFor = stepID(r.job, r.occurrence, r.step)
	// A new reservation may leave out workers of the old one.
	pool.refusals = slices.DeleteFunc(pool.refusals, func(f refusal) bool { return f.reserved })
	res := &reservation{gang: pool.reservedFor, workers: make(map[string]bool, len(pool.reserved))}
	for i := range pool.reserved {
		res.workers[pool.workers[i].ID] = true
	}
	if s.reservations == nil {
		s.reservations = make(map[string]*reservation)
	}
	s.reservations[r.spec.Service] = res
}

// activeReservation returns the reservation of a service, or nil. It deletes the
// reservation if its gang no longer waits or can no longer meet its deadline.
func (s *State) activeReservation(service string) *reservation {
	res := s.reservations[service]
	if res == nil {
		return nil
	}
	j := s.jobs[res.gang.Job]
	if j != nil && !j.progress.State.Ended() && j.deadline-s.now > j.spec.Steps[res.gang.Step].Estimate {
		if t := j.task(res.gang.Occurrence, res.gang.Step, 0); t != nil && t.Phase == jobspec.Waiting {
			return res
		}
	}
	delete(s.reservations, service)
	return nil
}

// reserve reserves as many candidates as a gang needs when they are empty, those with
// the most free capacity first.
func (pool *candidatePool) reserve(demand *placement.Request) {
	indices := allCandidates(pool)
	slices.SortStableFunc(indices, func(a, b int) int {
		return cmp.Compare(pool.candidates[b].Free.Weight(), pool.candidates[a].Free.Weight())
	})
	capacity := 0
	for _, i := range indices {
		if capacity >= demand.Tasks {
			return
		}
		if n := demand.Step.Reserved().Fit(pool.candidates[i].Capacity, demand.Tasks); n > 0 {
			pool.reserved[i] = true
			capacity += n
		}
	}
}

// reservationDelay is how long a gang waits before candidates are reserved for it, in
// milliseconds.
const reservationDelay = 1500
