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
	entry  bool
	goneAt int64
	// born is the lifetime that answers; it follows the entry until the first answer.
	born int64
	// verified is set once the worker has listed its runs under this term.
	verified bool
	// lost is set once the lifetime is over.
	lost bool
	// clock is the worker's clock as it was read at clockAt, and lease the highest end
	// of a lease that it may have been sent.
	clock, clockAt, lease int64
	// silentSince is when the first of the calls that were not answered was noticed.
	silentSince int64

	attempts map[jobspec.TaskID]*attempt
	used     jobspec.Resources
	// dropped has the runs that ended without an end from this worker, as those of a
	// gang do once another member is done, until a list that was asked for later.
	dropped map[jobspec.TaskID]ended

	// holding is set while a hold is on its way, and holdDue when the next one waits
	// for a record.
	holding, holdDue bool
	holdAgain        int64
	// seen is the highest end taken note of and acked the highest one that may be
	// acknowledged; acks has the ends in between.
	seen, acked int64
	acks        []acknowledgement

	// closedUntil is when the worker may get something new again.
	closedUntil int64
	// strikes counts failures of different jobs since the last success, and struck
	// names the job of the last one.
	strikes    int
	struck     string
	quarantine int64
}

// ended is a run that is over and when that was learned.
type ended struct {
	run int
	at  int64
}

// acknowledgement is an end that may be acknowledged once a batch is written.
type acknowledgement struct {
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
func (s *State) listed(l *placement.Listing) {
	w := s.workerFor(l.ID)
	if w.entry && w.Lifetime == l.Lifetime && w.Draining == l.Draining && w.Address == l.Address {
		w.Listing, w.goneAt = *l, 0
		return
	}
	if w.born != 0 && l.Lifetime != 0 && l.Lifetime < w.born {
		return
	}
	s.line("worker listed", slog.String("worker", l.ID), slog.Int64("born", l.Lifetime), slog.Bool("draining", l.Draining),
		slog.String("service", l.Service), slog.Any("labels", l.Labels))
	// Attempts of an earlier lifetime are over.
	if l.Lifetime != 0 {
		for _, a := range sorted(w.attempts) {
			if a.born != 0 && a.born < l.Lifetime {
				s.over(a, placement.EndLeaseExpired, a.checkpoint)
			}
		}
	}
	if l.Lifetime != 0 && w.born != l.Lifetime {
		s.newLife(w, l.Lifetime)
	}
	w.Listing, w.entry, w.goneAt, w.lost = *l, true, 0, false
	if n := len(l.Labels); n > 0 {
		w.rack = l.Labels[n-1]
	}
	if l.Draining {
		s.evacuate(w)
	}
	s.planDue = true
	s.hold(w)
}

// newLife forgets what was known of an earlier lifetime.
func (s *State) newLife(w *worker, born int64) {
	w.born, w.verified = born, false
	w.clock, w.clockAt, w.lease, w.silentSince = 0, 0, 0, 0
	w.seen, w.acked, w.acks = 0, 0, nil
	w.strikes, w.struck, w.quarantine, w.closedUntil = 0, "", 0, 0
	w.holding = false
}

// unlisted takes the loss of a worker's entry.
func (s *State) unlisted(id string) {
	w := s.workers[id]
	if w == nil || !w.entry {
		return
	}
	w.entry, w.goneAt = false, s.now
	s.line("worker not listed any more", slog.String("worker", id), slog.Bool("draining", w.Draining),
		slog.Int("runs", len(w.attempts)))
}

// held takes the answer to a hold.
func (s *State) held(e *Polled) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.holding = false
	if e.Reply.Verdict != placement.Executed {
		s.holdRefused(w, e.Reply.Reply)
		return
	}
	if w.silentSince != 0 && s.now-w.silentSince > s.SilenceTimeout {
		s.line("worker answers again", slog.String("worker", w.ID), slog.Int64("silentMs", s.now-w.silentSince))
	}
	w.heard(s.now, e.Reply.Clock)
	if b := e.Reply.Lifetime; b != 0 && b != w.born {
		if w.born != 0 && b < w.born {
			return
		}
		for _, a := range sorted(w.attempts) {
			if a.born != 0 && a.born < b {
				s.over(a, placement.EndLeaseExpired, a.checkpoint)
			}
		}
		s.newLife(w, b)
		w.heard(s.now, e.Reply.Clock)
	}
	first := !w.verified
	w.verified = true
	for i := range e.Reply.Ended {
		s.ended(w, &e.Reply.Ended[i])
	}
	s.compare(w, e)
	if first {
		s.planDue = true
		s.freed++
	}
	if len(w.acks) > 0 {
		// The next hold acknowledges the ends, once they are recorded. When the store is
		// away the lease is renewed all the same.
		w.holdDue, w.holdAgain = true, s.now+s.PollWait
		return
	}
	s.hold(w)
}

