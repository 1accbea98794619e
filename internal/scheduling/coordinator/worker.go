package coordinator

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/estimate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// worker is the coordinator's state of a worker.
type worker struct {
	placement.Listing
	// pace is the worker's estimated pace.
	pace estimate.Pace
	// recordedPaceClass is the class of the pace that was last recorded.
	recordedPaceClass int
	// rack is the worker's rack, which is the last of its labels; empty while it is not
	// known.
	rack string
	// listed is set while the directory has an entry for the worker. unlistedAt is when
	// the entry was removed; 0 while it exists.
	listed     bool
	unlistedAt int64
	// currentLifetime is the lifetime in which the worker last answered a poll, which was
	// learned at lifetimeSeenAt, and previousLifetime the one before; 0 for none. Lifetimes
	// have no order: they are times of day, which may be set back.
	currentLifetime, previousLifetime int64
	lifetimeSeenAt                    int64
	// reconciled is set once the worker has listed its runs in its current lifetime and
	// under this term. It is cleared when the worker is lost.
	reconciled bool
	// lifetimeOver is set once the current lifetime is known to be over. The worker is
	// then neither polled nor given tasks until a new or changed entry is listed.
	lifetimeOver bool
	// clock is the worker's clock as reported by the answer received at clockAt. leaseEnd
	// is the latest end of a lease that was sent to it, on its clock.
	clock, clockAt, leaseEnd int64
	// listSentAt is when the newest list of runs that the worker has answered was requested;
	// 0 for none in its current lifetime. leaseSentAt is when the last order with a lease
	// was sent.
	listSentAt, leaseSentAt int64
	// clockReset is set while an answer to an order shows a clock that was reset by a
	// restart, until the next answer to a poll.
	clockReset bool
	// endingUntilBatch is the last batch that replaced a record of when the worker's lease ends,
	// and shortUntilBatch one that its leases are short. Before the batch is written, the
	// record may be in force.
	endingUntilBatch, shortUntilBatch uint64
	// silentSince is when the first call since the last answer failed; 0 if none did.
	silentSince int64

	// attempts holds the attempts on the worker that are not over, and used is the sum of
	// their needs.
	attempts map[jobspec.TaskID]*attempt
	used     jobspec.Resources
	// sorted holds the attempts ordered by their tasks; nil if it has to be made anew.
	sorted []*attempt
	// removed holds the runs whose attempts were removed. The worker may still list them,
	// for instance when another member completed their gang; they are not orphans until
	// a list that was requested after the removal.
	removed map[jobspec.TaskID]removedRun

	// pollPending is set while a poll is in flight, and pollQueued while one waits for its
	// turn. pollDue is set while the next one
	// waits for a batch to be written, so that it can acknowledge ends. nextPollAt is
	// when the next poll is sent at the latest; 0 if none is scheduled.
	pollPending, pollQueued, pollDue bool
	// pollNumber is the number of the last poll sent. Answers to earlier ones do not cause
	// the next.
	pollNumber uint64
	nextPollAt int64
	// lastEnd is the number of the last end processed and ackedEnd that of the last one
	// that may be acknowledged. pendingAcks holds the ends in between.
	lastEnd, ackedEnd int64
	pendingAcks       []pendingAck
	// moreEnds is set while the last list of ends may lack the newest ones.
	moreEnds bool

	// evacuated is set while the worker's data centre is under evacuation, and coldUntil when the
	// worker is warm.
	evacuated bool
	coldUntil int64
	// unschedulableUntil is when the worker may receive new tasks again, and quarantinedUntil
	// when it may receive those that other workers can hold.
	unschedulableUntil, quarantinedUntil int64
	// failures counts the failures and stalls attributed to the worker since the last
	// success. Successive failures of one job, whose ID lastFailedJob holds, count once.
	// failedAt is when the last run failed or stalled there, counted or not.
	failures      int
	lastFailedJob string
	failedAt      int64
	// quarantineTime is the length of the last quarantine since the last success; 0 if
	// there was none.
	quarantineTime int64
}

