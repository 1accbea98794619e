package coordinator

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// reservation is the set of workers reserved for one gang of a service.
type reservation struct {
	gang    jobspec.TaskID
	workers map[string]bool
	// until is when the gang is expected to start. Only the gang, urgent requests and work that
	// is expected to end before may use the workers.
	until int64
	// chosenAt is when the workers were chosen.
	chosenAt int64
}

// excludes reports whether r may not use the reserved workers.
func (res *reservation) excludes(r *request, now int64) bool {
	return r.rank >= rankNonUrgent && res.gang != stepID(r.job, r.occurrence, r.step) && now+r.spec.Steps[r.step].Estimate > res.until
}

// reserveForGang reserves candidates for a gang that does not fit into the free
// capacity, so that smaller requests do not use the capacity up as it becomes free. The
// candidates are those that are expected to have room first, on one rack if the gang needs that.
// Nothing is reserved before reservationDelay, or if the gang is not expected to meet its
// deadline.
func (s *State) reserveForGang(r *request, pool *candidatePool, demand *placement.Request, inRack bool) {
	own := pool.reservationOf(r)
	if !s.mayReserve(r, pool) || own != nil && s.now < own.chosenAt+reservationInterval {
		return
	}
	if !placement.FitsAnywhere(pool.candidates, demand) {
		// The gang would not fit even on empty workers.
		return
	}
	reserved, startAt := s.earliestCandidates(r, pool, demand, allCandidates(pool))
	if inRack {
		reserved, startAt = s.earliestRack(r, pool, demand)
	}
	if reserved == nil || startAt+r.spec.Steps[r.step].Estimate > r.deadline {
		s.dropReservation(own, pool, r.spec.Service)
		return
	}
	if own != nil {
		// Work that was let in must not delay the gang further. If it was to have started by now, it
		// is expected at any moment.
		startAt = max(min(startAt, own.until), s.now+endReportDelay)
		s.dropReservation(own, pool, r.spec.Service)
	}
	res := &reservation{gang: stepID(r.job, r.occurrence, r.step), workers: make(map[string]bool, len(reserved)), until: startAt, chosenAt: s.now}
	for _, i := range reserved {
		res.workers[pool.workers[i].ID] = true
	}
	if s.reservations == nil {
		s.reservations = make(map[string][]*reservation)
	}
	s.reservations[r.spec.Service] = append(s.reservations[r.spec.Service], res)
	pool.addReservation(res)
}

// earliestRack returns the candidates of the rack that could hold all tasks of a gang
// first, and when; nil if there is none.
func (s *State) earliestRack(r *request, pool *candidatePool, demand *placement.Request) (reserved []int, startAt int64) {
	for _, rack := range sortedKeys(pool.racks) {
		if c, at := s.earliestCandidates(r, pool, demand, pool.racks[rack]); c != nil && (reserved == nil || at < startAt) {
			reserved, startAt = c, at
		}
	}
	return reserved, startAt
}

// release is the capacity that is expected to be free on a worker from a time on.
type release struct {
	at   int64
	free jobspec.Resources
}

// releasesOf returns when candidate i is expected to have more free capacity, by the estimated
// ends of what runs there. The first release is now.
func (s *State) releasesOf(pool *candidatePool, i int) []release {
	if pool.releases == nil {
		pool.releases = make([][]release, len(pool.candidates))
	}
	if pool.releases[i] == nil {
		w := pool.workers[i]
		rs := make([]release, 0, len(w.attempts)+1)
		for _, a := range w.sortedAttempts() {
			rs = append(rs, release{at: s.now + s.remainingTime(a), free: a.need})
		}
		slices.SortStableFunc(rs, func(a, b release) int { return cmp.Compare(a.at, b.at) })
		free := w.Capacity.Sub(w.used)
		for k := range rs {
			free = free.Add(rs[k].free)
			rs[k].free = free
		}
		pool.releases[i] = append([]release{{at: s.now, free: w.Capacity.Sub(w.used)}}, rs...)
	}
	return pool.releases[i]
}

