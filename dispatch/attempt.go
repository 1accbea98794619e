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
	callAgain = 500
	// callPatience bounds the wait for a worker's first answer to a call that
	// others wait for, in milliseconds. It leaves room for the grace of a stop.
	callPatience = 700
	// startPatience bounds the time from a place to all members running, in
	// milliseconds.
	startPatience = 5000
	// leaseMargin is added to a lease, in milliseconds, before a silent
	// worker's task counts as lapsed. It covers the drift between the clocks
	// and the worker's own delay.
	leaseMargin = 1000
	// maxFailures is the number of workers on which a job may fail before it
	// ends as failed.
	maxFailures = 3
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
type drive struct {
	job     string
	attempt int
	phase   phase
	// since is when the phase began.
	since   int64
	members []driven
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
type driven struct {
	task        string
	worker      string
	incarnation string
	// report is the last word of the worker; nil for none.
	report *upstream.TaskReport
	// startSent is set once a start may have been sent, by any host.
	startSent bool
	// renewed is when the last renewal that arrived was sent.
	renewed int64
	// calledAt is when the last call was sent; 0 for none.
	calledAt int64
	// lapsed is set when the lease has lapsed or the worker has restarted, or
	// when nobody has sent a start that it could obey, so that the task cannot run
	// although nobody knows its end.
	lapsed bool
}

// newDrive returns the drive of the placed job j.
func newDrive(j *ledger.Job, p phase, now int64) *drive {
	d := &drive{job: j.ID, attempt: j.Attempt, phase: p, since: now, placedAt: now}
	for i, m := range j.Members {
		d.members = append(d.members, driven{
			task: TaskName(j.ID, j.Attempt, i), worker: m.Worker, incarnation: m.Incarnation,
			renewed: now, startSent: p == phaseRecover,
		})
	}
	return d
}

// onPlaced starts to drive a job that this host has placed. A caretaker takes
// over what the silent placer has still placed.
func (s *State) onPlaced(r *record.Record, v ledger.Verdict) {
	if r.Incarnation != s.Incarnation {
		if s.leading && v.Err == nil && v.Job.DataCentre == s.DataCentre {
			s.setDrive(newDrive(v.Job, phaseRecover, s.now))
		}
		return
	}
	delete(s.holds, r.Place.Job)
	s.dirty = true
	if v.Err != nil {
		s.observe("", "", "refusedPlaces", 1)
		return
	}
	if !s.leading || v.Job.DataCentre != s.DataCentre {
		return
	}
	d := newDrive(v.Job, phaseReserve, s.now)
	s.setDrive(d)
	s.step(d)
	s.observe(v.Job.Spec.Organisation, v.Job.Spec.Class, "queueTime", max(0, s.Ledger.Time-v.Job.AcceptedTime))
}

// onCancelled stops the attempt of a job that was cancelled while placed.
func (s *State) onCancelled(j *ledger.Job) {
	if d := s.drives[j.ID]; d != nil && d.phase != phaseDone {
		s.stopDrive(d, "cancelled by "+j.CancelledBy)
	}
}

// driveAll moves every drive on.
func (s *State) driveAll() {
	for _, id := range sortedKeys(s.drives) {
		s.step(s.drives[id])
	}
}

// evaluateAll takes a worker's new report into the drives on it.
func (s *State) evaluateAll(worker string) {
	for _, d := range s.drivesOn(worker) {
		for i := range d.members {
			if d.members[i].worker == worker {
				s.evaluate(d, &d.members[i])
			}
		}
		if s.drives[d.job] == d {
			s.step(d)
		}
	}
}

// setDrive enters a drive.
func (s *State) setDrive(d *drive) {
	s.drives[d.job] = d
	s.byWorker = nil
}

// drivesOn returns the drives with a member on a worker, in order of their
// jobs.
func (s *State) drivesOn(worker string) []*drive {
	if s.byWorker != nil {
		return s.byWorker[worker]
	}
	s.byWorker = map[string][]*drive{}
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		for i := range d.members {
			on := s.byWorker[d.members[i].worker]
			if len(on) == 0 || on[len(on)-1] != d {
				s.byWorker[d.members[i].worker] = append(on, d)
			}
		}
	}
	return s.byWorker[worker]
}

