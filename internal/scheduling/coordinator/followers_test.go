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