// removedRun is a run whose attempt was removed, and when.
type removedRun struct {
	run int
	at  int64
}

// pendingAck is the number of an end that may be acknowledged once a batch is written.
type pendingAck struct {
	number int64
	batch  uint64
}

// workerFor returns the worker with the given ID and creates it if necessary.
func (s *State) workerFor(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{attempts: make(map[jobspec.TaskID]*attempt)}
		w.ID = id
		s.inheritPace(w)
		s.workers[id], s.byID = w, nil
	}
	return w
}

// workerListed handles a new or changed directory entry of a worker. An entry of its
// previous lifetime is ignored. An entry of a new one ends no attempts: a poll shows
// whether the worker has restarted, and what runs there.
func (s *State) workerListed(l *placement.Listing) {
	w := s.workerFor(l.ID)
	if w.listed && w.Lifetime == l.Lifetime && w.Draining == l.Draining && w.Address == l.Address {
		w.Listing, w.unlistedAt = *l, 0
		s.noteColdTime(w)
		s.updateEvacuation(w)
		return
	}
	if w.previousLifetime != 0 && l.Lifetime == w.previousLifetime {
		return
	}
	s.log("worker listed", slog.String("worker", l.ID), slog.Int64("born", l.Lifetime), slog.Bool("draining", l.Draining),
		slog.String("service", l.Service), slog.Any("labels", l.Labels))
	w.Listing, w.listed, w.unlistedAt, w.lifetimeOver = *l, true, 0, false
	s.noteColdTime(w)
	s.updateEvacuation(w)
	if n := len(l.Labels); n > 0 {
		w.rack = l.Labels[n-1]
		for _, a := range w.attempts {
			a.noteRack(w.rack)
		}
	}
	if l.Lifetime != w.currentLifetime {
		// A poll to the last lifetime may wait for its timeout.
		w.pollPending = false
	}
	if l.Draining {
		s.drainWorker(w)
	}
	s.planDue = true
	s.queuePoll(w)
}

// changeLifetime starts a new lifetime of w, in which it has answered a poll, and resets
// the state of the last one. The attempts remain until the list of runs is reconciled with
// them, since start orders for the last lifetime may have been executed in the new one.
func (s *State) changeLifetime(w *worker, lifetime int64) {
	w.currentLifetime, w.previousLifetime, w.lifetimeSeenAt = lifetime, w.currentLifetime, s.now
	w.reconciled = false
	w.clock, w.clockAt, w.leaseEnd, w.silentSince, w.listSentAt = 0, 0, 0, 0, 0
	w.lastEnd, w.ackedEnd, w.pendingAcks = 0, 0, nil
	w.forgiveFailures()
	if w.previousLifetime != 0 {
		w.pace.Renew()
	}
	w.unschedulableUntil, w.quarantinedUntil = 0, 0
	for _, a := range w.attempts {
		if a.maybeStarted {
			// The stop was executed by the last lifetime only.
			a.stoppedAt = 0
		}
	}
}

// workerUnlisted handles the removal of a worker's directory entry.
func (s *State) workerUnlisted(id string) {
	w := s.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, s.now
	s.log("worker not listed any more", slog.String("worker", id), slog.Bool("draining", w.Draining),
		slog.Int("runs", len(w.attempts)))
}

