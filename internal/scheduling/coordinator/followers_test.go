package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Scenario: jobs with many tasks, which are preempted and end one by one, as happens on
// hundreds of workers. The volume of the records that every host reads must depend on the
// number of jobs and not of tasks: at the users' enlarged sites, sixteen hosts read them
// over one link.
func TestFollowersReadNoTasks(t *testing.T) {
	bytes := func(tasks int) int {
		p := simulation.Scenario{Workers: 16, Configuration: configuration(64)}
		for i := range 20 {
			p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(1000 + 300*i), Spec: batch(fmt.Sprintf("b%02d", i), tasks, 3000)})
			p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(1100 + 300*i), Spec: gang(fmt.Sprintf("g%02d", i), 3, 4, 2500, 0)})
		}
		w := runScenario(t, p, 300_000)
		requireEnded(t, w, jobspec.Completed)
		return w.ReplicatedBytes
	}
	few, many := bytes(2), bytes(40)
	assert.InEpsilon(t, few, many, 0.05)
	assert.Less(t, many, 40*600, "600 bytes a job")
}

// Scenario: jobs start on many workers at once while half of the workers do not answer, as when
// the link between two regions is full. Each host reads every claim, so that naming workers in
// claims filled that link further. The size of the claims must not depend on the workers, and
// what the claims take each second not on the number of starts.
func TestClaimsDoNotGrowWithWorkers(t *testing.T) {
	for _, n := range []int{16, 128, 512} {
		p := simulation.Scenario{Workers: n, Configuration: configuration(0), NetworkDelay: 20}
		var silent []string
		for i := range n {
			at := int64(1000 + 10_000*i/n)
			p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: batch(fmt.Sprintf("b%03d", i), 24, 3000)})
			if i%2 == 0 {
				silent = append(silent, fmt.Sprintf("w%03d", i))
			}
		}
		p.Faults = []simulation.Fault{{At: 4000, Duration: 5000, Kind: simulation.AnswersLost, Workers: silent}}
		w := simulation.New(p)
		w.Run(14_000)
		assert.Empty(t, w.Violations)
		assert.Less(t, w.LargestClaim, 200, "%d workers", n)
		assert.Less(t, w.ClaimBytes, 14*6000, "%d workers: 6 KB a second", n)
	}
}
