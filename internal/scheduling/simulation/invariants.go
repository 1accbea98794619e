package simulation

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// cancelTime is how long tasks of a cancelled job may still start, in milliseconds.
const cancelGrace = 3000

// brokenf notes a broken promise.
func (c *Cluster) violationf(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%d: ", c.now)+fmt.Sprintf(format, args...))
}

func (j *jobState) task(n jobspec.TaskID) *taskState {
	t := j.tasks[n]
	if t == nil {
		t = &taskState{failures: make(map[int]bool)}
		j.tasks[n] = t
	}
	return t
}

// judgeStart checks what must hold when a run begins.
func (c *Cluster) checkStart(r *run) {
	j := r.job
	t := j.task(r.task)
	j.starts++
	if j.startedAt == 0 {
		j.startedAt = c.now
	}
	for _, other := range t.live {
		if !other.ended && other.up {
			c.violationf("%v run %d begins on %s while run %d is at work on %s", r.task, r.run, r.id, other.run, other.id)
		}
	}
	if t.acknowledged {
		c.violationf("%v run %d begins after its success was noted", r.task, r.run)
	}
	if len(t.failures) >= j.spec.MaxAttempts {
		c.violationf("%v run %d begins after %d failures", r.task, r.run, len(t.failures))
	}
	for _, a := range r.step().After {
		for i := range j.spec.Steps[a].Tasks {
			n := jobspec.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: a, Index: i}
			if !j.task(n).succeeded {
				c.violationf("%v begins before %v is done", r.task, n)
			}
		}
	}
	if j.cancelledAt != 0 && c.now > j.cancelledAt+cancelGrace && c.lateProbability == 0 {
		c.violationf("%v begins %d ms after the cancellation", r.task, c.now-j.cancelledAt)
	}
	t.live = append(t.live, r)
}

// judgeEnd notes that a run is over.
func (c *Cluster) checkEnd(r *run, how placement.Outcome) {
	t := r.job.task(r.task)
	for i, other := range t.live {
		if other == r {
			t.live = append(t.live[:i], t.live[i+1:]...)
			break
		}
	}
	if how == placement.EndGangIncomplete && r.job.cancelledAt == 0 && !c.hasFaults() {
		c.violationf("%v run %d waited for its gang in vain", r.task, r.run)
	}
	if how == placement.EndDone {
		t.succeeded = true
	}
}

// disturbed reports whether any fault is planned at all.
func (c *Cluster) hasFaults() bool { return len(c.Faults) > 0 }

// judgeNoted notes that the coordinator acknowledged an end.
func (c *Cluster) checkAcknowledged(w *worker, e *placement.End) {
	j := c.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.task(e.Task)
	switch e.Outcome {
	case placement.EndDone:
		t.acknowledged = true
		if entry := c.table.Jobs[e.Task.Job]; c.leader != nil && (entry == nil || entry.Progress == nil) && c.details[e.Task.Job] == nil {
			c.violationf("the end of %v on %s is acknowledged and not recorded", e.Task, w.id)
		}
	case placement.EndFailed:
		// An end that was not heard before the lease ran out came too late to count: the
		// task may have been started elsewhere by then.
		if e.Number > w.lapsedEnd {
			t.failures[e.Run] = true
		}
	}
}

// judgeShown notes what is shown of a job.
func (c *Cluster) recordJobEnd(id string) {
	entry, j := c.table.Jobs[id], c.jobs[id]
	if entry == nil || j == nil || j.endedAt != 0 || entry.Progress == nil || !entry.Progress.State.Ended() {
		return
	}
	j.endedAt, j.state = c.now, entry.Progress.State
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
func (c *Cluster) Results() []Result {
	var out []Result
	for i := range c.Jobs {
		j := c.jobs[c.Jobs[i].Spec.ID]
		if j == nil {
			continue
		}
		r := Result{ID: j.spec.ID, State: j.state, Waited: -1, Took: -1, Starts: j.starts}
		if j.startedAt > 0 {
			r.Waited = j.startedAt - j.At
		}
		if j.endedAt > 0 {
			r.Took = j.endedAt - j.At
			r.Late = r.Took - j.spec.Objective()
		}
		out = append(out, r)
	}
	return out
}
