package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// fullLists is a scenario in which more runs end on a worker during an outage of the store than
// it lists at once.
func fullLists(seed uint64, spec jobspec.Spec) simulation.Scenario {
	return simulation.Scenario{
		Seed: seed, Workers: 2, Configuration: configuration(0), MaxListedEnds: 2,
		Jobs:   []simulation.Arrival{{At: 1000, Spec: spec}},
		Faults: []simulation.Fault{{At: 3500, Duration: 4500, Kind: simulation.StoreDown}},
	}
}

// Review 6 (TWICE): a run that is not among the first ends that its worker lists was taken for
// lost, and its task started again after the run had ended as done.
func TestRunsBeyondAFullListDoNotStartAgain(t *testing.T) {
	for seed := range uint64(10) {
		w := runScenario(t, fullLists(seed, batch("b", 16, 4000)), 30_000)
		requireEnded(t, w, jobspec.Completed)
		assert.Equal(t, 16, w.Results()[0].Starts, "seed %d", seed)
	}
}

// The same for gangs, whose members end on several workers.
func TestGangsBeyondAFullListDoNotStartAgain(t *testing.T) {
	for seed := range uint64(10) {
		p := fullLists(seed, gang("g00", 2, 1, 4000, 1))
		for i := 1; i < 6; i++ {
			p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: gang(fmt.Sprintf("g%02d", i), 2, 1, 4000, 1)})
		}
		w := runScenario(t, p, 30_000)
		requireEnded(t, w, jobspec.Completed)
		for _, r := range w.Results() {
			assert.Equal(t, 2, r.Starts, "seed %d: %+v", seed, r)
		}
	}
}

// Review 6 (BUDGET): the failure of a run beyond a full list was not counted as an attempt, so
// that the task started more often than it may.
func TestFailureBeyondAFullListCounts(t *testing.T) {
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	x.submit()
	start := x.answerStart(placement.Executed, x.now-500)
	x.moreEnds = true
	for range 10 {
		x.wait(100)
		x.answerPolls("w", 500)
	}
	x.moreEnds = false
	x.ended = []placement.End{{Number: 501, Task: start.Order.Task, Run: 1, Outcome: placement.EndFailed}}
	x.answerPolls("w", 500)
	x.wait(100)
	require.NotNil(t, x.details["b"])
	assert.Equal(t, 1, x.details["b"].Occurrences[0][0][0].Failures)
}

// A run that is being stopped may have ended as done beyond a full list. It must neither end
// as stopped nor keep its task waiting once the list is complete.
func TestStoppedRunIsAwaitedBeyondAFullList(t *testing.T) {
	for _, done := range []bool{true, false} {
		x := newExchange(t)
		x.list("w", 500, false)
		x.answerPolls("w", 500)
		x.submit()
		start := x.answerStart(placement.Executed, x.now-500)
		x.list("v", 600, false)
		x.answerPolls("v", 600)
		// A run without progress is stopped.
		for range 60 {
			x.wait(100)
			x.answerPolls("w", 500, placement.Run{Task: start.Order.Task, Run: 1})
			x.answerPolls("v", 600)
		}
		require.Positive(t, x.answerStops(x.now-500))
		x.moreEnds = true
		for range 10 {
			x.wait(100)
			x.answerPolls("w", 500)
		}
		x.moreEnds = false
		x.answerPolls("v", 600)
		assert.False(t, x.startedElsewhere(), "while the list is full")
		if done {
			x.ended = []placement.End{{Number: 501, Task: start.Order.Task, Run: 1, Outcome: placement.EndDone}}
		}
		for range 10 {
			x.wait(100)
			x.answerPolls("w", 500)
			x.answerPolls("v", 600)
		}
		assert.Equal(t, !done, x.startedElsewhere(), "once it is complete")
	}
}

// The first list that a worker sends to a new coordinator may be full. The start of a run that may
// have ended beyond it must not be sent again.
func TestUnconfirmedRunIsAwaitedBeyondAFullList(t *testing.T) {
	x := newSuccessor(t)
	x.moreEnds = true
	x.list("w", lifetime, false)
	x.list("v", lifetime, false)
	for range 10 {
		x.wait(100)
		x.answerPolls("w", lifetime)
		x.answerPolls("v", lifetime)
	}
	assert.Empty(t, x.starts)
	x.moreEnds = false
	x.ended = []placement.End{{Number: 501, Task: jobspec.TaskID{Job: "b"}, Run: 1, Outcome: placement.EndDone}}
	x.answerPolls("w", lifetime)
	x.wait(100)
	assert.Empty(t, x.starts)
	open, _, _ := x.state.Counts()
	assert.Zero(t, open, "the job is completed")
}

// A run that a restarted worker does not list may have been started in its new lifetime by a late
// order, and have ended beyond a full list.
func TestRunOfALaterLifetimeIsAwaitedBeyondAFullList(t *testing.T) {
	x := newSuccessor(t)
	x.moreEnds = true
	x.list("w", lifetime+100, false)
	x.list("v", lifetime, false)
	for range 10 {
		x.wait(100)
		x.answerPolls("w", lifetime+100)
		x.answerPolls("v", lifetime)
	}
	assert.Empty(t, x.starts, "while the list is full")
	x.moreEnds = false
	for range 10 {
		x.wait(100)
		x.answerPolls("w", lifetime+100)
		x.answerPolls("v", lifetime)
	}
	assert.NotEmpty(t, x.starts, "once it is complete")
}

// A full list must not keep the worker from new tasks, nor lost work on other workers waiting.
func TestFullListStallsNoOther(t *testing.T) {
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	x.submit()
	start := x.answerStart(placement.Executed, x.now-500)
	x.moreEnds = true
	x.wait(100)
	x.answerPolls("w", 500)
	x.moreEnds = false
	x.list("v", 600, false)
	x.answerPolls("v", 600)
	for _, id := range []string{"c", "d"} {
		spec := batch(id, 8, 30_000)
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	}
	x.wait(100)
	started := make(map[string]int)
	for _, s := range x.starts {
		if s != start {
			started[s.Target.ID]++
		}
	}
	assert.NotZero(t, started["w"], "a worker whose list is full takes tasks")
	assert.NotZero(t, started["v"])
}

// A worker refuses the start of a run that has ended or was stopped there. The run was taken for one
// that never started, and its task started again although the run had ended as done.
func TestRefusedStartOfAnEndedRunIsNotRepeated(t *testing.T) {
	for _, done := range []bool{true, false} {
		x := newSuccessor(t)
		x.list("w", lifetime, false)
		x.answerPolls("w", lifetime)
		x.answerPolls("v", lifetime)
		x.answerStart(placement.Superseded, x.now-lifetime)
		x.wait(100)
		assert.False(t, x.startedElsewhere(), "before the next list")
		x.answerStops(x.now - lifetime)
		if done {
			x.ended = []placement.End{{Number: 1, Task: jobspec.TaskID{Job: "b"}, Run: 1, Outcome: placement.EndDone}}
		}
		for range 10 {
			x.wait(100)
			x.answerPolls("w", lifetime)
			x.answerPolls("v", lifetime)
		}
		assert.Equal(t, !done, len(x.starts) > 1, "after the next list")
	}
}
