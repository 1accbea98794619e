package coordinator

import "log/slog"

// recordFailure counts a failure of the job's step that w may have caused. The second
// failure since the last success on w, and each later one, quarantines w.
func (w *worker) recordFailure(s *State, j *job, step int, why string) {
	w.failedAt = s.now
	if w.lastFailedJob == j.id || len(j.avoidedWorkers[step]) > 1 {
		// The last failure on this worker was also the job's, or the step has failed on
		// several workers: the job is the likelier cause.
		return
	}
	w.lastFailedJob = j.id
	w.failures++
	if w.failures < 2 {
		return
	}
	s.quarantine(w, why)
}

// forgiveFailures forgets the failures on w after a success.
func (w *worker) forgiveFailures() { w.failures, w.lastFailedJob, w.quarantineTime = 0, "", 0 }

// quarantine excludes a worker from placement for a while. The time doubles with each
// quarantine, up to maxQuarantine, until a run succeeds on the worker.
func (s *State) quarantine(w *worker, why string) {
	if s.now < w.unschedulableUntil {
		return
	}
	w.quarantineTime = min(max(s.Quarantine, 2*w.quarantineTime), maxQuarantine)
	w.unschedulableUntil = s.now + w.quarantineTime
	s.log("worker quarantined", slog.String("worker", w.ID), slog.String("why", why), slog.Int("strikes", w.failures),
		slog.Int64("forMs", w.quarantineTime))
}

// maxQuarantine bounds the length of a quarantine, in milliseconds.
const maxQuarantine = 20_000
