package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Guards against guaranteed work that waits for the end of lasting work, and against stopping
// more of a lasting step than it may miss, or any of it without a guarantee.
func TestGuaranteeReclaimsFromLastingWork(t *testing.T) {
	for _, c := range []struct {
		name       string
		guaranteed int64
		mayMiss    int
		reclaimed  bool
	}{
		{"unprotected", 16, 0, true},
		{"may miss enough", 16, 8, true},
		{"may not miss enough", 16, 7, false},
		{"no guarantee", 0, 0, false},
	} {
		p := simulation.Scenario{Workers: 8, Configuration: configuration(c.guaranteed)}
		lasting := batch("lasting", 64, 1000)
		step := &lasting.Steps[0]
		step.Need.Memory, step.LongRunning, step.MaxUnavailable = 30_000, true, c.mayMiss
		p.Jobs = []simulation.Arrival{{At: 500, Spec: lasting, CancelAt: 20_000}, {At: 5000, Spec: gang("urgent", 1, 8, 2500, 0)}}
		rs := runScenario(t, p, 40_000).Results()
		assert.Equal(t, c.reclaimed, rs[1].Waited < 1600, "%s: %+v", c.name, rs[1])
		starts := 64
		if c.reclaimed {
			starts += 8
		}
		assert.Equal(t, starts, rs[0].Starts, c.name)
	}
}

// Guards against failures of lasting tasks that add up although the worker serves in between:
// each later pair of them would cost a longer quarantine than a lasting task may wait.
func TestFailuresOfLastingTasksDoNotAddUp(t *testing.T) {
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	for n, id := range []string{"a", "b", "c", "d"} {
		spec := batch(id, 1, 1000)
		spec.Steps[0].LongRunning = true
		at := x.now
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
		for len(x.starts) == n {
			x.wait(50)
			x.answerPolls("w", 500)
			require.Less(t, x.now, at+3000, "%s waits for a quarantine", id)
		}
		start := x.answerStart(placement.Executed, x.now-500)
		run := placement.Run{Task: start.Order.Task, Run: start.Order.Run, Percent: 100}
		for range 120 {
			x.wait(50)
			x.answerPolls("w", 500, run)
		}
		x.ended = []placement.End{{Number: int64(n + 1), Task: run.Task, Run: run.Run, Outcome: placement.EndFailed}}
		x.wait(50)
		x.answerPolls("w", 500)
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec, Cancelled: true}})
	}
}
