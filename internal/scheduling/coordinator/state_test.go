package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/internal/testing/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Set("60")
	os.Exit(m.Run())
}

const service = "service"

// gang returns a job whose only step is a gang.
func gang(id string, tasks int, accelerators, estimate int64, priority int) jobspec.Spec {
	return jobspec.Spec{
		ID: id, Route: fmt.Sprint("p", priority), Organisation: "crew", Service: service, Priority: priority,
		MaxAttempts: 3, Stretch: 3, Slack: 1200,
		Steps: []jobspec.Step{{
			Tasks: tasks, Need: jobspec.Resources{Cores: 7500, Memory: 39_000, Accelerators: accelerators},
			Estimate: estimate, Gang: true, SameRack: true,
		}},
	}
}

// batch returns a job of independent tasks.
func batch(id string, tasks int, estimate int64) jobspec.Spec {
	s := gang(id, tasks, 1, estimate, 2)
	s.Steps[0].Gang, s.Steps[0].SameRack = false, false
	return s
}

// configuration returns a configuration with one service and one organisation that is
// guaranteed the given number of accelerators.
func configuration(guaranteed int64) *queueconfig.Configuration {
	c := &queueconfig.Configuration{
		Version: 1, Routes: map[string]*queueconfig.Route{},
		Services:      map[string]*queueconfig.Service{service: {Name: service, RejectsOverload: true}},
		Organisations: map[string]*queueconfig.Organisation{"crew": {Name: "crew", Guaranteed: guaranteed}},
		Keys:          map[string]string{"key": "crew"},
	}
	c.Index()
	return c
}

// runScenario runs a scenario until all jobs have ended, at most until the given time in
// milliseconds, and requires that no invariant was violated.
func runScenario(t require.TestingT, p simulation.Scenario, until int64) *simulation.Cluster {
	w := simulation.New(p)
	w.RunUntilEnded(until)
	require.Empty(t, w.Violations[:min(3, len(w.Violations))], "%d invariants violated", len(w.Violations))
	return w
}

// requireEnded requires that all jobs ended in the given state.
func requireEnded(t *testing.T, w *simulation.Cluster, state jobspec.State) {
	t.Helper()
	for _, r := range w.Results() {
		require.Equal(t, state, r.State, "%+v", r)
	}
}

func TestCalmDay(t *testing.T) {
	p := simulation.Scenario{Workers: 16, Configuration: configuration(64)}
	for i := range 20 {
		p.Jobs = append(p.Jobs,
			simulation.Arrival{At: int64(1000 + 400*i), Spec: gang(fmt.Sprintf("g%02d", i), 3, 2, 2500, 0)},
			simulation.Arrival{At: int64(1100 + 400*i), Spec: batch(fmt.Sprintf("b%02d", i), 9, 3000)})
	}
	w := runScenario(t, p, 60_000)
	requireEnded(t, w, jobspec.Completed)
	for _, r := range w.Results() {
		assert.Negative(t, r.Lateness, "%+v", r)
	}
}

// Other members of a gang may be reported as broken before the member that failed is. The
// failure must be counted in any order.
func TestGangFailureCountsInAnyOrder(t *testing.T) {
	for seed := range uint64(20) {
		p := simulation.Scenario{Seed: seed, Workers: 8, Configuration: configuration(64)}
		p.Jobs = []simulation.Arrival{{At: 1000, Spec: gang("g", 6, 8, 2000, 1), AlwaysFails: true}}
		w := runScenario(t, p, 60_000)
		requireEnded(t, w, jobspec.Failed)
		assert.Equal(t, 3*6, w.Results()[0].Starts)
	}
}

func TestStepsFollowEachOther(t *testing.T) {
	s := batch("b", 5, 1000)
	second := s.Steps[0]
	second.After = []int{0}
	s.Steps = append(s.Steps, second)
	w := runScenario(t, simulation.Scenario{Workers: 4, Configuration: configuration(0), Jobs: []simulation.Arrival{{At: 1000, Spec: s}}}, 20_000)
	requireEnded(t, w, jobspec.Completed)
}