// pollAnswered handles the answer to a poll: it records the ends, reconciles the list of
// runs with the attempts and sends the next poll.
func (s *State) pollAnswered(e *Polled) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	newest := e.Number == w.pollNumber
	if newest {
		w.pollPending = false
	}
	if e.Reply.Verdict != placement.Executed {
		s.pollFailed(w, e)
		return
	}
	lifetime := e.Reply.Lifetime
	if lifetime != w.currentLifetime && w.currentLifetime != 0 && e.SentAt < w.lifetimeSeenAt {
		// The last lifetime has answered before it ended.
		if newest {
			s.queuePoll(w)
		}
		return
	}
	if w.silentSince != 0 && s.now-w.silentSince > s.SilenceTimeout {
		s.log("worker answers again", slog.String("worker", w.ID), slog.Int64("silentMs", s.now-w.silentSince))
	}
	if lifetime != 0 && lifetime != w.currentLifetime {
		s.changeLifetime(w, lifetime)
	}
	s.recordAnswer(w, e.Reply.Clock)
	w.clockReset = false
	firstList := !w.reconciled
	w.reconciled = true
	s.applyLists(w, e)
	if firstList {
		s.planDue = true
		s.capacityGains++
	}
	if !newest {
		return
	}
	if len(w.pendingAcks) > 0 {
		// The next poll acknowledges the ends, so it waits until they are recorded. If the
		// store is unavailable, it is sent after PollWait anyway to renew the lease.
		w.pollDue, w.nextPollAt = true, s.now+s.PollWait
		return
	}
	s.queuePoll(w)
}

// applyLists applies the worker's lists of ends and of runs.
func (s *State) applyLists(w *worker, e *Polled) {
	w.listSentAt = max(w.listSentAt, e.SentAt)
	if e.Reply.MoreEnds && !w.moreEnds {
		s.log("list of ends is full", slog.String("worker", w.ID), slog.Int64("lastEnd", w.lastEnd), slog.Int64("ackedEnd", w.ackedEnd),
			slog.Int("runs", len(w.attempts)))
	}
	w.moreEnds = e.Reply.MoreEnds
	for i := range e.Reply.Ended {
		s.runEnded(w, &e.Reply.Ended[i])
	}
	s.reconcile(w, e)
}

// pollFailed handles a poll that was not executed.
func (s *State) pollFailed(w *worker, e *Polled) {
	switch e.Reply.Verdict {
	case placement.Fenced:
		s.resign("worker " + w.ID + " has seen a higher token")
		return
	case placement.OtherLifetime:
		if e.Address == w.Address {
			s.loseWorker(w, "another lifetime answered", true)
			return
		}
		// Another worker is at the address that the worker had before.
	default:
		s.recordNoAnswer(w, e.Reply.Reply)
	}
	if !w.pollPending {
		w.nextPollAt = s.now + pollRetryInterval
	}
}

// pollRetryInterval is the time between a failed poll and the next, in milliseconds.
const pollRetryInterval = 200

// runEnded handles the end of a run, unless it was processed before.
func (s *State) runEnded(w *worker, e *placement.End) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	s.noteStarted(s.jobs[e.Task.Job])
	a := w.attempts[e.Task]
	if a != nil && a.run == e.Run {
		s.log("run ended", slog.String("id", e.Task.Job), slog.Int("step", e.Task.Step), slog.Int("index", e.Task.Index),
			slog.Int("run", e.Run), slog.String("worker", w.ID), slog.String("how", string(e.Outcome)))
		if e.Outcome == placement.EndDone {
			w.forgiveFailures()
		}
		checkpoint := e.Checkpoint
		if checkpoint == "" {
			checkpoint = a.checkpoint
		}
		s.endAttempt(a, e.Outcome, checkpoint)
	}
	if a == nil || a.run != e.Run || a.orphan {
		s.recordLateEnd(w, e, a != nil && a.run == e.Run)
	}
	w.pendingAcks = append(w.pendingAcks, pendingAck{number: e.Number, batch: s.ackBatch()})
}

// ackBatch returns the number of the batch that has to be written before the end just
// processed may be acknowledged.
func (s *State) ackBatch() uint64 {
	if len(s.dirtyJobs) > 0 {
		return s.nextBatch()
	}
	return s.batch
}

// advanceAcked advances ackedEnd to the last end whose batch is in the store. written is
// the number of the last batch in the store.
func (w *worker) advanceAcked(written uint64) {
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].batch <= written {
		w.ackedEnd = w.pendingAcks[0].number
		w.pendingAcks = w.pendingAcks[1:]
	}
}

