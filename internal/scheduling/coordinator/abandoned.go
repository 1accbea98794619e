package coordinator

import (
	"log/slog"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// abandon records that an attempt counts as over although its worker may still report
// its end.
func (s *State) abandon(a *attempt) {
	if a.orphan || !a.sent || a.job.progress.State.Ended() {
		return
	}
	a.job.progress.Abandoned = append(a.job.progress.Abandoned, jobspec.Run{
		Occurrence: a.occurrence, Step: a.step, Index: a.index, Number: a.run,
	})
	if n := len(a.job.progress.Abandoned) - jobspec.MaxAbandoned; n > 0 {
		a.job.progress.Abandoned = slices.Delete(a.job.progress.Abandoned, 0, n)
	}
}

// recordLateEnd handles the end of a run that already counted as over. A success marks
// the task as done, so that its work is not repeated; a failure is counted only if the
// run was abandoned, and then once, or if no placement accounted for it, which unplaced says.
func (s *State) recordLateEnd(w *worker, e *placement.End, unplaced bool) {
	j := s.jobs[e.Task.Job]
	if j == nil || j.progress.State.Ended() {
		return
	}
	t := j.task(e.Task.Occurrence, e.Task.Step, e.Task.Index)
	if t == nil || t.Phase == jobspec.Done {
		return
	}
	abandoned := j.removeAbandoned(&e.Task, e.Run) || unplaced && !j.spec.Steps[e.Task.Step].Gang
	if e.Outcome != placement.EndDone && (e.Outcome != placement.EndFailed || !abandoned) {
		return
	}
	s.log("run ended unheard", slog.String("id", j.id), slog.Int("step", e.Task.Step), slog.Int("index", e.Task.Index),
		slog.Int("run", e.Run), slog.String("worker", w.ID), slog.String("how", string(e.Outcome)))
	s.markDirty(j)
	if e.Outcome == placement.EndFailed {
		s.countRunFailure(j, e.Task, e.Run, w)
		return
	}
	step := &j.spec.Steps[e.Task.Step]
	tasks := j.progress.Occurrences[e.Task.Occurrence][e.Task.Step]
	for i := range tasks {
		if i == e.Task.Index || step.Gang {
			tasks[i].Finish()
			s.stopRuns(j, e.Task.Occurrence, e.Task.Step, i)
		}
	}
	s.endJobIfDone(j)
}

// removeAbandoned removes a run from the job's abandoned runs, and with it the runs of the
// other members of its gang. It reports whether it removed any.
func (j *job) removeAbandoned(id *jobspec.TaskID, run int) bool {
	gang := j.spec.Steps[id.Step].Gang
	before := len(j.progress.Abandoned)
	j.progress.Abandoned = slices.DeleteFunc(j.progress.Abandoned, func(r jobspec.Run) bool {
		return r.Number == run && r.Occurrence == id.Occurrence && r.Step == id.Step && (gang || r.Index == id.Index)
	})
	return len(j.progress.Abandoned) < before
}

// stopRuns stops the attempts of a task that is done.
func (s *State) stopRuns(j *job, occurrence, step, index int) {
	id := jobspec.TaskID{Job: j.id, Occurrence: occurrence, Step: step, Index: index}
	for _, w := range s.workers {
		if a := w.attempts[id]; a != nil {
			s.stop(a, "an earlier run was done")
		}
	}
}
