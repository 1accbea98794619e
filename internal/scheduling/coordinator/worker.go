package coordinator

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// worker is a worker as the coordinator knows it.
type worker struct {
	placement.Listing
	// rack is the worker's rack.
	rack string
	// entry is set while the directory has an entry, and goneAt is when it went.
	listed     bool
	unlistedAt int64
	// born is the lifetime that answers; it follows the entry until the first answer.
	currentLifetime int64
	// verified is set once the worker has listed its runs under this term.
	reconciled bool
	// lost is set once the lifetime is over.
	lifetimeOver bool
	// clock is the worker's clock as it was read at clockAt, and lease the highest end
	// of a lease that it may have been sent.
	clock, clockAt, leaseEnd int64
	// silentSince is when the first of the calls that were not answered was noticed.
	silentSince int64

	attempts map[jobspec.TaskID]*attempt
	used     jobspec.Resources
	// dropped has the runs that ended without an end from this worker, as those of a
	// gang do once another member is done, until a list that was asked for later.
	removed map[jobspec.TaskID]removedRun

	// holding is set while a hold is on its way, and holdDue when the next one waits
	// for a record.
	pollPending, pollDue bool
	nextPollAt           int64
	// seen is the highest end taken note of and acked the highest one that may be
	// acknowledged; acks has the ends in between.
	lastEnd, ackedEnd int64
	pendingAcks       []pendingAck

	// closedUntil is when the worker may get something new again.
	unschedulableUntil int64
	// strikes counts failures of different jobs since the last success, and struck
	// names the job of the last one.
	failures       int
	lastFailedJob  string
	quarantineTime int64
}

// ended is a run that is over and when that was learned.
type removedRun struct {
	run int
	at  int64
}

// acknowledgement is an end that may be acknowledged once a batch is written.
type pendingAck struct {
	number int64
	batch  uint64
}

// workerFor returns the worker with an ID, which may be new.
func (s *State) workerFor(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{attempts: make(map[jobspec.TaskID]*attempt)}
		w.ID = id
		s.workers[id] = w
	}
	return w
}

// listed takes a worker's entry.
func (s *State) workerListed(l *placement.Listing) {
	w := s.workerFor(l.ID)
	if w.listed && w.Lifetime == l.Lifetime && w.Draining == l.Draining && w.Address == l.Address {
		w.Listing, w.unlistedAt = *l, 0
		return
	}
	if w.currentLifetime != 0 && l.Lifetime != 0 && l.Lifetime < w.currentLifetime {
		return
	}
	s.log("worker listed", slog.String("worker", l.ID), slog.Int64("born", l.Lifetime), slog.Bool("draining", l.Draining),
		slog.String("service", l.Service), slog.Any("labels", l.Labels))
	// Attempts of an earlier lifetime are over.
	if l.Lifetime != 0 {
		for _, a := range sortedAttempts(w.attempts) {
			if a.lifetime != 0 && a.lifetime < l.Lifetime {
				s.endAttempt(a, placement.EndLeaseExpired, a.checkpoint)
			}
		}
	}
	if l.Lifetime != 0 && w.currentLifetime != l.Lifetime {
		s.resetLifetime(w, l.Lifetime)
	}
	w.Listing, w.listed, w.unlistedAt, w.lifetimeOver = *l, true, 0, false
	if n := len(l.Labels); n > 0 {
		w.rack = l.Labels[n-1]
	}
	if l.Draining {
		s.drainWorker(w)
	}
	s.planDue = true
	s.poll(w)
}

// newLife forgets what was known of an earlier lifetime.
func (s *State) resetLifetime(w *worker, lifetime int64) {
	w.currentLifetime, w.reconciled = lifetime, false
	w.clock, w.clockAt, w.leaseEnd, w.silentSince = 0, 0, 0, 0
	w.lastEnd, w.ackedEnd, w.pendingAcks = 0, 0, nil
	w.failures, w.lastFailedJob, w.quarantineTime, w.unschedulableUntil = 0, "", 0, 0
	w.pollPending = false
}