// reconcile compares the worker's lists with its attempts. A run that is in neither list has
// ended only if the list of ends is complete.
func (s *State) reconcile(w *worker, e *Polled) {
	running := make(map[jobspec.TaskID]*placement.Run, len(e.Reply.Running))
	for i := range e.Reply.Running {
		r := &e.Reply.Running[i]
		running[r.Task] = r
	}
	for _, a := range sortedAttempts(w.attempts) {
		r := running[a.taskID()]
		listed := r != nil && r.Run == a.run
		if listed || a.startAnsweredAt != 0 && a.startAnsweredAt <= e.SentAt {
			a.maybeUnseen = false
		}
		if listed {
			s.updateRunning(a, r)
			continue
		}
		if !e.Reply.MoreEnds {
			s.handleMissing(a, e.SentAt)
		}
	}
	for i := range e.Reply.Running {
		r := &e.Reply.Running[i]
		id := r.Task
		if removed, ok := w.removed[id]; ok && removed.run == r.Run && e.SentAt <= removed.at {
			continue
		}
		if a := w.attempts[id]; a == nil || a.run > r.Run {
			s.stopOrphan(w, r)
		}
	}
	maps.DeleteFunc(w.removed, func(_ jobspec.TaskID, d removedRun) bool { return d.at < e.SentAt })
}

// updateRunning updates an attempt whose run its worker lists.
func (s *State) updateRunning(a *attempt, r *placement.Run) {
	s.noteStarted(a.job)
	if a.lifetime != a.w.currentLifetime {
		// A stop that was executed by an earlier lifetime has not reached this run.
		a.lifetime, a.stoppedAt = a.w.currentLifetime, 0
	}
	// Reports may wait here for different times, which is no time without progress.
	arrivedAt := s.now - s.waited
	if r.Checkpoint != "" {
		a.checkpoint = r.Checkpoint
	}
	if a.startedAt == 0 {
		a.startedAt, a.progressedAt, a.percent = s.now, arrivedAt, r.Percent
	}
	s.observeProgress(a, r.Percent, arrivedAt)
	a.reportedAt = arrivedAt
	if r.Percent != a.percent {
		a.percent, a.progressedAt = r.Percent, arrivedAt
	}
	if a.spec().LongRunning && s.atWork(a) && s.now >= max(a.progressedAt, a.w.failedAt)+s.Quarantine {
		// Lasting runs do not end as done. This one shows as much.
		a.w.forgiveFailures()
	}
	if a.phase == phaseUnconfirmed || a.phase == phaseSent {
		a.phase = phaseRunning
	}
}

// handleMissing handles an attempt that its worker lists neither as running nor as ended.
// polledAt is when the lists were requested.
func (s *State) handleMissing(a *attempt, polledAt int64) {
	switch a.phase {
	case phasePlanned, phaseSent:
	case phaseUnconfirmed:
		if a.w.evacuated && a.sentAt >= polledAt {
			// The order may have been executed since. It is not repeated there.
			return
		}
		s.handleUnconfirmed(a)
	case phaseRunning:
		switch {
		case a.startedAt >= polledAt || a.sentAt >= polledAt:
		case a.maybeStarted:
			s.abortUnit(a.unit, "its worker has restarted and may still execute a start order")
		default:
			s.presumeEnded(a, "its worker does not list it any more")
		}
	case phaseStopping:
		if a.stoppedAt != 0 && a.stoppedAt < polledAt {
			s.endAttempt(a, placement.EndStopped, a.checkpoint)
		}
	}
}

// handleUnconfirmed starts an attempt that its worker does not list, or ends it. The worker
// refuses the start orders of earlier coordinators from now on.
func (s *State) handleUnconfirmed(a *attempt) {
	restarted := a.lifetime != 0 && a.lifetime != a.w.currentLifetime
	switch {
	case restarted && a.maybeStarted:
		s.abortUnit(a.unit, "its worker has restarted and may still execute a start order")
	case restarted:
		s.presumeEnded(a, "its worker has restarted")
	case a.aborted:
		s.stop(a, "its gang cannot complete")
	case a.w.Draining:
		s.abortUnit(a.unit, "its worker is about to leave")
	case a.w.evacuated:
		s.abortUnit(a.unit, "data centre "+a.w.DataCentre+" is evacuated")
	case s.mayStart() && !s.mustEndLease(a.w) && !a.job.hasOrphan(a.unit):
		s.sendStart(a)
	}
}

