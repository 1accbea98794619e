package dispatch

import (
	"fmt"
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// callAgain is the time after which an unanswered call about a member is
	// repeated, in milliseconds.
	callAgain = 500
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
	// lapsed is set when the lease has lapsed or the worker has restarted, so
	// that the task cannot run although nobody knows its end.
	lapsed bool
}

// TaskName returns the identity of a member's task.
func TaskName(id string, attempt, index int) string {
	return fmt.Sprintf("%s/%d/%d", id, attempt, index)
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
			s.drives[v.Job.ID] = newDrive(v.Job, phaseRecover, s.now)
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
	s.drives[v.Job.ID] = newDrive(v.Job, phaseReserve, s.now)
	s.observe(v.Job.Spec.Organisation, v.Job.Spec.Class, "queueTime", max(0, s.Ledger.Time-v.Job.AcceptedTime))
}

// onRequeued drops the drive of an attempt that is over.
func (s *State) onRequeued(r *record.Record, v ledger.Verdict) {
	if v.Err != nil {
		s.onRefusedEnd(r.Requeue.Job)
		return
	}
	s.dropDrive(r.Requeue.Job)
	s.dirty = true
	if s.leading && v.Job.DataCentre == s.DataCentre {
		s.observe(v.Job.Spec.Organisation, v.Job.Spec.Class, "requeues", 1)
	}
}

// onRefusedEnd decides anew about an attempt whose end the log has refused,
// for example because the job was cancelled meanwhile.
func (s *State) onRefusedEnd(id string) {
	if d := s.drives[id]; d != nil && d.phase == phaseDone {
		s.enter(d, phaseStop)
	}
}

// dropDrive forgets the drive of a job and lets its workers forget its tasks.
func (s *State) dropDrive(id string) {
	d := s.drives[id]
	if d == nil {
		return
	}
	delete(s.drives, id)
	for i := range d.members {
		v := s.view(d.members[i].worker)
		delete(v.tasks, d.members[i].task)
		v.forget = append(v.forget, d.members[i].task)
	}
}