// evaluate takes what the worker's view says of a member.
func (s *State) evaluate(d *drive, m *driven) {
	v := s.view(m.worker)
	if m.ended() || v.heard < 0 {
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
	if d.phase == phaseRecover && v.complete && m.report == nil {
		m.report = &upstream.TaskReport{Task: m.task}
	}
}

// step moves one drive on.
func (s *State) step(d *drive) {
	s.lapse(d)
	switch d.phase {
	case phaseRecover:
		s.stepRecover(d)
	case phaseReserve:
		s.stepReserve(d)
	case phaseStart:
		s.stepStart(d)
	case phaseRun:
		s.stepRun(d)
	case phaseStop:
		s.stepStop(d)
	}
}

// stepRecover waits for a word about every member. Running and completed
// members go on; anything else stops the attempt.
func (s *State) stepRecover(d *drive) {
	running, reserved := 0, 0
	for i := range d.members {
		m := &d.members[i]
		switch {
		case m.lapsed:
			s.stopDrive(d, "worker "+m.worker+" was lost during a take-over")
			return
		case m.report == nil:
			return
		case m.report.State == upstream.Running, m.report.Outcome == upstream.Completed:
			running++
		case m.report.State == upstream.Reserved:
			reserved++
		default:
			s.stopDrive(d, "a take-over met a member that does not run")
			return
		}
	}
	if running == len(d.members) {
		s.enter(d, phaseRun)
		return
	}
	if reserved > 0 && !s.caretaker {
		// A caretaker must not start: the placer may have ended this attempt as
		// never started in a record that is on its way.
		s.enter(d, phaseStart)
	}
}

// stepReserve reserves all members before any is started.
func (s *State) stepReserve(d *drive) {
	j := s.Ledger.Jobs[d.job]
	reserved := 0
	for i := range d.members {
		m := &d.members[i]
		switch {
		case m.ended():
			s.stopDrive(d, "worker "+m.worker+" was lost before the start")
			return
		case m.report != nil && m.report.State != "":
			reserved++
		default:
			s.call(d, i, OpReserve, s.order(j, d, i))
		}
	}
	if reserved == len(d.members) {
		s.enter(d, phaseStart)
		s.stepStart(d)
		return
	}
	if m := s.owing(d); m != nil {
		s.stopDrive(d, "worker "+m.worker+" does not answer")
		return
	}
	if s.now-d.since > startPatience {
		s.stopDrive(d, "a worker did not answer in time")
	}
}

// owing returns a member whose worker does not answer its reservation, or nil.
func (s *State) owing(d *drive) *driven {
	for i := range d.members {
		if m := &d.members[i]; m.report == nil && s.owes(m.worker, d.since) {
			return m
		}
	}
	return nil
}

// order returns the order for a member.
func (s *State) order(j *ledger.Job, d *drive, i int) upstream.Order {
	m := j.Members[i]
	return upstream.Order{
		Task: d.members[i].task, Job: j.ID, Organisation: j.Spec.Organisation, Class: j.Spec.Class,
		Mask: m.Mask, Accelerated: j.Spec.Accelerators > 0, Incarnation: m.Incarnation, Term: s.term(),
		Lease: s.lease(len(d.members)), Evict: j.Guaranteed, Resume: j.Checkpointed, Payload: j.Spec.Payload,
	}
}

// stepStart starts all members.
func (s *State) stepStart(d *drive) {
	started := 0
	for i := range d.members {
		m := &d.members[i]
		switch {
		case m.lapsed || m.report.State == upstream.Ended && m.report.Outcome != upstream.Completed:
			s.memberLost(d, m)
			return
		case m.report.State == upstream.Running || m.report.Outcome == upstream.Completed:
			started++
		default:
			m.startSent = true
			s.call(d, i, OpStart, upstream.Order{Task: m.task, Term: s.term()})
		}
	}
	if started == len(d.members) {
		s.enter(d, phaseRun)
		d.runningAt = s.now
		s.stepRun(d)
		return
	}
	if s.now-d.since > startPatience {
		s.stopDrive(d, "a worker did not answer in time")
	}
}

// stepRun ends the job when all members have completed, and stops the rest
// when one is lost.
func (s *State) stepRun(d *drive) {
	completed := 0
	for i := range d.members {
		m := &d.members[i]
		switch {
		case m.lapsed:
			s.memberLost(d, m)
			return
		case m.report != nil && m.report.State == upstream.Ended:
			if m.report.Outcome != upstream.Completed {
				s.memberLost(d, m)
				return
			}
			completed++
		}
	}
	if completed == len(d.members) {
		s.conclude(d)
	}
}

// memberLost stops the attempt because m no longer runs.
func (s *State) memberLost(d *drive, m *driven) {
	switch {
	case m.lapsed:
		s.stopDrive(d, "worker "+m.worker+" was lost")
	case m.report.Outcome == upstream.Failed:
		d.failedOn = m.worker
		s.stopDrive(d, m.report.Message)
	default:
		s.stopDrive(d, fmt.Sprintf("a member on worker %s was %s", m.worker, m.report.Outcome))
	}
}

// stopDrive stops all members of an attempt.
func (s *State) stopDrive(d *drive, cause string) {
	if d.phase == phaseStop || d.phase == phaseDone {
		return
	}
	d.cause = cause
	s.enter(d, phaseStop)
	s.stepStop(d)
}

// stepStop asks for the end of every member until each has ended.
func (s *State) stepStop(d *drive) {
	ended := 0
	for i := range d.members {
		m := &d.members[i]
		switch {
		case m.ended():
			ended++
		case !m.startSent && m.report == nil && m.calledAt == 0:
			// Nothing was ever sent for this member.
			m.report = &upstream.TaskReport{Task: m.task, State: upstream.Ended, Outcome: upstream.NeverStarted}
			ended++
		case !m.startSent && s.owes(m.worker, d.since):
			// Only the holder of the term starts reservations, and this one has
			// not: it lapses unused. If the term has changed, the log refuses
			// what follows from this.
			m.lapsed = true
			ended++
		default:
			s.call(d, i, OpStop, upstream.Order{Task: m.task, Term: s.term(), Incarnation: m.incarnation})
		}
	}
	if ended == len(d.members) {
		s.conclude(d)
	}
}

// enter changes the phase.
func (s *State) enter(d *drive, p phase) {
	d.phase, d.since = p, s.now
	for i := range d.members {
		if m := &d.members[i]; m.calledAt != 0 {
			m.calledAt = max(1, min(m.calledAt, s.now-callAgain))
		}
	}
}

// ended reports whether an arbiter has said that the member does not run.
func (m *driven) ended() bool {
	return m.lapsed || m.report != nil && m.report.State == upstream.Ended
}