func TestCancelledJobStops(t *testing.T) {
	p := simulation.Scenario{Workers: 4, Configuration: configuration(0)}
	p.Jobs = []simulation.Arrival{{At: 1000, Spec: batch("b", 50, 4000), CancelAt: 3000}}
	w := runScenario(t, p, 30_000)
	requireEnded(t, w, jobspec.Cancelled)
	assert.LessOrEqual(t, w.Results()[0].Starts, 32)
}

// Guaranteed work must start at once although other work occupies all workers.
func TestGuaranteeReclaims(t *testing.T) {
	p := simulation.Scenario{Workers: 16, Configuration: configuration(64)}
	for i := range 16 {
		s := batch(fmt.Sprintf("b%02d", i), 8, 30_000)
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: s})
	}
	p.Jobs = append(p.Jobs, simulation.Arrival{At: 5000, Spec: gang("urgent", 8, 8, 2500, 0)})
	w := runScenario(t, p, 30_000)
	rs := w.Results()
	last := rs[len(rs)-1]
	assert.Less(t, last.Waited, int64(1600), "urgent work starts within the required bound")
	assert.Equal(t, jobspec.Completed, last.State)
}

func TestTakeOverLosesNothing(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(64)}
	for i := range 12 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(1000 + 300*i), Spec: gang(fmt.Sprintf("g%02d", i), 2, 4, 6000, 1)})
	}
	p.Faults = []simulation.Fault{{At: 2500, Kind: simulation.Replace, Duration: 2000}, {At: 7000, Kind: simulation.Replace, Duration: 2000}}
	w := runScenario(t, p, 90_000)
	requireEnded(t, w, jobspec.Completed)
	for _, r := range w.Results() {
		assert.Equal(t, 2, r.Starts, "a takeover repeats no run: %+v", r)
	}
}

// TestRandomFaults runs scenarios with random loads and faults. It checks the invariants
// throughout and that every job ends afterwards.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<40).Draw(rt, "seed")
		p, end := randomScenario(seed)
		p.MaxListedEnds = rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "maxListedEnds")
		if rapid.IntRange(0, 3).Draw(rt, "disrupted") > 0 {
			p.Faults = append(p.Faults, randomDisruptions(seed)...)
		}
		w := runScenario(rt, p, end)
		for _, r := range w.Results() {
			if !r.State.Ended() {
				rt.Fatalf("job %s has not ended: %+v (seed %d, %d lines)", r.ID, r, seed, len(w.LogLines))
			}
		}
	})
}

// TestRandomFaultsOnSlowHost does the same with coordinators that handle one event after the other, on
// hosts of which the slowest can barely poll the workers.
func TestRandomFaultsOnSlowHost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<40).Draw(rt, "seed")
		p, end := randomScenario(seed)
		p.MaxListedEnds = rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "maxListedEnds")
		p.CallRate = float64(rapid.IntRange(200, 2000).Draw(rt, "callRate"))
		if rapid.IntRange(0, 3).Draw(rt, "disrupted") > 0 {
			p.Faults = append(p.Faults, randomDisruptions(seed)...)
		}
		for _, r := range runScenario(rt, p, end).Results() {
			if !r.State.Ended() {
				rt.Fatalf("job %s has not ended: %+v (seed %d)", r.ID, r, seed)
			}
		}
	})
}

