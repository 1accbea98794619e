package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// The loads below are patterns of the heaviest days, each with what it must come to.

// Pattern: a burst of urgent gangs of two organisations, of which one has a
// guarantee, on racks that lesser work fills. The guaranteed gangs displace the
// lesser work and not the other organisation's urgent gangs.
func TestGuaranteedBurstSparesUrgentWork(t *testing.T) {
	p := simulation.Scenario{Workers: 24, Configuration: configuration(64)}
	for i := range 16 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: batch(fmt.Sprintf("b%02d", i), 8, 20_000)})
	}
	for i := range 8 {
		s := gang(fmt.Sprintf("other%d", i), 4, 2, 4000, 0)
		s.Organisation = "guest"
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 2000, Spec: s})
	}
	for i := range 4 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 3000, Spec: gang(fmt.Sprintf("sure%d", i), 4, 4, 2500, 0)})
	}
	w := runScenario(t, p, 60_000)
	for _, r := range w.Results()[16:] {
		assert.Equal(t, jobspec.Completed, r.State)
		assert.Equal(t, 4, r.Starts, "no urgent gang is displaced: %+v", r)
	}
}

// Pattern: a gang that no workers can hold waits before a stream of small work. The
// small work runs at once.
func TestGangThatNeverFitsBlocksNobody(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(0)}
	for i := range 2 {
		s := gang(fmt.Sprintf("big%d", i), 20, 8, 20_000, 1)
		s.Steps[0].SameRack = i == 0
		p.Jobs = append(p.Jobs, simulation.Arrival{At: 1000, Spec: s, CancelAt: 40_000})
	}
	for i := range 10 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(4000 + 500*i), Spec: batch(fmt.Sprintf("b%02d", i), 4, 2000)})
	}
	w := runScenario(t, p, 60_000)
	for _, r := range w.Results()[2:] {
		assert.Less(t, r.Waited, int64(500), "%+v", r)
	}
}

// Pattern: small work without end, and a gang that needs a whole rack. The rack is
// kept for the gang once it has waited, until it starts.
func TestGangOfARackStartsAmongSmallWork(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(0)}
	p.Jobs = append(p.Jobs, simulation.Arrival{At: 3000, Spec: gang("big", 8, 8, 9000, 1)})
	for i := range 80 {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(500 + 300*i), Spec: batch(fmt.Sprintf("b%02d", i), 7, 3000)})
	}
	w := runScenario(t, p, 120_000)
	big := w.Results()[0]
	assert.Less(t, big.Waited, int64(6000), "%+v", big)
}

// Pattern: urgent gangs on racks that lesser work fills, with one worker that fails
// all it starts. The worker has the only free room, and must not be tried again and
// again for the same gang.
func TestSickWorkerFailsNoJob(t *testing.T) {
	for seed := range uint64(12) {
		p := simulation.Scenario{Seed: seed, Workers: 16, Configuration: configuration(128)}
		for i := range 30 {
			p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(500 + 100*i), Spec: batch(fmt.Sprintf("b%02d", i), 6, 9000)})
		}
		for i := range 16 {
			p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(4000 + 400*i), Spec: gang(fmt.Sprintf("g%02d", i), 3, 4, 2500, 0)})
		}
		p.Faults = []simulation.Fault{{At: 3500, Duration: 9000, Kind: simulation.Unhealthy, Count: 1}}
		w := runScenario(t, p, 90_000)
		for _, r := range w.Results()[30:] {
			assert.Equal(t, jobspec.Completed, r.State, "seed %d: %+v", seed, r)
		}
	}
}

// Pattern: a worker on which tasks stand still for a long time, and a stream of work on
// full workers. Each return of the worker costs the work that is tried on it; it comes
// back ever more rarely.
func TestHangingWorkerComesBackRarely(t *testing.T) {
	stops := 0
	for seed := range uint64(5) {
		p := simulation.Scenario{Seed: seed, Workers: 4, Configuration: configuration(0)}
		for i := range 150 {
			p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(500 + 200*i), Spec: batch(fmt.Sprintf("b%03d", i), 2, 2500)})
		}
		p.Faults = []simulation.Fault{{At: 1000, Duration: 35_000, Kind: simulation.Hang, Count: 1}}
		w := runScenario(t, p, 90_000)
		requireEnded(t, w, jobspec.Completed)
		stops += w.LogLines["task stands still"]
	}
	assert.LessOrEqual(t, stops, 5*3*8, "three returns in 35 s, eight tasks each")
}
