package ledger

import (
	"fmt"
	"slices"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// CheckAccept returns the error with which a job of the given spec would be rejected
// in dc now, or nil if it would be accepted. It does not check whether the request
// key is known.
func (l *Ledger) CheckAccept(dc string, spec *job.Spec) error {
	l.init()
	if err := spec.Validate(); err != nil {
		return err
	}
	if err := l.CheckOpen(dc); err != nil {
		return err
	}
	o, ok := l.Config.Organisations[spec.Organisation]
	if !ok {
		return fault.Newf(fault.NotFound, "ask an operator to create it with `limpetrelay config patch`",
			"there is no organisation %q in configuration version %d", spec.Organisation, l.Config.Version)
	}
	limit := o.MaxQueued
	if limit == 0 {
		limit = config.DefaultMaxQueued
	}
	if n := l.queuedCount(spec.Organisation); n >= limit {
		return fault.Newf(fault.Overloaded, "submit again when some of them have started",
			"organisation %s has %d queued jobs and may not queue more", spec.Organisation, n)
	}
	return l.checkFits(dc, spec)
}

// checkFits returns an Infeasible error if spec could not run in dc even with every
// recorded worker live and idle. The remedy of the error describes the largest gang
// that fits.
func (l *Ledger) checkFits(dc string, spec *job.Spec) error {
	need, err := spec.Need()
	if err != nil {
		return err
	}
	idle := l.forest(dc, func(w *Worker) bool { return w.Accelerated || spec.Accelerators == 0 })
	if idle.FitsWhenEmpty(need) {
		return nil
	}
	return fault.Newf(fault.Infeasible,
		fmt.Sprintf("request at most %s", largestGang(&idle, need)),
		"data centre %s cannot hold %d members of one %s each with adjacency %s",
		dc, need.Members, need.Level, need.Adjacency)
}

// largestGang describes the largest gang of the level and adjacency of need that fits
// into f when idle. It tries only powers of two as the number of members.
func largestGang(f *rack.Forest, need rack.Need) string {
	largest := 0
	for members := 1; members <= need.Members; members *= 2 {
		smaller := need
		smaller.Members = members
		if !f.FitsWhenEmpty(smaller) {
			break
		}
		largest = members
	}
	if largest == 0 {
		return fmt.Sprintf("one %s; the data centre has %s", rack.LevelSlot, f.Free())
	}
	return fmt.Sprintf("%d members of one %s each, or relax the adjacency; the data centre has %s", largest, need.Level, f.Free())
}

// applyAccept queues a job. If its request key is known, it returns the verdict of
// lookupRequest instead.
func (l *Ledger) applyAccept(offset uint64, a *record.Accept) Verdict {
	digest := a.Spec.Digest()
	if v, known := l.lookupRequest(&a.Spec, digest); known {
		return v
	}
	if l.Jobs[a.Job] != nil {
		return Verdict{Err: fault.Newf(fault.Internal, "report this defect", "job ID %s is already in use", a.Job)}
	}
	if err := l.CheckAccept(a.DataCentre, &a.Spec); err != nil {
		return Verdict{Err: err}
	}
	j := &Job{
		ID: a.Job, Spec: a.Spec, Digest: digest, DataCentre: a.DataCentre,
		State: Queued, AcceptedOffset: offset, AcceptedTime: l.Time,
	}
	l.Jobs[j.ID], l.open[j.ID] = j, j
	l.use(j.Spec.Organisation, Usage{Jobs: 1, PayloadBytes: int64(len(j.Spec.Payload))})
	if a.Spec.Key != "" {
		l.Keys[RequestKey(a.Spec.Organisation, a.Spec.Key)] = &KeyEntry{Job: j.ID, Digest: digest, Once: a.Spec.AtMostOnce}
	}
	return Verdict{Job: j}
}

// LookupRequest returns the verdict for a request whose key is known: the existing
// job if the digests match, otherwise a KeyReused error. It returns false if the key
// is empty or not known.
func (l *Ledger) LookupRequest(spec *job.Spec) (Verdict, bool) {
	return l.lookupRequest(spec, spec.Digest())
}

// lookupRequest is LookupRequest for a spec whose digest has already been computed.
func (l *Ledger) lookupRequest(spec *job.Spec, digest string) (Verdict, bool) {
	k := l.Keys[RequestKey(spec.Organisation, spec.Key)]
	if spec.Key == "" || k == nil {
		return Verdict{}, false
	}
	if k.Digest != digest {
		return Verdict{Err: fault.Newf(fault.KeyReused, "use a new key for a new request",
			"key %q of organisation %s was used for another request", spec.Key, spec.Organisation)}, true
	}
	return Verdict{Job: l.Jobs[k.Job], KnownKey: true, Key: k}, true
}

// applyPlace places a queued job if CheckPlace accepts the placement.
func (l *Ledger) applyPlace(offset uint64, r *record.Record) Verdict {
	place := r.Place
	j, err := l.authorisedJob(r, place.Job, place.Term)
	if err != nil {
		return Verdict{Err: err}
	}
	if j.State != Queued || place.Attempt != j.Attempt+1 || j.CancelledBy != "" {
		return Verdict{Job: j, Err: staleAttempt(j, place.Attempt)}
	}
	if err := l.CheckPlace(j, place); err != nil {
		return Verdict{Job: j, Err: err}
	}
	j.State, j.Attempt, j.PlacedOffset = Placed, place.Attempt, offset
	j.Members = slices.Clone(place.Members)
	j.Guaranteed, j.VirtualCells = place.Guaranteed, slices.Clone(place.VirtualCells)
	l.cellTable(j.DataCentre).allocate(j)
	return Verdict{Job: j}
}

// CheckPlace returns an error if the placement p of j breaks a rule, or nil. The
// data centre of j must be open. All members of the gang must be placed with the
// required adjacency, each on a free, aligned cell of the required level. Their
// workers must be live workers of the data centre in the recorded incarnation, with
// accelerators if the job needs them. A guaranteed placement must leave all unused
// guarantees as allocatable as before.
func (l *Ledger) CheckPlace(j *Job, p *record.Place) error {
	l.init()
	need, err := j.Spec.Need()
	if err != nil {
		return err
	}
	if err := l.CheckOpen(j.DataCentre); err != nil {
		return err
	}
	if len(p.Members) != need.Members {
		return placeError(j, "it places %d of %d members", len(p.Members), need.Members)
	}
	t := l.cellTable(j.DataCentre)
	used := map[string]rack.Mask{}
	for _, m := range p.Members {
		if err := l.checkMember(j, m, need.Level); err != nil {
			return err
		}
		if (t.allocated[m.Worker]|used[m.Worker])&m.Mask != 0 {
			return placeError(j, "slots of worker %s are already allocated", m.Worker)
		}
		used[m.Worker] |= m.Mask
		if !l.adjacent(need.Adjacency, p.Members[0].Worker, m.Worker) {
			return placeError(j, "workers %s and %s are not adjacent", p.Members[0].Worker, m.Worker)
		}
	}
	if p.Guaranteed && !t.preservesGuarantees(j.Spec.Organisation, t.liveCells(memberCells(p.Members)), p.VirtualCells) {
		return placeError(j, "unused guarantees could no longer be reclaimed")
	}
	return nil
}

// checkMember returns an error if the worker of m cannot run a member of j or its
// cell is not an aligned, existing cell of the given level.
func (l *Ledger) checkMember(j *Job, m record.Member, level rack.Level) error {
	w := l.Workers[m.Worker]
	switch {
	case w == nil || w.DataCentre != j.DataCentre:
		return placeError(j, "worker %s is not in data centre %s", m.Worker, j.DataCentre)
	case !w.Accelerated && j.Spec.Accelerators > 0:
		return placeError(j, "worker %s has no accelerators", m.Worker)
	case w.State != record.Live:
		return placeError(j, "worker %s is %s", m.Worker, w.State)
	case w.Incarnation != m.Incarnation:
		return placeError(j, "worker %s has restarted", m.Worker)
	case m.Mask&^rack.FullMask(w.Slots) != 0:
		return placeError(j, "worker %s has only %d slots", m.Worker, w.Slots)
	}
	if aligned, ok := m.Mask.BlockLevel(); !ok || aligned != level {
		return placeError(j, "a cell on worker %s is not an aligned %s", m.Worker, level)
	}
	return nil
}

// adjacent reports whether workers a and b satisfy the given adjacency.
func (l *Ledger) adjacent(adjacency rack.Adjacency, a, b string) bool {
	switch adjacency {
	case rack.AdjacencyWorker:
		return a == b
	case rack.AdjacencyRack:
		return l.Workers[a].Rack == l.Workers[b].Rack
	default:
		return true
	}
}

// applyRequeue ends the attempt of a placed job and returns the job to the queue, or
// ends it if it was cancelled. The attempt of an at-most-once job may be requeued only
// if it never started.
func (l *Ledger) applyRequeue(offset uint64, r *record.Record) Verdict {
	requeue := r.Requeue
	j, err := l.authorisedJob(r, requeue.Job, requeue.Term)
	if err != nil {
		return Verdict{Err: err}
	}
	if j.State != Placed || requeue.Attempt != j.Attempt {
		return Verdict{Job: j, Err: staleAttempt(j, requeue.Attempt)}
	}
	if j.Spec.AtMostOnce && !requeue.NeverStarted {
		return Verdict{Job: j, Err: fault.Newf(fault.Invalid, "end the job instead",
			"job %s must run at most once and may have started", j.ID)}
	}
	l.releaseCells(j)
	j.State = Queued
	j.MayHaveStarted = j.MayHaveStarted || !requeue.NeverStarted
	j.Checkpointed = requeue.Checkpointed || j.Checkpointed && requeue.NeverStarted
	l.recordFailure(j, requeue.FailedOn)
	if !requeue.NeverStarted && requeue.FailedOn == "" {
		l.runStats(j).AddStop(requeue.Checkpointed)
	}
	if j.CancelledBy != "" {
		l.finish(offset, j, CancelledOutcome(j))
	}
	l.rebalance(j.DataCentre)
	l.relocateJob(j)
	return Verdict{Job: j, Ended: j.State == Finished}
}

// applyEnd ends a placed or queued job with the outcome of the record. It rejects the
// outcome notRun for a job that may have started.
func (l *Ledger) applyEnd(offset uint64, r *record.Record) Verdict {
	end := r.End
	j, err := l.authorisedJob(r, end.Job, end.Term)
	if err != nil {
		return Verdict{Err: err}
	}
	if end.Attempt != j.Attempt {
		return Verdict{Job: j, Err: staleAttempt(j, end.Attempt)}
	}
	if end.Outcome.Result == job.NotRun && j.MayHaveStarted {
		return Verdict{Job: j, Err: fault.Newf(fault.Internal, "report this defect",
			"job %s may have run and cannot end as notRun", j.ID)}
	}
	if j.State == Placed {
		l.releaseCells(j)
	}
	l.updateStats(j, end)
	l.finish(offset, j, end.Outcome)
	l.rebalance(j.DataCentre)
	return Verdict{Job: j, Ended: true}
}

// applyCancel marks a job as cancelled. A queued job ends at once.
func (l *Ledger) applyCancel(offset uint64, c *record.Cancel) Verdict {
	j := l.Jobs[c.Job]
	if j == nil {
		return Verdict{Err: fault.Newf(fault.NotFound, "check the job ID; ended jobs are kept for a day",
			"there is no job %q", c.Job)}
	}
	if j.State == Finished {
		return Verdict{Job: j}
	}
	j.CancelledBy = c.By
	if j.State != Queued {
		return Verdict{Job: j}
	}
	l.finish(offset, j, CancelledOutcome(j))
	return Verdict{Job: j, Ended: true}
}

// CancelledOutcome returns the outcome of a job that was cancelled while it
// was not running.
func CancelledOutcome(j *Job) job.Outcome {
	result := job.NotRun
	if j.MayHaveStarted {
		result = job.Failed
	}
	return job.NewOutcome(result, fault.Refused, "the job was cancelled by "+j.CancelledBy, "submit it again if it is still wanted")
}

// authorisedJob returns the open job with the given ID. It returns an error unless
// the writer of r holds the given term of the job's data centre.
func (l *Ledger) authorisedJob(r *record.Record, id string, term uint64) (*Job, error) {
	j := l.Jobs[id]
	if j == nil {
		return nil, fault.Newf(fault.NotFound, "check the job ID", "there is no job %q", id)
	}
	if j.State == Finished {
		return nil, staleAttempt(j, j.Attempt)
	}
	return j, l.checkTerm(r, j.DataCentre, term)
}

// releaseCells frees the cells of the placed job j.
func (l *Ledger) releaseCells(j *Job) {
	l.cellTable(j.DataCentre).release(j)
	j.Members, j.Guaranteed, j.VirtualCells = nil, false, nil
}

// finish ends j with outcome o and stores the outcome with its request key as well.
func (l *Ledger) finish(offset uint64, j *Job, o job.Outcome) {
	delete(l.open, j.ID)
	l.use(j.Spec.Organisation, Usage{PayloadBytes: -int64(len(j.Spec.Payload))})
	// Only a run needs the payload; a repeated request is compared by its digest.
	j.Spec.Payload = nil
	j.State, j.Outcome, j.EndedOffset, j.EndedTime = Finished, o, offset, l.Time
	if k := l.Keys[RequestKey(j.Spec.Organisation, j.Spec.Key)]; k != nil && k.Job == j.ID {
		k.Outcome, k.EndedTime = o, l.Time
	}
}

// updateStats updates the run statistics and the failures of workers from the end of
// j. A job that ends as failed after failures on several workers is itself at fault
// and is removed from their failed jobs. A completed job clears the failures of its
// workers.
func (l *Ledger) updateStats(j *Job, end *record.End) {
	if end.Outcome.Result == job.Completed && end.RunTime > 0 {
		l.runStats(j).AddRunTime(end.RunTime)
	}
	l.recordFailure(j, end.FailedOn)
	if end.Outcome.Result == job.Failed && len(j.FailedOn) > 1 {
		l.clearFailures(j)
	}
	if end.Outcome.Result != job.Completed {
		return
	}
	for _, a := range end.Outcome.Answers {
		if w := l.Workers[a.Worker]; w != nil {
			w.FailedJobs, w.Failures = nil, 0
		}
	}
}

// runStats returns the run statistics of j's organisation and class, creating them
// if necessary. Beyond MaxRunStats those of a class without a configuration are not kept.
func (l *Ledger) runStats(j *Job) *RunStats {
	k := RunStatsKey(j.Spec.Organisation, j.Spec.Class)
	if s := l.RunStats[k]; s != nil {
		return s
	}
	s := &RunStats{}
	if _, configured := l.Config.Classes[j.Spec.Class]; configured || len(l.RunStats) < MaxRunStats {
		l.RunStats[k] = s
	}
	return s
}

// maxFailedJobs is the maximum length of Worker.FailedJobs.
const maxFailedJobs = 16

// recordFailure records that j failed on the named worker. It does nothing if name
// is empty.
func (l *Ledger) recordFailure(j *Job, name string) {
	if name == "" {
		return
	}
	if !slices.Contains(j.FailedOn, name) {
		j.FailedOn = append(j.FailedOn, name)
	}
	w := l.Workers[name]
	if w == nil {
		return
	}
	w.Failures++
	if slices.Contains(w.FailedJobs, j.ID) || len(w.FailedJobs) >= maxFailedJobs {
		return
	}
	w.FailedJobs = append(w.FailedJobs, j.ID)
}

// clearFailures removes j from the failed jobs of the workers on which it failed,
// because it fails on any worker. It leaves Worker.Failures unchanged.
func (l *Ledger) clearFailures(j *Job) {
	for _, name := range j.FailedOn {
		if w := l.Workers[name]; w != nil {
			w.FailedJobs = slices.DeleteFunc(w.FailedJobs, func(id string) bool { return id == j.ID })
		}
	}
}

// queuedCount returns the number of queued jobs of organisation org.
func (l *Ledger) queuedCount(org string) int {
	n := 0
	for _, j := range l.open {
		if j.Spec.Organisation == org && j.State == Queued {
			n++
		}
	}
	return n
}

// staleAttempt returns the error for a record that refers to an attempt of j that is
// not the expected one, or that does not apply to the state of j.
func staleAttempt(j *Job, attempt int) error {
	return fault.Newf(fault.Conflict, "query the job's state",
		"job %s is %s in attempt %d, and the record refers to attempt %d", j.ID, j.State, j.Attempt, attempt)
}

// placeError returns the error for a placement that breaks a rule.
func placeError(j *Job, format string, args ...any) error {
	return fault.Newf(fault.Refused, "choose another placement", "invalid placement of job %s: %s", j.ID, fmt.Sprintf(format, args...))
}
