package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

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

// quarantine excludes a worker from placement for a while, except as a last resort. The time
// doubles with each quarantine, up to maxQuarantine, until a run succeeds on the worker.
func (s *State) quarantine(w *worker, why string) {
	if s.now < max(w.unschedulableUntil, w.quarantinedUntil) {
		return
	}
	w.quarantineTime = min(max(s.Quarantine, 2*w.quarantineTime), maxQuarantine)
	w.quarantinedUntil = s.now + w.quarantineTime
	s.log("worker quarantined", slog.String("worker", w.ID), slog.String("why", why), slog.Int("strikes", w.failures),
		slog.Int64("forMs", w.quarantineTime))
}

// maxQuarantine bounds the length of a quarantine, in milliseconds.
const maxQuarantine = 20_000

// quarantined reports whether w is in quarantine.
func (s *State) quarantined(w *worker) bool { return s.now < w.quarantinedUntil }

// placeOnQuarantined places the tasks of r for which no place was found in pool on the workers of
// the service that are in quarantine, as a last resort. A lasting task uses them if no other worker
// has room for it, since its absence costs more than another failure. Any other task uses them only
// if no other worker could hold it even when empty.
func (s *State) placeOnQuarantined(r *request, pool *candidatePool) {
	if pool.quarantined == nil {
		return
	}
	step := &r.spec.Steps[r.step]
	tasks := r.progress.Occurrences[r.occurrence][r.step]
	var rest []int
	for _, i := range r.indices {
		if tasks[i].Phase == jobspec.Waiting {
			rest = append(rest, i)
		}
	}
	if len(rest) == 0 || !step.LongRunning && placement.CouldHold(pool.candidates, startSize(s.demand(r, len(rest)))) {
		return
	}
	r.indices = rest
	if s.mayQueueStarts(r) > 0 && !s.mustAwaitAdvice(r, pool.quarantined) {
		s.place(r, pool.quarantined)
	}
}
