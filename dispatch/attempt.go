package dispatch

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// callAgain is the time after which an unanswered call about a member is
	// repeated, in milliseconds.
	callRetryInterval = 500
	// callPatience bounds the wait for a worker's first answer to a call that
	// others wait for, in milliseconds. It leaves room for the grace of a stop.
	callTimeout = 700
	// startPatience bounds the time from a place to all members running, in
	// milliseconds.
	startTimeout = 5000
	// leaseMargin is added to a lease, in milliseconds, before a silent
	// worker's task counts as lapsed. It covers the drift between the clocks
	// and the worker's own delay.
	leaseMargin = 1000
	// maxFailures is the number of workers on which a job may fail before it
	// ends as failed.
	maxFailedWorkers = 3
)

// phase is the phase of a drive.
type phase string

// The phases of a drive.
const (
	// phaseRecover waits for the workers' reports after a take-over.
	phaseRecover phase = "recover"
	// phaseReserve waits for all members to be reserved.
	phaseReserve phase = "reserve"
	// phaseStart waits for all members to run.
	phaseStart phase = "start"
	// phaseRun waits for the members' ends.
	phaseRun phase = "run"
	// phaseStop waits for an arbiter's word that no member runs.
	phaseStop phase = "stop"
	// phaseDone waits for the log to take the end of the attempt.
	phaseDone phase = "done"
)

// drive follows one attempt of a placed job.
type activeAttempt struct {
	job    string
	number int
	phase  phase
	// since is when the phase began.
	phaseSince int64
	members    []memberState
	// cause is why the attempt is being stopped.
	cause string
	// failedOn names the worker on which a member failed by itself.
	failedOn string
	// placedAt is when the attempt was placed, or taken over.
	placedAt int64
	// runningAt is when all members ran.
	runningAt int64
}

// driven is one member of a drive.
type memberState struct {
	task        string
	worker      string
	incarnation string
	// report is the last word of the worker; nil for none.
	report *upstream.TaskReport
	// startSent is set once a start may have been sent, by any host.
	startSent bool
	// renewed is when the last renewal that arrived was sent.
	renewedAt int64
	// calledAt is when the last call was sent; 0 for none.
	calledAt int64
	// lapsed is set when the lease has lapsed or the worker has restarted, or
	// when nobody has sent a start that it could obey, so that the task cannot run
	// although nobody knows its end.
	lapsed bool
}

// newDrive returns the drive of the placed job j.
func newAttempt(j *ledger.Job, p phase, now int64) *activeAttempt {
	a := &activeAttempt{job: j.ID, number: j.Attempt, phase: p, phaseSince: now, placedAt: now}
	for i, m := range j.Members {
		a.members = append(a.members, memberState{
			task: TaskName(j.ID, j.Attempt, i), worker: m.Worker, incarnation: m.Incarnation,
			renewedAt: now, startSent: p == phaseRecover,
		})
	}
	return a
}

// onPlaced starts to drive a job that this host has placed. A caretaker takes
// over what the silent placer has still placed.
func (s *State) onPlaced(r *record.Record, v ledger.Verdict) {
	if r.Incarnation != s.Incarnation {
		if s.leading && v.Err == nil && v.Job.DataCentre == s.DataCentre {
			s.addAttempt(newAttempt(v.Job, phaseRecover, s.now))
		}
		return
	}
	delete(s.reservations, r.Place.Job)
	s.dirty = true
	if v.Err != nil {
		s.observe("", "", "refusedPlaces", 1)
		return
	}
	if !s.leading || v.Job.DataCentre != s.DataCentre {
		return
	}
	a := newAttempt(v.Job, phaseReserve, s.now)
	s.addAttempt(a)
	s.stepAttempt(a)
	s.observe(v.Job.Spec.Organisation, v.Job.Spec.Class, "queueTime", max(0, s.Ledger.Time-v.Job.AcceptedTime))
}

// onCancelled stops the attempt of a job that was cancelled while placed.
func (s *State) onCancelled(j *ledger.Job) {
	if a := s.attempts[j.ID]; a != nil && a.phase != phaseDone {
		s.stopAttempt(a, "cancelled by "+j.Cancelled)
	}
}

