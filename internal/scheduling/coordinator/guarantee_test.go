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

// Guards against guaranteed work that loses its guarantee and is displaced before it has begun. The
// acceptance of an older job of the same organisation is read late; both exceed the guarantee.
func TestGuaranteeOnceGivenStays(t *testing.T) {
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
	x.collect(x.state.Start(x.now, x.now, &jobstate.Table{}, jobstate.Details{}, configuration(8), true))
	x.list("w", lifetime, false)
	x.wait(500)
	x.answerPolls("w", lifetime)
	first := gang("first", 1, 8, 2500, 0)
	first.AcceptedAt = x.now
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &first}})
	x.wait(300)
	require.Len(t, x.starts, 1)
	x.answerStart(placement.Executed, x.now-lifetime)
	older := gang("older", 1, 8, 2500, 0)
	older.AcceptedAt = first.AcceptedAt - 100
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &older}})
	x.wait(300)
	assert.Empty(t, x.stops, "the first job is displaced")
	x.answerPolls("w", lifetime, placement.Run{Task: jobspec.TaskID{Job: "first"}, Run: 1})
	x.wait(300)
	assert.Empty(t, x.stops, "the first job is displaced")
}

// While a job waits for what newer ones are covered by, no further job is covered: a stream of small
// jobs would keep a large one waiting for good.
func TestLargeJobIsNotPassedOver(t *testing.T) {
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
	x.collect(x.state.Start(x.now, x.now, &jobstate.Table{}, jobstate.Details{}, configuration(8), true))
	x.list("w", lifetime, false)
	x.wait(500)
	x.answerPolls("w", lifetime)
	submit := func(id string, accelerators, acceptedAt int64) {
		s := gang(id, 1, accelerators, 2500, 0)
		s.AcceptedAt = acceptedAt
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &s}})
		x.wait(300)
	}
	at := x.now
	submit("small0", 4, at)
	submit("large", 8, at-100)
	submit("small1", 4, at+100)
	require.Len(t, x.starts, 2, "the large job does not fit beside the first small one")
	for _, s := range x.starts {
		x.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
			Worker: "w", Address: "w", Task: s.Order.Task, Run: 1, Reply: placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime},
		}})
	}
	require.Empty(t, x.stops)
	x.ended = []placement.End{{Number: 1, Task: jobspec.TaskID{Job: "small0"}, Run: 1, Outcome: placement.EndDone}}
	x.answerPolls("w", lifetime, placement.Run{Task: jobspec.TaskID{Job: "small1"}, Run: 1})
	x.wait(300)
	require.NotEmpty(t, x.stops, "the large job is covered now")
	assert.Equal(t, "small1", x.stops[0].Order.Task.Job)
}
