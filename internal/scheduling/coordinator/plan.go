package coordinator

import (
	"cmp"
	"log/slog"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// request is a step of a job whose waiting tasks need places.
type request struct {
	*job
	occurrence, step int
	// indices are the waiting tasks.
	indices []int
	// rank orders requests; a lower one may displace a higher one when it is urgent.
	rank int
	// spare is the time between the expected end and the deadline.
	spare int64
}

// The ranks. Jobs of priority 1 and more follow at rankOther.
const (
	rankGuaranteed = iota
	rankUrgent
	rankOther
)

// floor is the seats of one service while places are chosen.
type floor struct {
	seats   []placement.Candidate
	workers []*worker
	racks   map[string][]int
	// held has the seats that are kept for a gang that waits; others of the same or
	// a higher rank must not take them.
	held map[int]bool
	// keptFor is the gang that they are kept for.
	keptFor jobspec.TaskID
}

// plan places the waiting tasks.
func (s *State) plan() {
	s.guarantees()
	rs := s.requests()
	if len(rs) == 0 {
		return
	}
	floors := make(map[string]*floor)
	for i := range rs {
		r := &rs[i]
		f := floors[r.spec.Service]
		if f == nil {
			f = s.floor(r.spec.Service)
			floors[r.spec.Service] = f
		}
		if len(f.seats) == 0 || s.hopeless(r) || s.needsAdvice(r, f) {
			continue
		}
		s.place(r, f)
	}
}

// tried is a look for places that found none.
type tried struct {
	at, freed int64
}

// tryAgain is the time after which places are looked for again although nothing has
// become free: a request may use more places with its age. In milliseconds.
const tryAgain = 250

// lesserEvery is the least time between two looks for places for work that is not
// urgent, in milliseconds.
const lesserEvery = 60

// hopeless reports whether a request need not be tried, since nothing has become
// free since the last time, and notes that it is tried otherwise.
func (s *State) hopeless(r *request) bool {
	n := stepName(r.job, r.occurrence, r.step)
	last, ok := r.tried[n]
	if ok && s.now < last.at+tryAgain {
		if last.freed == s.freed || r.rank >= rankOther && s.now < last.at+lesserEvery {
			return true
		}
	}
	if r.tried == nil {
		r.tried = make(map[jobspec.TaskID]tried)
	}
	r.tried[n] = tried{at: s.now, freed: s.freed}
	return false
}

// requests returns the steps with waiting tasks whose turn has come, the most
// important first.
func (s *State) requests() []request {
	var rs []request
	for _, j := range s.jobs {
		if j.prog.State.Ended() {
			continue
		}
		s.openRound(j)
		for k, round := range j.prog.Occurrences {
			if round == nil {
				continue
			}
			for step := range round {
				if !j.spec.Ready(round, step) {
					continue
				}
				if r := s.request(j, k, step, round[step]); len(r.indices) > 0 {
					rs = append(rs, r)
				}
			}
		}
	}
	slices.SortFunc(rs, func(a, b request) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(lateness(a.spare), lateness(b.spare)),
			cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id), cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step))
	})
	return rs
}

// lateness tells requests that can still meet their objective from the others.
func lateness(spare int64) int {
	if spare < 0 {
		return 1
	}
	return 0
}

// request returns the waiting tasks of a step.
func (s *State) request(j *job, k, step int, tasks []jobspec.Task) request {
	r := request{job: j, occurrence: k, step: step, rank: s.rank(j)}
	r.spare = j.deadline - s.now - j.spec.Steps[step].Estimate
	live := 0
	for i := range tasks {
		switch tasks[i].Phase {
		case jobspec.Waiting:
			r.indices = append(r.indices, i)
		case jobspec.Placed:
			live++
		case jobspec.Done:
		}
	}
	if j.spec.Steps[step].Gang && live > 0 {
		// The rest of the last run has not ended yet.
		r.indices = nil
	}
	return r
}

// rank returns the rank of a job's requests.
func (s *State) rank(j *job) int {
	switch {
	case j.spec.Priority > 0:
		return rankOther + j.spec.Priority
	case j.guaranteed:
		return rankGuaranteed
	}
	return rankUrgent
}

