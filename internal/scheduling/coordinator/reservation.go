package coordinator

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// keepSeats keeps seats for a gang that finds no room, so that smaller work does
// not take them one by one. One gang at a time is served so.
func (s *State) reserveForGang(r *request, f *candidatePool, need *placement.Request, inRack bool) {
	if f.reserved != nil && f.reservedFor != stepID(r.job, r.occurrence, r.step) || s.age(r) < reservationDelay || lateness(r.laxity) > 0 {
		return
	}
	if !placement.FitsAnywhere(f.candidates, need) {
		// No room that becomes free would help.
		return
	}
	f.reserved = make(map[int]bool)
	defer s.saveReservation(r, f)
	if !inRack {
		f.reserve(need)
		return
	}
	best, most := "", -1
	for rack, at := range f.racks {
		room, whole := 0, 0
		for _, i := range at {
			room += need.Fit(&f.candidates[i])
			whole += need.Step.Reserved().Fit(f.candidates[i].Capacity, need.Tasks)
		}
		if whole >= need.Tasks && (room > most || room == most && rack < best) {
			best, most = rack, room
		}
	}
	for _, i := range f.racks[best] {
		f.reserved[i] = true
	}
}

// kept is the seats that are kept for one gang of a service.
type reservation struct {
	gang    jobspec.TaskID
	workers map[string]bool
}

// keep remembers the held seats until the gang is placed or given up.
func (s *State) saveReservation(r *request, f *candidatePool) {
	f.reservedFor = stepID(r.job, r.occurrence, r.step)
	k := &reservation{gang: f.reservedFor, workers: make(map[string]bool, len(f.reserved))}
	for i := range f.reserved {
		k.workers[f.workers[i].ID] = true
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
func (f *candidatePool) reserve(need *placement.Request) {
	at := allCandidates(f)
	slices.SortStableFunc(at, func(a, b int) int {
		return cmp.Compare(f.candidates[b].Free.Weight(), f.candidates[a].Free.Weight())
	})
	room := 0
	for _, i := range at {
		if room >= need.Tasks {
			return
		}
		if n := need.Step.Reserved().Fit(f.candidates[i].Capacity, need.Tasks); n > 0 {
			f.reserved[i] = true
			room += n
		}
	}
}

// keepAfter is how long a gang waits before seats are kept for it, in milliseconds.
const reservationDelay = 1500
