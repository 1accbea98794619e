package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// onRequeued discards an attempt that the log has ended.
func (s *State) onRequeued(r *record.Record, v ledger.Verdict) {
	if v.Err != nil {
		s.onEndRejected(r.Requeue.Job)
		return
	}
	s.dropAttempt(r.Requeue.Job)
	s.dirty = true
	s.reassessWorker(r.Requeue.FailedOn)
	if s.leading && v.Job.DataCentre == s.DataCentre {
		s.observe(v.Job.Spec.Organisation, v.Job.Spec.Class, "requeues", 1)
	}
}

// reassessWorker checks at once whether a worker on which a job has failed is
// to be ejected: failures follow each other faster than heartbeats.
func (s *State) reassessWorker(worker string) {
	if worker != "" && s.leading {
		s.recordWorker(worker, s.view(worker))
	}
}

// onEndRejected returns an attempt to phaseStop when the log has rejected the
// record that ends it, for example because the job was cancelled in the
// meantime.
func (s *State) onEndRejected(id string) {
	if a := s.attempts[id]; a != nil && a.phase == phaseDone {
		s.setPhase(a, phaseStop)
	}
}

// dropAttempt discards the attempt of a job, and lets the workers forget its
// tasks with the next heartbeats.
func (s *State) dropAttempt(id string) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	delete(s.attempts, id)
	s.attemptsByWorker = nil
	for i := range a.members {
		v := s.view(a.members[i].worker)
		delete(v.tasks, a.members[i].task)
		v.toForget = append(v.toForget, a.members[i].task)
	}
}

// finishAttempt records the end of an attempt whose members have all ended.
// Callers of a completed job are answered at once.
func (s *State) finishAttempt(a *activeAttempt) {
	j := s.Ledger.Jobs[a.job]
	if j == nil {
		return
	}
	o, ended := s.outcome(j, a)
	if ended && o.Result == job.Completed {
		s.replyEarly(j.ID, o)
	}
	if s.interim {
		// The log accepts the end of an attempt from the placer only.
		return
	}
	s.setPhase(a, phaseDone)
	if ended {
		s.enqueueRecord(record.Record{End: &record.End{
			Job: j.ID, Attempt: a.number, Term: s.term(), Outcome: o,
			RunTime: longestRunTime(a), FailedOn: a.failedOn,
		}})
		return
	}
	s.enqueueRecord(record.Record{Requeue: &record.Requeue{
		Job: j.ID, Attempt: a.number, Term: s.term(), NeverStarted: noneStarted(a),
		FailedOn: a.failedOn, Checkpointed: allCheckpointed(a), Reason: a.cause,
	}})
}

// outcome returns the outcome of a job whose attempt is over, or false when the
// job returns to the queue.
func (s *State) outcome(j *ledger.Job, a *activeAttempt) (job.Outcome, bool) {
	notStarted := noneStarted(a)
	switch {
	case allCompleted(a):
		return job.Outcome{Result: job.Completed, Answers: memberAnswers(a)}, true
	case j.CancelledBy != "" && notStarted:
		return ledger.CancelledOutcome(j), true
	case j.CancelledBy != "":
		return job.NewOutcome(job.Failed, fault.Refused, "the job was cancelled by "+j.CancelledBy+" while it ran",
			"submit it again if it is still wanted"), true
	case notStarted:
		return job.Outcome{}, false
	case j.Spec.AtMostOnce && anyEndUnknown(a):
		return job.NewOutcome(job.Unknown, fault.Unknown, a.cause+", and it is unknown whether the job ran to its end",
			"check the job's own effects to find out whether it ran before submitting it under a new key"), true
	case j.Spec.AtMostOnce:
		return job.NewOutcome(job.Failed, fault.Refused, "the job ran partially: "+a.cause,
			"check what it left behind before submitting it under a new key"), true
	case a.failedOn != "" && s.jobAtFault(j, a.failedOn):
		return job.NewOutcome(job.Failed, fault.Refused, "the job failed on several workers; the last failure was: "+a.cause,
			"correct the job and submit it again"), true
	}
	return job.Outcome{}, false
}

// jobAtFault reports whether j has failed on so many workers, including the
// last one, that the job itself must be at fault. Workers on which enough
// distinct jobs have failed to eject them do not count. A job that has failed on
// all live workers is at fault too.
func (s *State) jobAtFault(j *ledger.Job, last string) bool {
	failedOn := slices.Clone(j.FailedOn)
	if !slices.Contains(failedOn, last) {
		failedOn = append(failedOn, last)
	}
	failures := 0
	for _, name := range failedOn {
		if w := s.Ledger.Workers[name]; w == nil || len(w.FailedJobs) < ejectAfterJobs {
			failures++
		}
	}
	untried := 0
	for _, name := range s.Ledger.WorkerNames(s.DataCentre) {
		if s.Ledger.Workers[name].State == record.Live && !slices.Contains(failedOn, name) {
			untried++
		}
	}
	return failures >= maxFailedWorkers || untried == 0
}

// replyEarly answers the callers of a completed job from the workers' reports,
// before the log has accepted the end.
func (s *State) replyEarly(id string, o job.Outcome) {
	for _, w := range s.jobWaits[id] {
		s.reply(Reply{Waiter: w.waiter, Job: id, State: ledger.Finished, Outcome: &o})
	}
	delete(s.jobWaits, id)
}

// allCompleted reports whether every member completed.
func allCompleted(a *activeAttempt) bool {
	return everyMember(a, func(m *memberState) bool { return m.report != nil && m.report.Outcome == upstream.Completed })
}

// noneStarted reports whether it is certain that no member has started. A
// lapsed reservation without a start never runs.
func noneStarted(a *activeAttempt) bool {
	return everyMember(a, func(m *memberState) bool {
		return m.report != nil && m.report.Outcome == upstream.NeverStarted || m.lapsed && !m.startSent
	})
}

// allCheckpointed reports whether every member saved its progress as it ended.
func allCheckpointed(a *activeAttempt) bool {
	return everyMember(a, func(m *memberState) bool { return m.report != nil && m.report.Checkpointed })
}

// anyEndUnknown reports whether the end of any member is unknown.
func anyEndUnknown(a *activeAttempt) bool {
	return !everyMember(a, func(m *memberState) bool { return m.report != nil && m.report.State == upstream.Ended })
}

// everyMember reports whether ok returns true for all members.
func everyMember(a *activeAttempt, ok func(*memberState) bool) bool {
	for i := range a.members {
		if !ok(&a.members[i]) {
			return false
		}
	}
	return true
}

// longestRunTime returns the longest run time of the members, in milliseconds.
func longestRunTime(a *activeAttempt) int64 {
	var ms int64
	for i := range a.members {
		if r := a.members[i].report; r != nil {
			ms = max(ms, r.RunTime)
		}
	}
	return ms
}

// memberAnswers returns the locations of the members' outputs.
func memberAnswers(a *activeAttempt) []job.Answer {
	as := make([]job.Answer, len(a.members))
	for i := range a.members {
		m := &a.members[i]
		as[i] = job.Answer{Task: m.task, Worker: m.worker, Size: m.report.Size, Sum: m.report.Sum}
	}
	return as
}
