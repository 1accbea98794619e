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

// Guards against tasks that count as stalled, and workers that are quarantined, since reports of their
// progress waited for a busy coordinator. Two reports arrive within 200 ms; the second is handled
// late.
func TestReportThatWaitedShowsNoStall(t *testing.T) {
	for _, waited := range []int64{0, 1300} {
		x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
		x.collect(x.state.Start(x.now, x.now, &jobstate.Table{}, jobstate.Details{}, configuration(8), true))
		x.list("w", lifetime, false)
		x.wait(500)
		x.answerPolls("w", lifetime)
		s := gang("g", 1, 8, 8000, 0)
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &s}})
		x.wait(100)
		require.Len(t, x.starts, 1)
		x.answerStart(placement.Executed, x.now-lifetime)
		run := placement.Run{Task: jobspec.TaskID{Job: "g"}, Run: 1, Percent: 10}
		x.wait(1000)
		x.answerPolls("w", lifetime, run)
		x.wait(1500)
		require.NotEmpty(t, x.polls)
		reply := placement.PollReply{
			Reply:    placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime - waited},
			Lifetime: lifetime, Running: []placement.Run{run},
		}
		x.apply(coordinator.Event{Waited: waited, Polled: &coordinator.Polled{
			Worker: "w", Address: "w", Number: x.polls[0].Number, SentAt: x.now - waited, Reply: reply,
		}})
		x.wait(100)
		if waited == 0 {
			assert.NotEmpty(t, x.stops, "no progress for 1.5 s")
		} else {
			assert.Empty(t, x.stops, "no progress for 200 ms")
		}
	}
}
