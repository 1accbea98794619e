package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// onRequeued drops the drive of an attempt that is over.
func (s *State) onRequeued(r *record.Record, v ledger.Verdict) {
	if v.Err != nil {
		s.onRefusedEnd(r.Requeue.Job)
		return
	}
	s.dropDrive(r.Requeue.Job)
	s.dirty = true
	s.judge(r.Requeue.FailedOn)
	if s.leading && v.Job.DataCentre == s.DataCentre {
		s.observe(v.Job.Spec.Organisation, v.Job.Spec.Class, "requeues", 1)
	}
}

// judge looks at once whether a worker on which a job has failed is to be ejected:
// failures follow each other faster than heartbeats.
func (s *State) judge(worker string) {
	if worker != "" && s.leading {
		s.recordWorker(worker, s.view(worker))
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
	s.byWorker = nil
	for i := range d.members {
		v := s.view(d.members[i].worker)
		delete(v.tasks, d.members[i].task)
		v.forget = append(v.forget, d.members[i].task)
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
		FailedOn: d.failedOn, Checkpointed: checkpointed(d), Reason: d.cause,
	}})
}

// outcome returns the outcome of a job whose attempt is over, or false when
// the job goes back to the queue.
func (s *State) outcome(j *ledger.Job, d *drive) (job.Outcome, bool) {
	never := neverStarted(d)
	switch {
	case completedAll(d):
		return job.Outcome{Result: job.Completed, Answers: answers(d)}, true
	case j.CancelledBy != "" && never:
		return ledger.CancelledOutcome(j), true
	case j.CancelledBy != "":
		return job.NewOutcome(job.Failed, fault.Refused, "the job was cancelled by "+j.CancelledBy+" while it ran",
			"submit it again if it is still wanted"), true
	case never:
		return job.Outcome{}, false
	case j.Spec.AtMostOnce && lapsedAny(d):
		return job.NewOutcome(job.Unknown, fault.Unknown, d.cause+", and its end is not known",
			"find out by the job's own effects whether it ran before you submit it under a new key"), true
	case j.Spec.AtMostOnce:
		return job.NewOutcome(job.Failed, fault.Refused, "the job ran in part: "+d.cause,
			"check what it left behind before you submit it under a new key"), true
	case d.failedOn != "" && s.failsEverywhere(j, d.failedOn):
		return job.NewOutcome(job.Failed, fault.Refused, "the job failed on several workers, the last time with: "+d.cause,
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
	return every(d, func(m *driven) bool { return m.report != nil && m.report.Outcome == upstream.Completed })
}

// neverStarted reports whether no member has started, by an arbiter's word. A
// reservation without a start never runs.
func neverStarted(d *drive) bool {
	return every(d, func(m *driven) bool {
		return m.report != nil && m.report.Outcome == upstream.NeverStarted || m.lapsed && !m.startSent
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
