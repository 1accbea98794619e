package coordinator

import (
	"cmp"
	"log/slog"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
)

// request is a request to place the waiting tasks of one step.
type request struct {
	*job
	occurrence, step int
	// indices are the waiting tasks' indices in their step.
	indices []int
	// rank orders requests, the lowest first. Urgent requests may preempt work of a
	// numerically higher rank; see preemptableRanks.
	rank int
	// laxity is the time that would be left until the job's deadline if the step
	// started now and took its estimate; negative if the deadline would be missed.
	laxity int64
	// precedence orders the requests of a pass.
	precedence precedence.Waiting
	// paceSpread is the number of classes between the fastest and the slowest worker of the service.
	paceSpread int
	// limited is set while only workers up to the pace class slowest are considered, and
	// maxStopCost, if set, is the most work that may be lost by preemption meanwhile, in core
	// seconds.
	limited     bool
	slowest     int
	maxStopCost float64
}

// The ranks of requests. Jobs of priority 0 are urgent: those covered by their
// organisation's guarantee have rankGuaranteed and the others rankUrgent. The rank of
// any other job is rankNonUrgent plus its priority.
const (
	rankGuaranteed = iota
	rankUrgent
	rankNonUrgent
)

// candidatePool holds the candidates of one service during a scheduling pass. Indices
// into candidates and workers correspond.
type candidatePool struct {
	candidates []placement.Candidate
	workers    []*worker
	// fastest and slowest bound the pace classes of the candidates.
	fastest, slowest int
	// racks holds the indices of the candidates by rack.
	racks map[string][]int
	// reservations holds the reservations in force, and reservedBy the one of each candidate;
	// nil for none.
	reservations []*reservation
	reservedBy   []*reservation
	// releases holds, for each candidate, when it is expected to have more free capacity; nil
	// before that is needed.
	releases [][]release
	// indices holds the index of each worker by its ID.
	indices map[string]int
	// marked holds the indices of the candidates whose marks were set for the last request.
	// ownExclusions is set if some were excluded for reasons of that request alone.
	marked        []int
	ownExclusions bool
	refusals      []refusal
	// now is the time of the pass.
	now int64
	// nonUrgentRanks holds the ranks of the work on the workers that is not urgent, the highest
	// first; nil before they are needed.
	nonUrgentRanks []int
	// preemptable holds the units that could be preempted when they were first needed in the
	// pass, and victimSets the parts of them by their lowest ranks.
	preemptable []preemptableUnit
	victimSets  map[minRanks]*victimSet
	// rackNames holds the racks in order, and searches counts the searches for racks on which work
	// may be preempted.
	rackNames []string
	searches  int
	// quarantined is the pool of the workers of the service that are in quarantine; nil if there
	// are none.
	quarantined *candidatePool
	// taken holds the units that were chosen as victims in the pass.
	taken map[*unit]bool
}

// plan runs a scheduling pass: it tries to place all waiting tasks, or those of urgent jobs, in the
// order of requests.
func (s *State) plan(urgentOnly bool) {
	s.ranPass, s.passExamined = true, 0
	rs := s.requests(urgentOnly)
	if !urgentOnly {
		s.passCut = false
	}
	if len(rs) == 0 {
		return
	}
	s.stopBudgets = nil
	before, stopped := s.examined, s.stopping
	pools := make(map[string]*candidatePool)
	cut := false
	for i := range rs {
		r := &rs[i]
		if cut = s.examined-before > s.maxExamined(); cut {
			s.planDue, s.passCut = true, s.passCut || !urgentOnly
			break
		}
		r.noteAttempt(s)
		pool := pools[r.spec.Service]
		if pool == nil {
			pool = s.poolOf(r.spec.Service)
			pools[r.spec.Service] = pool
		}
		r.paceSpread = pool.slowest - pool.fastest
		if len(pool.candidates) > 0 && !s.mustAwaitAdvice(r, pool) && s.mayQueueStarts(r) > 0 {
			s.place(r, pool)
		}
		s.placeOnQuarantined(r, pool)
	}
	s.passExamined = s.examined - before
	if n := s.passExamined; n >= longPass {
		s.log("long scheduling pass", slog.Int("requests", len(rs)), slog.Bool("urgentOnly", urgentOnly), slog.Bool("cut", cut),
			slog.Int("examined", n), slog.Int("stops", s.stopping-stopped), slog.Int("stopping", s.stopping), slog.Int64("callDelayMs", s.callDelay()))
	}
}