// earliestCandidates returns those of the candidates at indices that together could hold
// all tasks of a gang first, and when, by the estimated ends of what runs there; nil if they
// could not. It leaves out candidates that are reserved for others.
func (s *State) earliestCandidates(r *request, pool *candidatePool, demand *placement.Request, indices []int) (reserved []int, startAt int64) {
	type place struct {
		index int
		at    int64
	}
	var places []place
	own := pool.reservationOf(r)
	for _, i := range indices {
		if res := pool.reservedBy[i]; res != nil && res != own {
			continue
		}
		fit := 0
		for _, l := range s.releasesOf(pool, i) {
			for n := demand.FitIn(&pool.candidates[i], l.free); fit < n; fit++ {
				places = append(places, place{index: i, at: l.at})
			}
		}
	}
	if len(places) < demand.Tasks {
		return nil, 0
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.index, b.index)) })
	places = places[:demand.Tasks]
	for _, p := range places {
		reserved = append(reserved, p.index)
	}
	slices.Sort(reserved)
	return slices.Compact(reserved), places[len(places)-1].at
}

// addReservation marks the workers of a reservation in the pool.
func (pool *candidatePool) addReservation(res *reservation) {
	pool.reservations = append(pool.reservations, res)
	for id := range res.workers {
		if i, ok := pool.indices[id]; ok {
			pool.reservedBy[i] = res
		}
	}
}

// markReserved excludes the candidates whose reservation excludes r.
func (pool *candidatePool) markReserved(r *request) {
	if !pool.excludesReserved(r) {
		return
	}
	for i, res := range pool.reservedBy {
		if res != nil && res.excludes(r, pool.now) {
			pool.mark(i).Excluded = true
		}
	}
}

// reservationOf returns the reservation of the gang of a request; nil if it has none.
func (pool *candidatePool) reservationOf(r *request) *reservation {
	for _, res := range pool.reservations {
		if res.gang == stepID(r.job, r.occurrence, r.step) {
			return res
		}
	}
	return nil
}

// reservationEndsSoon reports whether r waits for reserved workers that are expected to be in use
// within reservationGrace.
func (pool *candidatePool) reservationEndsSoon(r *request) bool {
	return slices.ContainsFunc(pool.reservations, func(res *reservation) bool {
		return res.excludes(r, pool.now) && res.until >= pool.now && res.until <= pool.now+reservationGrace
	})
}

// dropReservation drops a reservation, which may be nil.
func (s *State) dropReservation(res *reservation, pool *candidatePool, service string) {
	if res == nil {
		return
	}
	pool.reservations = slices.DeleteFunc(pool.reservations, func(o *reservation) bool { return o == res })
	s.reservations[service] = slices.DeleteFunc(s.reservations[service], func(o *reservation) bool { return o == res })
	for i := range pool.reservedBy {
		if pool.reservedBy[i] == res {
			pool.reservedBy[i] = nil
		}
	}
	// What was refused may fit on the workers that are free again.
	pool.refusals = slices.DeleteFunc(pool.refusals, func(f refusal) bool { return f.reserved })
}

// mayReserve reports whether candidates may be reserved for a gang now. Reservations take at most
// maxReservedShare of the workers, except that there may always be one.
func (s *State) mayReserve(r *request, pool *candidatePool) bool {
	if s.age(r) < reservationDelay || lateness(r.laxity) != 0 {
		return false
	}
	if len(pool.reservations) == 0 || pool.reservationOf(r) != nil {
		return true
	}
	reserved := 0
	for _, res := range pool.reservedBy {
		if res != nil {
			reserved++
		}
	}
	return float64(reserved) < maxReservedShare*float64(len(pool.candidates))
}

// activeReservations returns the reservations of a service. It deletes those whose gang no longer
// waits or can no longer meet its deadline.
func (s *State) activeReservations(service string) []*reservation {
	if len(s.reservations[service]) == 0 {
		return nil
	}
	s.reservations[service] = slices.DeleteFunc(s.reservations[service], func(res *reservation) bool {
		j := s.jobs[res.gang.Job]
		if j == nil || j.progress.State.Ended() || j.deadline-s.now <= j.spec.Steps[res.gang.Step].Estimate {
			return true
		}
		t := j.task(res.gang.Occurrence, res.gang.Step, 0)
		return t == nil || t.Phase != jobspec.Waiting
	})
	return s.reservations[service]
}

const (
	// reservationDelay is how long a gang waits before candidates are reserved for it, in
	// milliseconds.
	reservationDelay = 1500
	// reservationInterval is the least time between two choices of the workers for a gang, in
	// milliseconds.
	reservationInterval = 250
	// maxReservedShare is the share of a service's workers that may be reserved at a time.
	maxReservedShare = 0.5
)
