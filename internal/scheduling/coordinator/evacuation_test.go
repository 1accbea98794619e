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

// listIn lists a worker of a data centre, with the time for which it is cold, and answers its polls.
func (x *exchange) listIn(id, dataCentre string, coldLeft int64) {
	x.apply(coordinator.Event{Listed: &placement.Listing{
		ID: id, Lifetime: lifetime, Address: id, Service: service, Labels: []string{"a", "rack-" + dataCentre}, DataCentre: dataCentre,
		Capacity: jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}, ColdLeft: coldLeft,
	}})
	x.answerPolls(id, lifetime)
}

// newEvacuation returns a coordinator with the worker w in the data centre a to which jobs were submitted.
func newEvacuation(t *testing.T, specs ...jobspec.Spec) *exchange {
	x := newExchange(t)
	x.listIn("w", "a", 0)
	x.send(specs...)
	return x
}

func (x *exchange) send(specs ...jobspec.Spec) {
	for i := range specs {
		x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &specs[i]}})
	}
	x.wait(100)
}

func (x *exchange) evacuate(names ...string) {
	x.apply(coordinator.Event{Evacuated: &coordinator.Evacuated{DataCentres: names}})
}

// serve answers polls and stop orders for a second; w lists the given runs. It returns the workers that
// were sent stop orders.
func (x *exchange) serve(runs ...placement.Run) map[string]bool {
	stopped := make(map[string]bool)
	for range 20 {
		for _, s := range x.stops {
			stopped[s.Target.ID] = true
			x.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
				Worker: s.Target.ID, Address: s.Target.Address, Task: s.Order.Task, Run: s.Order.Run, IsStop: true,
				Reply: placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime},
			}})
		}
		x.stops = nil
		x.answerPolls("w", lifetime, runs...)
		x.answerPolls("v", lifetime)
		x.wait(50)
	}
	return stopped
}

// startsBy returns the number of start orders by worker.
func (x *exchange) startsBy() map[string]int {
	n := make(map[string]int)
	for _, s := range x.starts {
		n[s.Target.ID]++
	}
	return n
}

// Guards against a start of what waits for its record when the request arrives, against one on a worker
// that is listed later, and against a stop of what runs there.
func TestEvacuationWithdrawsWhatWasNotSent(t *testing.T) {
	x := newEvacuation(t, batch("b", 1, 30_000))
	run := placement.Run{Task: x.answerStart(placement.Executed, x.now-lifetime).Order.Task, Run: 1}
	x.listIn("v", "b", 0)
	x.holdRecords = true
	x.send(batch("c", 16, 30_000))
	x.evacuate("a", "nowhere")
	x.listIn("w2", "a", 0)
	x.confirmRecords()
	assert.Empty(t, x.serve(run))
	assert.Equal(t, map[string]int{"w": 1, "v": 6}, x.startsBy())
	x.evacuate("nowhere")
	x.serve(run)
	assert.Len(t, x.starts, 17, "the tasks that wait")
}

// Guards against urgent work that goes on waiting there for the end of what it preempted.
func TestEvacuationWithdrawsWhatAwaitsAStop(t *testing.T) {
	x := newEvacuation(t, gang("fill", 1, 8, 30_000, 2))
	x.answerStart(placement.Executed, x.now-lifetime)
	x.send(gang("urgent", 1, 8, 2500, 0))
	x.listIn("v", "b", 0)
	x.wait(100)
	require.Len(t, x.starts, 1)
	x.evacuate("a")
	x.wait(100)
	assert.Equal(t, map[string]int{"w": 1, "v": 1}, x.startsBy())
}

