package coordinator

import "log/slog"

// strike notes a failure that the worker may be the cause of.
func (w *worker) recordFailure(s *State, j *job, step int, why string) {
	if w.lastFailedJob == j.id || len(j.avoidedWorkers[step]) > 1 {
		// The job fails on different workers, so it is the likelier cause.
		return
	}
	w.lastFailedJob = j.id
	w.failures++
	if w.failures < 2 {
		return
	}
	s.quarantine(w, why)
}

// isolate quarantines a worker, for longer each time until a run ends well there.
func (s *State) quarantine(w *worker, why string) {
	if s.now < w.unschedulableUntil {
		return
	}
	w.quarantineTime = min(max(s.Quarantine, 2*w.quarantineTime), maxQuarantine)
	w.unschedulableUntil = s.now + w.quarantineTime
	s.log("worker quarantined", slog.String("worker", w.ID), slog.String("why", why), slog.Int("strikes", w.failures),
		slog.Int64("forMs", w.quarantineTime))
}

// maxQuarantine bounds the time that a worker is left alone, in milliseconds.
const maxQuarantine = 20_000
