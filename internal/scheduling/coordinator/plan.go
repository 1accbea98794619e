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
	laxity int64
}

// The ranks. Jobs of priority 1 and more follow at rankOther.
const (
	rankGuaranteed = iota
	rankUrgent
	rankNonUrgent
)

// floor is the seats of one service while places are chosen.
type candidatePool struct {
	candidates []placement.Candidate
	workers    []*worker
	racks      map[string][]int
	// held has the seats that are kept for a gang that waits; others of the same or
	// a higher rank must not take them.
	reserved map[int]bool
	// keptFor is the gang that they are kept for.
	reservedFor jobspec.TaskID
}

// plan places the waiting tasks.
func (s *State) plan() {
	s.applyGuarantees()
	rs := s.requests()
	if len(rs) == 0 {
		return
	}
	floors := make(map[string]*candidatePool)
	for i := range rs {
		r := &rs[i]
		f := floors[r.spec.Service]
		if f == nil {
			f = s.newPool(r.spec.Service)
			floors[r.spec.Service] = f
		}
		if len(f.candidates) == 0 || s.skipRetry(r) || s.mustAwaitAdvice(r, f) {
			continue
		}
		s.place(r, f)
	}
}

// tried is a look for places that found none.
type placementAttempt struct {
	at, capacityGains int64
}

// tryAgain is the time after which places are looked for again although nothing has
// become free: a request may use more places with its age. In milliseconds.
const placementRetryInterval = 250

// lesserEvery is the least time between two looks for places for work that is not
// urgent, in milliseconds.
const nonUrgentRetryInterval = 60

// hopeless reports whether a request need not be tried, since nothing has become
// free since the last time, and notes that it is tried otherwise.
func (s *State) skipRetry(r *request) bool {
	n := stepID(r.job, r.occurrence, r.step)
	last, ok := r.placementAttempts[n]
	if ok && s.now < last.at+placementRetryInterval {
		if last.capacityGains == s.capacityGains || r.rank >= rankNonUrgent && s.now < last.at+nonUrgentRetryInterval {
			return true
		}
	}
	if r.placementAttempts == nil {
		r.placementAttempts = make(map[jobspec.TaskID]placementAttempt)
	}
	r.placementAttempts[n] = placementAttempt{at: s.now, capacityGains: s.capacityGains}
	return false
}

// requests returns the steps with waiting tasks whose turn has come, the most
// important first.
func (s *State) requests() []request {
	var rs []request
	for _, j := range s.jobs {
		if j.progress.State.Ended() {
			continue
		}
		s.openOccurrences(j)
		for k, round := range j.progress.Occurrences {
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
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(lateness(a.laxity), lateness(b.laxity)),
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
	r.laxity = j.deadline - s.now - j.spec.Steps[step].Estimate
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
		return rankNonUrgent + j.spec.Priority
	case j.guaranteed:
		return rankGuaranteed
	}
	return rankUrgent
}

// guarantees works out which urgent jobs their organisations' guarantees cover,
// the oldest first.
func (s *State) applyGuarantees() {
	if s.config == nil {
		return
	}
	var urgent []*job
	for _, j := range s.jobs {
		j.guaranteed = false
		if j.spec.Priority == 0 && !j.progress.State.Ended() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *job) int { return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.id, b.id)) })
	used := make(map[string]int64)
	for _, j := range urgent {
		o := s.config.Organisations[j.spec.Organisation]
		if o == nil {
			continue
		}
		n := used[o.Name] + j.peakAccelerators()
		if n <= o.Guaranteed {
			used[o.Name], j.guaranteed = n, true
		}
	}
}

// accelerators returns the most that the job's steps occupy at a time.
func (j *job) peakAccelerators() int64 {
	var n int64
	for i := range j.spec.Steps {
		p := &j.spec.Steps[i]
		n = max(n, int64(p.Tasks)*p.Need.Accelerators)
	}
	return n
}