// onCancelled stops the attempt of a job that was cancelled while placed.
func (s *State) onCancelled(j *ledger.Job) {
	if d := s.drives[j.ID]; d != nil && d.phase != phaseDone {
		s.stopDrive(d, "cancelled by "+j.Cancelled)
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
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		for i := range d.members {
			if d.members[i].worker == worker {
				s.evaluate(d, &d.members[i])
			}
		}
	}
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

// lapse marks the members whose worker has been silent for longer than their
// lease.
func (s *State) lapse(d *drive) {
	lease := s.lease(len(d.members))
	for i := range d.members {
		m := &d.members[i]
		if !m.ended() && s.now-m.renewed > lease+leaseMargin && s.view(m.worker).silent(s.now) > lease+leaseMargin {
			m.lapsed = true
		}
	}
}

// lease returns the lease of the members of a gang of n.
func (s *State) lease(n int) int64 {
	if n > 1 {
		return s.GangLease
	}
	return s.TaskLease
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
		case m.report.State == upstream.Running, m.report.End == upstream.Completed:
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
	if reserved > 0 {
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
	if s.now-d.since > startPatience {
		s.stopDrive(d, "a worker did not answer in time")
	}
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
		case m.lapsed || m.report.State == upstream.Ended && m.report.End != upstream.Completed:
			s.memberLost(d, m)
			return
		case m.report.State == upstream.Running || m.report.End == upstream.Completed:
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
			if m.report.End != upstream.Completed {
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
	case m.report.End == upstream.Failed:
		d.failedOn = m.worker
		s.stopDrive(d, m.report.Message)
	default:
		s.stopDrive(d, fmt.Sprintf("a member on worker %s was %s", m.worker, m.report.End))
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
			m.report = &upstream.TaskReport{Task: m.task, State: upstream.Ended, End: upstream.NeverStarted}
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

// call sends a call about member i unless one was sent lately.
func (s *State) call(d *drive, i int, op Operation, o upstream.Order) {
	m := &d.members[i]
	if m.calledAt != 0 && s.now-m.calledAt < callAgain {
		return
	}
	m.calledAt = max(s.now, 1)
	c := MemberCall{
		Operation: op, Job: d.job, Attempt: d.attempt, Index: i,
		Worker: m.worker, Address: s.address(m.worker), Order: o,
	}
	if op == OpStop {
		c.Grace = s.StopGrace
	}
	s.emit(Effect{Member: &c})
}

// onMember takes the result of a call about a member.
func (s *State) onMember(e *MemberDone) {
	d := s.drives[e.Job]
	if d == nil || d.attempt != e.Attempt || e.Index >= len(d.members) {
		return
	}
	m := &d.members[e.Index]
	if m.ended() {
		return
	}
	if e.Err == nil {
		r := e.Report
		m.report = &r
		s.step(d)
		return
	}
	if !fault.NothingDone(e.Err) || fault.KindOf(e.Err) == fault.Unavailable {
		return
	}
	if e.Operation != OpStop && d.phase != phaseStop {
		s.stopDrive(d, fault.As(e.Err).Message)
	}
}

// ended reports whether an arbiter has said that the member does not run.
func (m *driven) ended() bool {
	return m.lapsed || m.report != nil && m.report.State == upstream.Ended
}

// renewals returns the tasks on a worker whose leases are to be renewed. A
// gang is renewed only while every member has been heard of lately, so that
// the rest lapses when one is lost, even with no placer alive.
func (s *State) renewals(worker string) []string {
	var ids []string
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		if d.phase == phaseStop || d.phase == phaseDone || len(d.members) > 1 && !s.whole(d) {
			continue
		}
		for i := range d.members {
			if d.members[i].worker == worker {
				ids = append(ids, d.members[i].task)
			}
		}
	}
	return ids
}

// whole reports whether every member of a gang was heard of by this host within
// half of its lease. A gang that this host has just placed counts as whole for
// that time. One that it has taken over does not: otherwise each further
// take-over would keep the rest of a broken gang running for longer.
func (s *State) whole(d *drive) bool {
	half := s.GangLease / 2
	for i := range d.members {
		m := &d.members[i]
		if m.ended() && m.report != nil && m.report.End == upstream.Completed {
			continue
		}
		heard := s.view(m.worker).heard
		if d.phase == phaseReserve || d.phase == phaseStart {
			heard = max(heard, d.placedAt)
		}
		if m.ended() || heard < 0 || s.now-heard > half {
			return false
		}
	}
	return true
}

// renewed notes that a renewal sent at the given time has arrived.
func (s *State) renewed(task string, sent int64) {
	for _, d := range s.drives {
		for i := range d.members {
			if d.members[i].task == task {
				d.members[i].renewed = max(d.members[i].renewed, sent)
				return
			}
		}
	}
}

// conclude writes the end of an attempt whose members have all ended.
func (s *State) conclude(d *drive) {
	j := s.Ledger.Jobs[d.job]
	if j == nil {
		return
	}
	o, ended := s.outcome(j, d)
	if ended && o.Result == job.Completed {
		s.early(j.ID, o)
	}
	if s.caretaker {
		// Only the placer's word counts in the log.
		return
	}
	s.enter(d, phaseDone)
	if ended {
		s.write(record.Record{End: &record.End{
			Job: j.ID, Attempt: d.attempt, Term: s.term(), Outcome: o,
			RunTime: longest(d), FailedOn: d.failedOn,
		}})
		return
	}
	s.write(record.Record{Requeue: &record.Requeue{
		Job: j.ID, Attempt: d.attempt, Term: s.term(), NeverStarted: neverStarted(d),
		FailedOn: d.failedOn, Checkpointed: checkpointed(d), Why: d.cause,
	}})
}

// outcome returns the outcome of a job whose attempt is over, or false when
// the job goes back to the queue.
func (s *State) outcome(j *ledger.Job, d *drive) (job.Outcome, bool) {
	never := neverStarted(d)
	switch {
	case completedAll(d):
		return job.Outcome{Result: job.Completed, Answers: answers(d)}, true
	case j.Cancelled != "" && never:
		return ledger.CancelledOutcome(j), true
	case j.Cancelled != "":
		return job.Ended(job.Failed, fault.Refused, "the job was cancelled by "+j.Cancelled+" while it ran",
			"submit it again if it is still wanted"), true
	case never:
		return job.Outcome{}, false
	case j.Spec.Once && lapsedAny(d):
		return job.Ended(job.Unknown, fault.Unknown, d.cause+", and its end is not known",
			"find out by the job's own effects whether it ran before you submit it under a new key"), true
	case j.Spec.Once:
		return job.Ended(job.Failed, fault.Refused, "the job ran in part: "+d.cause,
			"check what it left behind before you submit it under a new key"), true
	case d.failedOn != "" && s.failsEverywhere(j, d.failedOn):
		return job.Ended(job.Failed, fault.Refused, "the job failed on several workers, the last time with: "+d.cause,
			"correct the job and submit it again"), true
	}
	return job.Outcome{}, false
}

// failsEverywhere reports whether j has failed on enough workers, the last one
// included, to be at fault itself. Workers that fail everything do not count.
// A job that has failed on all live workers is at fault too.
func (s *State) failsEverywhere(j *ledger.Job, last string) bool {
	on := slices.Clone(j.FailedOn)
	if !slices.Contains(on, last) {
		on = append(on, last)
	}
	counted := 0
	for _, name := range on {
		if w := s.Ledger.Workers[name]; w == nil || len(w.FailedJobs) < ejectAfter {
			counted++
		}
	}
	left := 0
	for _, name := range s.Ledger.WorkerNames(s.DataCentre) {
		if s.Ledger.Workers[name].State == record.Live && !slices.Contains(on, name) {
			left++
		}
	}
	return counted >= maxFailures || left == 0
}

// early answers the callers of a completed job on the worker's word, before
// the log has taken the end.
func (s *State) early(id string, o job.Outcome) {
	for _, w := range s.waits[id] {
		s.reply(Reply{Waiter: w.waiter, Job: id, State: ledger.Finished, Outcome: &o})
	}
	delete(s.waits, id)
}

// completedAll reports whether every member completed.
func completedAll(d *drive) bool {
	return every(d, func(m *driven) bool { return m.report != nil && m.report.End == upstream.Completed })
}

// neverStarted reports whether no member has started, by an arbiter's word. A
// reservation without a start never runs.
func neverStarted(d *drive) bool {
	return every(d, func(m *driven) bool {
		return m.report != nil && m.report.End == upstream.NeverStarted || m.lapsed && !m.startSent
	})
}

// checkpointed reports whether every member that ran saved its progress.
func checkpointed(d *drive) bool {
	return every(d, func(m *driven) bool { return m.report != nil && m.report.Checkpointed })
}

// lapsedAny reports whether the end of any member is not known.
func lapsedAny(d *drive) bool {
	return !every(d, func(m *driven) bool { return m.report != nil && m.report.State == upstream.Ended })
}

// every reports whether ok holds for all members.
func every(d *drive, ok func(*driven) bool) bool {
	for i := range d.members {
		if !ok(&d.members[i]) {
			return false
		}
	}
	return true
}

// longest returns the longest run time of a member, in milliseconds.
func longest(d *drive) int64 {
	var ms int64
	for i := range d.members {
		if r := d.members[i].report; r != nil {
			ms = max(ms, r.RunTime)
		}
	}
	return ms
}

// answers locates the members' outputs.
func answers(d *drive) []job.Answer {
	as := make([]job.Answer, len(d.members))
	for i := range d.members {
		m := &d.members[i]
		as[i] = job.Answer{Task: m.task, Worker: m.worker, Size: m.report.Size, Sum: m.report.Sum}
	}
	return as
}
