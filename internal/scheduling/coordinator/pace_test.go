package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// wideJobs is the number of jobs of unevenGangs that show the paces. They fill all workers twice.
const wideJobs = 12

// unevenGangs returns a scenario of 60 workers with three paces. Wide jobs without hurry show the
// paces. Then urgent gangs arrive that a slow worker would make late.
func unevenGangs(seed uint64) simulation.Scenario {
	p := simulation.Scenario{Seed: seed, Workers: 60, RackSize: 20, Configuration: configuration(0), Paces: []float64{1.6, 1, 0.6, 1, 1.6, 0.6, 1.6}}
	for i := range wideJobs {
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(500 + 300*i), Spec: batch(fmt.Sprintf("wide%02d", i), 80, 3000)})
	}
	for i := range 20 {
		s := gang(fmt.Sprintf("urgent%02d", i), 3, 8, 4000, 0)
		s.Stretch, s.Slack, s.Steps[0].SameRack = 1.5, 200, i%2 == 0
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(14_000 + 1000*i), Spec: s})
	}
	return p
}

// Guards against urgent gangs that are late although fast workers are free: the slowest member sets
// the end of a gang, and packing alone chose slow workers as often as others.
func TestUrgentGangsAvoidSlowWorkers(t *testing.T) {
	for seed := range uint64(3) {
		w := runScenario(t, unevenGangs(seed), 60_000)
		for _, r := range w.Results()[wideJobs:] {
			assert.True(t, r.OnTime, "seed %d: %+v", seed, r)
		}
	}
}

// Guards against a new coordinator that knows nothing of the workers' paces: it takes over right
// before the urgent gangs arrive, when nothing runs that would show them.
func TestPacesSurviveATakeover(t *testing.T) {
	for seed := range uint64(3) {
		p := unevenGangs(seed)
		p.Faults = []simulation.Fault{{At: 12_000, Kind: simulation.Replace}}
		w := runScenario(t, p, 60_000)
		assert.Positive(t, w.LogLines["paces recorded"])
		for _, r := range w.Results()[wideJobs:] {
			assert.True(t, r.OnTime, "seed %d: %+v", seed, r)
		}
	}
}
