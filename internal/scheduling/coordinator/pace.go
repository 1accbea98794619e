package coordinator

import (
	"hash/fnv"
	"log/slog"
	"math"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/estimate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// progressObserver follows the progress of an attempt in segments.
type progressObserver struct {
	// segmentAt is when the current segment began, and segmentPercent the progress then;
	// segmentAt is 0 before the first.
	segmentAt      int64
	segmentPercent int
	// runTime is the run time of the whole task at the speed of the last segment, in milliseconds;
	// 0 while it is not known.
	runTime float64
	// segments counts the segments, and sample is what they contributed to the work of the step.
	segments int
	sample   estimate.Sample
}

const (
	// minSegmentPercent and minSegmentTime are the least length of a segment. Progress is reported
	// in whole per cent, and reports are delayed by tens of milliseconds.
	minSegmentPercent = 8
	minSegmentTime    = 300
	// maxSegments is the number of segments of an attempt that count for the pace of its worker, so
	// that one unusually long task does not.
	maxSegments = 3
)

// observeProgress learns from the progress that a worker reported of an attempt at the time at.
func (s *State) observeProgress(a *attempt, percent int, at int64) {
	step := a.spec()
	if step.LongRunning || step.BestEffortCPU || a.orphan || a.task() == nil || a.job.progress.State.Ended() {
		return
	}
	if a.segmentAt == 0 || percent < a.segmentPercent {
		a.beginSegment(percent, at)
	}
	took, done := at-a.segmentAt, percent-a.segmentPercent
	if a.segmentAt == 0 || percent >= 100 || done < minSegmentPercent || took < minSegmentTime {
		return
	}
	a.runTime = float64(took) * 100 / float64(done)
	a.segmentAt, a.segmentPercent = at, percent
	if a.segments++; a.segments > maxSegments || s.cold(a.w) {
		return
	}
	a.sample = estimate.Observe(&a.w.pace, a.job.workOf(a.unit), a.sample, a.runTime/s.remoteFactor(a))
	s.notePace(a.w)
}

// beginSegment begins the first segment: at the start of the unit if that is known, otherwise at
// the first report that shows progress. A gang starts with its last member.
func (a *attempt) beginSegment(percent int, at int64) {
	if percent == 0 {
		// A gang that waits for a member has not begun.
		return
	}
	began := int64(0)
	if a.segmentAt == 0 && a.sentAt != 0 {
		began = a.begun()
	}
	if began != 0 && began < at {
		a.segmentAt, a.segmentPercent = began, 0
		return
	}
	a.segmentAt, a.segmentPercent = at, percent
}

// begun returns when all attempts of a unit of this coordinator had begun, from the start of their
// tasks on; 0 if that is not known. Once all have been answered it does not look at them again.
func (u *unit) begun() int64 {
	if u.begunKnown {
		return u.begunAt
	}
	last := int64(0)
	for _, b := range u.attempts {
		if b.startAnsweredAt == 0 {
			return 0
		}
		last = max(last, b.startAnsweredAt)
	}
	u.begunKnown = true
	// The members of a gang have the same checkpoint.
	if t := u.attempts[0].task(); t != nil && t.Checkpoint == "" {
		u.begunAt = last
	}
	return u.begunAt
}

// workOf returns what is known of the work of a unit's step.
func (j *job) workOf(u *unit) *estimate.Work {
	id := stepID(j, u.occurrence, u.step)
	w := j.work[id]
	if w == nil {
		w = new(estimate.Work)
		if j.work == nil {
			j.work = make(map[jobspec.TaskID]*estimate.Work)
		}
		j.work[id] = w
	}
	return w
}

// forgetOccurrence drops what is known of the steps of an occurrence that is done.
func (j *job) forgetOccurrence(k int) {
	for step := range j.spec.Steps {
		id := stepID(j, k, step)
		delete(j.work, id)
		delete(j.room, id)
		delete(j.placementAttempts, id)
	}
}

// remoteFactor returns the factor by which an attempt takes longer away from its data or the
// other members of its gang.
func (s *State) remoteFactor(a *attempt) float64 {
	if d := a.spec().DataRack; d != "" && d != a.w.rack || a.spread {
		return s.RemoteFactor
	}
	return 1
}

// noteRack sets spread for a unit that was restored before the racks of its members were known.
func (u *unit) noteRack(rack string) {
	switch {
	case rack == "" || !u.spec().Gang || !u.spec().SameRack:
	case u.rack == "":
		u.rack = rack
	case u.rack != rack:
		u.spread = true
	}
}

// remainingTime returns the estimated remaining run time of an attempt, in milliseconds. That of a
// member of a gang is that of its slowest member.
func (s *State) remainingTime(a *attempt) int64 {
	if !a.spec().Gang {
		return s.ownRemainingTime(a)
	}
	if u := a.unit; u.remainingAt != s.now {
		u.remaining, u.remainingAt = 0, s.now
		for _, b := range u.attempts {
			u.remaining = max(u.remaining, s.ownRemainingTime(b))
		}
	}
	return a.remaining
}

// expectedRunTime returns how long a task of a unit is expected to take at a typical worker, in
// milliseconds: as long as others of its step do, or else as the jobs of its queue do relative to
// their estimates.
func (s *State) expectedRunTime(j *job, u *unit) float64 {
	if w := j.work[stepID(j, u.occurrence, u.step)]; w != nil {
		if t, ok := w.Median(); ok {
			return t
		}
	}
	return s.runTimes.Quantile(queueOf(j), float64(u.spec().Estimate), 0.5)
}

// queueOf returns the queue whose run times those of a job are like.
func queueOf(j *job) estimate.Queue {
	return estimate.Queue{Route: j.spec.Route, Organisation: j.spec.Organisation}
}

// observeRunTime learns from the work of a step once a task of it is done. A step counts once.
func (s *State) observeRunTime(u *unit) {
	w := u.job.work[stepID(u.job, u.occurrence, u.step)]
	if w == nil || u.spec().LongRunning {
		return
	}
	if t, ok := w.Median(); ok && !u.job.observed[u.step] {
		if u.job.observed == nil {
			u.job.observed = make(map[int]bool)
		}
		u.job.observed[u.step] = true
		s.runTimes.Observe(queueOf(u.job), float64(u.spec().Estimate), t)
	}
}

// ownRemainingTime returns the estimated remaining run time of an attempt regardless of its gang,
// in milliseconds, by its progress if that is known.
func (s *State) ownRemainingTime(a *attempt) int64 {
	if a.runTime > 0 {
		left := int64(a.runTime*float64(100-min(100, a.percent))/100) - (s.now - a.reportedAt)
		return max(endReportDelay, left)
	}
	total := s.expectedRunTime(a.job, a.unit) * a.w.pace.Factor() * s.remoteFactor(a)
	if a.startedAt == 0 {
		return int64(total)
	}
	return int64(total * float64(100-min(100, a.percent)) / 100)
}

// endReportDelay is how long the end of a run takes to be reported at least, in milliseconds: a run
// that should have ended has not.
const endReportDelay = 200

// paceParts is the number of records over which the paces of workers are distributed. A record of
// 3,000 workers has 3 KB, and one of 350 has 400 bytes.
const paceParts = 16

// paceRecordInterval is the least time between two records of paces, in milliseconds.
const paceRecordInterval = 250

// paceRecorder records the paces of workers for the next coordinator.
type paceRecorder struct {
	// changedParts holds the parts with paces that differ from what is recorded.
	changedParts [paceParts]bool
	// lastPacePart is the part that was recorded last, at paceRecordedAt.
	lastPacePart   int
	paceRecordedAt int64
}

// pacePart returns the part to which a worker's pace belongs.
func pacePart(id string) int {
	f := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = f.Write([]byte(id))
	return int(f.Sum32() % paceParts)
}

// inheritPace sets the pace of a new worker to the recorded one, if there is one.
func (s *State) inheritPace(w *worker) {
	if b, ok := s.RecordedPaces[w.ID]; ok {
		w.pace = estimate.DecodePace(b)
		w.recordedPaceClass = w.pace.Class()
	}
}

// notePace schedules w's pace to be recorded if its class has changed.
func (s *State) notePace(w *worker) {
	if w.pace.Class() != w.recordedPaceClass {
		s.changedParts[pacePart(w.ID)] = true
	}
}

// recordPaces adds a part with changed paces to a batch that is written in any case.
func (s *State) recordPaces(r *Record) {
	if s.now < s.paceRecordedAt+paceRecordInterval {
		return
	}
	for k := range s.changedParts {
		if part := (s.lastPacePart + 1 + k) % paceParts; s.changedParts[part] {
			s.recordPacePart(r, part)
			return
		}
	}
}

// recordPacePart adds the paces of a part of the workers to a batch, including those of workers that are
// absent from the directory and not forgotten yet.
func (s *State) recordPacePart(r *Record, part int) {
	s.changedParts[part], s.lastPacePart, s.paceRecordedAt = false, part, s.now
	paces := make(jobstate.Paces)
	slower, faster := 0, 0
	for _, w := range s.workers {
		b, ok := w.pace.Encode()
		if !ok || pacePart(w.ID) != part {
			continue
		}
		paces[w.ID], w.recordedPaceClass = b, w.pace.Class()
		slower += min(1, max(0, w.recordedPaceClass))
		faster += min(1, max(0, -w.recordedPaceClass))
	}
	d, err := jobstate.PaceRecord(part, paces)
	if err != nil {
		s.log("paces not recorded", slog.Int("part", part), slog.String("error", err.Error()))
		return
	}
	s.log("paces recorded", slog.Int("part", part), slog.Int("workers", len(paces)), slog.Int("slower", slower), slog.Int("faster", faster))
	r.Details = append(r.Details, d)
}

// PaceClasses returns the numbers of listed workers that are faster and slower than a typical one.
func (s *State) PaceClasses() (faster, slower int) {
	for _, w := range s.workers {
		switch c := w.pace.Class(); {
		case !w.listed:
		case c < 0:
			faster++
		case c > 0:
			slower++
		}
	}
	return faster, slower
}

const (
	// completionDelay is how long a start and the report of an end take together, in milliseconds:
	// the record and the order of the start, the answer to a poll, the record of the end, and the
	// reads of the other hosts.
	completionDelay = 300
	// slowMargin is the factor by which a job's time must exceed its estimated run time on a slow
	// worker for it to be placed there first: estimates are often too low.
	slowMargin = 1.5
	// slowFactor is the pace of a slow worker that slowMargin assumes.
	slowFactor = 1.6
	// minPaceSpread is the number of classes between the fastest and the slowest worker from which
	// on work that is not urgent is placed by pace. With less to gain, packing it leaves larger
	// free blocks: at paces of 1 and 1.3 callers were served worse, at 0.6 to 1.6 better.
	minPaceSpread = 3
)

// paceOrder returns the order in which workers are chosen for a request by their pace. Urgent work
// and work that is short of time use fast workers first. The rest leaves these free, also work that
// is late in any case.
func (s *State) paceOrder(r *request) placement.PaceOrder {
	estimated := float64(r.spec.Steps[r.step].Estimate)
	left := float64(r.deadline - s.now)
	switch {
	case r.rank <= rankUrgent:
		return placement.FastFirst
	case estimated == 0 || r.paceSpread < minPaceSpread:
		return placement.AnyPace
	case left >= 0 && left < estimated*slowMargin*slowFactor:
		return placement.FastFirst
	}
	return placement.SlowFirst
}

// limitPace restricts an urgent request to the workers on which it is expected to meet its
// deadline if it starts after delay, in milliseconds, and reports whether this excludes any.
func (s *State) limitPace(r *request, pool *candidatePool, delay int64) bool {
	estimated := r.spec.Steps[r.step].Estimate
	left := r.deadline - s.now - completionDelay - delay
	if r.rank > rankUrgent || estimated == 0 || left <= 0 {
		return false
	}
	slowest := estimate.SlowestClass(float64(left) / float64(estimated))
	if slowest >= pool.slowest || slowest < pool.fastest {
		// Any worker is fast enough, or none is.
		return false
	}
	r.limited, r.slowest = true, slowest
	return true
}

// placeInTime places an urgent gang on workers that are fast enough for its deadline, if there are
// any. It preempts for that only what loses less work than the gang itself needs: the gang could
// run elsewhere, if late.
func (s *State) placeInTime(r *request, pool *candidatePool, inRack bool) bool {
	defer func() { r.limited, r.slowest, r.maxStopCost = false, 0, 0 }()
	if !s.limitPace(r, pool, 0) {
		return false
	}
	demand := s.demand(r, len(r.indices))
	if inRack && s.placeInRack(r, pool, demand) || !inRack && s.placeAnywhere(r, pool, demand) {
		return true
	}
	r.limited = false
	if !s.limitPace(r, pool, preemptionDelay) {
		return false
	}
	step := &r.spec.Steps[r.step]
	r.maxStopCost = float64(len(r.indices)) * float64(step.Estimate) / 1000 * step.Need.Weight()
	demand = s.demand(r, len(r.indices))
	if inRack {
		return s.preemptInRack(r, pool, demand)
	}
	return s.preempt(r, pool, r.indices, demand, allCandidates(pool))
}

// preemptionDelay is how long a start waits for the stops of preempted runs, in milliseconds: the
// order, the stop itself and the report of the end. Deployments allow 200 to 900 for the stop.
const preemptionDelay = 500

// stopsCostTooMuch reports whether the cost of stopping victims, in core seconds, exceeds what the
// placement of r may cost.
func (r *request) stopsCostTooMuch(cost float64) bool {
	return r.maxStopCost > 0 && cost > r.maxStopCost
}

// paceLimit returns the highest pace class of workers that r may use.
func (r *request) paceLimit() int {
	if r.limited {
		return r.slowest
	}
	return math.MaxInt
}