// unlisted takes the loss of a worker's entry.
func (s *State) workerUnlisted(id string) {
	w := s.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, s.now
	s.log("worker not listed any more", slog.String("worker", id), slog.Bool("draining", w.Draining),
		slog.Int("runs", len(w.attempts)))
}

// held takes the answer to a hold.
func (s *State) pollAnswered(e *Polled) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.pollPending = false
	if e.Reply.Verdict != placement.Executed {
		s.pollFailed(w, e.Reply.Reply)
		return
	}
	if w.silentSince != 0 && s.now-w.silentSince > s.SilenceTimeout {
		s.log("worker answers again", slog.String("worker", w.ID), slog.Int64("silentMs", s.now-w.silentSince))
	}
	w.recordAnswer(s.now, e.Reply.Clock)
	if b := e.Reply.Lifetime; b != 0 && b != w.currentLifetime {
		if w.currentLifetime != 0 && b < w.currentLifetime {
			return
		}
		for _, a := range sortedAttempts(w.attempts) {
			if a.lifetime != 0 && a.lifetime < b {
				s.endAttempt(a, placement.EndLeaseExpired, a.checkpoint)
			}
		}
		s.resetLifetime(w, b)
		w.recordAnswer(s.now, e.Reply.Clock)
	}
	first := !w.reconciled
	w.reconciled = true
	for i := range e.Reply.Ended {
		s.runEnded(w, &e.Reply.Ended[i])
	}
	s.reconcile(w, e)
	if first {
		s.planDue = true
		s.capacityGains++
	}
	if len(w.pendingAcks) > 0 {
		// The next hold acknowledges the ends, once they are recorded. When the store is
		// away the lease is renewed all the same.
		w.pollDue, w.nextPollAt = true, s.now+s.PollWait
		return
	}
	s.poll(w)
}

// holdRefused takes a hold that was not carried out.
func (s *State) pollFailed(w *worker, r placement.Reply) {
	switch r.Verdict {
	case placement.Fenced:
		s.resign("worker " + w.ID + " has seen a higher token")
	case placement.OtherLifetime:
		s.loseWorker(w, "another lifetime answered", true)
	default:
		s.recordNoAnswer(w, r)
		w.nextPollAt = s.now + pollRetryInterval
	}
}

// holdPause is the time between holds that a worker does not answer, in
// milliseconds.
const pollRetryInterval = 200

// ended takes note of the end of a run.
func (s *State) runEnded(w *worker, e *placement.End) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	a := w.attempts[e.Task]
	if a != nil && a.run == e.Run {
		s.log("run ended", slog.String("id", e.Task.Job), slog.Int("step", e.Task.Step), slog.Int("index", e.Task.Index),
			slog.Int("run", e.Run), slog.String("worker", w.ID), slog.String("how", string(e.Outcome)))
		if e.Outcome == placement.EndDone {
			w.failures, w.lastFailedJob, w.quarantineTime = 0, "", 0
		}
		checkpoint := e.Checkpoint
		if checkpoint == "" {
			checkpoint = a.checkpoint
		}
		s.endAttempt(a, e.Outcome, checkpoint)
	} else {
		s.recordLateEnd(w, e)
	}
	w.pendingAcks = append(w.pendingAcks, pendingAck{number: e.Number, batch: s.ackBatch()})
}

// ackBatch returns the batch that has to be written before what was just decided
// may be acknowledged.
func (s *State) ackBatch() uint64 {
	if len(s.dirtyJobs) > 0 {
		return s.nextBatch()
	}
	return s.batch
}

// acknowledge moves up to the ends that are recorded.
func (w *worker) advanceAcked(written uint64) {
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].batch <= written {
		w.ackedEnd = w.pendingAcks[0].number
		w.pendingAcks = w.pendingAcks[1:]
	}
}