// guarantees works out which urgent jobs their organisations' guarantees cover,
// the oldest first.
func (s *State) guarantees() {
	if s.config == nil {
		return
	}
	var urgent []*job
	for _, j := range s.jobs {
		j.guaranteed = false
		if j.spec.Priority == 0 && !j.prog.State.Ended() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *job) int { return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id)) })
	used := make(map[string]int64)
	for _, j := range urgent {
		o := s.config.Organisations[j.spec.Organisation]
		if o == nil {
			continue
		}
		n := used[o.Name] + j.accelerators()
		if n <= o.Guaranteed {
			used[o.Name], j.guaranteed = n, true
		}
	}
}

// accelerators returns the most that the job's steps occupy at a time.
func (j *job) accelerators() int64 {
	var n int64
	for i := range j.spec.Steps {
		p := &j.spec.Steps[i]
		n = max(n, int64(p.Tasks)*p.Need.Accelerators)
	}
	return n
}

// floor returns the seats of a service.
func (s *State) floor(service string) *floor {
	f := &floor{}
	for _, w := range s.workers {
		if w.Service == service && !s.closed(w) {
			f.workers = append(f.workers, w)
		}
	}
	slices.SortFunc(f.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range f.workers {
		f.seats = append(f.seats, placement.Candidate{
			ID: w.ID, Rack: w.rack, Labels: w.Labels, Free: w.Capacity.Sub(w.used), Capacity: w.Capacity,
		})
	}
	f.racks = placement.ByRack(f.seats)
	if k := s.stillKept(service); k != nil {
		f.keptFor, f.held = k.gang, make(map[int]bool)
		for i, w := range f.workers {
			if k.workers[w.ID] {
				f.held[i] = true
			}
		}
	}
	return f
}

// prepare marks the seats for one request.
func (s *State) prepare(r *request, f *floor) {
	step := &r.spec.Steps[r.step]
	avoid := r.avoid[r.step]
	advised := s.isAdvised(r.job)
	held := f.held
	if r.rank < rankOther || f.keptFor == stepName(r.job, r.occurrence, r.step) {
		held = nil
	}
	for i := range f.seats {
		seat, w := &f.seats[i], f.workers[i]
		failed, bad := avoid[w.ID]
		seat.Avoided = w.strikes > 0 || bad
		seat.Excluded = held[i] || bad && s.now < failed+avoidFor || advised && !s.allowed(r, w)
		seat.StepTasks = 0
		if step.MaxPerWorker > 0 {
			for n := range w.attempts {
				if n.Job == r.id && n.Occurrence == r.occurrence && n.Step == r.step {
					seat.StepTasks++
				}
			}
		}
	}
}

// avoidFor is how long a step is not placed again on a worker where a task of it
// failed, in milliseconds. A worker that fails everything is quarantined within this
// time; a job that fails everywhere has used its attempts on others.
const avoidFor = 5000

// place finds places for a request and takes them.
func (s *State) place(r *request, f *floor) {
	s.prepare(r, f)
	step := &r.spec.Steps[r.step]
	need := &placement.Request{Tasks: len(r.indices), Step: step}
	if step.Gang {
		s.placeGang(r, f, need)
		return
	}
	at := s.near(r, f, need)
	places := placement.Fill(f.seats, at, need)
	s.takePlaces(r, f, r.indices[:len(places)], places, nil)
	if rest := r.indices[len(places):]; len(rest) > 0 && r.rank <= rankUrgent {
		s.displace(r, f, rest, &placement.Request{Tasks: len(rest), Step: step}, at)
	}
}

// near returns the seats that a request may use now: those of the data's rack as
// long as waiting for them costs less than working far away.
func (s *State) near(r *request, f *floor, need *placement.Request) []int {
	step := &r.spec.Steps[r.step]
	rack := f.racks[step.DataRack]
	if step.DataRack == "" || len(rack) == 0 || s.age(r) > step.Estimate || r.rank <= rankUrgent {
		return all(f)
	}
	whole := 0
	for _, i := range rack {
		whole += step.Reserved().Fit(f.seats[i].Capacity, need.Tasks)
	}
	if whole == 0 {
		return all(f)
	}
	return rack
}

// age returns how long the request's job has been known.
func (s *State) age(r *request) int64 { return s.now - r.since }

// all returns the indices of all seats.
func all(f *floor) []int {
	at := make([]int, len(f.seats))
	for i := range at {
		at[i] = i
	}
	return at
}

// urgentPatience is how long an urgent gang waits for one rack before it is spread,
// in milliseconds. The operators' bound for its start is some seconds.
const urgentPatience = 1000

// placeGang places all tasks of a gang or none.
func (s *State) placeGang(r *request, f *floor, need *placement.Request) {
	step := &r.spec.Steps[r.step]
	inRack := step.SameRack && placement.FitsRack(f.seats, f.racks, need)
	if inRack {
		if places := placement.PlaceInRack(f.seats, s.nearRacks(r, f, need), need); places != nil {
			s.takePlaces(r, f, r.indices, places, nil)
			return
		}
	} else if places := placement.PlaceAnywhere(f.seats, need); len(places) == need.Tasks {
		s.takePlaces(r, f, r.indices, places, nil)
		return
	}
	if r.rank <= rankUrgent {
		if inRack {
			if s.displaceInRack(r, f, need) {
				return
			}
			if s.age(r) < urgentPatience {
				return
			}
			if places := placement.PlaceAnywhere(f.seats, need); len(places) == need.Tasks {
				s.takePlaces(r, f, r.indices, places, nil)
				return
			}
		}
		s.displace(r, f, r.indices, need, all(f))
		return
	}
	s.keepSeats(r, f, need, inRack)
}

// nearRacks returns the racks that a gang may use now.
func (s *State) nearRacks(r *request, f *floor, need *placement.Request) map[string][]int {
	step := &r.spec.Steps[r.step]
	rack := f.racks[step.DataRack]
	if step.DataRack == "" || len(rack) == 0 || r.rank <= rankUrgent || s.age(r) > step.Estimate {
		return f.racks
	}
	only := map[string][]int{step.DataRack: rack}
	if !placement.FitsRack(f.seats, only, need) {
		return f.racks
	}
	return only
}

// takePlaces records a placement; the victims are stopped for it.
func (s *State) takePlaces(r *request, f *floor, indices, places []int, victims []*unit) {
	if len(places) == 0 {
		return
	}
	j := r.job
	step := &j.spec.Steps[r.step]
	tasks := j.prog.Occurrences[r.occurrence][r.step]
	used := make(map[*worker]bool, len(places))
	for _, p := range places {
		used[f.workers[p]] = true
	}
	var frees []*attempt
	for _, v := range victims {
		for _, a := range v.attempts {
			if used[a.w] {
				frees = append(frees, a)
			}
		}
	}
	run := 0
	if step.Gang {
		for i := range tasks {
			run = max(run, tasks[i].Run)
		}
	}
	var u *unit
	var units []*unit
	for i, index := range indices {
		w := f.workers[places[i]]
		t := &tasks[index]
		if u == nil || !step.Gang {
			n := t.Run + 1
			if step.Gang {
				n = run + 1
			}
			u = &unit{job: j, occurrence: r.occurrence, step: r.step, run: n, batch: s.next(), placedAt: s.now}
			units = append(units, u)
		}
		t.Phase, t.Run, t.Worker, t.Lifetime = jobspec.Placed, u.run, w.ID, w.born
		a := s.newAttempt(u, index, w)
		a.born = w.born
		f.seats[places[i]].Free = f.seats[places[i]].Free.Sub(a.need)
	}
	for _, u := range units {
		s.starts = append(s.starts, u)
		for _, a := range frees {
			u.blockers++
			a.frees = append(a.frees, u)
		}
	}
	j.prog.Started = true
	if j.prog.State == jobspec.Queued {
		j.prog.State = jobspec.Running
	}
	s.changed(j)
	s.line("placed", slog.String("id", j.id), slog.Int("step", r.step), slog.Int("tasks", len(indices)),
		slog.Int("run", units[0].run), slog.Int("rank", r.rank), slog.Int64("waitedMs", s.age(r)),
		slog.Int64("spareMs", r.spare), slog.Int("stops", len(frees)), slog.String("worker", f.workers[places[0]].ID),
		slog.Int("workers", len(f.seats)))
	for _, v := range victims {
		v.broken = true
		s.stopUnit(v, "displaced for "+j.id)
	}
}
