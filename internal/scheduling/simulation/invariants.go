package simulation

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// cancelGrace is how long after a cancellation the tasks of the job may still start, in
// milliseconds.
const cancelGrace = 3000

// violationf records a violation.
func (c *Cluster) violationf(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%d: ", c.now)+fmt.Sprintf(format, args...))
	c.tracef("VIOLATION "+format, args...)
}

// tracef passes a line to Trace.
func (c *Cluster) tracef(format string, args ...any) {
	if c.Trace != nil {
		c.Trace(fmt.Sprintf("%d: ", c.now) + fmt.Sprintf(format, args...))
	}
}

// task returns the state of a task. It adds the task if j does not have it yet.
func (j *simulatedJob) task(id jobspec.TaskID) *simulatedTask {
	t := j.tasks[id]
	if t == nil {
		t = &simulatedTask{failures: make(map[int]bool)}
		j.tasks[id] = t
	}
	return t
}

// shownGrace is how long after a job was shown as completed orders may still arrive, in
// milliseconds.
const shownGrace = 1000

// checkStart checks the invariants that apply to the start of a run, and records the run.
func (c *Cluster) checkStart(r *run) {
	j := r.job
	t := j.task(r.task)
	j.starts++
	if j.startedAt == 0 {
		j.startedAt = c.now
	}
	c.tracef("%s: %v run %d starts", r.id, r.task, r.run)
	if r.step().Gang {
		c.checkGangStart(r)
	}
	c.checkEvacuated(r)
	for _, other := range t.live {
		if !other.ended && other.up {
			c.violationf("%v run %d starts on %s while run %d is running on %s", r.task, r.run, r.id, other.run, other.id)
		}
	}
	if t.acknowledged {
		c.violationf("%v run %d starts after a success was acknowledged", r.task, r.run)
	}
	if j.shownAt != 0 && c.now > j.shownAt+shownGrace {
		c.violationf("%v run %d starts %d ms after the job was shown as completed", r.task, r.run, c.now-j.shownAt)
	}
	if len(t.failures) >= j.spec.MaxAttempts {
		c.violationf("%v run %d starts after %d failures", r.task, r.run, len(t.failures))
	}
	for _, a := range r.step().After {
		for i := range j.spec.Steps[a].Tasks {
			dependency := jobspec.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: a, Index: i}
			if !j.task(dependency).succeeded {
				c.violationf("%v starts before %v is done", r.task, dependency)
			}
		}
	}
	if j.cancelledAt != 0 && c.now > j.cancelledAt+cancelGrace && !c.executingLate {
		c.violationf("%v starts %d ms after the cancellation", r.task, c.now-j.cancelledAt)
	}
	t.live = append(t.live, r)
}

// checkGangStart checks that no member of another run of r's gang is running, and that the
// success of no member was acknowledged.
func (c *Cluster) checkGangStart(r *run) {
	for i := range r.step().Tasks {
		if i == r.task.Index {
			continue
		}
		id := r.task
		id.Index = i
		t := r.job.task(id)
		if t.acknowledged {
			c.violationf("%v run %d starts after a success of %v was acknowledged", r.task, r.run, id)
		}
		for _, other := range t.live {
			if !other.ended && other.up && other.run != r.run {
				c.violationf("%v run %d starts on %s while %v run %d is running on %s", r.task, r.run, r.id, id, other.run, other.id)
			}
		}
	}
}

// checkEnd records the end of a run. In a scenario without faults, a gang must not time out
// waiting for its members unless its job was cancelled.
func (c *Cluster) checkEnd(r *run, outcome placement.Outcome) {
	t := r.job.task(r.task)
	for i, other := range t.live {
		if other == r {
			t.live = append(t.live[:i], t.live[i+1:]...)
			break
		}
	}
	if outcome == placement.EndGangIncomplete && r.job.cancelledAt == 0 && !c.hasFaults() {
		c.violationf("%v run %d timed out waiting for the rest of its gang", r.task, r.run)
	}
	c.noteEnd(r, t, outcome)
}