// stopOrphan stops a run that no attempt accounts for: its start order was executed
// late, or its job has ended.
func (s *State) stopOrphan(w *worker, r *placement.Run) {
	if a := w.attempts[r.Task]; a != nil {
		if a.phase != phasePlanned || a.sent {
			s.sendStopOrder(w, r.Task, r.Run)
			return
		}
		s.withdrawUnit(a.unit, "an earlier run of it goes on")
	}
	j := s.jobs[r.Task.Job]
	s.noteStarted(j)
	if j == nil || r.Task.Step >= len(j.spec.Steps) {
		s.sendStopOrder(w, r.Task, r.Run)
		return
	}
	u := &unit{job: j, occurrence: r.Task.Occurrence, step: r.Task.Step, run: r.Run, sent: true, aborted: true}
	a := s.newAttempt(u, r.Task.Index, w)
	a.orphan, a.phase, a.lifetime = true, phaseRunning, w.currentLifetime
	j.requestsValid = false
	if t := a.task(); t != nil && t.Run <= r.Run {
		t.Run = r.Run
		if t.Phase == jobspec.Waiting {
			// The next coordinator awaits the end too.
			t.Phase, t.Worker, t.Lifetime = jobspec.Placed, w.ID, w.currentLifetime
		}
		s.markDirty(j)
	}
	s.stop(a, "no placement accounts for the run")
}

// poll sends the next poll to a worker, unless one is in flight.
func (s *State) poll(w *worker) {
	if w.pollPending || w.Address == "" || w.lifetimeOver || !s.MayIssueOrders() {
		return
	}
	if !w.listed && s.leaseExpired(w) && len(w.attempts) == 0 {
		// The worker has probably left. It is polled again once it is listed.
		w.nextPollAt = 0
		return
	}
	w.pollPending, w.pollDue, w.nextPollAt = true, false, 0
	order := placement.Poll{Token: s.Term}
	expiresAt := int64(0)
	if s.mayAcknowledge(w) {
		order.AckedEnd, expiresAt = w.ackedEnd, s.soleUntil()
	}
	if w.reconciled {
		order.Wait = s.pollWait(w)
	}
	// A worker that does not answer gets no new lease: each poll might reach it although
	// no answer arrives here, and its tasks could then never be started elsewhere.
	if lease := s.leaseFor(w); lease > 0 && w.reconciled && w.silentSince == 0 {
		order.Lease = w.estimatedClock(s.now) + lease
		w.extendLease(order.Lease)
		w.leaseSentAt = s.now
	}
	s.chargePoll()
	order.Delay = s.callDelay()
	w.pollNumber++
	s.effects = append(s.effects, Effect{Poll: &Poll{Target: w.target(), Order: order, Number: w.pollNumber, ExpiresAt: expiresAt}})
}

// mayAcknowledge reports whether a poll may acknowledge the ends on w. A worker that may have
// restarted would take an acknowledgement of an end in its last lifetime for one of an end in
// its new lifetime, which nobody has seen, or only the coordinator that has taken over.
func (s *State) mayAcknowledge(w *worker) bool {
	return w.silentSince == 0 && !w.clockReset && w.entryIsCurrent() && s.soleLeader()
}

// pollWait returns how long w may delay its answer to a poll, in milliseconds.
func (s *State) pollWait(w *worker) int64 {
	wait := s.IdlePollWait
	switch {
	case w.silentSince != 0:
		return 0
	case s.mustEndLease(w):
		// The next poll may extend the lease.
		return pollRetryInterval
	case s.runsUrgent(w):
		wait = s.PollWait / 2
	case len(w.attempts) > 0:
		wait = s.PollWait
	}
	if w.Draining {
		// Its leases are short.
		return wait
	}
	return max(wait, s.leastPollWait())
}