// longPass is the number of comparisons of requests with workers in a scheduling pass from which
// on the pass is logged.
const longPass = 100_000

// placementAttempt is the last attempt to place the waiting tasks of a step: its time, the value of
// State.capacityGains then, and the time of the first attempt.
type placementAttempt struct {
	at, capacityGains, since int64
}

// placementRetryInterval is the time after which a placement attempt is repeated even
// if no capacity has become free, since a request may use more candidates as it ages.
// In milliseconds.
const placementRetryInterval = 250

// nonUrgentRetryInterval is the least time between two placement attempts of a request
// that is not urgent, in milliseconds.
const nonUrgentRetryInterval = 60

// noteAttempt records a placement attempt for r.
func (r *request) noteAttempt(s *State) {
	if r.placementAttempts == nil {
		r.placementAttempts = make(map[jobspec.TaskID]placementAttempt)
	}
	step := stepID(r.job, r.occurrence, r.step)
	since := s.now
	if last, ok := r.placementAttempts[step]; ok {
		since = last.since
	}
	r.placementAttempts[step] = placementAttempt{at: s.now, capacityGains: s.capacityGains, since: since}
}

// skipRetry reports whether a placement attempt for r is not worthwhile yet: within
// placementRetryInterval of the last one, it is repeated only if capacity has become
// free, and for requests that are not urgent only after nonUrgentRetryInterval. A step that
// has been idle for too long is not held back. After a pass that was cut, what was tried in it
// waits for the rest, except guaranteed work.
func (s *State) skipRetry(r *request) bool {
	step := stepID(r.job, r.occurrence, r.step)
	last, ok := r.placementAttempts[step]
	if ok && !s.idleTooLong(r.room[step]) && s.now < last.at+placementRetryInterval {
		return last.capacityGains == s.capacityGains || r.rank >= rankNonUrgent && s.now < last.at+nonUrgentRetryInterval ||
			r.rank > rankGuaranteed && s.passCut
	}
	return false
}

// requests returns a request for each step that has waiting tasks, whose preceding steps
// are done, and for which a placement attempt is worthwhile, or only those of urgent jobs. They are ordered by
// precedence.
func (s *State) requests(urgentOnly bool) []request {
	s.applyGuarantees()
	var rs []request
	for _, j := range s.jobs {
		if j.progress.State.Ended() || urgentOnly && s.rank(j) > rankUrgent {
			continue
		}
		s.openOccurrences(j)
		if !j.requestsValid {
			j.requests, j.requestsValid = s.jobRequests(j, j.requests[:0]), true
		}
		for i := range j.requests {
			r := j.requests[i]
			r.rank, r.laxity = s.rank(j), j.deadline-s.now-j.spec.Steps[r.step].Estimate
			if s.mayQueueStarts(&r) > 0 && !s.skipRetry(&r) {
				rs = append(rs, r)
			}
		}
	}
	s.setPrecedence(rs)
	slices.SortFunc(rs, func(a, b request) int {
		return cmp.Or(precedence.Compare(&a.precedence, &b.precedence), cmp.Compare(a.id, b.id), cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step))
	})
	return rs
}

// jobRequests appends a request for each step of a job with tasks to place to rs.
func (s *State) jobRequests(j *job, rs []request) []request {
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
	return rs
}

// lateness returns 0 for a request that can still meet its deadline and 1 for any other.
func lateness(laxity int64) int {
	if laxity < 0 {
		return 1
	}
	return 0
}