// hasFaults reports whether the scenario has any fault.
func (c *Cluster) hasFaults() bool { return len(c.Faults) > 0 }

// checkAcknowledged records that the coordinator has acknowledged an end. The end of a
// successful run must be in the store by then.
func (c *Cluster) checkAcknowledged(w *worker, e *placement.End) {
	j := c.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.task(e.Task)
	switch e.Outcome {
	case placement.EndDone:
		t.acknowledged = true
		c.tracef("%s: end %d (%v run %d) is acknowledged", w.id, e.Number, e.Task, e.Run)
		if entry := c.table.Jobs[e.Task.Job]; c.leader != nil && (entry == nil || entry.Progress == nil) && c.details[e.Task.Job] == nil {
			c.violationf("the end of %v on %s is acknowledged but not recorded", e.Task, w.id)
		}
	case placement.EndFailed:
		// A failure that was not reported before the lease expired does not count: the task
		// may have been started elsewhere by then.
		if e.Number > w.endCountAtExpiry {
			t.failures[e.Run] = true
		}
	}
}

// recordJobEnd records the end of a job once it is in the store.
func (c *Cluster) recordJobEnd(id string) {
	entry, j := c.table.Jobs[id], c.jobs[id]
	if entry == nil || j == nil || j.endedAt != 0 || entry.Progress == nil || !entry.Progress.State.Ended() {
		return
	}
	j.endedAt, j.state = c.now, entry.Progress.State
}

// checkShown checks that a job that is shown as running to callers has begun.
func (c *Cluster) checkShown(id string, entry *jobstate.Job) {
	if j := c.jobs[id]; j != nil && j.starts == 0 && entry.State() == jobspec.Running {
		c.violationf("job %s is shown as running before any run of it has started", id)
	}
}

// Result is the result of a job.
type Result struct {
	ID    string
	State jobspec.State
	// Waited and Took are the times from the submission to the first start of a task and
	// to the recorded end of the job, in milliseconds; -1 for never.
	Waited, Took int64
	// Lateness is Took minus the job's objective, in milliseconds.
	Lateness int64
	// Starts is the number of runs that were started.
	Starts int
	// Ended is the time from the submission until the last task had succeeded on its worker, in
	// milliseconds; -1 if not all have. Objective is the objective by the actual run times, in
	// milliseconds: the stretch times those of the longest chain of steps, plus the slack. OnTime is
	// set if Ended is within it. They are meant for jobs of one occurrence.
	Ended, Objective int64
	OnTime           bool
	// Wasted is the capacity that the job's runs took for work that was lost, in core seconds by
	// Resources.Weight: what runs that were stopped, broken or lost with their worker had done beyond
	// their newest checkpoints. Failed and long-running tasks and cancelled jobs are not counted.
	Wasted float64
}

// Results returns the results of the submitted jobs, in the order of Scenario.Jobs.
func (c *Cluster) Results() []Result {
	var out []Result
	for i := range c.Jobs {
		j := c.jobs[c.Jobs[i].Spec.ID]
		if j == nil {
			continue
		}
		r := Result{ID: j.spec.ID, State: j.state, Waited: -1, Took: -1, Starts: j.starts, Ended: -1, Objective: j.actualObjective(), Wasted: j.wasted}
		if j.startedAt > 0 {
			r.Waited = j.startedAt - j.At
		}
		if j.endedAt > 0 {
			r.Took = j.endedAt - j.At
			r.Lateness = r.Took - j.spec.Objective()
		}
		if j.succeeded == j.spec.TaskCount()*j.spec.OccurrenceCount() {
			r.Ended = j.lastSuccessAt - j.spec.AcceptedAt
			r.OnTime = r.Ended <= r.Objective
		}
		out = append(out, r)
	}
	return out
}