// holdRefused takes a hold that was not carried out.
func (s *State) holdRefused(w *worker, r placement.Reply) {
	switch r.Verdict {
	case placement.Fenced:
		s.resign("worker " + w.ID + " has seen a higher token")
	case placement.OtherLifetime:
		s.lifeOver(w, "another lifetime answered", true)
	default:
		s.unheard(w, r)
		w.holdAgain = s.now + holdPause
	}
}

// holdPause is the time between holds that a worker does not answer, in
// milliseconds.
const holdPause = 200

// ended takes note of the end of a run.
func (s *State) ended(w *worker, e *placement.End) {
	if e.Number <= w.seen {
		return
	}
	w.seen = e.Number
	a := w.attempts[e.Task]
	if a != nil && a.run == e.Run {
		s.line("run ended", slog.String("id", e.Task.Job), slog.Int("step", e.Task.Step), slog.Int("index", e.Task.Index),
			slog.Int("run", e.Run), slog.String("worker", w.ID), slog.String("how", string(e.Outcome)))
		if e.Outcome == placement.EndDone {
			w.strikes, w.struck, w.quarantine = 0, "", 0
		}
		checkpoint := e.Checkpoint
		if checkpoint == "" {
			checkpoint = a.checkpoint
		}
		s.over(a, e.Outcome, checkpoint)
	} else {
		s.endedLate(w, e)
	}
	w.acks = append(w.acks, acknowledgement{number: e.Number, batch: s.ackBatch()})
}

// ackBatch returns the batch that has to be written before what was just decided
// may be acknowledged.
func (s *State) ackBatch() uint64 {
	if len(s.dirty) > 0 {
		return s.next()
	}
	return s.batch
}

// acknowledge moves up to the ends that are recorded.
func (w *worker) acknowledge(written uint64) {
	for len(w.acks) > 0 && w.acks[0].batch <= written {
		w.acked = w.acks[0].number
		w.acks = w.acks[1:]
	}
}

// compare matches the worker's list of runs with the attempts.
func (s *State) compare(w *worker, e *Polled) {
	there := make(map[jobspec.TaskID]*placement.Run, len(e.Reply.Running))
	for i := range e.Reply.Running {
		r := &e.Reply.Running[i]
		there[r.Task] = r
	}
	for _, a := range sorted(w.attempts) {
		r := there[a.name()]
		if r != nil && r.Run == a.run {
			s.atWork(a, r)
			continue
		}
		s.absent(a, e.SentAt)
	}
	for n, r := range there {
		if d, ok := w.dropped[n]; ok && d.run == r.Run && e.SentAt <= d.at {
			continue
		}
		if a := w.attempts[n]; a == nil || a.run < r.Run {
			s.strayRun(w, r)
		}
	}
	maps.DeleteFunc(w.dropped, func(_ jobspec.TaskID, d ended) bool { return d.at < e.SentAt })
}

// atWork takes the news of a run that is on its worker.
func (s *State) atWork(a *attempt, r *placement.Run) {
	if r.Checkpoint != "" {
		a.checkpoint = r.Checkpoint
	}
	if a.startedAt == 0 {
		a.startedAt, a.movedAt, a.percent = s.now, s.now, r.Percent
	}
	a.seenAt = s.now
	if r.Percent != a.percent {
		a.percent, a.movedAt = r.Percent, s.now
	}
	if a.phase == phaseUnsure || a.phase == phaseSent {
		a.phase = phaseRunning
	}
}

// absent decides about an attempt that its worker does not list.
func (s *State) absent(a *attempt, asked int64) {
	switch a.phase {
	case phaseUnsure:
		// Placed by the last coordinator, and never begun: the order is safe to repeat.
		if a.broken {
			s.stop(a, "its gang cannot go on")
			return
		}
		s.sendStart(a)
	case phaseRunning:
		if a.startedAt < asked && a.sentAt < asked {
			s.line("run vanished", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
				slog.Int("run", a.run), slog.String("worker", a.w.ID))
			s.over(a, placement.EndLeaseExpired, a.checkpoint)
		}
	case phaseStopping:
		if a.stopped != 0 && a.stopped < asked {
			s.over(a, placement.EndStopped, a.checkpoint)
		}
	}
}

// strayRun stops a run that should not be there: an order of an earlier time that
// was carried out late, or one of a job that has ended.
func (s *State) strayRun(w *worker, r *placement.Run) {
	if w.attempts[r.Task] != nil {
		return
	}
	j := s.jobs[r.Task.Job]
	if j == nil || r.Task.Step >= len(j.spec.Steps) {
		s.out = append(s.out, Effect{Stop: &Stop{Target: w.target(), Order: placement.Stop{Task: r.Task, Run: r.Run, Token: s.Term}}})
		return
	}
	u := &unit{job: j, occurrence: r.Task.Occurrence, step: r.Task.Step, run: r.Run, sent: true, broken: true}
	a := s.newAttempt(u, r.Task.Index, w)
	a.stray, a.phase, a.born = true, phaseRunning, w.born
	s.stop(a, "the run is not wanted")
}

