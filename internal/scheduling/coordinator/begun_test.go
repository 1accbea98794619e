package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// shown returns the state of the job b that hosts show to callers.
func (x *exchange) shown() jobspec.State {
	if j := x.table.Jobs["b"]; j != nil {
		return j.State()
	}
	return jobspec.Queued
}

// newSubmission returns a coordinator that has sent a start order for the job b to the worker w.
func newSubmission(t *testing.T) *exchange {
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	x.submit()
	require.Len(t, x.starts, 1)
	return x
}

// Review 10 (MIXED): a job counted as started once it was placed, so that hosts gave jobs as running,
// and not as pending, of which nothing has ever begun.
func TestUnansweredStartIsNotToldAsRunning(t *testing.T) {
	x := newSubmission(t)
	for range 3 {
		x.unanswerStart()
	}
	x.unanswerPolls()
	for range 100 {
		x.wait(100)
		x.unanswerPolls()
		require.Equal(t, jobspec.Queued, x.shown())
	}
}

// The same if the worker refuses the start, or if the placement is withdrawn before the start is sent.
func TestRefusedStartIsNotToldAsRunning(t *testing.T) {
	for _, v := range []placement.Verdict{placement.NoCapacity, placement.Unhealthy, placement.NotSent, placement.Invalid} {
		x := newSubmission(t)
		for range x.state.MaxStartOrders {
			x.answerStart(v, x.now-500)
		}
		x.wait(1000)
		assert.Equal(t, jobspec.Queued, x.shown(), v)
	}

	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	x.holdRecords = true
	x.submit()
	x.list("w", 500, true)
	x.confirmRecords()
	x.wait(1000)
	require.Empty(t, x.starts)
	assert.Equal(t, jobspec.Queued, x.shown(), "the placement was withdrawn")
}

// A job is shown as running as soon as a run of it is known to have begun: by the answer to its start,
// a list of runs or its end.
func TestBegunJobIsToldAsRunning(t *testing.T) {
	task := jobspec.TaskID{Job: "b"}
	for name, show := range map[string]func(x *exchange){
		"answer": func(x *exchange) { x.answerStart(placement.Executed, x.now-500) },
		"list":   func(x *exchange) { x.answerPolls("w", 500, placement.Run{Task: task, Run: 1}) },
		"end": func(x *exchange) {
			x.ended = []placement.End{{Number: 1, Task: task, Run: 1, Outcome: placement.EndFailed}}
			x.answerPolls("w", 500)
		},
		"answer after the stop": func(x *exchange) {
			x.list("w", 500, true)
			x.unanswerStart()
			x.answerStart(placement.Executed, x.now-500)
		},
	} {
		x := newSubmission(t)
		require.Equal(t, jobspec.Queued, x.shown(), name)
		show(x)
		x.wait(x.state.RenewInterval + 50)
		assert.Equal(t, jobspec.Running, x.shown(), name)
	}
}

// A successor must show what its predecessor has shown. A job that was only placed is queued until a
// worker lists a run of it.
func TestSuccessorTellsWhatHasBegun(t *testing.T) {
	spec := batch("b", 1, 30_000)
	placed := &jobspec.Progress{
		State: jobspec.Queued, Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Placed, Run: 1, Worker: "w", Lifetime: lifetime}}}},
	}
	for _, running := range []bool{false, true} {
		entry := &jobstate.Job{Spec: &spec}
		if running {
			entry.Progress = &jobspec.Progress{State: jobspec.Running, Started: true}
		}
		x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
		x.table.Jobs = map[string]*jobstate.Job{"b": entry}
		x.collect(x.state.Start(x.now, x.now, &jobstate.Table{Jobs: map[string]*jobstate.Job{"b": entry}}, jobstate.Details{"b": placed}, configuration(0), true))
		x.list("w", lifetime, false)
		x.wait(1000)
		assert.Equal(t, running, x.shown() == jobspec.Running, "before the first list")
		x.answerPolls("w", lifetime, placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1})
		x.wait(1000)
		assert.Equal(t, jobspec.Running, x.shown(), "after it")
	}
}

// The predecessor may have recorded for its successor that a run has begun, but not for callers.
func TestSuccessorTellsWhatWasRecordedForIt(t *testing.T) {
	spec := batch("b", 1, 30_000)
	begun := &jobspec.Progress{State: jobspec.Running, Started: true, Occurrences: jobspec.Occurrences{{{{Run: 1, Failures: 1}}}}}
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
	table := jobstate.Table{Jobs: map[string]*jobstate.Job{"b": {Spec: &spec}}}
	x.collect(x.state.Start(x.now, x.now, &table, jobstate.Details{"b": begun}, configuration(0), true))
	x.wait(1000)
	assert.Equal(t, jobspec.Running, x.shown())
}

// A run that no placement accounts for has begun as well.
func TestUnplacedRunIsToldAsRunning(t *testing.T) {
	x := newExchange(t)
	x.submit()
	x.list("w", 500, false)
	x.answerPolls("w", 500, placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1})
	x.wait(1000)
	assert.Equal(t, jobspec.Running, x.shown())
}