// compare matches the worker's list of runs with the attempts.
func (s *State) reconcile(w *worker, e *Polled) {
	running := make(map[jobspec.TaskID]*placement.Run, len(e.Reply.Running))
	for i := range e.Reply.Running {
		r := &e.Reply.Running[i]
		running[r.Task] = r
	}
	for _, a := range sortedAttempts(w.attempts) {
		r := running[a.taskID()]
		if r != nil && r.Run == a.run {
			s.updateRunning(a, r)
			continue
		}
		s.handleMissing(a, e.SentAt)
	}
	for n, r := range running {
		if d, ok := w.removed[n]; ok && d.run == r.Run && e.SentAt <= d.at {
			continue
		}
		if a := w.attempts[n]; a == nil || a.run < r.Run {
			s.stopOrphan(w, r)
		}
	}
	maps.DeleteFunc(w.removed, func(_ jobspec.TaskID, d removedRun) bool { return d.at < e.SentAt })
}

// atWork takes the news of a run that is on its worker.
func (s *State) updateRunning(a *attempt, r *placement.Run) {
	if r.Checkpoint != "" {
		a.checkpoint = r.Checkpoint
	}
	if a.startedAt == 0 {
		a.startedAt, a.progressedAt, a.percent = s.now, s.now, r.Percent
	}
	a.reportedAt = s.now
	if r.Percent != a.percent {
		a.percent, a.progressedAt = r.Percent, s.now
	}
	if a.phase == phaseUnconfirmed || a.phase == phaseSent {
		a.phase = phaseRunning
	}
}

// absent decides about an attempt that its worker does not list.
func (s *State) handleMissing(a *attempt, polledAt int64) {
	switch a.phase {
	case phaseUnconfirmed:
		// Placed by the last coordinator, and never begun: the order is safe to repeat.
		if a.aborted {
			s.stop(a, "its gang cannot go on")
			return
		}
		s.sendStart(a)
	case phaseRunning:
		if a.startedAt < polledAt && a.sentAt < polledAt {
			s.log("run vanished", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
				slog.Int("run", a.run), slog.String("worker", a.w.ID))
			s.endAttempt(a, placement.EndLeaseExpired, a.checkpoint)
		}
	case phaseStopping:
		if a.stoppedAt != 0 && a.stoppedAt < polledAt {
			s.endAttempt(a, placement.EndStopped, a.checkpoint)
		}
	}
}

// strayRun stops a run that should not be there: an order of an earlier time that
// was carried out late, or one of a job that has ended.
func (s *State) stopOrphan(w *worker, r *placement.Run) {
	if w.attempts[r.Task] != nil {
		return
	}
	j := s.jobs[r.Task.Job]
	if j == nil || r.Task.Step >= len(j.spec.Steps) {
		s.effects = append(s.effects, Effect{Stop: &Stop{Target: w.target(), Order: placement.Stop{Task: r.Task, Run: r.Run, Token: s.Term}}})
		return
	}
	u := &unit{job: j, occurrence: r.Task.Occurrence, step: r.Task.Step, run: r.Run, sent: true, aborted: true}
	a := s.newAttempt(u, r.Task.Index, w)
	a.orphan, a.phase, a.lifetime = true, phaseRunning, w.currentLifetime
	s.stop(a, "the run is not wanted")
}

// hold sends the next hold of a worker.
func (s *State) poll(w *worker) {
	if w.pollPending || w.Address == "" || w.lifetimeOver || !s.MayIssueOrders() {
		return
	}
	w.pollPending, w.pollDue, w.nextPollAt = true, false, 0
	h := placement.Poll{Token: s.Term, AckedEnd: w.ackedEnd}
	if w.reconciled {
		h.Wait = s.IdlePollWait
		if len(w.attempts) > 0 {
			h.Wait = s.PollWait
			if s.runsUrgent(w) {
				h.Wait = s.PollWait / 2
			}
		}
		if w.silentSince != 0 {
			h.Wait = 0
		}
	}
	// A worker that does not answer gets no new lease: it could take it unseen, and its
	// tasks could never be started elsewhere.
	if w.reconciled && w.silentSince == 0 {
		h.Lease = w.estimatedClock(s.now) + s.Lease
		w.extendLease(h.Lease)
	}
	s.effects = append(s.effects, Effect{Poll: &Poll{Target: w.target(), Order: h}})
}

// urgentOn reports whether urgent work runs on w; its progress is looked at more often.
func (s *State) runsUrgent(w *worker) bool {
	for _, a := range w.attempts {
		if a.job.spec.Priority == 0 && !a.orphan {
			return true
		}
	}
	return false
}