// randomScenario returns a scenario with a random load and random faults, and the time by
// which its jobs must have ended, long after the last fault.
func randomScenario(seed uint64) (simulation.Scenario, int64) {
	r := rand.New(rand.NewPCG(seed, 2))
	p := simulation.Scenario{Seed: seed, Workers: 14 + r.IntN(11), Configuration: configuration(int64(r.IntN(100)))}
	for i := range 10 + r.IntN(40) {
		id := fmt.Sprintf("j%03d", i)
		a := simulation.Arrival{At: 500 + r.Int64N(20_000), AlwaysFails: r.IntN(12) == 0}
		if r.IntN(2) == 0 {
			n := 1 + r.IntN(13)
			// At least two workers remain after the worst faults. perWorker is the number of
			// the gang's tasks that each of them must have capacity for.
			perWorker := int64(n+1) / 2
			a.Spec = gang(id, n, min(1<<r.IntN(4), 8/perWorker), 1000+r.Int64N(6000), r.IntN(3))
		} else {
			a.Spec = batch(id, 1+r.IntN(30), 1000+r.Int64N(6000))
			if r.IntN(3) == 0 {
				a.Spec.Steps[0].MaxPerWorker = 1 + r.IntN(3)
			}
		}
		a.Spec.Steps[0].SameRack = r.IntN(2) == 0
		a.Spec.Steps[0].Checkpoints = r.IntN(2) == 0
		if r.IntN(3) == 0 {
			a.Spec.Steps[0].DataRack = "r0"
		}
		if r.IntN(4) == 0 {
			second := a.Spec.Steps[0]
			second.After = []int{0}
			a.Spec.Steps = append(a.Spec.Steps, second)
		}
		a.RunTime = a.Spec.Steps[0].Estimate * (80 + r.Int64N(40)) / 100
		if r.IntN(8) == 0 {
			a.CancelAt = a.At + r.Int64N(8000)
		}
		p.Jobs = append(p.Jobs, a)
	}
	kinds := []simulation.FaultKind{
		simulation.LateOrders, simulation.Unhealthy, simulation.Hang, simulation.Slow, simulation.Crash, simulation.Leave, simulation.Partition, simulation.StoreDown,
		simulation.Replace, simulation.TakeOver,
	}
	for range r.IntN(7) {
		f := simulation.Fault{
			At: 1000 + r.Int64N(25_000), Duration: 500 + r.Int64N(8000), Kind: kinds[r.IntN(len(kinds))],
			Count: 1 + r.IntN(2), Magnitude: 4,
		}
		if f.Kind == simulation.LateOrders {
			f.Magnitude = 0.05 + 0.2*r.Float64()
		}
		p.Faults = append(p.Faults, f)
	}
	return p, 400_000
}

// randomDisruptions returns random faults of the kinds that randomScenario leaves out. They
// have a random source of their own, so that scenarios without them stay as they were.
func randomDisruptions(seed uint64) []simulation.Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	var out []simulation.Fault
	for _, k := range []struct {
		kind        simulation.FaultKind
		probability float64
	}{
		{simulation.Reborn, 0.5}, {simulation.Expire, 0.4}, {simulation.OrdersLost, 0.3}, {simulation.AnswersLost, 0.4},
		{simulation.Freeze, 0.3}, {simulation.LatePolls, 0.4}, {simulation.LateOrders, 0.4}, {simulation.Linger, 0.2},
	} {
		for range 1 + r.IntN(3) {
			f := simulation.Fault{At: 1000 + r.Int64N(25_000), Duration: 500 + r.Int64N(8000), Kind: k.kind, Count: 1 + r.IntN(2)}
			share, steppedBack := r.Float64(), r.IntN(3) == 0
			switch k.kind {
			case simulation.Reborn:
				f.Duration /= 4
				if steppedBack {
					f.Magnitude = -1
				}
			case simulation.Freeze:
				f.Duration = min(8000, f.Duration+500)
			case simulation.Linger:
				f.Duration += 2500
			case simulation.LatePolls, simulation.LateOrders:
				f.Magnitude = 0.05 + 0.2*share
			default:
			}
			if r.Float64() < k.probability {
				out = append(out, f)
			}
		}
	}
	return out
}

