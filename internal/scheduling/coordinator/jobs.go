package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// jobChanged handles a job that was accepted or cancelled.
func (s *State) jobChanged(e *JobChanged) {
	if e.Spec == nil {
		return
	}
	j := s.jobs[e.Spec.ID]
	if j == nil && e.Spec.IsSummary() {
		// The job has ended and was forgotten here; its records are being read again.
		return
	}
	if j == nil {
		spec := *e.Spec
		j = s.addJob(spec.ID, &jobstate.Job{Spec: &spec}, s.unclaimedDetails[spec.ID])
		delete(s.unclaimedDetails, spec.ID)
		s.log("job seen", slog.String("id", j.id), slog.String("organisation", spec.Organisation),
			slog.String("route", spec.Route), slog.Int("priority", spec.Priority), slog.Int("steps", len(spec.Steps)), slog.Int64("accelerators", j.peakAccelerators()),
			slog.Int64("objectiveMs", j.deadline-j.acceptedAt))
		s.planDue = true
	}
	if e.Cancelled && !j.cancelled {
		s.cancelJob(j)
	}
}

// openOccurrences extends a job's progress by the occurrences that have become due. It
// keeps at most MaxTasks tasks open, or one occurrence, so that their progress fits into
// memory and into one record; the rest waits for earlier occurrences to end.
func (s *State) openOccurrences(j *job) {
	if j.progress.State.Ended() {
		return
	}
	open := -1
	for k := len(j.progress.Occurrences); k < j.spec.OccurrenceCount(); k++ {
		if j.spec.Occurrences > 0 && s.wall < j.spec.Due(k) {
			return
		}
		if open < 0 {
			open = j.openTasks()
		}
		size := j.spec.TaskCount()
		if open > 0 && open+size > jobspec.MaxTasks {
			return
		}
		open += size
		j.progress.Occurrences, j.requestsValid = append(j.progress.Occurrences, j.spec.NewOccurrence()), false
	}
}

// openTasks returns the number of tasks in the occurrences that are not done.
func (j *job) openTasks() int {
	n := 0
	for _, steps := range j.progress.Occurrences {
		if steps != nil {
			n += j.spec.TaskCount()
		}
	}
	return n
}

// openDueOccurrences opens the due occurrences of all periodic jobs.
func (s *State) openDueOccurrences() {
	for _, j := range s.jobs {
		if j.spec.Occurrences > 0 {
			s.openOccurrences(j)
		}
	}
}

// retain keeps an ended job for the retention time. seenAt is a time at which its end was in
// the store.
func (s *State) retain(j *job, seenAt int64) { j.forgetAt = seenAt + s.Retention + retentionSlack }

// forgetEndedJobs drops the jobs whose retention time has passed.
func (s *State) forgetEndedJobs() {
	for id, j := range s.jobs {
		if j.progress.State.Ended() && j.forgetAt != 0 && len(j.attempts) == 0 && s.now > j.forgetAt {
			delete(s.jobs, id)
			s.recordsToDrop = append(s.recordsToDrop, id)
		}
	}
}

// retentionSlack allows for hosts that read the end later than this one, in milliseconds.
const retentionSlack = 10_000

// checkProgress stops an attempt that has stalled, together with its gang, and
// quarantines its worker. In a gang, only the member that progressed least recently
// counts as stalled.
func (s *State) checkProgress(a *attempt) {
	step := a.spec()
	if step.LongRunning || step.Estimate == 0 || a.percent >= 100 {
		return
	}
	stallTime := max(minStallTime, int64(float64(step.Estimate)*s.RemoteFactor*stallEstimateShare))
	leastRecent := a
	for _, b := range a.attempts {
		// A gang makes progress only after its last member has started.
		if b.startedAt == 0 || s.now-b.startedAt < stallTime {
			return
		}
		if b.progressedAt < leastRecent.progressedAt {
			leastRecent = b
		}
	}
	// The member that progressed least recently is the one that blocks the others.
	if leastRecent != a || a.reportedAt-a.progressedAt < stallTime || s.silentFor(a.w) > 0 {
		return
	}
	s.log("task stands still", slog.String("id", a.job.id), slog.Int("step", a.step), slog.Int("index", a.index),
		slog.Int("run", a.run), slog.String("worker", a.w.ID), slog.Int("percent", a.percent),
		slog.Int64("forMs", a.reportedAt-a.progressedAt))
	s.avoidWorker(a.job, a.step, a.w)
	// The failure count is raised so that the worker is avoided until a run succeeds
	// there: a worker on which a task stalled is likely to stall others.
	a.w.failures++
	a.w.failedAt = s.now
	s.quarantine(a.w, "a task has stalled")
	s.abortUnit(a.unit, "a task has stalled")
}

const (
	// minStallTime is the least time without progress after which a task counts as
	// stalled, in milliseconds.
	minStallTime = 700
	// stallEstimateShare is the time without progress after which a task counts as
	// stalled, as a share of its estimate. Progress is reported in whole per cent.
	stallEstimateShare = 0.06
)

// drainWorker handles a worker that is about to leave. It withdraws the placements for
// which no start order was sent, and stops the runs with checkpoints, except long-running
// ones, that are not expected to end in time.
func (s *State) drainWorker(w *worker) {
	s.log("worker leaves", slog.String("worker", w.ID), slog.Int64("remainingMs", w.Remaining), slog.Int("runs", len(w.attempts)))
	for _, a := range sortedAttempts(w.attempts) {
		if a.phase == phasePlanned && !a.sent {
			s.withdrawUnit(a.unit, "worker "+w.ID+" leaves")
			continue
		}
		if a.phase == phaseStopping || a.orphan || !a.spec().Checkpoints || a.spec().LongRunning {
			continue
		}
		if s.remainingTime(a) > w.Remaining {
			s.abortUnit(a.unit, "worker "+w.ID+" leaves")
		}
	}
}
