package coordinator

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// reserveForGang reserves candidates for a gang that does not fit into the free
// capacity, so that smaller requests do not use the capacity up as it becomes free. The
// candidates are those that are expected to be free first; a gang that needs one rack
// reserves a whole rack that could hold it. Each service has at most one reservation at a
// time. Nothing is reserved before reservationDelay, or if the gang is not expected to meet
// its deadline.
func (s *State) reserveForGang(r *request, pool *candidatePool, demand *placement.Request, inRack bool) {
	if !s.mayReserve(r, pool) {
		return
	}
	if !placement.FitsAnywhere(pool.candidates, demand) {
		// The gang would not fit even on empty workers.
		return
	}
	reserved, startAt := s.earliestCandidates(pool, demand, allCandidates(pool))
	if inRack {
		reserved, startAt = s.earliestRack(pool, demand)
	}
	if startAt+r.spec.Steps[r.step].Estimate > r.deadline {
		s.dropReservation(r, pool)
		return
	}
	if pool.reserved != nil {
		// Work that was let in must not delay the gang further.
		startAt = min(startAt, pool.reservedUntil)
	}
	pool.reserved, pool.reservedUntil = make(map[int]bool), startAt
	for _, i := range reserved {
		pool.reserved[i] = true
	}
	s.saveReservation(r, pool)
}

// earliestRack returns the candidates of the rack that could hold all tasks of a gang
// first, and when.
func (s *State) earliestRack(pool *candidatePool, demand *placement.Request) (reserved []int, startAt int64) {
	for _, rack := range sortedKeys(pool.racks) {
		capacity := 0
		for _, i := range pool.racks[rack] {
			capacity += demand.Step.Reserved().Fit(pool.candidates[i].Capacity, demand.Tasks)
		}
		if capacity < demand.Tasks {
			continue
		}
		if _, at := s.earliestCandidates(pool, demand, pool.racks[rack]); reserved == nil || at < startAt {
			reserved, startAt = pool.racks[rack], at
		}
	}
	return reserved, startAt
}

// earliestCandidates returns those of the candidates at indices that together could hold
// all tasks of a gang first, and when, by the estimated ends of what runs there.
func (s *State) earliestCandidates(pool *candidatePool, demand *placement.Request, indices []int) (reserved []int, startAt int64) {
	type option struct {
		index, fit int
		emptyAt    int64
	}
	var options []option
	for _, i := range indices {
		o := option{index: i, fit: demand.Step.Reserved().Fit(pool.candidates[i].Capacity, demand.Tasks), emptyAt: s.now}
		if o.fit == 0 {
			continue
		}
		if demand.Fit(&pool.candidates[i]) < o.fit {
			for _, a := range pool.workers[i].attempts {
				o.emptyAt = max(o.emptyAt, s.now+s.remainingTime(a))
			}
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.emptyAt, b.emptyAt) })
	capacity := 0
	for _, o := range options {
		if capacity >= demand.Tasks {
			break
		}
		capacity += o.fit
		reserved, startAt = append(reserved, o.index), o.emptyAt
	}
	return reserved, startAt
}

// dropReservation drops the reservation of a gang, if it has one.
func (s *State) dropReservation(r *request, pool *candidatePool) {
	if pool.reserved != nil && pool.reservedFor == stepID(r.job, r.occurrence, r.step) {
		pool.reserved = nil
		delete(s.reservations, r.spec.Service)
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
	// until is when the gang is expected to start. Work that ends before may use the
	// workers.
	until int64
}

// saveReservation stores the reserved candidates in the state, where they stay reserved
// until activeReservation finds the reservation obsolete.
func (s *State) saveReservation(r *request, pool *candidatePool) {
	pool.reservedFor = stepID(r.job, r.occurrence, r.step)
	// A new reservation may leave out workers of the old one.
	pool.refusals = slices.DeleteFunc(pool.refusals, func(f refusal) bool { return f.reserved })
	res := &reservation{gang: pool.reservedFor, workers: make(map[string]bool, len(pool.reserved)), until: pool.reservedUntil}
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

// reservationDelay is how long a gang waits before candidates are reserved for it, in
// milliseconds.
const reservationDelay = 1500
