package coordinator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// A coordinator whose process was paused while start orders and polls waited for the link
// must not send them before an append has shown that it still holds the role. Once one has,
// they must go out.
func TestPausedCoordinatorHoldsQueuedCalls(t *testing.T) {
	s := coordinator.State{Settings: coordinator.Settings{LinkRate: 10_000}, Term: 7}
	var recorded uint64
	starts, polls := 0, 0
	count := func(effects []coordinator.Effect) {
		for _, f := range effects {
			switch {
			case f.Record != nil:
				recorded = f.Record.Batch
			case f.Start != nil:
				starts++
			case f.Poll != nil:
				polls++
			}
		}
	}
	apply := func(e coordinator.Event) { count(s.Apply(&e)) }
	count(s.Start(1000, 1000, &jobstate.Table{}, jobstate.Details{}, configuration(0), true))
	capacity := jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}
	l := placement.Listing{ID: "w", Lifetime: 5, Address: "10.0.0.1:1", Service: service, Labels: []string{"a", "r0"}, Capacity: capacity}
	executed := placement.PollReply{Reply: placement.Reply{Verdict: placement.Executed, Clock: 100}, Lifetime: 5}
	apply(coordinator.Event{Now: 1010, Listed: &l})
	apply(coordinator.Event{Now: 1300, Polled: &coordinator.Polled{Worker: "w", Number: 1, SentAt: 1011, Reply: executed}})
	apply(coordinator.Event{Now: 1500, Recorded: &coordinator.Recorded{Batch: recorded, SentAt: 1490}})
	spec := batch("b", 6, 1000)
	spec.Payload = strings.Repeat("x", 4000)
	apply(coordinator.Event{Now: 3000, Job: &coordinator.JobChanged{Spec: &spec}})
	apply(coordinator.Event{Now: 3100, Recorded: &coordinator.Recorded{Batch: recorded, SentAt: 3090}})
	apply(coordinator.Event{Now: 3200, Recorded: &coordinator.Recorded{Batch: recorded, SentAt: 3190}})
	for _, id := range []string{"v0", "v1", "v2", "v3"} {
		other := l
		other.ID, other.Address = id, "10.0.0.2:"+id[1:]
		apply(coordinator.Event{Now: 3210, Listed: &other})
	}
	require.Positive(t, starts)
	require.Less(t, starts, 6, "some starts wait for the link")
	before, polled := starts, polls
	// The process is paused for 20 s. The first event after it was queued before.
	apply(coordinator.Event{Now: 23_200, Listed: &l})
	assert.Equal(t, before, starts, "no start without a valid claim")
	apply(coordinator.Event{Now: 23_250})
	assert.Equal(t, before, starts, "no start without a valid claim")
	assert.Equal(t, polled, polls, "no poll without a valid claim")
	for now := int64(23_300); now < 28_000; now += 50 {
		apply(coordinator.Event{Now: now, Recorded: &coordinator.Recorded{Batch: recorded, SentAt: now - 10}})
	}
	assert.GreaterOrEqual(t, polls, polled+3, "the queued polls are sent with a valid claim")
}

// Scenario: a wide job of a low priority arrives before a gang that needs most of the workers. The
// coordinator's host can send 100 start orders a second. What is placed and waits for its start
// order holds its capacity, so that the gang found no workers for seconds while they were idle.
func TestStartBacklogHoldsNoCapacity(t *testing.T) {
	p := simulation.Scenario{Workers: 64, Configuration: configuration(0)}
	p.Coordinator.CallRate = 400
	p.Jobs = append(p.Jobs, simulation.Arrival{At: 3000, Spec: batch("wide", 512, 4000)})
	p.Jobs = append(p.Jobs, simulation.Arrival{At: 3200, Spec: gang("gang", 32, 8, 2000, 1)})
	w := runScenario(t, p, 60_000)
	requireEnded(t, w, jobspec.Completed)
	for _, r := range w.Results() {
		if r.ID == "gang" {
			assert.Less(t, r.Waited, int64(1600), "%+v", r)
		}
	}
}

// Scenario: urgent work runs on all workers, whose progress is polled every 500 ms, which is more
// than the coordinator's host can carry. While a poll waits for its turn, its worker can report no
// end. Ends must still be known soon.
func TestEndsAreReportedBesideManyPolls(t *testing.T) {
	p := simulation.Scenario{Workers: 400, Configuration: configuration(0)}
	p.Coordinator.CallRate = 800
	for i := range 400 {
		s := gang(fmt.Sprintf("long%03d", i), 1, 4, 60_000, 0)
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 3000, Spec: s})
	}
	for i := range 60 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(12_000 + 200*i), Spec: batch(fmt.Sprintf("short%02d", i), 1, 2000)})
	}
	w := simulation.New(p)
	w.Run(40_000)
	assert.Empty(t, w.Violations)
	late := 0
	for _, r := range w.Results()[400:] {
		if r.State != jobspec.Completed || r.Took > r.Waited+2000+100 {
			late++
		}
	}
	assert.Less(t, late, 6, "ends that were recorded late")
}

// The leases of a worker that drains are short, so that its polls must not become rarer on a host
// that carries few calls. Those of other workers do.
func TestDrainingWorkerIsPolledAsOften(t *testing.T) {
	for _, draining := range []bool{false, true} {
		x := &exchange{T: t, now: 1000, state: coordinator.State{Settings: coordinator.Settings{CallRate: 10}, Term: 7}}
		x.collect(x.state.Start(x.now, x.now, &jobstate.Table{}, jobstate.Details{}, configuration(0), true))
		for i := range 20 {
			x.list(fmt.Sprint("idle", i), lifetime, false)
		}
		x.list("w", lifetime, false)
		x.wait(30_000)
		x.answerPolls("w", lifetime)
		urgent := gang("b", 1, 1, 60_000, 0)
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &urgent}})
		x.wait(5000)
		x.answerStart(placement.Executed, x.now-lifetime)
		x.list("w", lifetime, draining)
		x.wait(1000)
		x.answerPolls("w", lifetime, placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1})
		x.wait(30_000)
		require.NotEmpty(t, x.polls)
		last := x.polls[len(x.polls)-1]
		require.Equal(t, "w", last.Target.ID)
		if draining {
			assert.EqualValues(t, 500, last.Order.Wait)
		} else {
			assert.EqualValues(t, 2000, last.Order.Wait)
		}
	}
}

// A process that is paused during a scheduling pass takes long for it. The next pass must not wait for
// a multiple of that.
func TestPauseInAPassDelaysNoOther(t *testing.T) {
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
	x.collect(x.state.Start(x.now, x.now, &jobstate.Table{}, jobstate.Details{}, configuration(8), true))
	x.list("w", lifetime, false)
	x.wait(500)
	x.answerPolls("w", lifetime)
	first, second := batch("first", 1, 1000), batch("second", 1, 1000)
	x.now += 100
	x.holdRecords = true
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &first}})
	x.apply(coordinator.Event{Took: 9000})
	x.confirmRecords()
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &second}})
	x.wait(1000)
	assert.Len(t, x.starts, 2)
}
