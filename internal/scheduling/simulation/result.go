package simulation

import (
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// noteEnd records what the end of a run of task t means for the result of its job.
func (c *Cluster) noteEnd(r *run, t *simulatedTask, outcome placement.Outcome) {
	j := r.job
	switch {
	case outcome != placement.EndDone:
		r.noteWaste(outcome)
	case !t.succeeded:
		t.succeeded = true
		j.succeeded++
		j.lastSuccessAt = c.now
	}
}

// noteWaste adds the work that is lost with a run without success to that of its job.
func (r *run) noteWaste(outcome placement.Outcome) {
	if outcome == placement.EndFailed || r.job.cancelledAt != 0 || r.step().LongRunning || r.speed == 0 {
		return
	}
	lost := r.workDone() - r.savedWork(outcome == placement.EndStopped)
	r.job.wasted += r.step().Reserved().Weight() * float64(lost) / r.speed / 1000
}

// actualObjective returns the job's objective by the actual run times of its tasks at pace 1, in
// milliseconds.
func (j *simulatedJob) actualObjective() int64 {
	spec := *j.spec
	spec.Steps = append(spec.Steps[:0:0], spec.Steps...)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		s.Estimate = 0
		for k := range s.Tasks {
			s.Estimate = max(s.Estimate, j.taskRunTime(i, k))
		}
	}
	return spec.Objective()
}

// Claim returns the newest claim of a coordinator.
func (c *Cluster) Claim() jobstate.Claim { return c.table.Claim }