// request returns a request for the waiting tasks of a step, without rank and laxity. It
// has no indices if nothing can be placed.
func (s *State) request(j *job, occurrence, step int, tasks []jobspec.Task) request {
	r := request{job: j, occurrence: occurrence, step: step}
	live := 0
	orphans := j.orphans(occurrence, step)
	for i := range tasks {
		switch tasks[i].Phase {
		case jobspec.Waiting:
			if orphans[i] {
				live++
				continue
			}
			r.indices = append(r.indices, i)
		case jobspec.Placed:
			live++
		case jobspec.Done:
		}
	}
	if j.spec.Steps[step].Gang && live > 0 {
		// Members of an earlier run of the gang have not ended yet.
		r.indices = nil
	}
	return r
}

// orphans returns the indices of the tasks of a step of which a run is being stopped that no
// placement accounts for; nil if there are none.
func (j *job) orphans(occurrence, step int) map[int]bool {
	var indices map[int]bool
	for a := range j.attempts {
		if a.orphan && a.occurrence == occurrence && a.step == step {
			if indices == nil {
				indices = make(map[int]bool)
			}
			indices[a.index] = true
		}
	}
	return indices
}

// hasOrphan reports whether a run that no placement accounts for keeps a unit from starting.
func (j *job) hasOrphan(u *unit) bool {
	orphans := j.orphans(u.occurrence, u.step)
	if u.spec().Gang {
		return len(orphans) > 0
	}
	return slices.ContainsFunc(u.attempts, func(a *attempt) bool { return orphans[a.index] })
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

// applyGuarantees determines which urgent jobs are covered by the guarantees of their
// organisations. Jobs that are covered stay so: a job whose acceptance is read late must not make
// preemptable what has been placed. Among the others, older jobs take precedence; while one only
// waits for newer ones that are covered, no further job is.
func (s *State) applyGuarantees() {
	if s.config == nil || s.guaranteesValid {
		return
	}
	s.guaranteesValid = true
	shares := make(map[string]*guaranteeShare)
	var urgent []*job
	for _, j := range s.jobs {
		o := s.config.Organisations[j.spec.Organisation]
		if j.spec.Priority != 0 || j.progress.State.Ended() || o == nil {
			j.guaranteed = false
			continue
		}
		urgent = append(urgent, j)
		if shares[j.spec.Organisation] == nil {
			shares[j.spec.Organisation] = &guaranteeShare{left: o.Guaranteed, leftOfOlder: o.Guaranteed}
		}
	}
	slices.SortFunc(urgent, func(a, b *job) int { return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.id, b.id)) })
	for _, j := range urgent {
		if share := shares[j.spec.Organisation]; j.guaranteed {
			j.guaranteed = share.take(j.peakAccelerators())
		}
	}
	for _, j := range urgent {
		share, n := shares[j.spec.Organisation], j.peakAccelerators()
		switch {
		case j.guaranteed:
		case !share.awaited && share.take(n):
			j.guaranteed, j.guaranteedAt = true, s.now
		default:
			share.awaited = share.awaited || n <= share.leftOfOlder
			continue
		}
		share.leftOfOlder -= n
	}
}

// guaranteeShare is what is left of an organisation's guarantee while it is given to jobs, in
// accelerators.
type guaranteeShare struct {
	// left is what no job is covered by. leftOfOlder is what the jobs that are older than the one
	// under consideration leave.
	left, leftOfOlder int64
	// awaited is set once a job waits for what newer ones are covered by.
	awaited bool
}

// take reports whether n accelerators are left, and takes them if so.
func (g *guaranteeShare) take(n int64) bool {
	if n > g.left {
		return false
	}
	g.left -= n
	return true
}

// guaranteedFor returns for how long a guarantee has covered the job, in milliseconds.
func (s *State) guaranteedFor(j *job) int64 {
	if !j.guaranteed {
		return 0
	}
	return s.now - j.guaranteedAt
}

// peakAccelerators returns the highest number of accelerators that any step of the job
// needs.
func (j *job) peakAccelerators() int64 {
	var n int64
	for i := range j.spec.Steps {
		p := &j.spec.Steps[i]
		n = max(n, int64(p.Tasks)*p.Need.Accelerators)
	}
	return n
}