// runsUrgent reports whether urgent work runs on w. Its progress is polled more often.
func (s *State) runsUrgent(w *worker) bool {
	for _, a := range w.attempts {
		if a.job.spec.Priority == 0 && !a.orphan {
			return true
		}
	}
	return false
}

// recordNoAnswer records that a call to w was not answered.
func (s *State) recordNoAnswer(w *worker, r placement.Reply) {
	if w.silentSince != 0 {
		return
	}
	w.silentSince = s.now
	s.log("worker does not answer", slog.String("worker", w.ID), slog.String("dataCentre", w.DataCentre),
		slog.Bool("listed", w.listed), slog.Int("runs", len(w.attempts)), slog.String("verdict", string(r.Verdict)),
		slog.String("why", r.Reason))
}

// checkWorker performs the work for one worker that depends on the time alone.
func (s *State) checkWorker(w *worker) {
	if w.nextPollAt != 0 && s.now >= w.nextPollAt {
		s.queuePoll(w)
	}
	if s.leaseExpired(w) && s.anyOver(w) {
		s.loseWorker(w, "its lease has expired without an answer", false)
	}
	if !w.listed && len(w.attempts) == 0 && w.unlistedAt != 0 && s.now-w.unlistedAt > unlistedRetention {
		delete(s.workers, w.ID)
		s.byID = nil
		return
	}
	s.checkAttempts(w)
}

// checkAttempts performs the work for a worker's attempts that depends on the time alone.
func (s *State) checkAttempts(w *worker) {
	var due []*attempt
	for _, a := range w.attempts {
		if s.checkDue(a) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, compareAttempts)
	for _, a := range due {
		if w.attempts[a.taskID()] == a {
			s.checkAttempt(a)
		}
	}
}

// checkDue reports whether checkAttempt may have something to do for a.
func (s *State) checkDue(a *attempt) bool {
	switch a.phase {
	case phaseStopping, phasePlanned:
		return true
	case phaseRunning:
		return a.reportedAt-a.progressedAt >= minStallTime
	case phaseSent, phaseUnconfirmed:
	}
	return false
}