// hold sends the next hold of a worker.
func (s *State) hold(w *worker) {
	if w.holding || w.Address == "" || w.lost || !s.MayIssueOrders() {
		return
	}
	w.holding, w.holdDue, w.holdAgain = true, false, 0
	h := placement.Poll{Token: s.Term, AckedEnd: w.acked}
	if w.verified {
		h.Wait = s.IdlePollWait
		if len(w.attempts) > 0 {
			h.Wait = s.PollWait
			if s.urgentOn(w) {
				h.Wait = s.PollWait / 2
			}
		}
		if w.silentSince != 0 {
			h.Wait = 0
		}
	}
	// A worker that does not answer gets no new lease: it could take it unseen, and its
	// tasks could never be started elsewhere.
	if w.verified && w.silentSince == 0 {
		h.Lease = w.clockNow(s.now) + s.Lease
		w.leased(h.Lease)
	}
	s.out = append(s.out, Effect{Poll: &Poll{Target: w.target(), Order: h}})
}

// urgentOn reports whether urgent work runs on w; its progress is looked at more often.
func (s *State) urgentOn(w *worker) bool {
	for _, a := range w.attempts {
		if a.job.spec.Priority == 0 && !a.stray {
			return true
		}
	}
	return false
}

// unheard notes a call without an answer.
func (s *State) unheard(w *worker, r placement.Reply) {
	if w.silentSince != 0 {
		return
	}
	w.silentSince = s.now
	s.line("worker does not answer", slog.String("worker", w.ID), slog.String("dataCentre", w.DataCentre),
		slog.Bool("listed", w.entry), slog.Int("runs", len(w.attempts)), slog.String("verdict", string(r.Verdict)),
		slog.String("why", r.Reason))
}

// watch does what only depends on the time for one worker.
func (s *State) watch(w *worker) {
	if w.holdAgain != 0 && s.now >= w.holdAgain {
		s.hold(w)
	}
	if len(w.attempts) > 0 && s.lapsed(w) {
		s.lifeOver(w, "its lease has run out without an answer", !w.entry)
	}
	if !w.entry && !w.lost && w.Draining && w.silentSince != 0 && s.now-w.silentSince > s.SilenceTimeout {
		s.lifeOver(w, "it has left", true)
	}
	if !w.entry && len(w.attempts) == 0 && w.goneAt != 0 && s.now-w.goneAt > goneAfter {
		delete(s.workers, w.ID)
		return
	}
	for _, a := range sorted(w.attempts) {
		s.watchAttempt(a)
	}
}

// goneAfter is how long a worker without an entry and without runs is
// remembered, in milliseconds.
const goneAfter = 10_000

// lifeOver ends everything on a worker. The lifetime itself is over when gone is
// set; otherwise the worker is used again once it answers.
func (s *State) lifeOver(w *worker, why string, gone bool) {
	w.lost, w.verified = w.lost || gone, false
	s.line("worker lost", slog.String("worker", w.ID), slog.Int64("born", w.born), slog.String("why", why),
		slog.Int("runs", len(w.attempts)), slog.Int64("silentMs", s.silent(w)))
	for _, a := range sorted(w.attempts) {
		if !gone {
			s.giveUp(a)
		}
		s.over(a, placement.EndLeaseExpired, a.checkpoint)
	}
}

func (s *State) silent(w *worker) int64 {
	if w.silentSince == 0 {
		return 0
	}
	return s.now - w.silentSince
}

// watchAttempt repeats orders that were not answered, and stops tasks that stand
// still.
func (s *State) watchAttempt(a *attempt) {
	switch a.phase {
	case phaseStopping:
		if a.stopped == 0 && s.now-a.stopAt > orderAgain && s.MayIssueOrders() {
			s.sendStop(a)
		}
	case phasePlanned:
		if !a.sent && s.now-a.placedAt > blockedMost && a.blockers > 0 {
			s.void(a.unit, "the room did not become free in time")
		}
	case phaseRunning:
		s.watchProgress(a)
	}
}

const (
	// orderAgain is the time after which an order without an answer is repeated, in
	// milliseconds; it is above the time-out of an order.
	orderAgain = 600
	// blockedMost is how long a placement may wait for room, in milliseconds; a stop
	// takes some hundreds.
	blockedMost = 1500
)

// closed reports whether w may get nothing new.
func (s *State) closed(w *worker) bool {
	return !w.entry || !w.verified || w.lost || w.Draining || s.now < w.closedUntil ||
		w.silentSince != 0 && s.now-w.silentSince > s.PollWait
}

// leaving reports whether w must not be started on.
func (s *State) leaving(w *worker) bool { return w.Draining || !w.entry }

// sorted returns attempts in a fixed order, so that equal events give equal effects.
func sorted(m map[jobspec.TaskID]*attempt) []*attempt {
	if len(m) == 0 {
		return nil
	}
	as := make([]*attempt, 0, len(m))
	for _, a := range m {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return compareNames(a.name(), b.name()) })
	return as
}
