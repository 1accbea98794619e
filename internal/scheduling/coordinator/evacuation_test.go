package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// listIn lists a worker of a data centre, with the time for which it is cold.
func (x *exchange) listIn(id, dataCentre string, coldLeft int64) {
	x.apply(coordinator.Event{Listed: &placement.Listing{
		ID: id, Lifetime: lifetime, Address: id, Service: service, Labels: []string{"a", "rack-" + dataCentre}, DataCentre: dataCentre,
		Capacity: jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}, ColdLeft: coldLeft,
	}})
}

// evacuate puts a set of data centres under evacuation.
func (x *exchange) evacuate(names ...string) {
	x.apply(coordinator.Event{Evacuated: &coordinator.Evacuated{DataCentres: names}})
}

// newEvacuation returns a coordinator with the worker w in the data centre a.
func newEvacuation(t *testing.T) *exchange {
	x := newExchange(t)
	x.listIn("w", "a", 0)
	x.answerPolls("w", lifetime)
	return x
}

// listElsewhere lists the worker v in the data centre b.
func (x *exchange) listElsewhere() {
	x.listIn("v", "b", 0)
	x.answerPolls("v", lifetime)
}

// startsOn returns how many start orders were sent to a worker.
func (x *exchange) startsOn(id string) (n int) {
	for _, s := range x.starts {
		if s.Target.ID == id {
			n++
		}
	}
	return n
}

// Guards against a start of what was placed when the request arrived and waits for its record, and
// against one by a worker that is listed later; what runs there must go on, with its lease.
func TestEvacuationWithdrawsWhatWasNotSent(t *testing.T) {
	x := newEvacuation(t)
	x.submit()
	run := placement.Run{Task: x.answerStart(placement.Executed, x.now-lifetime).Order.Task, Run: 1}
	x.listElsewhere()
	x.holdRecords = true
	spec := batch("c", 16, 30_000)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	x.wait(100)
	x.evacuate("a", "nowhere")
	x.listIn("w2", "a", 0)
	x.answerPolls("w2", lifetime)
	x.confirmRecords()
	for range 20 {
		x.answerPolls("w", lifetime, run)
		x.wait(50)
	}
	assert.Equal(t, 1, x.startsOn("w"))
	assert.Zero(t, x.startsOn("w2"))
	assert.Equal(t, 6, x.startsOn("v"))
	assert.Empty(t, x.stops)
	require.NotEmpty(t, x.polls)
	x.evacuate("nowhere")
	x.answerPolls("w", lifetime, run)
	x.wait(300)
	assert.Equal(t, 10, x.startsOn("w")+x.startsOn("w2")-1, "the tasks that wait")
}

// Guards against urgent work that goes on waiting there for the end of what it preempted.
func TestEvacuationWithdrawsWhatAwaitsAStop(t *testing.T) {
	x := newEvacuation(t)
	fill := gang("fill", 1, 8, 30_000, 2)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &fill}})
	x.wait(100)
	x.answerStart(placement.Executed, x.now-lifetime)
	urgent := gang("urgent", 1, 8, 2500, 0)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &urgent}})
	x.wait(100)
	require.Len(t, x.stops, 1)
	x.listElsewhere()
	x.wait(100)
	require.Zero(t, x.startsOn("v"))
	x.evacuate("a")
	x.wait(100)
	assert.Equal(t, 1, x.startsOn("v"))
}

// Guards against the repetition of an unanswered start under evacuation: a task that the worker lists
// goes on, and one that it does not is placed elsewhere after a stop.
func TestUnansweredStartIsNotRepeatedUnderEvacuation(t *testing.T) {
	for _, v := range []placement.Verdict{placement.Unanswered, placement.NotSent} {
		for _, executed := range []bool{false, true} {
			if executed && v == placement.NotSent {
				continue
			}
			x := newEvacuation(t)
			x.submit()
			x.listElsewhere()
			x.evacuate("a")
			start := x.answerStart(v, 0)
			var runs []placement.Run
			if executed {
				runs = []placement.Run{{Task: start.Order.Task, Run: 1}}
			}
			stops := 0
			for range 20 {
				x.answerPolls("w", lifetime, runs...)
				stops += x.answerStops(x.now - lifetime)
				x.wait(50)
			}
			assert.Equal(t, 1, x.startsOn("w"), "%s, executed %t", v, executed)
			assert.Equal(t, executed, !x.startedElsewhere(), "%s, executed %t", v, executed)
			assert.Equal(t, v == placement.Unanswered && !executed, stops > 0, "%s, executed %t", v, executed)
		}
	}
}

