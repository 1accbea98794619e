package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// endedJob returns a coordinator whose only job has completed.
func endedJob(t *testing.T) *exchange {
	x := newExchange(t)
	x.list("w", lifetime, false)
	x.answerPolls("w", lifetime)
	x.submit()
	s := x.answerStart(placement.Executed, x.now-lifetime)
	x.ended = []placement.End{{Number: 1, Task: s.Order.Task, Run: s.Order.Run, Outcome: placement.EndDone}}
	x.wait(1500)
	x.answerPolls("w", lifetime)
	require.Equal(t, jobspec.Completed, x.table.Jobs["b"].State())
	return x
}

// A completed job whose coordinator's time of day jumps must neither be forgotten early, so that
// callers get 410 and a repeated submission runs again, nor be kept for good.
func TestRetentionIgnoresTheTimeOfDay(t *testing.T) {
	for _, jump := range []int64{130_000, -86_400_000} {
		x := endedJob(t)
		x.wallSkip = jump
		x.wait(119_000)
		assert.Contains(t, x.table.Jobs, "b", "jump of %d ms", jump)
		x.list("w", lifetime, false)
		x.answerPolls("w", lifetime)
		x.submit()
		assert.Len(t, x.starts, 1, "jump of %d ms", jump)
		x.wait(12_000)
		assert.NotContains(t, x.table.Jobs, "b", "jump of %d ms", jump)
	}
}

// The end of a job that the store takes late is shown late; it is shown for as long.
func TestRetentionBeginsWithTheRecordedEnd(t *testing.T) {
	x := newExchange(t)
	x.submit()
	x.holdRecords = true
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &jobspec.Spec{ID: "b"}, Cancelled: true}})
	x.wait(60_000)
	x.confirmRecords()
	x.wait(119_000)
	assert.Contains(t, x.table.Jobs, "b")
}

// A coordinator that takes over goes on counting where its own copy of the table began to.
func TestSuccessorCountsFromTheEndItRead(t *testing.T) {
	x := endedJob(t)
	x.table.Jobs["b"].EndSeenAt = 1000
	x.now, x.state = 100_000, coordinator.State{Term: 8}
	x.collect(x.state.Start(x.now, x.now-86_400_000, &x.table, nil, configuration(0), true))
	x.wait(20_000)
	assert.Contains(t, x.table.Jobs, "b")
	x.wait(12_000)
	assert.NotContains(t, x.table.Jobs, "b")
}