// poolOf returns the pool of the candidates of a service that are not in quarantine, with the pool
// of those that are, if there are any.
func (s *State) poolOf(service string) *candidatePool {
	pool := s.newPool(service, false)
	if !slices.ContainsFunc(s.sortedWorkers(), s.quarantined) {
		return pool
	}
	if q := s.newPool(service, true); len(q.candidates) > 0 {
		pool.quarantined = q
	}
	return pool
}

// newPool returns the candidates of a service that are in quarantine or are not, ordered by
// worker ID, with the reservations in force.
func (s *State) newPool(service string, quarantined bool) *candidatePool {
	pool := &candidatePool{
		now: s.now, workers: make([]*worker, 0, len(s.workers)), candidates: make([]placement.Candidate, 0, len(s.workers)),
		indices: make(map[string]int, len(s.workers)), taken: make(map[*unit]bool),
	}
	for _, w := range s.sortedWorkers() {
		if w.Service != service || s.quarantined(w) != quarantined || s.unschedulable(w) {
			continue
		}
		class := w.pace.Class()
		pool.fastest, pool.slowest = min(pool.fastest, class), max(pool.slowest, class)
		pool.indices[w.ID] = len(pool.workers)
		pool.workers = append(pool.workers, w)
		pool.candidates = append(pool.candidates, placement.Candidate{
			ID: w.ID, Rack: w.rack, Labels: w.Labels, Free: w.Capacity.Sub(w.used), Capacity: w.Capacity, Avoided: w.failures > 0,
			Cold:      s.cold(w),
			PaceClass: class,
		})
	}
	pool.racks = placement.ByRack(pool.candidates)
	pool.reservedBy = make([]*reservation, len(pool.workers))
	for _, res := range s.activeReservations(service) {
		pool.addReservation(res)
	}
	return pool
}

// markCandidates sets, for one request, which candidates are excluded or to be avoided
// and how many tasks of the step each already runs. Reserved candidates are excluded if r may
// not use them, unless useReserved is set.
func (s *State) markCandidates(r *request, pool *candidatePool, useReserved bool) {
	pool.clearMarks()
	step := &r.spec.Steps[r.step]
	for id, avoidedAt := range r.avoidedWorkers[r.step] {
		i, ok := pool.indices[id]
		if !ok {
			continue
		}
		candidate := pool.mark(i)
		candidate.Avoided = true
		if s.now < avoidedAt+avoidDuration {
			candidate.Excluded, pool.ownExclusions = true, true
		}
	}
	if !useReserved {
		pool.markReserved(r)
	}
	if s.requiresAdvice(r.job) {
		pool.ownExclusions = true
		for i, w := range pool.workers {
			if !s.permitted(r, w) {
				pool.mark(i).Excluded = true
			}
		}
	}
	if step.MaxPerWorker > 0 {
		for a := range r.attempts {
			if i, ok := pool.indices[a.w.ID]; ok && a.occurrence == r.occurrence && a.step == r.step {
				pool.mark(i).StepTasks++
			}
		}
	}
}

// mark returns a candidate whose marks are about to be changed.
func (pool *candidatePool) mark(i int) *placement.Candidate {
	pool.marked = append(pool.marked, i)
	return &pool.candidates[i]
}

// clearMarks resets the marks of the last request.
func (pool *candidatePool) clearMarks() {
	for _, i := range pool.marked {
		candidate := &pool.candidates[i]
		candidate.Avoided, candidate.Excluded, candidate.StepTasks = pool.workers[i].failures > 0, false, 0
	}
	pool.marked, pool.ownExclusions = pool.marked[:0], false
}

// excludesReserved reports whether r may not use some of the reserved workers.
func (pool *candidatePool) excludesReserved(r *request) bool {
	return slices.ContainsFunc(pool.reservations, func(res *reservation) bool { return res.excludes(r, pool.now) })
}