// Guards against a coordinator that stops a run since the list of runs was requested before the
// order arrived.
func TestListFromBeforeTheStartStopsNothing(t *testing.T) {
	x := newEvacuation(t)
	x.wait(50)
	polls := x.polls
	x.submit()
	x.evacuate("a")
	x.unanswerStart()
	require.NotEmpty(t, polls)
	p := polls[len(polls)-1]
	x.apply(coordinator.Event{Polled: &coordinator.Polled{Worker: "w", Address: "w", Number: p.Number, SentAt: x.now - 200, Reply: placement.PollReply{
		Reply: placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime}, Lifetime: lifetime,
	}}})
	assert.Empty(t, x.stops)
}

// Guards against a gang that waits for a member that must not be started again: all of it is stopped
// and placed elsewhere.
func TestGangLeavesWithItsMember(t *testing.T) {
	x := newEvacuation(t)
	x.listElsewhere()
	spec := gang("b", 2, 8, 30_000, 1)
	spec.Steps[0].SameRack = false
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	x.wait(100)
	require.Len(t, x.starts, 2)
	for _, s := range x.starts {
		v, clock := placement.Executed, x.now-lifetime
		if s.Target.ID == "w" {
			v, clock = placement.Unanswered, 0
			x.evacuate("a")
		}
		x.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
			Worker: s.Target.ID, Address: s.Target.Address, Task: s.Order.Task, Run: 1, Reply: placement.Reply{Verdict: v, Clock: clock},
		}})
	}
	x.listIn("u", "b", 0)
	stopped := map[string]bool{}
	for range 40 {
		for _, s := range x.stops {
			stopped[s.Target.ID] = true
			x.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
				Worker: s.Target.ID, Address: s.Target.Address, Task: s.Order.Task, Run: s.Order.Run, IsStop: true,
				Reply: placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime},
			}})
		}
		x.stops = nil
		for _, id := range []string{"u", "v", "w"} {
			x.answerPolls(id, lifetime)
		}
		x.wait(50)
	}
	assert.Equal(t, map[string]bool{"v": true, "w": true}, stopped)
	assert.Equal(t, 1, x.startsOn("w"))
	assert.Equal(t, 2, x.startsOn("v"))
	assert.Equal(t, 1, x.startsOn("u"))
}

// Guards against a successor that starts again what its predecessor placed there.
func TestSuccessorStartsNothingUnderEvacuation(t *testing.T) {
	x := succeed(t, coordinator.State{Term: 7, Evacuated: []string{"a"}})
	x.listIn("w", "a", 0)
	for range 60 {
		x.answerPolls("w", lifetime)
		x.answerPolls("v", lifetime)
		x.answerStops(x.now - lifetime)
		x.wait(50)
	}
	assert.Zero(t, x.startsOn("w"))
	assert.Equal(t, 1, x.startsOn("v"))
}

// Guards against start orders by a stale copy of the operators' records, and against one that leaves
// the host after the copy has become stale.
func TestStartsNeedRecentOperatorRecords(t *testing.T) {
	x := newExchange(t)
	x.state.MaxOperatorAge = 3500
	x.list("w", lifetime, false)
	x.answerPolls("w", lifetime)
	x.operatorAge = 3600
	x.submit()
	x.wait(200)
	assert.Empty(t, x.starts)
	x.operatorAge = 3300
	x.wait(50)
	require.Len(t, x.starts, 1)
	assert.Equal(t, x.now+200, x.starts[0].ExpiresAt)
	x.operatorAge = 3600
	x.unanswerStart()
	x.answerPolls("w", lifetime)
	x.wait(200)
	assert.Len(t, x.starts, 1, "an unanswered one is not repeated")
}

// Guards against tasks on cold workers while others have room, and against cold workers that are
// not used at all, or not preferred again once they are warm.
func TestColdWorkersAreUsedLastAfterAnEvacuation(t *testing.T) {
	for _, evacuation := range []bool{false, true} {
		x := newExchange(t)
		x.listIn("a", "a", 2000)
		x.answerPolls("a", lifetime)
		x.listIn("b", "b", 0)
		x.answerPolls("b", lifetime)
		if evacuation {
			x.evacuate("a")
			x.evacuate()
		}
		spec := batch("one", 1, 30_000)
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
		x.wait(100)
		require.Len(t, x.starts, 1)
		assert.Equal(t, map[bool]string{false: "a", true: "b"}[evacuation], x.starts[0].Target.ID)
		if !evacuation {
			continue
		}
		spec = batch("two", 6, 30_000)
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
		x.wait(100)
		assert.Equal(t, 6, x.startsOn("b"))
		assert.Equal(t, 1, x.startsOn("a"))
	}
}