// sortedWorkers returns all workers ordered by ID.
func (s *State) sortedWorkers() []*worker {
	if s.byID == nil {
		for _, w := range s.workers {
			s.byID = append(s.byID, w)
		}
		slices.SortFunc(s.byID, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s.byID
}

// unlistedRetention is how long the state of a worker without an entry and without
// attempts is retained, in milliseconds.
const unlistedRetention = 10_000

// loseWorker ends all attempts on a worker whose lifetime is over or whose lease has
// expired. If lifetimeOver is not set, only the lease has expired: the attempts are
// abandoned, but for those that an unseen restart may hold longer, and the worker is used
// again once it answers.
func (s *State) loseWorker(w *worker, why string, lifetimeOver bool) {
	w.lifetimeOver, w.reconciled = w.lifetimeOver || lifetimeOver, false
	s.log("worker lost", slog.String("worker", w.ID), slog.Int64("born", w.currentLifetime), slog.String("why", why),
		slog.Int("runs", len(w.attempts)), slog.Int64("silentMs", s.silentFor(w)), slog.Bool("listed", w.listed),
		slog.Bool("draining", w.Draining), slog.Int64("leaseLeftMs", s.leaseLeft(w)),
		slog.Bool("maybeUnseen", s.maybeUnseen(w)))
	for _, a := range sortedAttempts(w.attempts) {
		if !lifetimeOver {
			if s.runLeft(a) >= 0 {
				continue
			}
			s.abandon(a)
		}
		s.presumeEnded(a, why)
	}
}

// presumeEnded ends an attempt whose end its worker has not reported.
func (s *State) presumeEnded(a *attempt, why string) {
	s.log("run presumed ended", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
		slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.Int64("born", a.lifetime), slog.String("why", why),
		slog.Bool("maybeStarted", a.maybeStarted), slog.Bool("maybeUnseen", a.maybeUnseen), slog.Int64("leaseLeftMs", s.runLeft(a)))
	s.endAttempt(a, placement.EndLeaseExpired, a.checkpoint)
}

// silentFor returns for how long w has not answered; 0 if its last call was answered.
func (s *State) silentFor(w *worker) int64 {
	if w.silentSince == 0 {
		return 0
	}
	return s.now - w.silentSince
}

// checkAttempt retries stop orders that were not answered, withdraws placements that
// have waited too long for capacity, and stops stalled tasks.
func (s *State) checkAttempt(a *attempt) {
	switch a.phase {
	case phaseStopping:
		if a.stoppedAt == 0 && s.now > a.stopRetryAt && s.MayIssueOrders() {
			s.sendStop(a)
		}
	case phasePlanned:
		if a == a.attempts[0] && s.now-a.placedAt > maxBlockedTime && slices.ContainsFunc(a.blockers, s.stopOverdue) {
			s.withdrawUnit(a.unit, "the capacity did not become free in time")
		}
	case phaseRunning:
		s.checkProgress(a)
	}
}

// stopOverdue reports whether an attempt that is being stopped should be over by now: its order
// has left the host, or was executed, maxBlockedTime ago. The report of its end waits behind
// other calls.
func (s *State) stopOverdue(a *attempt) bool {
	return s.now > max(a.stopDueAt, a.stoppedAt)+maxBlockedTime+s.callDelay()+s.polls.delay(s.now)+s.waited
}

const (
	// orderRetryInterval is the time after which a stop order that was not executed is
	// sent again, in milliseconds. It exceeds the timeout of an order.
	orderRetryInterval = 600
	// maxBlockedTime is how long a stop may take until a placement that waits for it is withdrawn,
	// in milliseconds. A stop takes some hundred milliseconds.
	maxBlockedTime = 1500
)

// unschedulable reports whether w must not receive new tasks.
func (s *State) unschedulable(w *worker) bool {
	return w.evacuated || !w.listed || !w.reconciled || w.lifetimeOver || w.Draining || s.mustEndLease(w) || !w.entryIsCurrent() || s.now < w.unschedulableUntil ||
		w.silentSince != 0 && s.now-w.silentSince > s.PollWait
}

// entryIsCurrent reports whether the worker's entry describes the lifetime that answers. An
// entry without a start time is taken to.
func (w *worker) entryIsCurrent() bool { return w.Lifetime == 0 || w.Lifetime == w.currentLifetime }

// mayStartOn reports whether a task that was placed on w may be started there: w is still in
// the lifetime that its entry describes, stays, may get a lease, and is not in a data centre under
// evacuation.
func (s *State) mayStartOn(w *worker) bool {
	return !w.evacuated && !w.lifetimeOver && w.entryIsCurrent() && !s.leaving(w) && !s.mustEndLease(w)
}

// leaving reports whether w is about to leave or has left the directory, so that no start
// order may be sent to it.
func (s *State) leaving(w *worker) bool { return w.Draining || !w.listed }

// sortedAttempts returns attempts in a fixed order, so that the same events always have
// the same effects.
func sortedAttempts(m map[jobspec.TaskID]*attempt) []*attempt {
	if len(m) == 0 {
		return nil
	}
	as := make([]*attempt, 0, len(m))
	for _, a := range m {
		as = append(as, a)
	}
	slices.SortFunc(as, compareAttempts)
	return as
}

// sortedAttempts returns the worker's attempts in a fixed order. The result is valid until
// an attempt is added or removed.
func (w *worker) sortedAttempts() []*attempt {
	if w.sorted == nil {
		w.sorted = sortedAttempts(w.attempts)
	}
	return w.sorted
}

// compareAttempts orders attempts of one worker by their tasks.
func compareAttempts(a, b *attempt) int { return compareTaskIDs(a.taskID(), b.taskID()) }