// Leases must be renewed while ends wait to be recorded during a store outage.
func TestLeasesOutliveStoreOutage(t *testing.T) {
	p := simulation.Scenario{Workers: 4, Configuration: configuration(0)}
	for i := range 4 {
		p.Jobs = append(p.Jobs,
			simulation.Arrival{At: 1000, Spec: batch(fmt.Sprintf("short%d", i), 2, 3000+500*int64(i))},
			simulation.Arrival{At: 1000, Spec: batch(fmt.Sprintf("long%d", i), 4, 20_000)})
	}
	p.Faults = []simulation.Fault{{At: 2000, Kind: simulation.StoreDown, Duration: 9500}}
	w := runScenario(t, p, 60_000)
	requireEnded(t, w, jobspec.Completed)
	for _, r := range w.Results() {
		assert.LessOrEqual(t, r.Starts, 4, "no lease expires: %+v", r)
	}
}

// The tasks of a worker that has crashed for good must start elsewhere once its lease has
// expired. Polls sent to it in the meantime must not extend the lease.
func TestGoneWorkersTasksStartElsewhere(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(0)}
	for i := range 8 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: batch(fmt.Sprintf("b%d", i), 4, 6000)})
	}
	p.Faults = []simulation.Fault{{At: 3000, Kind: simulation.Crash, Count: 3}}
	w := runScenario(t, p, 60_000)
	requireEnded(t, w, jobspec.Completed)
	for _, r := range w.Results() {
		assert.Less(t, r.Took, int64(2000+7000+6500), "%+v", r)
	}
}

// A coordinator that most workers do not answer must resign in favour of another host
// instead of waiting for the workers' leases to expire.
func TestCoordinatorThatHearsNobodyResigns(t *testing.T) {
	p := simulation.Scenario{Workers: 12, Configuration: configuration(0)}
	for i := range 12 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: batch(fmt.Sprintf("b%02d", i), 4, 12_000)})
	}
	p.Faults = []simulation.Fault{{At: 6000, Duration: 4500, Kind: simulation.Partition, Count: 10}}
	w := runScenario(t, p, 90_000)
	requireEnded(t, w, jobspec.Completed)
	assert.Positive(t, w.LogLines["role lost"])
	p.Faults[0].Count = 4
	w = runScenario(t, p, 90_000)
	requireEnded(t, w, jobspec.Completed)
	assert.Zero(t, w.LogLines["role lost"], "a minority of silent workers is no reason to resign")
}

// Work that a partitioned worker has completed must not be repeated once the worker
// reports it.
func TestSuccessHeardLateCounts(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(0)}
	for i := range 4 {
		s := batch(fmt.Sprintf("b%d", i), 8, 9000)
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: s})
	}
	// The tasks on the partitioned workers end unreported, and are started elsewhere once
	// the leases have expired.
	p.Faults = []simulation.Fault{{At: 8000, Duration: 8500, Kind: simulation.Partition, Count: 2}}
	w := runScenario(t, p, 60_000)
	requireEnded(t, w, jobspec.Completed)
	assert.Positive(t, w.LogLines["run ended unheard"])
	for _, r := range w.Results() {
		assert.Less(t, r.Took, int64(17_500), "no job waits for the second run: %+v", r)
	}
}

// If the last coordinator is known to have ended, an unreachable worker must not delay its
// tasks for longer than one lease after the takeover.
func TestTakeOverAfterAKnownEndWaitsForOneLease(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(0)}
	for i := range 4 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 14_000, Spec: batch(fmt.Sprintf("b%d", i), 8, 5000)})
	}
	p.Faults = []simulation.Fault{
		{At: 16_000, Duration: 1500, Kind: simulation.Replace}, {At: 16_500, Duration: 20_000, Kind: simulation.Partition, Count: 2},
	}
	w := runScenario(t, p, 90_000)
	requireEnded(t, w, jobspec.Completed)
	for _, r := range w.Results() {
		assert.Less(t, r.Took, int64(3500+6500+5000+1500), "%+v", r)
	}
}
