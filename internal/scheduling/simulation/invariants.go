package simulation

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// cancelTime is how long tasks of a cancelled job may still start, in milliseconds.
const cancelTime = 3000

// brokenf notes a broken promise.
func (w *Cluster) violationf(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

func (f *jobFacts) task(n jobspec.TaskID) *taskFacts {
	t := f.tasks[n]
	if t == nil {
		t = &taskFacts{failures: make(map[int]bool)}
		f.tasks[n] = t
	}
	return t
}

// judgeStart checks what must hold when a run begins.
func (w *Cluster) judgeStart(r *run) {
	f := r.job
	t := f.task(r.name)
	f.starts++
	if f.begun == 0 {
		f.begun = w.now
	}
	for _, other := range t.live {
		if !other.over && other.up {
			w.violationf("%v run %d begins on %s while run %d is at work on %s", r.name, r.run, r.id, other.run, other.id)
		}
	}
	if t.done {
		w.violationf("%v run %d begins after its success was noted", r.name, r.run)
	}
	if len(t.failures) >= f.spec.MaxAttempts {
		w.violationf("%v run %d begins after %d failures", r.name, r.run, len(t.failures))
	}
	for _, a := range r.step().After {
		for i := range f.spec.Steps[a].Tasks {
			n := jobspec.TaskID{Job: r.name.Job, Occurrence: r.name.Occurrence, Step: a, Index: i}
			if !f.task(n).succeeded {
				w.violationf("%v begins before %v is done", r.name, n)
			}
		}
	}
	if f.cancelled != 0 && w.now > f.cancelled+cancelTime && w.late == 0 {
		w.violationf("%v begins %d ms after the cancellation", r.name, w.now-f.cancelled)
	}
	t.live = append(t.live, r)
}

// judgeEnd notes that a run is over.
func (w *Cluster) judgeEnd(r *run, how placement.Outcome) {
	t := r.job.task(r.name)
	for i, other := range t.live {
		if other == r {
			t.live = append(t.live[:i], t.live[i+1:]...)
			break
		}
	}
	if how == placement.EndGangIncomplete && r.job.cancelled == 0 && !w.disturbed() {
		w.violationf("%v run %d waited for its gang in vain", r.name, r.run)
	}
	if how == placement.EndDone {
		t.succeeded = true
	}
}

// disturbed reports whether any fault is planned at all.
func (w *Cluster) disturbed() bool { return len(w.Faults) > 0 }

// judgeNoted notes that the coordinator acknowledged an end.
func (w *Cluster) judgeNoted(k *worker, e *placement.End) {
	f := w.jobs[e.Task.Job]
	if f == nil {
		return
	}
	t := f.task(e.Task)
	switch e.Outcome {
	case placement.EndDone:
		t.done = true
		if j := w.table.Jobs[e.Task.Job]; w.lead != nil && (j == nil || j.Progress == nil) && w.details[e.Task.Job] == nil {
			w.violationf("the end of %v on %s is acknowledged and not recorded", e.Task, k.id)
		}
	case placement.EndFailed:
		// An end that was not heard before the lease ran out came too late to count: the
		// task may have been started elsewhere by then.
		if e.Number > k.lapsed {
			t.failures[e.Run] = true
		}
	}
}

// judgeShown notes what is shown of a job.
func (w *Cluster) judgeShown(id string) {
	j, f := w.table.Jobs[id], w.jobs[id]
	if j == nil || f == nil || f.shown != 0 || j.Progress == nil || !j.Progress.State.Ended() {
		return
	}
	f.shown, f.state = w.now, j.Progress.State
}

// Result is what became of a job.
type Result struct {
	ID    string
	State jobspec.State
	// Waited and Took are the times from arrival to the first start and to the end
	// being shown, in milliseconds; -1 for never.
	Waited, Took int64
	// Late is how much Took exceeds the job's objective; negative when it does not.
	Late   int64
	Starts int
}

// Results returns what became of the jobs, in the order of their arrival.
func (w *Cluster) Results() []Result {
	var out []Result
	for i := range w.Jobs {
		f := w.jobs[w.Jobs[i].Spec.ID]
		if f == nil {
			continue
		}
		r := Result{ID: f.spec.ID, State: f.state, Waited: -1, Took: -1, Starts: f.starts}
		if f.begun > 0 {
			r.Waited = f.begun - f.At
		}
		if f.shown > 0 {
			r.Took = f.shown - f.At
			r.Late = r.Took - f.spec.Objective()
		}
		out = append(out, r)
	}
	return out
}