// unheard notes a call without an answer.
func (s *State) recordNoAnswer(w *worker, r placement.Reply) {
	if w.silentSince != 0 {
		return
	}
	w.silentSince = s.now
	s.log("worker does not answer", slog.String("worker", w.ID), slog.String("dataCentre", w.DataCentre),
		slog.Bool("listed", w.listed), slog.Int("runs", len(w.attempts)), slog.String("verdict", string(r.Verdict)),
		slog.String("why", r.Reason))
}

// watch does what only depends on the time for one worker.
func (s *State) checkWorker(w *worker) {
	if w.nextPollAt != 0 && s.now >= w.nextPollAt {
		s.poll(w)
	}
	if len(w.attempts) > 0 && s.leaseExpired(w) {
		s.loseWorker(w, "its lease has run out without an answer", !w.listed)
	}
	if !w.listed && !w.lifetimeOver && w.Draining && w.silentSince != 0 && s.now-w.silentSince > s.SilenceTimeout {
		s.loseWorker(w, "it has left", true)
	}
	if !w.listed && len(w.attempts) == 0 && w.unlistedAt != 0 && s.now-w.unlistedAt > unlistedRetention {
		delete(s.workers, w.ID)
		return
	}
	for _, a := range sortedAttempts(w.attempts) {
		s.checkAttempt(a)
	}
}

// goneAfter is how long a worker without an entry and without runs is
// remembered, in milliseconds.
const unlistedRetention = 10_000

// lifeOver ends everything on a worker. The lifetime itself is over when gone is
// set; otherwise the worker is used again once it answers.
func (s *State) loseWorker(w *worker, why string, lifetimeOver bool) {
	w.lifetimeOver, w.reconciled = w.lifetimeOver || lifetimeOver, false
	s.log("worker lost", slog.String("worker", w.ID), slog.Int64("born", w.currentLifetime), slog.String("why", why),
		slog.Int("runs", len(w.attempts)), slog.Int64("silentMs", s.silentFor(w)))
	for _, a := range sortedAttempts(w.attempts) {
		if !lifetimeOver {
			s.abandon(a)
		}
		s.endAttempt(a, placement.EndLeaseExpired, a.checkpoint)
	}
}

func (s *State) silentFor(w *worker) int64 {
	if w.silentSince == 0 {
		return 0
	}
	return s.now - w.silentSince
}

// watchAttempt repeats orders that were not answered, and stops tasks that stand
// still.
func (s *State) checkAttempt(a *attempt) {
	switch a.phase {
	case phaseStopping:
		if a.stoppedAt == 0 && s.now-a.stopSentAt > orderRetryInterval && s.MayIssueOrders() {
			s.sendStop(a)
		}
	case phasePlanned:
		if !a.sent && s.now-a.placedAt > maxBlockedTime && a.blockers > 0 {
			s.withdrawUnit(a.unit, "the room did not become free in time")
		}
	case phaseRunning:
		s.checkProgress(a)
	}
}

const (
	// orderAgain is the time after which an order without an answer is repeated, in
	// milliseconds; it is above the time-out of an order.
	orderRetryInterval = 600
	// blockedMost is how long a placement may wait for room, in milliseconds; a stop
	// takes some hundreds.
	maxBlockedTime = 1500
)

// closed reports whether w may get nothing new.
func (s *State) unschedulable(w *worker) bool {
	return !w.listed || !w.reconciled || w.lifetimeOver || w.Draining || s.now < w.unschedulableUntil ||
		w.silentSince != 0 && s.now-w.silentSince > s.PollWait
}

// leaving reports whether w must not be started on.
func (s *State) leaving(w *worker) bool { return w.Draining || !w.listed }

// sorted returns attempts in a fixed order, so that equal events give equal effects.
func sortedAttempts(m map[jobspec.TaskID]*attempt) []*attempt {
	if len(m) == 0 {
		return nil
	}
	as := make([]*attempt, 0, len(m))
	for _, a := range m {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return compareTaskIDs(a.taskID(), b.taskID()) })
	return as
}
