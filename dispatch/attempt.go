package dispatch

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// callRetryInterval is the time after which an unanswered call about a
	// member is repeated, in milliseconds.
	callRetryInterval = 500
	// callTimeout is the time that a worker has to answer a first call on whose
	// result other work depends, in milliseconds. It leaves time for the grace
	// period of a stop.
	callTimeout = 700
	// startTimeout limits the reservation of all members, and then again their
	// start, in milliseconds.
	startTimeout = 5000
	// leaseMargin is added to a lease before the task of a silent worker counts
	// as lapsed, in milliseconds. It covers clock drift and the worker's own
	// delay.
	leaseMargin = 1000
	// maxFailedWorkers is the number of workers on which a job may fail before
	// it ends as failed.
	maxFailedWorkers = 3
)

// phase is the phase of an attempt.
type phase string

// The phases of an attempt.
const (
	// phaseRecover waits for the workers' reports after a takeover.
	phaseRecover phase = "recover"
	// phaseReserve waits until all members are reserved.
	phaseReserve phase = "reserve"
	// phaseStart waits until all members run.
	phaseStart phase = "start"
	// phaseRun waits until all members have ended.
	phaseRun phase = "run"
	// phaseStop waits until it is certain for every member that it does not
	// run.
	phaseStop phase = "stop"
	// phaseDone waits for the verdict on the record that ends the attempt.
	phaseDone phase = "done"
)

// activeAttempt is an attempt of a placed job that this host controls.
type activeAttempt struct {
	job    string
	number int
	phase  phase
	// phaseSince is when the phase began.
	phaseSince int64
	members    []memberState
	// cause is the reason why the attempt is being stopped.
	cause string
	// failedOn is the worker on which a member's task failed, as opposed to
	// being stopped or lost; empty for none.
	failedOn string
	// placedAt is when the attempt was placed or taken over.
	placedAt int64
	// runningAt is when all members were running.
	runningAt int64
}

// memberState is the state of one member of an attempt.
type memberState struct {
	task        string
	worker      string
	incarnation string
	// report is the last report of the worker; nil before the first.
	report *upstream.TaskReport
	// startSent is set once a start may have been sent, by this or another
	// host.
	startSent bool
	// renewedAt is the latest time at which the worker may have received a renewal of the
	// lease: when a heartbeat, a reservation or a start was answered or failed.
	renewedAt int64
	// ordersInFlight counts the unanswered reservations and starts.
	ordersInFlight int
	// calledAt is when the last call was sent; 0 for none.
	calledAt int64
	// lapsed is set when the lease has expired, when the worker has restarted,
	// or when the task is at most reserved and no host will start it. The task
	// then cannot run, although the worker has not reported its end.
	lapsed bool
}

// newAttempt returns the current attempt of the placed job j in phase p.
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

// onPlaced starts the attempt of a job that this host has placed. A leading host
// takes over a job that another host has placed: records of a silent placer may
// arrive after this host has taken over from it.
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
		s.stopAttempt(a, "cancelled by "+j.CancelledBy)
	}
}

// stepAttempts advances all attempts.
func (s *State) stepAttempts() {
	for _, id := range sortedKeys(s.attempts) {
		s.stepAttempt(s.attempts[id])
	}
}

// applyReport updates the attempts with members on a worker from the worker's
// new report.
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

// addAttempt adds an attempt to the active ones.
func (s *State) addAttempt(a *activeAttempt) {
	s.attempts[a.job] = a
	s.attemptsByWorker = nil
}

// attemptsOn returns the attempts with a member on a worker, in order of their
// job IDs.
func (s *State) attemptsOn(worker string) []*activeAttempt {
	if s.attemptsByWorker != nil {
		return s.attemptsByWorker[worker]
	}
	s.attemptsByWorker = map[string][]*activeAttempt{}
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		for i := range a.members {
			list := s.attemptsByWorker[a.members[i].worker]
			if len(list) == 0 || list[len(list)-1] != a {
				s.attemptsByWorker[a.members[i].worker] = append(list, a)
			}
		}
	}
	return s.attemptsByWorker[worker]
}

// updateMember updates a member from this host's view of its worker.
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

// stepAttempt advances one attempt.
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

