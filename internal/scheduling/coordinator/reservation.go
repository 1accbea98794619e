package coordinator

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// keepSeats keeps seats for a gang that finds no room, so that smaller work does
// not take them one by one. One gang at a time is served so.
func (s *State) keepSeats(r *request, f *floor, need *placement.Request, inRack bool) {
	if f.held != nil && f.keptFor != stepName(r.job, r.occurrence, r.step) || s.age(r) < keepAfter || lateness(r.spare) > 0 {
		return
	}
	if !placement.FitsAnywhere(f.seats, need) {
		// No room that becomes free would help.
		return
	}
	f.held = make(map[int]bool)
	defer s.keep(r, f)
	if !inRack {
		f.hold(need)
		return
	}
	best, most := "", -1
	for rack, at := range f.racks {
		room, whole := 0, 0
		for _, i := range at {
			room += need.Fit(&f.seats[i])
			whole += need.Step.Reserved().Fit(f.seats[i].Capacity, need.Tasks)
		}
		if whole >= need.Tasks && (room > most || room == most && rack < best) {
			best, most = rack, room
		}
	}
	for _, i := range f.racks[best] {
		f.held[i] = true
	}
}

// kept is the seats that are kept for one gang of a service.
type kept struct {
	gang    jobspec.TaskID
	workers map[string]bool
}

// keep remembers the held seats until the gang is placed or given up.
func (s *State) keep(r *request, f *floor) {
	f.keptFor = stepName(r.job, r.occurrence, r.step)
	k := &kept{gang: f.keptFor, workers: make(map[string]bool, len(f.held))}
	for i := range f.held {
		k.workers[f.workers[i].ID] = true
	}
	if s.kept == nil {
		s.kept = make(map[string]*kept)
	}
	s.kept[r.spec.Service] = k
}

// stillKept returns the seats that were kept for a gang that still waits.
func (s *State) stillKept(service string) *kept {
	k := s.kept[service]
	if k == nil {
		return nil
	}
	j := s.jobs[k.gang.Job]
	if j != nil && !j.prog.State.Ended() && j.deadline-s.now > j.spec.Steps[k.gang.Step].Estimate {
		if t := j.task(k.gang.Occurrence, k.gang.Step, 0); t != nil && t.Phase == jobspec.Waiting {
			return k
		}
	}
	delete(s.kept, service)
	return nil
}

// hold keeps just as many seats as a gang needs, those with the most room first.
func (f *floor) hold(need *placement.Request) {
	at := all(f)
	slices.SortStableFunc(at, func(a, b int) int {
		return cmp.Compare(f.seats[b].Free.Weight(), f.seats[a].Free.Weight())
	})
	room := 0
	for _, i := range at {
		if room >= need.Tasks {
			return
		}
		if n := need.Step.Reserved().Fit(f.seats[i].Capacity, need.Tasks); n > 0 {
			f.held[i] = true
			room += n
		}
	}
}

// keepAfter is how long a gang waits before seats are kept for it, in milliseconds.
const keepAfter = 1500