// avoidDuration is how long a step is not placed again on a worker where one of its
// tasks failed, stalled or was rejected as invalid, in milliseconds. Within this time a
// worker on which every task fails is quarantined, and a job that fails everywhere has
// used up its attempts on other workers.
const avoidDuration = 5000

// demand returns a demand for places for tasks of a request, whose search is counted in examined.
func (s *State) demand(r *request, tasks int) *placement.Request {
	return &placement.Request{
		Tasks: tasks, Step: &r.spec.Steps[r.step], Order: s.paceOrder(r), Limited: r.limited, Slowest: r.slowest, Examined: &s.examined,
	}
}

// place tries to place the tasks of a request, and preempts other work for urgent
// ones. A gang is placed as a whole; the tasks of other steps as far as they fit.
func (s *State) place(r *request, pool *candidatePool) {
	step := &r.spec.Steps[r.step]
	demand := s.demand(r, len(r.indices))
	if step.Gang {
		s.placeGang(r, pool, demand)
		return
	}
	if n := s.mayQueueStarts(r); n < demand.Tasks {
		r.indices, demand.Tasks = r.indices[:n], n
	}
	full := pool.refused(r, placeSingle, 1)
	if full && r.rank > rankUrgent {
		s.placeStranded(r, pool, demand)
		return
	}
	s.markCandidates(r, pool, false)
	eligible := s.localCandidates(r, pool, demand)
	var places []int
	if !full {
		places = placement.Fill(pool.candidates, eligible, demand)
		s.commitPlacement(r, pool, r.indices[:len(places)], places, nil)
		if len(places) < demand.Tasks && len(eligible) == len(pool.candidates) {
			pool.refuse(r, placeSingle, 1)
		}
		if len(places) == 0 {
			s.placeStranded(r, pool, demand)
		}
	}
	if rest := r.indices[len(places):]; len(rest) > 0 && r.rank <= rankUrgent {
		s.preempt(r, pool, rest, s.demand(r, len(rest)), eligible)
	}
}

// localCandidates returns the candidates that a request may use now. A request that is
// not urgent waits for the rack that holds its data until its job's age exceeds the
// step's estimate: up to then waiting is assumed to cost less than running remotely.
// It does not wait if the rack could not hold even one of its tasks when empty.
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

// age returns the time since the request's job was accepted.
func (s *State) age(r *request) int64 { return s.now - r.acceptedAt }