// stepRecover waits for a report about every member after a takeover. It keeps
// running and completed members and starts reserved ones; a member in any other
// state stops the attempt.
func (s *State) stepRecover(a *activeAttempt) {
	running, reserved := 0, 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.lapsed:
			s.stopAttempt(a, "worker "+m.worker+" was lost during a takeover of the placer role")
			return
		case m.report == nil:
			return
		case m.report.State == upstream.Running, m.report.Outcome == upstream.Completed:
			running++
		case m.report.State == upstream.Reserved:
			reserved++
		default:
			s.stopAttempt(a, "a member was found not running after a takeover of the placer role")
			return
		}
	}
	if running == len(a.members) {
		s.setPhase(a, phaseRun)
		return
	}
	if reserved > 0 && !s.interim {
		// An interim placer must not start members: the previous placer may have
		// ended this attempt as never started, in a record that has not arrived
		// yet.
		s.setPhase(a, phaseStart)
	}
}

// stepReserve reserves all members before any of them is started.
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
		s.stopAttempt(a, "worker "+m.worker+" did not answer the reservation call")
		return
	}
	if s.now-a.phaseSince > startTimeout {
		s.stopAttempt(a, "not all members were reserved in time")
	}
}

// unresponsiveMember returns a member whose worker does not answer the
// reservation call, or nil.
func (s *State) unresponsiveMember(a *activeAttempt) *memberState {
	for i := range a.members {
		if m := &a.members[i]; m.report == nil && s.unresponsive(m.worker, a.phaseSince) {
			return m
		}
	}
	return nil
}

// reserveOrder returns the order that reserves member i.
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
		case m.lapsed || m.report.State == upstream.Ended && m.report.Outcome != upstream.Completed:
			s.stopAfterMemberLoss(a, m)
			return
		case m.report.State == upstream.Running || m.report.Outcome == upstream.Completed:
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
		s.stopAttempt(a, "not all members started in time")
	}
}

// stepRun finishes the attempt when all members have completed, and stops the
// rest when one is lost.
func (s *State) stepRun(a *activeAttempt) {
	completed := 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.lapsed:
			s.stopAfterMemberLoss(a, m)
			return
		case m.report != nil && m.report.State == upstream.Ended:
			if m.report.Outcome != upstream.Completed {
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

// stopAfterMemberLoss stops the attempt because member m no longer runs.
func (s *State) stopAfterMemberLoss(a *activeAttempt, m *memberState) {
	switch {
	case m.lapsed:
		s.stopAttempt(a, "worker "+m.worker+" was lost")
	case m.report.Outcome == upstream.Failed:
		a.failedOn = m.worker
		s.stopAttempt(a, m.report.Message)
	default:
		s.stopAttempt(a, fmt.Sprintf("a member on worker %s ended as %s", m.worker, m.report.Outcome))
	}
}

// stopAttempt stops all members of an attempt because of cause.
func (s *State) stopAttempt(a *activeAttempt, cause string) {
	if a.phase == phaseStop || a.phase == phaseDone {
		return
	}
	a.cause = cause
	s.setPhase(a, phaseStop)
	s.stepStop(a)
}

// stepStop sends stop calls to the members until each has ended.
func (s *State) stepStop(a *activeAttempt) {
	ended := 0
	for i := range a.members {
		m := &a.members[i]
		switch {
		case m.ended():
			ended++
		case !m.startSent && m.report == nil && m.calledAt == 0:
			// This host has sent no call for the member, so it never starts.
			m.report = &upstream.TaskReport{Task: m.task, State: upstream.Ended, Outcome: upstream.NeverStarted}
			ended++
		case !m.startSent && s.unresponsive(m.worker, a.phaseSince):
			// Only the holder of the term starts reserved tasks, and this host
			// has not started this one, so the reservation lapses unused. If the
			// term has changed, the log rejects the records that depend on this
			// conclusion.
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

// setPhase changes the phase. Members whose last call belongs to the earlier
// phase may be called again at once.
func (s *State) setPhase(a *activeAttempt, p phase) {
	a.phase, a.phaseSince = p, s.now
	for i := range a.members {
		if m := &a.members[i]; m.calledAt != 0 {
			m.calledAt = max(1, min(m.calledAt, s.now-callRetryInterval))
		}
	}
}

// ended reports whether the member certainly does not run: its worker has
// reported the end, or the task has lapsed.
func (m *memberState) ended() bool {
	return m.lapsed || m.report != nil && m.report.State == upstream.Ended
}
