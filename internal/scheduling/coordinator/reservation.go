package coordinator

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// keepSeats keeps seats for a gang that finds no room, so that smaller work does
// not take them one by one. One gang at a time is served so.
func (s *State) reserveForGang(r *request, pool *candidatePool, demand *placement.Request, inRack bool) {
	if pool.reserved != nil && pool.reservedFor != stepID(r.job, r.occurrence, r.step) || s.age(r) < reservationDelay || lateness(r.laxity) > 0 {
		return
	}
	if !placement.FitsAnywhere(pool.candidates, demand) {
		// No room that becomes free would help.
		return
	}
	pool.reserved = make(map[int]bool)
	defer s.saveReservation(r, pool)
	if !inRack {
		pool.reserve(demand)
		return
	}
	best, most := "", -1
	for rack, indices := range pool.racks {
		free, capacity := 0, 0
		for _, i := range indices {
			free += demand.Fit(&pool.candidates[i])
			capacity += demand.Step.Reserved().Fit(pool.candidates[i].Capacity, demand.Tasks)
		}
		if capacity >= demand.Tasks && (free > most || free == most && rack < best) {
			best, most = rack, free
		}
	}
	for _, i := range pool.racks[best] {
		pool.reserved[i] = true
	}
}

// kept is the seats that are kept for one gang of a service.
type reservation struct {
	gang    jobspec.TaskID
	workers map[string]bool
}

// keep remembers the held seats until the gang is placed or given up.
func (s *State) saveReservation(r *request, pool *candidatePool) {
	pool.reservedFor = stepID(r.job, r.occurrence, r.step)
	k := &reservation{gang: pool.reservedFor, workers: make(map[string]bool, len(pool.reserved))}
	for i := range pool.reserved {
		k.workers[pool.workers[i].ID] = true
	}
	if s.reservations == nil {
		s.reservations = make(map[string]*reservation)
	}
	s.reservations[r.spec.Service] = k
}

// stillKept returns the seats that were kept for a gang that still waits.
func (s *State) activeReservation(service string) *reservation {
	k := s.reservations[service]
	if k == nil {
		return nil
	}
	j := s.jobs[k.gang.Job]
	if j != nil && !j.progress.State.Ended() && j.deadline-s.now > j.spec.Steps[k.gang.Step].Estimate {
		if t := j.task(k.gang.Occurrence, k.gang.Step, 0); t != nil && t.Phase == jobspec.Waiting {
			return k
		}
	}
	delete(s.reservations, service)
	return nil
}

// hold keeps just as many seats as a gang needs, those with the most room first.
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

// keepAfter is how long a gang waits before seats are kept for it, in milliseconds.
const reservationDelay = 1500
