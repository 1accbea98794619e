package coordinator

import (
	"log/slog"
	"math"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// phase is the stage of an attempt's life cycle.
type phase uint8

const (
	// phasePlanned attempts wait for their placement to be recorded, or for preempted
	// attempts to end.
	phasePlanned phase = iota
	// phaseSent attempts have a start order in flight.
	phaseSent
	// phaseUnconfirmed attempts may or may not be running: the last coordinator placed
	// them, or a start was not answered and may not be repeated now.
	phaseUnconfirmed
	// phaseRunning attempts are running.
	phaseRunning
	// phaseStopping attempts have been ordered to stop.
	phaseStopping
)

// unit is a set of attempts that start and end together: those of one run of a gang, or
// that of a single task.
type unit struct {
	job              *job
	occurrence, step int
	run              int
	attempts         []*attempt
	// batch is the batch that records the placement, and recorded is set once it is
	// in the store. sent is set once start orders were sent.
	// queued is set while the start orders wait for their turn.
	batch                  uint64
	recorded, sent, queued bool
	// blockers holds the attempts being stopped that must still end before the unit may start.
	// placedAt is when the placement was chosen.
	blockers []*attempt
	placedAt int64
	// aborted is set once the unit cannot complete any more, as when a member has ended
	// without success. failureCounted is set once the run has been counted as failed.
	aborted, failureCounted bool
	// spread is set if the unit runs on several racks although its step wants one. rack is the rack of
	// a member of a restored unit; empty while none is known.
	spread bool
	rack   string
	// begunAt is when all its attempts had begun, once begunKnown is set; see begun.
	begunAt    int64
	begunKnown bool
	// remaining is the estimated remaining run time of a gang as of remainingAt; see remainingTime.
	remaining, remainingAt int64
}

// attempt is one run of one task on a worker.
type attempt struct {
	*unit
	index int
	w     *worker
	// lifetime is the lifetime of the worker in which the attempt was placed; 0 while it
	// is not known.
	lifetime int64
	phase    phase
	// orphan is set for a run that the worker listed and no placement accounts for.
	orphan bool
	// need is the capacity allocated to the attempt on its worker, and usedService the service for
	// which it counts.
	need        jobspec.Resources
	usedService string
	// startOrders counts the start orders sent. maybeStarted is set once one was not
	// answered, so that it may have been executed.
	startOrders  int
	maybeStarted bool
	// maybeUnseen is set from a start order on until an answer shows that the lifetime that
	// executes it is the one that last listed its runs. The worker may have restarted in
	// between. startAnsweredAt is when the order was answered or given up; 0 before.
	maybeUnseen     bool
	startAnsweredAt int64
	// sentAt is when the last start order was sent, and stoppedAt when the worker reported the
	// stop as executed; 0 for never.
	sentAt, stoppedAt int64
	// stopDueAt is when the first stop order has left the host, and stopRetryAt when the stop is
	// ordered again unless it was executed. Both include the calls that were made before.
	stopDueAt, stopRetryAt int64
	// startedAt is when the run was first known to be running; 0 before.
	startedAt int64
	// percent is the reported progress, first reported at progressedAt. reportedAt is
	// when the worker last listed the run. Both are when the report arrived.
	percent                  int
	progressedAt, reportedAt int64
	checkpoint               string
	progressObserver
	// stopReason is why the attempt was ordered to stop.
	stopReason string
	// blockedUnits holds the units that wait for this attempt to end.
	blockedUnits []*unit
}

// taskID returns the ID of the attempt's task.
func (a *attempt) taskID() jobspec.TaskID {
	return jobspec.TaskID{Job: a.job.id, Occurrence: a.occurrence, Step: a.step, Index: a.index}
}

// task returns the recorded state of the attempt's task, or nil if its occurrence is
// done.
func (a *attempt) task() *jobspec.Task { return a.job.task(a.occurrence, a.step, a.index) }

// spec returns the step that the unit runs.
func (u *unit) spec() *jobspec.Step { return &u.job.spec.Steps[u.step] }

// task returns the recorded state of a task, or nil if there is none.
func (j *job) task(occurrence, step, index int) *jobspec.Task {
	if occurrence >= len(j.progress.Occurrences) || step >= len(j.progress.Occurrences[occurrence]) || index >= len(j.progress.Occurrences[occurrence][step]) {
		return nil
	}
	return &j.progress.Occurrences[occurrence][step][index]
}

// newAttempt adds an attempt of u to a worker and allocates its resources there.
func (s *State) newAttempt(u *unit, index int, w *worker) *attempt {
	a := &attempt{unit: u, index: index, w: w, need: u.spec().Reserved(), progressedAt: s.now}
	u.attempts = append(u.attempts, a)
	if !u.sent {
		s.pendingStarts++
	}
	u.job.addAttempt(a)
	w.attempts[a.taskID()], w.sorted = a, nil
	w.used = w.used.Add(a.need)
	s.addUse(a)
	return a
}

// startUnit queues the start orders of a unit once its placement is recorded and no
// preempted attempt blocks it.
func (s *State) startUnit(u *unit) {
	if u.recorded && len(u.blockers) == 0 && !u.sent && len(u.attempts) > 0 {
		s.queueUnit(u)
	}
}

// sendUnit sends the start orders of a unit. A unit that may not start any more is
// withdrawn.
func (s *State) sendUnit(u *unit) {
	if u.sent || len(u.attempts) == 0 {
		return
	}
	if u.aborted || u.job.progress.State.Ended() {
		s.withdrawUnit(u, "the run was aborted or its job ended before the start")
		return
	}
	for _, a := range u.attempts {
		if a.lifetime != a.w.currentLifetime || !s.mayStartOn(a.w) {
			s.withdrawUnit(u, "worker "+a.w.ID+" cannot be used any more")
			return
		}
	}
	if u.job.hasOrphan(u) {
		s.withdrawUnit(u, "another run of it goes on")
		return
	}
	u.sent = true
	s.pendingStarts -= len(u.attempts)
	for _, a := range u.attempts {
		s.sendStart(a)
	}
}

// sendStart sends one start order, which also extends the worker's lease.
func (s *State) sendStart(a *attempt) {
	w := a.w
	a.phase, a.sentAt = phaseSent, s.now
	a.maybeUnseen, a.startAnsweredAt = true, 0
	a.startOrders++
	leaseEnd := w.estimatedClock(s.now) + s.leaseFor(w)
	w.extendLease(leaseEnd)
	w.leaseSentAt = s.now
	t := a.task()
	checkpoint := ""
	if t != nil {
		checkpoint = t.Checkpoint
	}
	s.charge(orderOverhead + len(a.job.spec.Payload))
	s.effects = append(s.effects, Effect{Start: &Start{Target: w.target(), Order: placement.Start{
		Task: a.taskID(), Run: a.run, Payload: a.job.spec.Payload, Lease: leaseEnd, Token: s.Term,
		Checkpoint: checkpoint, Ticket: s.ticket(a), Delay: s.callDelay(),
	}, ExpiresAt: s.startUntil()}})
}

// withdrawUnit withdraws a placement for which no start order was sent and requeues its
// tasks.
func (s *State) withdrawUnit(u *unit, why string) {
	s.log("placement taken back", slog.String("id", u.job.id), slog.Int("step", u.step), slog.Int("run", u.run),
		slog.String("why", why))
	for _, b := range u.blockers {
		b.blockedUnits = slices.DeleteFunc(b.blockedUnits, func(o *unit) bool { return o == u })
	}
	u.blockers = nil
	for _, a := range append([]*attempt(nil), u.attempts...) {
		s.removeAttempt(a)
		if t := a.task(); t != nil && t.Phase == jobspec.Placed {
			t.Requeue()
		}
	}
	if !u.job.progress.State.Ended() {
		s.markDirty(u.job)
	}
	s.planDue = true
}

// removeAttempt removes an attempt from its worker, frees its resources and starts the
// units that only waited for its end.
func (s *State) removeAttempt(a *attempt) {
	w := a.w
	if w.attempts[a.taskID()] != a {
		return
	}
	delete(w.attempts, a.taskID())
	w.sorted = nil
	if a.phase == phaseStopping {
		s.stopping--
	}
	if w.removed == nil {
		w.removed = make(map[jobspec.TaskID]removedRun)
	}
	w.removed[a.taskID()] = removedRun{run: a.run, at: s.now}
	w.used = w.used.Sub(a.need)
	s.removeUse(a)
	delete(a.job.attempts, a)
	u := a.unit
	if i := slices.Index(u.attempts, a); i >= 0 {
		u.attempts = slices.Delete(slices.Clone(u.attempts), i, i+1)
		if !u.sent {
			s.pendingStarts--
		}
	}
	for _, waiting := range a.blockedUnits {
		waiting.blockers = slices.DeleteFunc(waiting.blockers, func(b *attempt) bool { return b == a })
		s.startUnit(waiting)
	}
	a.blockedUnits = nil
	s.planDue = true
	s.capacityGains++
}

// stop orders an attempt to stop. If no start order was sent, its unit is withdrawn
// instead.
func (s *State) stop(a *attempt, why string) {
	if a.phase == phaseStopping {
		return
	}
	if a.phase == phasePlanned && !a.sent {
		a.aborted = true
		s.withdrawUnit(a.unit, why)
		return
	}
	lost := s.lostWork(a)
	a.phase, a.stopReason, a.stopDueAt = phaseStopping, why, s.now+s.callDelay()
	s.stopping++
	s.log("stopping", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
		slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.Float64("lostCoreSeconds", math.Round(lost)),
		slog.String("why", why))
	s.sendStop(a)
}

// sendStop sends one stop order. If the worker's address is not known yet, the order is
// sent by a later retry.
func (s *State) sendStop(a *attempt) {
	a.stopRetryAt = s.now + orderRetryInterval + s.callDelay()
	if a.w.Address == "" {
		return
	}
	s.sendStopOrder(a.w, a.taskID(), a.run)
}

// sendStopOrder orders a worker to stop a run.
func (s *State) sendStopOrder(w *worker, id jobspec.TaskID, run int) {
	s.chargeStop()
	s.effects = append(s.effects, Effect{Stop: &Stop{Target: w.target(), Order: placement.Stop{Task: id, Run: run, Token: s.Term, Delay: s.callDelay()}}})
}

// stopUnit orders all attempts of a unit to stop.
func (s *State) stopUnit(u *unit, why string) {
	for _, a := range append([]*attempt(nil), u.attempts...) {
		s.stop(a, why)
	}
}

// orderAnswered handles the answer to a start or stop order. If the worker has seen a
// higher token, there is a later coordinator and the role is given up.
func (s *State) orderAnswered(e *OrderAnswered) {
	w := s.workers[e.Worker]
	if e.Reply.Verdict == placement.Fenced {
		s.resign("worker " + e.Worker + " has seen a higher token")
		return
	}
	if w == nil {
		return
	}
	switch {
	case e.Reply.Verdict == placement.OtherLifetime:
		if e.Address == w.Address {
			s.loseWorker(w, "another lifetime answered", true)
			return
		}
		// Another worker is at the address that the worker had before.
		e.Reply.Verdict = placement.Unanswered
	case e.Reply.Clock > 0:
		s.recordAnswer(w, e.Reply.Clock)
	default:
		s.recordNoAnswer(w, e.Reply)
	}
	if !e.IsStop && e.Reply.Verdict == placement.Executed {
		s.noteStarted(s.jobs[e.Task.Job])
	}
	a := w.attempts[e.Task]
	if a == nil || a.run != e.Run {
		return
	}
	if e.IsStop {
		s.stopAnswered(a, e.Reply.Verdict)
		return
	}
	a.startAnsweredAt = s.now
	if w.olderThanList(s.now, e.Reply.Clock) || e.Reply.Verdict == placement.NotSent && !a.maybeStarted {
		a.maybeUnseen = false
	}
	s.startAnswered(a, e.Reply.Verdict)
}

// startAnswered handles the answer to a start order.
func (s *State) startAnswered(a *attempt, v placement.Verdict) {
	if a.phase != phaseSent {
		// A stop or the worker's list of runs has overtaken the answer.
		if v == placement.Unanswered {
			a.maybeStarted = true
		}
		return
	}
	switch v {
	case placement.Executed:
		a.phase = phaseRunning
		if a.startedAt == 0 {
			a.startedAt, a.progressedAt = s.now, s.now
		}
		s.log("started", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
			slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.Int("try", a.startOrders))
	case placement.Unanswered, placement.NotSent:
		s.startUnanswered(a, v)
	case placement.Superseded:
		// The run has ended there or was stopped. A list requested from now on has its end, if there
		// is one.
		a.phase = phaseUnconfirmed
		s.abortUnit(a.unit, "its worker refuses the start as that of an earlier run")
	default:
		if a.maybeStarted {
			// An earlier start order may have been executed, or may still be.
			a.phase = phaseUnconfirmed
			s.abortUnit(a.unit, "a start was refused after one that was not answered")
			return
		}
		s.startRefused(a, v)
	}
}

// startUnanswered handles a start order that was not answered or not sent. It is retried until
// MaxStartOrders were sent. After that, the unit is aborted if one of them may have been
// executed; otherwise the attempt ends as refused.
func (s *State) startUnanswered(a *attempt, v placement.Verdict) {
	a.maybeStarted = a.maybeStarted || v == placement.Unanswered
	if !s.mayStart() || s.mustEndLease(a.w) || a.w.evacuated && a.maybeStarted {
		// The process may have been paused, and another coordinator may have taken over. In a data
		// centre under evacuation, the next list of runs shows whether the order was executed.
		a.phase = phaseUnconfirmed
		return
	}
	if a.startOrders < s.MaxStartOrders && !a.aborted && !a.w.Draining && !a.w.evacuated && a.lifetime == a.w.currentLifetime {
		s.sendStart(a)
		return
	}
	if !a.maybeStarted {
		s.startRefused(a, v)
		return
	}
	a.w.recordFailure(s, a.job, a.step, "starts are not answered")
	s.abortUnit(a.unit, "a start was not answered")
}

// startRefused ends an attempt whose start order was certainly not executed.
func (s *State) startRefused(a *attempt, v placement.Verdict) {
	s.log("start refused", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
		slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.String("verdict", string(v)))
	switch v {
	case placement.NoCapacity:
		a.w.unschedulableUntil = max(a.w.unschedulableUntil, s.now+refusalPause)
	case placement.Unhealthy:
		a.w.unschedulableUntil = max(a.w.unschedulableUntil, s.now+s.Quarantine)
	case placement.NotSent:
		a.w.unschedulableUntil = max(a.w.unschedulableUntil, s.now+refusalPause)
	case placement.NoTicket:
		s.dropTickets(a)
	case placement.Invalid:
		s.avoidWorker(a.job, a.step, a.w)
	}
	s.endAttempt(a, placement.EndStopped, "")
}

// refusalPause is how long a worker receives no new tasks after it had no capacity for
// a start, or the order could not be sent, in milliseconds. The worker's next list of
// runs, which shows what occupies it, arrives within this time.
const refusalPause = 500

// abortUnit marks a unit that cannot complete and stops all its attempts.
func (s *State) abortUnit(u *unit, why string) {
	u.aborted = true
	s.stopUnit(u, why)
}

// stopAnswered handles the answer to a stop order. checkAttempt retries stop orders that
// were not executed.
func (s *State) stopAnswered(a *attempt, v placement.Verdict) {
	if v == placement.Executed {
		a.stoppedAt = s.now
	}
}

// endAttempt removes an attempt that is over, updates its task by the outcome, and
// aborts its gang or ends its job if that follows.
func (s *State) endAttempt(a *attempt, outcome placement.Outcome, checkpoint string) {
	j, t := a.job, a.task()
	u := a.unit
	s.removeAttempt(a)
	if a.orphan {
		s.releaseTask(a)
	}
	if a.orphan || t == nil {
		s.endJobIfDone(j)
		return
	}
	if !j.progress.State.Ended() {
		s.markDirty(j)
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	if t.Phase == jobspec.Done {
		// An earlier run has been reported done in the meantime.
		s.endJobIfDone(j)
		return
	}
	if outcome == placement.EndDone && !j.progress.State.Ended() {
		s.completeTask(u, t)
		s.endJobIfDone(j)
		return
	}
	if t.Phase == jobspec.Placed {
		t.Requeue()
	}
	gang := u.spec().Gang
	if outcome == placement.EndFailed && !j.progress.State.Ended() {
		s.countAttemptFailure(a)
	}
	if gang && !u.aborted {
		u.aborted = true
		s.stopUnit(u, "a member of the gang has ended: "+string(outcome))
	}
	if gang && len(u.attempts) == 0 {
		s.shareCheckpoint(u)
	}
	s.endJobIfDone(j)
}

// releaseTask lets the task of a run that no placement accounted for be placed again.
func (s *State) releaseTask(a *attempt) {
	a.job.requestsValid = false
	if t := a.task(); t != nil && t.Phase == jobspec.Placed && t.Run == a.run && t.Worker == a.w.ID {
		t.Requeue()
		s.markDirty(a.job)
	}
}

// completeTask marks a task as done. The success of one member of a gang completes all
// of them.
func (s *State) completeTask(u *unit, t *jobspec.Task) {
	t.Finish()
	s.observeRunTime(u)
	if !u.spec().Gang {
		return
	}
	for _, b := range append([]*attempt(nil), u.attempts...) {
		s.removeAttempt(b)
	}
	tasks := u.job.progress.Occurrences[u.occurrence][u.step]
	for i := range tasks {
		tasks[i].Finish()
	}
}

// countAttemptFailure counts a failed attempt, once for each run of a gang.
func (s *State) countAttemptFailure(a *attempt) {
	if a.spec().Gang && a.failureCounted {
		return
	}
	a.failureCounted = true
	s.countRunFailure(a.job, a.taskID(), a.run, a.w)
}

// countRunFailure counts a failed run of a task, for a gang on its first task. It fails
// the job once the task has used all its attempts, unless the step is long-running.
func (s *State) countRunFailure(j *job, id jobspec.TaskID, run int, w *worker) {
	step := &j.spec.Steps[id.Step]
	counted := j.task(id.Occurrence, id.Step, id.Index)
	if step.Gang {
		counted = j.task(id.Occurrence, id.Step, 0)
	}
	counted.Failures++
	s.avoidWorker(j, id.Step, w)
	w.recordFailure(s, j, id.Step, "a task failed")
	s.log("task failed", slog.String("id", j.id), slog.Int("step", id.Step), slog.Int("index", id.Index),
		slog.Int("run", run), slog.String("worker", w.ID), slog.Int("failures", counted.Failures),
		slog.Int("attempts", j.spec.MaxAttempts))
	if counted.Failures >= j.spec.MaxAttempts && !step.LongRunning {
		s.endJob(j, jobspec.Failed, "a task has failed as often as it may")
	}
}

// avoidWorker keeps the next attempts of a step away from a worker; see avoidDuration.
func (s *State) avoidWorker(j *job, step int, w *worker) {
	if j.avoidedWorkers == nil {
		j.avoidedWorkers = make(map[int]map[string]int64)
	}
	if j.avoidedWorkers[step] == nil {
		j.avoidedWorkers[step] = make(map[string]int64)
	}
	j.avoidedWorkers[step][w.ID] = s.now
}

// shareCheckpoint sets the greatest checkpoint of a gang's members for all of them: the
// checkpoint of any member is valid for the gang, and all must resume from the same
// one. Longer checkpoints are greater; those of equal length compare as strings.
func (s *State) shareCheckpoint(u *unit) {
	tasks := u.job.progress.Occurrences[u.occurrence][u.step]
	best := ""
	for i := range tasks {
		if c := tasks[i].Checkpoint; len(c) > len(best) || len(c) == len(best) && c > best {
			best = c
		}
	}
	for i := range tasks {
		tasks[i].Checkpoint = best
	}
}

// endJobIfDone drops the task state of the occurrences that are done, and completes the
// job if all of them are.
func (s *State) endJobIfDone(j *job) {
	if j.progress.State.Ended() {
		return
	}
	s.planDue = true
	occurrences := j.progress.Occurrences
	for k := range occurrences {
		if occurrences[k] != nil && jobspec.OccurrenceDone(occurrences[k]) {
			occurrences[k] = nil
			j.forgetOccurrence(k)
			s.markDirty(j)
		}
	}
	if len(occurrences) < j.spec.OccurrenceCount() {
		return
	}
	for k := range occurrences {
		if occurrences[k] != nil {
			return
		}
	}
	s.endJob(j, jobspec.Completed, "all tasks are done")
}

// endJob ends a job in the given state and stops its remaining attempts.
func (s *State) endJob(j *job, state jobspec.State, why string) {
	j.progress.State, j.progress.EndedAt = state, s.wall
	s.guaranteesValid = false
	s.dropAdvice(j)
	j.work, j.observed, j.room, j.placementAttempts = nil, nil, nil, nil
	s.markDirty(j)
	s.log("job ended", slog.String("id", j.id), slog.String("state", string(state)), slog.String("why", why),
		slog.Int64("ageMs", s.now-j.acceptedAt), slog.Int64("spareMs", j.deadline-s.now))
	for _, a := range j.sortedAttempts() {
		s.stop(a, "the job has ended: "+string(state))
	}
}

// cancelJob ends a job that its caller has cancelled.
func (s *State) cancelJob(j *job) {
	j.cancelled = true
	if !j.progress.State.Ended() {
		s.endJob(j, jobspec.Cancelled, "the caller cancelled it")
	}
}