// Guards against the repetition of an unanswered start under evacuation, and against a stop by a list of
// runs that was requested before it: a task that the worker lists goes on, and one that it does not is
// placed elsewhere after a stop.
func TestUnansweredStartIsNotRepeatedUnderEvacuation(t *testing.T) {
	for _, c := range []struct {
		verdict           placement.Verdict
		executed, stopped bool
	}{{placement.Unanswered, true, false}, {placement.Unanswered, false, true}, {placement.NotSent, false, false}} {
		x := newEvacuation(t, batch("b", 1, 30_000))
		x.listIn("v", "b", 0)
		x.evacuate("a")
		run := placement.Run{Task: x.answerStart(c.verdict, 0).Order.Task, Run: 1}
		x.apply(coordinator.Event{Polled: &coordinator.Polled{Worker: "w", Address: "w", SentAt: x.now - 200, Reply: placement.PollReply{
			Reply: placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime}, Lifetime: lifetime,
		}}})
		assert.Empty(t, x.stops)
		runs, want := []placement.Run{run}, map[string]int{"w": 1}
		if !c.executed {
			runs, want = nil, map[string]int{"w": 1, "v": 1}
		}
		assert.Equal(t, c.stopped, x.serve(runs...)["w"], "%+v", c)
		assert.Equal(t, want, x.startsBy(), "%+v", c)
	}
}

// Guards against a gang that waits for a member that must not be started again: all of it is stopped and
// placed elsewhere.
func TestGangLeavesWithItsMember(t *testing.T) {
	x := newExchange(t)
	x.listIn("w", "a", 0)
	x.listIn("v", "b", 0)
	spec := gang("b", 2, 8, 30_000, 1)
	spec.Steps[0].SameRack = false
	x.send(spec)
	require.Len(t, x.starts, 2)
	x.evacuate("a")
	for _, s := range x.starts {
		reply := placement.Reply{Verdict: placement.Unanswered}
		if s.Target.ID == "v" {
			reply = placement.Reply{Verdict: placement.Executed, Clock: x.now - lifetime}
		}
		x.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{Worker: s.Target.ID, Address: s.Target.Address, Task: s.Order.Task, Run: 1, Reply: reply}})
	}
	x.listIn("u", "b", 0)
	assert.Equal(t, map[string]bool{"v": true, "w": true}, x.serve())
	x.serve()
	assert.Equal(t, map[string]int{"w": 1, "v": 2, "u": 1}, x.startsBy())
}

// Guards against a successor that starts again what its predecessor placed there.
func TestSuccessorStartsNothingUnderEvacuation(t *testing.T) {
	x := succeed(t, coordinator.State{Term: 7, Evacuated: []string{"a"}})
	x.listIn("w", "a", 0)
	x.serve()
	x.serve()
	assert.Equal(t, map[string]int{"v": 1}, x.startsBy())
}

// Guards against start orders by a stale copy of the operators' records, also repeated ones and ones that
// leave the host after the copy has become stale.
func TestStartsNeedRecentOperatorRecords(t *testing.T) {
	x := newExchange(t)
	x.state.MaxOperatorAge, x.operatorAge = 3500, 3600
	x.listIn("w", "a", 0)
	x.send(batch("b", 1, 30_000))
	assert.Empty(t, x.starts)
	x.operatorAge = 3300
	x.wait(50)
	require.Len(t, x.starts, 1)
	assert.Equal(t, x.now+200, x.starts[0].ExpiresAt)
	x.operatorAge = 3600
	x.unanswerStart()
	x.serve()
	assert.Len(t, x.starts, 1)
}

// Guards against tasks on cold workers while others have room, and against cold workers that are not used
// at all, or last when they are warm or nothing is evacuated in the deployment.
func TestColdWorkersAreUsedLastAfterAnEvacuation(t *testing.T) {
	for _, c := range []struct {
		evacuation bool
		wait       int64
		first      string
	}{{false, 0, "w"}, {true, 0, "x"}, {true, 2100, "w"}} {
		x := newExchange(t)
		x.listIn("w", "a", 2000)
		x.listIn("x", "b", 0)
		if c.evacuation {
			x.evacuate("a")
			x.evacuate()
		}
		x.wait(c.wait)
		x.send(batch("one", 1, 30_000))
		x.send(batch("two", 11, 30_000))
		require.NotEmpty(t, x.starts)
		assert.Equal(t, c.first, x.starts[0].Target.ID, "%+v", c)
		assert.Equal(t, map[string]int{"w": 6, "x": 6}, x.startsBy(), "%+v", c)
	}
}

