package coordinator

import "log/slog"

// strike notes a failure that the worker may be the cause of.
func (w *worker) strike(s *State, j *job, step int, why string) {
	if w.struck == j.id || len(j.avoid[step]) > 1 {
		// The job fails on different workers, so it is the likelier cause.
		return
	}
	w.struck = j.id
	w.strikes++
	if w.strikes < 2 {
		return
	}
	s.isolate(w, why)
}

// isolate quarantines a worker, for longer each time until a run ends well there.
func (s *State) isolate(w *worker, why string) {
	if s.now < w.closedUntil {
		return
	}
	w.quarantine = min(max(s.Quarantine, 2*w.quarantine), maxQuarantine)
	w.closedUntil = s.now + w.quarantine
	s.line("worker quarantined", slog.String("worker", w.ID), slog.String("why", why), slog.Int("strikes", w.strikes),
		slog.Int64("forMs", w.quarantine))
}

// maxQuarantine bounds the time that a worker is left alone, in milliseconds.
const maxQuarantine = 20_000