// driveAll moves every drive on.
func (s *State) stepAttempts() {
	for _, id := range sortedKeys(s.attempts) {
		s.stepAttempt(s.attempts[id])
	}
}

// evaluateAll takes a worker's new report into the drives on it.
func (s *State) applyReport(worker string) {
	for _, a := range s.attemptsOn(worker) {
		for i := range a.members {
			if a.members[i].worker == worker {
				s.updateMember(a, &a.members[i])
			}
		}
		if s.attempts[a.job] == a {
			s.stepAttempt(a)
		}
	}
}

// setDrive enters a drive.
func (s *State) addAttempt(a *activeAttempt) {
	s.attempts[a.job] = a
	s.attemptsByWorker = nil
}

// drivesOn returns the drives with a member on a worker, in order of their
// jobs.
func (s *State) attemptsOn(worker string) []*activeAttempt {
	if s.attemptsByWorker != nil {
		return s.attemptsByWorker[worker]
	}
	s.attemptsByWorker = map[string][]*activeAttempt{}
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		for i := range a.members {
			on := s.attemptsByWorker[a.members[i].worker]
			if len(on) == 0 || on[len(on)-1] != a {
				s.attemptsByWorker[a.members[i].worker] = append(on, a)
			}
		}
	}
	return s.attemptsByWorker[worker]
}

// evaluate takes what the worker's view says of a member.
func (s *State) updateMember(a *activeAttempt, m *memberState) {
	v := s.view(m.worker)
	if m.ended() || v.heardAt < 0 {
		return
	}
	if v.report.Incarnation != m.incarnation {
		m.lapsed = true
		return
	}
	if t, ok := v.tasks[m.task]; ok {
		m.report = &t
		return
	}
	if a.phase == phaseRecover && v.tasksComplete && m.report == nil {
		m.report = &upstream.TaskReport{Task: m.task}
	}
}

// step moves one drive on.
func (s *State) stepAttempt(a *activeAttempt) {
	s.markLapsed(a)
	switch a.phase {
	case phaseRecover:
		s.stepRecover(a)
	case phaseReserve:
		s.stepReserve(a)
	case phaseStart:
		s.stepStart(a)
	case phaseRun:
		s.stepRun(a)
	case phaseStop:
		s.stepStop(a)
	}
}

// stepRecover waits for a word about every member. Running and completed
// members go on; anything else stops the attempt.
func (s *State) stepRecover(a *activeAttempt) {
	running, reserved := 0, 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.lapsed:
			s.stopAttempt(a, "worker "+m.worker+" was lost during a take-over")
			return
		case m.report == nil:
			return
		case m.report.State == upstream.Running, m.report.End == upstream.Completed:
			running++
		case m.report.State == upstream.Reserved:
			reserved++
		default:
			s.stopAttempt(a, "a take-over met a member that does not run")
			return
		}
	}
	if running == len(a.members) {
		s.setPhase(a, phaseRun)
		return
	}
	if reserved > 0 && !s.interim {
		// A caretaker must not start: the placer may have ended this attempt as
		// never started in a record that is on its way.
		s.setPhase(a, phaseStart)
	}
}

// stepReserve reserves all members before any is started.
func (s *State) stepReserve(a *activeAttempt) {
	j := s.Ledger.Jobs[a.job]
	reserved := 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.ended():
			s.stopAttempt(a, "worker "+m.worker+" was lost before the start")
			return
		case m.report != nil && m.report.State != "":
			reserved++
		default:
			s.sendMemberCall(a, i, OpReserve, s.reserveOrder(j, a, i))
		}
	}
	if reserved == len(a.members) {
		s.setPhase(a, phaseStart)
		s.stepStart(a)
		return
	}
	if m := s.unresponsiveMember(a); m != nil {
		s.stopAttempt(a, "worker "+m.worker+" does not answer")
		return
	}
	if s.now-a.phaseSince > startTimeout {
		s.stopAttempt(a, "a worker did not answer in time")
	}
}

// owing returns a member whose worker does not answer its reservation, or nil.
func (s *State) unresponsiveMember(a *activeAttempt) *memberState {
	for i := range a.members {
		if m := &a.members[i]; m.report == nil && s.unresponsive(m.worker, a.phaseSince) {
			return m
		}
	}
	return nil
}

