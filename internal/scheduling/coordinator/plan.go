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
	pools := make(map[string]*candidatePool)
	for i := range rs {
		r := &rs[i]
		pool := pools[r.spec.Service]
		if pool == nil {
			pool = s.newPool(r.spec.Service)
			pools[r.spec.Service] = pool
		}
		if len(pool.candidates) == 0 || s.skipRetry(r) || s.mustAwaitAdvice(r, pool) {
			continue
		}
		s.place(r, pool)
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
		for occurrence, steps := range j.progress.Occurrences {
			if steps == nil {
				continue
			}
			for step := range steps {
				if !j.spec.Ready(steps, step) {
					continue
				}
				if r := s.request(j, occurrence, step, steps[step]); len(r.indices) > 0 {
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
func (s *State) request(j *job, occurrence, step int, tasks []jobspec.Task) request {
	r := request{job: j, occurrence: occurrence, step: step, rank: s.rank(j)}
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
	pool := &candidatePool{}
	for _, w := range s.workers {
		if w.Service == service && !s.unschedulable(w) {
			pool.workers = append(pool.workers, w)
		}
	}
	slices.SortFunc(pool.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range pool.workers {
		pool.candidates = append(pool.candidates, placement.Candidate{
			ID: w.ID, Rack: w.rack, Labels: w.Labels, Free: w.Capacity.Sub(w.used), Capacity: w.Capacity,
		})
	}
	pool.racks = placement.ByRack(pool.candidates)
	if k := s.activeReservation(service); k != nil {
		pool.reservedFor, pool.reserved = k.gang, make(map[int]bool)
		for i, w := range pool.workers {
			if k.workers[w.ID] {
				pool.reserved[i] = true
			}
		}
	}
	return pool
}

// prepare marks the seats for one request.
func (s *State) markCandidates(r *request, pool *candidatePool) {
	step := &r.spec.Steps[r.step]
	avoid := r.avoidedWorkers[r.step]
	advised := s.requiresAdvice(r.job)
	reserved := pool.reserved
	if r.rank < rankNonUrgent || pool.reservedFor == stepID(r.job, r.occurrence, r.step) {
		reserved = nil
	}
	for i := range pool.candidates {
		candidate, w := &pool.candidates[i], pool.workers[i]
		failed, bad := avoid[w.ID]
		candidate.Avoided = w.failures > 0 || bad
		candidate.Excluded = reserved[i] || bad && s.now < failed+avoidDuration || advised && !s.permitted(r, w)
		candidate.StepTasks = 0
		if step.MaxPerWorker > 0 {
			for n := range w.attempts {
				if n.Job == r.id && n.Occurrence == r.occurrence && n.Step == r.step {
					candidate.StepTasks++
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
func (s *State) place(r *request, pool *candidatePool) {
	s.markCandidates(r, pool)
	step := &r.spec.Steps[r.step]
	demand := &placement.Request{Tasks: len(r.indices), Step: step}
	if step.Gang {
		s.placeGang(r, pool, demand)
		return
	}
	eligible := s.localCandidates(r, pool, demand)
	places := placement.Fill(pool.candidates, eligible, demand)
	s.commitPlacement(r, pool, r.indices[:len(places)], places, nil)
	if rest := r.indices[len(places):]; len(rest) > 0 && r.rank <= rankUrgent {
		s.preempt(r, pool, rest, &placement.Request{Tasks: len(rest), Step: step}, eligible)
	}
}

// near returns the seats that a request may use now: those of the data's rack as
// long as waiting for them costs less than working far away.
func (s *State) localCandidates(r *request, pool *candidatePool, demand *placement.Request) []int {
	step := &r.spec.Steps[r.step]
	rack := pool.racks[step.DataRack]
	if step.DataRack == "" || len(rack) == 0 || s.age(r) > step.Estimate || r.rank <= rankUrgent {
		return allCandidates(pool)
	}
	capacity := 0
	for _, i := range rack {
		capacity += step.Reserved().Fit(pool.candidates[i].Capacity, demand.Tasks)
	}
	if capacity == 0 {
		return allCandidates(pool)
	}
	return rack
}

// age returns how long the request's job has been known.
func (s *State) age(r *request) int64 { return s.now - r.acceptedAt }

// all returns the indices of all seats.
func allCandidates(pool *candidatePool) []int {
	indices := make([]int, len(pool.candidates))
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// urgentPatience is how long an urgent gang waits for one rack before it is spread,
// in milliseconds. The operators' bound for its start is some seconds.
const urgentRackWait = 1000

// placeGang places all tasks of a gang or none.
func (s *State) placeGang(r *request, pool *candidatePool, demand *placement.Request) {
	step := &r.spec.Steps[r.step]
	inRack := step.SameRack && placement.FitsRack(pool.candidates, pool.racks, demand)
	if inRack {
		if places := placement.PlaceInRack(pool.candidates, s.localRacks(r, pool, demand), demand); places != nil {
			s.commitPlacement(r, pool, r.indices, places, nil)
			return
		}
	} else if places := placement.PlaceAnywhere(pool.candidates, demand); len(places) == demand.Tasks {
		s.commitPlacement(r, pool, r.indices, places, nil)
		return
	}
	if r.rank <= rankUrgent {
		if inRack {
			if s.preemptInRack(r, pool, demand) {
				return
			}
			if s.age(r) < urgentRackWait {
				return
			}
			if places := placement.PlaceAnywhere(pool.candidates, demand); len(places) == demand.Tasks {
				s.commitPlacement(r, pool, r.indices, places, nil)
				return
			}
		}
		s.preempt(r, pool, r.indices, demand, allCandidates(pool))
		return
	}
	s.reserveForGang(r, pool, demand, inRack)
}

// nearRacks returns the racks that a gang may use now.
func (s *State) localRacks(r *request, pool *candidatePool, demand *placement.Request) map[string][]int {
	step := &r.spec.Steps[r.step]
	rack := pool.racks[step.DataRack]
	if step.DataRack == "" || len(rack) == 0 || r.rank <= rankUrgent || s.age(r) > step.Estimate {
		return pool.racks
	}
	only := map[string][]int{step.DataRack: rack}
	if !placement.FitsRack(pool.candidates, only, demand) {
		return pool.racks
	}
	return only
}

// takePlaces records a placement; the victims are stopped for it.
func (s *State) commitPlacement(r *request, pool *candidatePool, indices, places []int, victims []*unit) {
	if len(places) == 0 {
		return
	}
	j := r.job
	step := &j.spec.Steps[r.step]
	tasks := j.progress.Occurrences[r.occurrence][r.step]
	used := make(map[*worker]bool, len(places))
	for _, p := range places {
		used[pool.workers[p]] = true
	}
	var blockers []*attempt
	for _, v := range victims {
		for _, a := range v.attempts {
			if used[a.w] {
				blockers = append(blockers, a)
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
		w := pool.workers[places[i]]
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
		pool.candidates[places[i]].Free = pool.candidates[places[i]].Free.Sub(a.need)
	}
	for _, u := range units {
		s.unrecordedUnits = append(s.unrecordedUnits, u)
		for _, a := range blockers {
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
		slog.Int64("spareMs", r.laxity), slog.Int("stops", len(blockers)), slog.String("worker", pool.workers[places[0]].ID),
		slog.Int("workers", len(pool.candidates)))
	for _, v := range victims {
		v.aborted = true
		s.stopUnit(v, "displaced for "+j.id)
	}
}