// allCandidates returns the indices of all candidates.
func allCandidates(pool *candidatePool) []int {
	indices := make([]int, len(pool.candidates))
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// urgentRackWait is how long an urgent gang waits for a single rack before it is spread
// over several, in milliseconds. The operators require it to start within a few
// seconds.
const urgentRackWait = 1000

// placeGang places all tasks of a gang or none. If a gang does not fit, it preempts
// other work if it is urgent, and otherwise may reserve candidates.
func (s *State) placeGang(r *request, pool *candidatePool, demand *placement.Request) {
	if r.rank > rankUrgent && !s.mayReserve(r, pool) && pool.refused(r, placeRack, demand.Tasks) && pool.refused(r, placeSpread, demand.Tasks) {
		s.placeStranded(r, pool, demand)
		return
	}
	s.markCandidates(r, pool, false)
	step := &r.spec.Steps[r.step]
	inRack := step.SameRack && placement.FitsRack(pool.candidates, pool.racks, demand)
	if s.placeInTime(r, pool, inRack) {
		return
	}
	if inRack && s.placeInRack(r, pool, demand) || !inRack && s.placeAnywhere(r, pool, demand) {
		return
	}
	if r.rank <= rankUrgent {
		if inRack {
			if s.preemptInRack(r, pool, demand) || s.age(r) < urgentRackWait || s.placeAnywhere(r, pool, demand) {
				return
			}
		}
		s.preempt(r, pool, r.indices, demand, allCandidates(pool))
		return
	}
	s.reserveForGang(r, pool, demand, inRack)
	s.placeStranded(r, pool, demand)
}

// placeInRack places a gang on one of the racks that it may use now, if there is room.
func (s *State) placeInRack(r *request, pool *candidatePool, demand *placement.Request) bool {
	if pool.refused(r, placeRack, demand.Tasks) {
		return false
	}
	racks := s.localRacks(r, pool, demand)
	places := placement.PlaceInRack(pool.candidates, racks, demand)
	if places == nil {
		if len(racks) == len(pool.racks) {
			pool.refuse(r, placeRack, demand.Tasks)
		}
		return false
	}
	s.commitPlacement(r, pool, r.indices, places, nil)
	return true
}

// placeAnywhere places a gang on any candidates, if there is room for all its tasks.
func (s *State) placeAnywhere(r *request, pool *candidatePool, demand *placement.Request) bool {
	if pool.refused(r, placeSpread, demand.Tasks) {
		return false
	}
	places := placement.PlaceAnywhere(pool.candidates, demand)
	if len(places) < demand.Tasks {
		// A gang that does not fit on all workers fits on no rack either.
		pool.refuse(r, placeSpread, demand.Tasks)
		pool.refuse(r, placeRack, demand.Tasks)
		return false
	}
	s.commitPlacement(r, pool, r.indices, places, nil)
	return true
}

// localRacks returns the racks that a gang may use now. As in localCandidates, a gang
// that is not urgent waits for the rack that holds its data, provided that the rack
// could hold the gang when empty.
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

// commitPlacement records the placement of the tasks at indices on the candidates at
// places, and stops the victims. The new units start once the placement is in the store
// and the victims' attempts on the chosen workers have ended.
func (s *State) commitPlacement(r *request, pool *candidatePool, indices, places []int, victims []*unit) {
	if len(places) == 0 {
		return
	}
	j := r.job
	step := &j.spec.Steps[r.step]
	tasks := j.progress.Occurrences[r.occurrence][r.step]
	blockers, stops := blockersOf(pool, places, victims)
	spread := step.Gang && step.SameRack && pool.onSeveralRacks(places)
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
			u = &unit{job: j, occurrence: r.occurrence, step: r.step, run: n, batch: s.nextBatch(), placedAt: s.now, spread: spread}
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
			u.blockers = append(u.blockers, a)
			a.blockedUnits = append(a.blockedUnits, u)
		}
	}
	s.firstPlaced = s.firstPlaced || !j.placed
	if j.waitsInQueue() {
		s.noteBegun(j.spec.Route, s.now)
	}
	j.placed = true
	s.markDirty(j)
	s.log("placed", slog.String("id", j.id), slog.Int("step", r.step), slog.Int("tasks", len(indices)),
		slog.Int("run", units[0].run), slog.Int("rank", r.rank), slog.Int64("waitedMs", s.age(r)), slog.Int64("guaranteedMs", s.guaranteedFor(j)),
		slog.Int64("spareMs", r.laxity), slog.Int("stops", stops), slog.Int("awaited", len(blockers)), slog.String("worker", pool.workers[places[0]].ID),
		slog.Int("workers", len(pool.candidates)))
	for _, v := range victims {
		v.aborted = true
		s.stopUnit(v, "displaced for "+j.id)
	}
}

// onSeveralRacks reports whether places are on more than one rack.
func (pool *candidatePool) onSeveralRacks(places []int) bool {
	for _, p := range places {
		if pool.workers[p].rack != pool.workers[places[0]].rack {
			return true
		}
	}
	return false
}

// blockersOf returns the attempts of the victims that run on the candidates at places, and how many
// of the victims' attempts have yet to be stopped.
func blockersOf(pool *candidatePool, places []int, victims []*unit) (blockers []*attempt, stops int) {
	chosen := make(map[*worker]bool, len(places))
	for _, p := range places {
		chosen[pool.workers[p]] = true
	}
	for _, v := range victims {
		for _, a := range v.attempts {
			if chosen[a.w] {
				blockers = append(blockers, a)
			}
			if a.phase != phaseStopping {
				stops++
			}
		}
	}
	return blockers, stops
}