// evacuationScenario returns three data centres of two racks each with a stream of work of all kinds.
func evacuationScenario(seed uint64) simulation.Scenario {
	p := simulation.Scenario{
		Seed: seed, Workers: 24, RackSize: 4, DataCentres: 3, Configuration: configuration(48),
		Coordinator: coordinator.Settings{MaxOperatorAge: 3500},
	}
	for i := range 60 {
		at := int64(500 + 250*i)
		switch i % 3 {
		case 0:
			p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: gang(fmt.Sprintf("g%02d", i), 3, 4, 2500, 0)})
		case 1:
			p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: gang(fmt.Sprintf("h%02d", i), 2, 4, 3000, 1)})
		default:
			p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: batch(fmt.Sprintf("b%02d", i), 6, 4000)})
		}
	}
	return p
}

// Scenario: two data centres are evacuated at once, one request is withdrawn while the other is in
// force, and an unknown one is evacuated. A healthy coordinator must obey in 300 ms, and the urgent
// guaranteed work must start elsewhere within the 2.7 s of reclaim_ms.
func TestEvacuationOfTwoDataCentres(t *testing.T) {
	for seed := range uint64(6) {
		p := evacuationScenario(seed)
		p.MaxEvacuationDelay = 300
		p.Faults = []simulation.Fault{
			{At: 4000, Duration: 6000, Kind: simulation.Evacuate, DataCentre: 0},
			{At: 5000, Duration: 10_000, Kind: simulation.Evacuate, DataCentre: 1},
			{At: 4500, Kind: simulation.Evacuate, DataCentre: 9},
		}
		w := runScenario(t, p, 120_000)
		requireEnded(t, w, jobspec.Completed)
		assert.Equal(t, 3, w.LogLines["data centre evacuated"])
		assert.Equal(t, 2, w.LogLines["evacuation ended"])
		for _, r := range w.Results() {
			if r.ID[0] == 'g' {
				assert.Less(t, r.Waited, int64(2700), "seed %d: %+v", seed, r)
			}
		}
	}
}

// Scenario: the operators' records cannot be read when a data centre is evacuated, and another coordinator
// takes over meanwhile, with the same old records. Work that arrives must not start by them, and must
// start once they can be read.
func TestEvacuationThatCannotBeRead(t *testing.T) {
	for seed := range uint64(4) {
		p := evacuationScenario(seed)
		p.Faults = []simulation.Fault{
			{At: 3500, Duration: 9000, Kind: simulation.OperatorsCut},
			{At: 4000, Kind: simulation.Evacuate, DataCentre: 1},
			{At: 6000, Kind: simulation.Replace},
		}
		requireEnded(t, runScenario(t, p, 120_000), jobspec.Completed)
	}
}

// Scenario: requests and withdrawals at random times, beside takeovers, suspensions, an unavailable
// store, unreadable records of the operators and lost or late calls. No task may start more than
// evacuate_ms after a request, and all jobs must end.
func TestEvacuationsBesideFaults(t *testing.T) {
	kinds := []simulation.FaultKind{
		simulation.Replace, simulation.TakeOver, simulation.Freeze, simulation.StoreDown, simulation.OperatorsCut, simulation.OrdersLost,
		simulation.AnswersLost, simulation.LateOrders, simulation.Crash, simulation.Partition, simulation.Reborn,
	}
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 4))
		p := evacuationScenario(seed)
		if seed%3 == 0 {
			p.CallRate = 3700
		}
		for i := range 2 {
			at := 1000 + r.Int64N(8000)
			p.Faults = append(p.Faults, simulation.Fault{At: at, Duration: 3000 + r.Int64N(12_000), Kind: simulation.Evacuate, DataCentre: i})
			for _, near := range []int64{at, at + p.Faults[len(p.Faults)-1].Duration} {
				f := simulation.Fault{
					At: max(100, near-1000+r.Int64N(2000)), Duration: 1000 + r.Int64N(7000), Kind: kinds[r.IntN(len(kinds))], Count: 3, Magnitude: 0.2,
				}
				p.Faults = append(p.Faults, f)
			}
		}
		requireEnded(t, runScenario(t, p, 200_000), jobspec.Completed)
	}
}