// floor returns the seats of a service.
func (s *State) newPool(service string) *candidatePool {
	f := &candidatePool{}
	for _, w := range s.workers {
		if w.Service == service && !s.unschedulable(w) {
			f.workers = append(f.workers, w)
		}
	}
	slices.SortFunc(f.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range f.workers {
		f.candidates = append(f.candidates, placement.Candidate{
			ID: w.ID, Rack: w.rack, Labels: w.Labels, Free: w.Capacity.Sub(w.used), Capacity: w.Capacity,
		})
	}
	f.racks = placement.ByRack(f.candidates)
	if k := s.activeReservation(service); k != nil {
		f.reservedFor, f.reserved = k.gang, make(map[int]bool)
		for i, w := range f.workers {
			if k.workers[w.ID] {
				f.reserved[i] = true
			}
		}
	}
	return f
}

// prepare marks the seats for one request.
func (s *State) markCandidates(r *request, f *candidatePool) {
	step := &r.spec.Steps[r.step]
	avoid := r.avoidedWorkers[r.step]
	advised := s.requiresAdvice(r.job)
	held := f.reserved
	if r.rank < rankNonUrgent || f.reservedFor == stepID(r.job, r.occurrence, r.step) {
		held = nil
	}
	for i := range f.candidates {
		seat, w := &f.candidates[i], f.workers[i]
		failed, bad := avoid[w.ID]
		seat.Avoided = w.failures > 0 || bad
		seat.Excluded = held[i] || bad && s.now < failed+avoidDuration || advised && !s.permitted(r, w)
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
const avoidDuration = 5000

// place finds places for a request and takes them.
func (s *State) place(r *request, f *candidatePool) {
	s.markCandidates(r, f)
	step := &r.spec.Steps[r.step]
	need := &placement.Request{Tasks: len(r.indices), Step: step}
	if step.Gang {
		s.placeGang(r, f, need)
		return
	}
	at := s.localCandidates(r, f, need)
	places := placement.Fill(f.candidates, at, need)
	s.commitPlacement(r, f, r.indices[:len(places)], places, nil)
	if rest := r.indices[len(places):]; len(rest) > 0 && r.rank <= rankUrgent {
		s.preempt(r, f, rest, &placement.Request{Tasks: len(rest), Step: step}, at)
	}
}

// near returns the seats that a request may use now: those of the data's rack as
// long as waiting for them costs less than working far away.
func (s *State) localCandidates(r *request, f *candidatePool, need *placement.Request) []int {
	step := &r.spec.Steps[r.step]
	rack := f.racks[step.DataRack]
	if step.DataRack == "" || len(rack) == 0 || s.age(r) > step.Estimate || r.rank <= rankUrgent {
		return allCandidates(f)
	}
	whole := 0
	for _, i := range rack {
		whole += step.Reserved().Fit(f.candidates[i].Capacity, need.Tasks)
	}
	if whole == 0 {
		return allCandidates(f)
	}
	return rack
}

// age returns how long the request's job has been known.
func (s *State) age(r *request) int64 { return s.now - r.acceptedAt }

// all returns the indices of all seats.
func allCandidates(f *candidatePool) []int {
	at := make([]int, len(f.candidates))
	for i := range at {
		at[i] = i
	}
	return at
}

// urgentPatience is how long an urgent gang waits for one rack before it is spread,
// in milliseconds. The operators' bound for its start is some seconds.
const urgentRackWait = 1000

// placeGang places all tasks of a gang or none.
func (s *State) placeGang(r *request, f *candidatePool, need *placement.Request) {
	step := &r.spec.Steps[r.step]
	inRack := step.SameRack && placement.FitsRack(f.candidates, f.racks, need)
	if inRack {
		if places := placement.PlaceInRack(f.candidates, s.localRacks(r, f, need), need); places != nil {
			s.commitPlacement(r, f, r.indices, places, nil)
			return
		}
	} else if places := placement.PlaceAnywhere(f.candidates, need); len(places) == need.Tasks {
		s.commitPlacement(r, f, r.indices, places, nil)
		return
	}
	if r.rank <= rankUrgent {
		if inRack {
			if s.preemptInRack(r, f, need) {
				return
			}
			if s.age(r) < urgentRackWait {
				return
			}
			if places := placement.PlaceAnywhere(f.candidates, need); len(places) == need.Tasks {
				s.commitPlacement(r, f, r.indices, places, nil)
				return
			}
		}
		s.preempt(r, f, r.indices, need, allCandidates(f))
		return
	}
	s.reserveForGang(r, f, need, inRack)
}

// nearRacks returns the racks that a gang may use now.
func (s *State) localRacks(r *request, f *candidatePool, need *placement.Request) map[string][]int {
	step := &r.spec.Steps[r.step]
	rack := f.racks[step.DataRack]
	if step.DataRack == "" || len(rack) == 0 || r.rank <= rankUrgent || s.age(r) > step.Estimate {
		return f.racks
	}
	only := map[string][]int{step.DataRack: rack}
	if !placement.FitsRack(f.candidates, only, need) {
		return f.racks
	}
	return only
}

// takePlaces records a placement; the victims are stopped for it.
func (s *State) commitPlacement(r *request, f *candidatePool, indices, places []int, victims []*unit) {
	if len(places) == 0 {
		return
	}
	j := r.job
	step := &j.spec.Steps[r.step]
	tasks := j.progress.Occurrences[r.occurrence][r.step]
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
			u = &unit{job: j, occurrence: r.occurrence, step: r.step, run: n, batch: s.nextBatch(), placedAt: s.now}
			units = append(units, u)
		}
		t.Phase, t.Run, t.Worker, t.Lifetime = jobspec.Placed, u.run, w.ID, w.currentLifetime
		a := s.newAttempt(u, index, w)
		a.lifetime = w.currentLifetime
		f.candidates[places[i]].Free = f.candidates[places[i]].Free.Sub(a.need)
	}
	for _, u := range units {
		s.unrecordedUnits = append(s.unrecordedUnits, u)
		for _, a := range frees {
			u.blockers++
			a.blockedUnits = append(a.blockedUnits, u)
		}
	}
	j.progress.Started = true
	if j.progress.State == jobspec.Queued {
		j.progress.State = jobspec.Running
	}
	s.markDirty(j)
	s.log("placed", slog.String("id", j.id), slog.Int("step", r.step), slog.Int("tasks", len(indices)),
		slog.Int("run", units[0].run), slog.Int("rank", r.rank), slog.Int64("waitedMs", s.age(r)),
		slog.Int64("spareMs", r.laxity), slog.Int("stops", len(frees)), slog.String("worker", f.workers[places[0]].ID),
		slog.Int("workers", len(f.candidates)))
	for _, v := range victims {
		v.aborted = true
		s.stopUnit(v, "displaced for "+j.id)
	}
}