// evacuationScenario returns three data centres of two racks each with a stream of work of all kinds.
func evacuationScenario(seed uint64, faults ...simulation.Fault) simulation.Scenario {
	p := simulation.Scenario{
		Seed: seed, Workers: 24, RackSize: 4, DataCentres: 3, Configuration: configuration(48),
		Coordinator: coordinator.Settings{MaxOperatorAge: 3500}, Faults: faults,
	}
	for i := range 60 {
		spec := []jobspec.Spec{gang(fmt.Sprintf("g%02d", i), 3, 4, 2500, 0), gang(fmt.Sprintf("h%02d", i), 2, 4, 3000, 1), batch(fmt.Sprintf("b%02d", i), 6, 4000)}[i%3]
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(500 + 250*i), Spec: spec})
	}
	return p
}

// Scenario: two data centres are evacuated at once, one request is withdrawn while the other is in force,
// and an unknown one is evacuated. A coordinator without other faults must obey in 300 ms, and guaranteed
// urgent work must start elsewhere within the 2.7 s of reclaim_ms.
func TestEvacuationOfTwoDataCentres(t *testing.T) {
	for seed := range uint64(6) {
		p := evacuationScenario(seed,
			simulation.Fault{At: 4000, Duration: 6000, Kind: simulation.Evacuate, DataCentre: 0},
			simulation.Fault{At: 5000, Duration: 10_000, Kind: simulation.Evacuate, DataCentre: 1},
			simulation.Fault{At: 4500, Kind: simulation.Evacuate, DataCentre: 9})
		p.MaxEvacuationDelay = 300
		w := runScenario(t, p, 120_000)
		requireEnded(t, w, jobspec.Completed)
		assert.Equal(t, []int{3, 2}, []int{w.LogLines["data centre evacuated"], w.LogLines["evacuation ended"]})
		for _, r := range w.Results() {
			assert.True(t, r.ID[0] != 'g' || r.Waited < 2700, "seed %d: %+v", seed, r)
		}
	}
}

// Scenario: the operators' records cannot be read when a data centre is evacuated, and another coordinator
// takes over meanwhile with the same old records. Work that arrives must wait, and start once they can be.
func TestEvacuationThatCannotBeRead(t *testing.T) {
	for seed := range uint64(4) {
		requireEnded(t, runScenario(t, evacuationScenario(seed,
			simulation.Fault{At: 3500, Duration: 9000, Kind: simulation.OperatorsCut},
			simulation.Fault{At: 4000, Kind: simulation.Evacuate, DataCentre: 1},
			simulation.Fault{At: 6000, Kind: simulation.Replace}), 120_000), jobspec.Completed)
	}
}

// Scenario: requests and withdrawals at random times, and faults of other kinds at about the same time. No
// task may start more than evacuate_ms after a request, and all jobs must end.
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
			at, d := 1000+r.Int64N(8000), 3000+r.Int64N(12_000)
			p.Faults = append(p.Faults, simulation.Fault{At: at, Duration: d, Kind: simulation.Evacuate, DataCentre: i})
			for _, near := range []int64{at, at + d} {
				p.Faults = append(p.Faults, simulation.Fault{
					At: max(100, near-1000+r.Int64N(2000)), Duration: 1000 + r.Int64N(7000), Kind: kinds[r.IntN(len(kinds))], Count: 3, Magnitude: 0.2,
				})
			}
		}
		requireEnded(t, runScenario(t, p, 200_000), jobspec.Completed)
	}
}
