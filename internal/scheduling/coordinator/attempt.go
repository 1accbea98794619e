package coordinator

import (
	"log/slog"
	"math"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// phase is how far an attempt has come.
type phase uint8

const (
	// phasePlanned attempts wait for their record, or for room.
	phasePlanned phase = iota
	// phaseSent attempts have a start order on its way.
	phaseSent
	// phaseUnsure attempts may or may not be at work: the last coordinator placed
	// them, or a start was not answered.
	phaseUnsure
	// phaseRunning attempts are at work.
	phaseRunning
	// phaseStopping attempts have been told to end.
	phaseStopping
)

// unit is what starts and ends together: a gang, or one task.
type unit struct {
	job              *job
	occurrence, step int
	run              int
	attempts         []*attempt
	// batch is the batch that records the placement, and recorded is set once it is
	// in the store. sent is set once start orders were given.
	batch          uint64
	recorded, sent bool
	// blockers is the number of attempts that must end first, since made at placedAt.
	blockers int
	placedAt int64
	// broken is set once a member has ended in any way but done, and failed once a
	// failure of the run has been counted.
	broken, failed bool
}

// attempt is one run of one task on a worker.
type attempt struct {
	*unit
	index int
	w     *worker
	// born is the worker's lifetime, 0 while it is not known.
	born  int64
	phase phase
	// stray is set for a run that the book does not want there.
	stray bool
	need  jobspec.Resources
	// tries counts the start orders, and maybe is set once one was not answered.
	tries int
	maybe bool
	// sentAt, stopAt and stopped are when the last start or stop was sent and when the
	// stop was obeyed; 0 for never.
	sentAt, stopAt, stopped int64
	// startedAt is when the run was first known to be at work.
	startedAt int64
	// percent was seen at movedAt for the first time, and at seenAt for the last time.
	percent         int
	movedAt, seenAt int64
	checkpoint      string
	// why is the reason of the stop.
	why string
	// frees has the units that wait for this attempt's end.
	frees []*unit
}

// name returns the task's name.
func (a *attempt) name() jobspec.TaskID {
	return jobspec.TaskID{Job: a.job.id, Occurrence: a.occurrence, Step: a.step, Index: a.index}
}

// task returns the recorded state of the attempt's task, or nil when it is gone.
func (a *attempt) task() *jobspec.Task { return a.job.task(a.occurrence, a.step, a.index) }

// spec returns the attempt's step.
func (u *unit) spec() *jobspec.Step { return &u.job.spec.Steps[u.step] }

// task returns the recorded state of a task, or nil.
func (j *job) task(k, step, index int) *jobspec.Task {
	if k >= len(j.prog.Occurrences) || step >= len(j.prog.Occurrences[k]) || index >= len(j.prog.Occurrences[k][step]) {
		return nil
	}
	return &j.prog.Occurrences[k][step][index]
}

// newAttempt adds an attempt of u to a worker.
func (s *State) newAttempt(u *unit, index int, w *worker) *attempt {
	a := &attempt{unit: u, index: index, w: w, need: u.spec().Reserved(), movedAt: s.now}
	u.attempts = append(u.attempts, a)
	u.job.live++
	w.attempts[a.name()] = a
	w.used = w.used.Add(a.need)
	return a
}

// begin gives the start orders of a unit that is recorded and has room.
func (s *State) begin(u *unit) {
	if !u.recorded || u.blockers > 0 || u.sent || len(u.attempts) == 0 {
		return
	}
	if u.broken || u.job.prog.State.Ended() {
		s.void(u, "ended before it began")
		return
	}
	for _, a := range u.attempts {
		if a.w.lost || a.born != a.w.born || s.leaving(a.w) {
			s.void(u, "worker "+a.w.ID+" cannot be used any more")
			return
		}
	}
	u.sent = true
	for _, a := range u.attempts {
		s.sendStart(a)
	}
}

// sendStart gives one start order.
func (s *State) sendStart(a *attempt) {
	w := a.w
	a.phase, a.sentAt = phaseSent, s.now
	a.tries++
	lease := w.clockNow(s.now) + s.Lease
	w.leased(lease)
	t := a.task()
	checkpoint := ""
	if t != nil {
		checkpoint = t.Checkpoint
	}
	s.out = append(s.out, Effect{Start: &Start{Target: w.target(), Order: placement.Start{
		Task: a.name(), Run: a.run, Payload: a.job.spec.Payload, Lease: lease, Token: s.Term,
		Checkpoint: checkpoint, Ticket: s.ticket(a),
	}}})
}

// void takes back a unit of which no start order was given.
func (s *State) void(u *unit, why string) {
	s.line("placement taken back", slog.String("id", u.job.id), slog.Int("step", u.step), slog.Int("run", u.run),
		slog.String("why", why))
	for _, a := range append([]*attempt(nil), u.attempts...) {
		s.drop(a)
		if t := a.task(); t != nil && t.Phase == jobspec.Placed {
			t.Requeue()
		}
	}
	if !u.job.prog.State.Ended() {
		s.changed(u.job)
	}
	s.planDue = true
}

// drop removes an attempt from its worker, which frees its room.
func (s *State) drop(a *attempt) {
	w := a.w
	if w.attempts[a.name()] != a {
		return
	}
	delete(w.attempts, a.name())
	if w.dropped == nil {
		w.dropped = make(map[jobspec.TaskID]ended)
	}
	w.dropped[a.name()] = ended{run: a.run, at: s.now}
	w.used = w.used.Sub(a.need)
	a.job.live--
	u := a.unit
	if i := slices.Index(u.attempts, a); i >= 0 {
		u.attempts = slices.Delete(slices.Clone(u.attempts), i, i+1)
	}
	for _, waiting := range a.frees {
		waiting.blockers--
		s.begin(waiting)
	}
	a.frees = nil
	s.planDue = true
	s.freed++
}

// stop orders an attempt to end. Attempts that were never started are taken back.
func (s *State) stop(a *attempt, why string) {
	if a.phase == phaseStopping {
		return
	}
	if a.phase == phasePlanned && !a.sent {
		a.broken = true
		s.void(a.unit, why)
		return
	}
	lost := s.lost(a)
	a.phase, a.why = phaseStopping, why
	s.line("stopping", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
		slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.Float64("lostCoreSeconds", math.Round(lost)),
		slog.String("why", why))
	s.sendStop(a)
}

// sendStop gives one stop order. A worker that has no entry yet gets it later.
func (s *State) sendStop(a *attempt) {
	a.stopAt = s.now
	if a.w.Address == "" {
		return
	}
	s.out = append(s.out, Effect{Stop: &Stop{Target: a.w.target(), Order: placement.Stop{Task: a.name(), Run: a.run, Token: s.Term}}})
}

// stopUnit orders all attempts of a unit to end.
func (s *State) stopUnit(u *unit, why string) {
	for _, a := range append([]*attempt(nil), u.attempts...) {
		s.stop(a, why)
	}
}

// answered takes the answer to an order.
func (s *State) answered(e *OrderAnswered) {
	w := s.workers[e.Worker]
	if e.Reply.Verdict == placement.Fenced {
		s.resign("worker " + e.Worker + " has seen a higher token")
		return
	}
	if w == nil {
		return
	}
	if e.Reply.Clock > 0 {
		w.heard(s.now, e.Reply.Clock)
	} else {
		s.unheard(w, e.Reply)
	}
	a := w.attempts[e.Task]
	if a == nil || a.run != e.Run {
		return
	}
	if e.IsStop {
		s.stopAnswered(a, e.Reply.Verdict)
	} else {
		s.startAnswered(a, e.Reply.Verdict)
	}
}

// startAnswered takes the answer to a start order.
func (s *State) startAnswered(a *attempt, v placement.Verdict) {
	if a.phase != phaseSent {
		// The order has been overtaken by a stop or by the worker's list.
		if v == placement.Unanswered {
			a.maybe = true
		}
		return
	}
	switch v {
	case placement.Executed:
		a.phase = phaseRunning
		if a.startedAt == 0 {
			a.startedAt, a.movedAt = s.now, s.now
		}
		s.line("started", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
			slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.Int("try", a.tries))
	case placement.Unanswered, placement.NotSent:
		a.maybe = a.maybe || v == placement.Unanswered
		if a.tries < s.MaxStartOrders && !a.broken {
			s.sendStart(a)
			return
		}
		if !a.maybe {
			s.refused(a, v)
			return
		}
		a.w.strike(s, a.job, a.step, "starts are not answered")
		s.breakUnit(a.unit, "a start was not answered")
	case placement.OtherLifetime:
		s.refused(a, v)
		s.lifeOver(a.w, "another lifetime answered", true)
	default:
		if a.maybe {
			// An earlier try may have been carried out, or may be yet.
			a.phase = phaseUnsure
			s.breakUnit(a.unit, "a start was refused after one that was not answered")
			return
		}
		s.refused(a, v)
	}
}

// refused ends an attempt whose start was certainly not carried out.
func (s *State) refused(a *attempt, v placement.Verdict) {
	s.line("start refused", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
		slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.String("verdict", string(v)))
	switch v {
	case placement.NoCapacity:
		a.w.closedUntil = max(a.w.closedUntil, s.now+roomPause)
	case placement.Unhealthy:
		a.w.closedUntil = max(a.w.closedUntil, s.now+s.Quarantine)
	case placement.NotSent:
		a.w.closedUntil = max(a.w.closedUntil, s.now+roomPause)
	case placement.NoTicket:
		s.dropTickets(a)
	case placement.Invalid:
		s.avoid(a.job, a.step, a.w)
	}
	s.over(a, placement.EndStopped, "")
}

// roomPause is how long a worker that had no room gets nothing new; its list
// tells within this time what runs there, in milliseconds.
const roomPause = 500

// breakUnit stops all attempts of a unit, since it cannot go on.
func (s *State) breakUnit(u *unit, why string) {
	u.broken = true
	s.stopUnit(u, why)
}

// stopAnswered takes the answer to a stop order.
func (s *State) stopAnswered(a *attempt, v placement.Verdict) {
	switch v {
	case placement.Executed:
		a.stopped = s.now
	case placement.OtherLifetime:
		s.lifeOver(a.w, "another lifetime answered", true)
	}
}

// over ends an attempt. It records what became of the task and decides what
// follows.
func (s *State) over(a *attempt, how placement.Outcome, checkpoint string) {
	j, t := a.job, a.task()
	u := a.unit
	s.drop(a)
	if a.stray || t == nil {
		s.settle(j)
		return
	}
	if !j.prog.State.Ended() {
		s.changed(j)
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	if t.Phase == jobspec.Done {
		// An earlier run was heard to be done in the meantime.
		s.settle(j)
		return
	}
	if how == placement.EndDone && !j.prog.State.Ended() {
		s.done(u, t)
		s.settle(j)
		return
	}
	if t.Phase == jobspec.Placed {
		t.Requeue()
	}
	gang := u.spec().Gang
	if how == placement.EndFailed && !j.prog.State.Ended() {
		s.failed(a)
	}
	if gang && !u.broken {
		u.broken = true
		s.stopUnit(u, "a member of the gang has ended: "+string(how))
	}
	if gang && len(u.attempts) == 0 {
		s.shareCheckpoint(u)
	}
	s.settle(j)
}

// done notes a successful end, which for a gang is that of all members.
func (s *State) done(u *unit, t *jobspec.Task) {
	t.Finish()
	if !u.spec().Gang {
		return
	}
	for _, b := range append([]*attempt(nil), u.attempts...) {
		s.drop(b)
	}
	tasks := u.job.prog.Occurrences[u.occurrence][u.step]
	for i := range tasks {
		tasks[i].Finish()
	}
}

// failed counts a failure, and ends the job after the last attempt.
func (s *State) failed(a *attempt) {
	if a.spec().Gang && a.failed {
		return
	}
	a.failed = true
	s.countFailure(a.job, a.name(), a.run, a.w)
}

// countFailure counts a failed run, which for a gang counts for the first task, and
// ends the job after the last attempt.
func (s *State) countFailure(j *job, n jobspec.TaskID, run int, w *worker) {
	step := &j.spec.Steps[n.Step]
	counted := j.task(n.Occurrence, n.Step, n.Index)
	if step.Gang {
		counted = j.task(n.Occurrence, n.Step, 0)
	}
	counted.Failures++
	s.avoid(j, n.Step, w)
	w.strike(s, j, n.Step, "a task failed")
	s.line("task failed", slog.String("id", j.id), slog.Int("step", n.Step), slog.Int("index", n.Index),
		slog.Int("run", run), slog.String("worker", w.ID), slog.Int("failures", counted.Failures),
		slog.Int("attempts", j.spec.MaxAttempts))
	if counted.Failures >= j.spec.MaxAttempts && !step.LongRunning {
		s.endJob(j, jobspec.Failed, "a task has failed as often as it may")
	}
}

// avoid keeps the next attempts of a step away from a worker.
func (s *State) avoid(j *job, step int, w *worker) {
	if j.avoid == nil {
		j.avoid = make(map[int]map[string]int64)
	}
	if j.avoid[step] == nil {
		j.avoid[step] = make(map[string]int64)
	}
	j.avoid[step][w.ID] = s.now
}

// shareCheckpoint gives all members of a gang the same checkpoint: any member's is
// valid for the gang, and all must resume from the same.
func (s *State) shareCheckpoint(u *unit) {
	tasks := u.job.prog.Occurrences[u.occurrence][u.step]
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

// settle ends a job whose tasks are all done.
func (s *State) settle(j *job) {
	if j.prog.State.Ended() {
		return
	}
	s.planDue = true
	rounds := j.prog.Occurrences
	for k := range rounds {
		if rounds[k] != nil && jobspec.OccurrenceDone(rounds[k]) {
			rounds[k] = nil
			s.changed(j)
		}
	}
	if len(rounds) < j.spec.OccurrenceCount() {
		return
	}
	for k := range rounds {
		if rounds[k] != nil {
			return
		}
	}
	s.endJob(j, jobspec.Completed, "all tasks are done")
}

// endJob ends a job and stops what still runs.
func (s *State) endJob(j *job, state jobspec.State, why string) {
	j.prog.State, j.prog.EndedAt = state, s.wall
	s.changed(j)
	s.line("job ended", slog.String("id", j.id), slog.String("state", string(state)), slog.String("why", why),
		slog.Int64("ageMs", s.now-j.since), slog.Int64("spareMs", j.deadline-s.now))
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.job == j {
				s.stop(a, "the job has ended: "+string(state))
			}
		}
	}
}

// cancel ends a job for its caller.
func (s *State) cancel(j *job) {
	j.cancelled = true
	if !j.prog.State.Ended() {
		s.endJob(j, jobspec.Cancelled, "the caller cancelled it")
	}
}