// order returns the order for a member.
func (s *State) reserveOrder(j *ledger.Job, a *activeAttempt, i int) upstream.Order {
	m := j.Members[i]
	return upstream.Order{
		Task: a.members[i].task, Job: j.ID, Organisation: j.Spec.Organisation, Class: j.Spec.Class,
		Mask: m.Mask, Accelerated: j.Spec.Accelerators > 0, Incarnation: m.Incarnation, Term: s.term(),
		Lease: s.leaseFor(len(a.members)), Evict: j.Guaranteed, Resume: j.Checkpointed, Payload: j.Spec.Payload,
	}
}

// stepStart starts all members.
func (s *State) stepStart(a *activeAttempt) {
	started := 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.lapsed || m.report.State == upstream.Ended && m.report.End != upstream.Completed:
			s.stopAfterMemberLoss(a, m)
			return
		case m.report.State == upstream.Running || m.report.End == upstream.Completed:
			started++
		default:
			m.startSent = true
			s.sendMemberCall(a, i, OpStart, upstream.Order{Task: m.task, Term: s.term()})
		}
	}
	if started == len(a.members) {
		s.setPhase(a, phaseRun)
		a.runningAt = s.now
		s.stepRun(a)
		return
	}
	if s.now-a.phaseSince > startTimeout {
		s.stopAttempt(a, "a worker did not answer in time")
	}
}

// stepRun ends the job when all members have completed, and stops the rest
// when one is lost.
func (s *State) stepRun(a *activeAttempt) {
	completed := 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.lapsed:
			s.stopAfterMemberLoss(a, m)
			return
		case m.report != nil && m.report.State == upstream.Ended:
			if m.report.End != upstream.Completed {
				s.stopAfterMemberLoss(a, m)
				return
			}
			completed++
		}
	}
	if completed == len(a.members) {
		s.finishAttempt(a)
	}
}

// memberLost stops the attempt because m no longer runs.
func (s *State) stopAfterMemberLoss(a *activeAttempt, m *memberState) {
	switch {
	case m.lapsed:
		s.stopAttempt(a, "worker "+m.worker+" was lost")
	case m.report.End == upstream.Failed:
		a.failedOn = m.worker
		s.stopAttempt(a, m.report.Message)
	default:
		s.stopAttempt(a, fmt.Sprintf("a member on worker %s was %s", m.worker, m.report.End))
	}
}

// stopDrive stops all members of an attempt.
func (s *State) stopAttempt(a *activeAttempt, cause string) {
	if a.phase == phaseStop || a.phase == phaseDone {
		return
	}
	a.cause = cause
	s.setPhase(a, phaseStop)
	s.stepStop(a)
}

// stepStop asks for the end of every member until each has ended.
func (s *State) stepStop(a *activeAttempt) {
	ended := 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.ended():
			ended++
		case !m.startSent && m.report == nil && m.calledAt == 0:
			// Nothing was ever sent for this member.
			m.report = &upstream.TaskReport{Task: m.task, State: upstream.Ended, End: upstream.NeverStarted}
			ended++
		case !m.startSent && s.unresponsive(m.worker, a.phaseSince):
			// Only the holder of the term starts reservations, and this one has
			// not: it lapses unused. If the term has changed, the log refuses
			// what follows from this.
			m.lapsed = true
			ended++
		default:
			s.sendMemberCall(a, i, OpStop, upstream.Order{Task: m.task, Term: s.term(), Incarnation: m.incarnation})
		}
	}
	if ended == len(a.members) {
		s.finishAttempt(a)
	}
}

// enter changes the phase.
func (s *State) setPhase(a *activeAttempt, p phase) {
	a.phase, a.phaseSince = p, s.now
	for i := range a.members {
		if m := &a.members[i]; m.calledAt != 0 {
			m.calledAt = max(1, min(m.calledAt, s.now-callRetryInterval))
		}
	}
}

// ended reports whether an arbiter has said that the member does not run.
func (m *memberState) ended() bool {
	return m.lapsed || m.report != nil && m.report.State == upstream.Ended
}
