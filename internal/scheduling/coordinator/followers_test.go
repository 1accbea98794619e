package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Pattern: wide jobs whose tasks are displaced and end one by one, on hundreds of
// workers. What all hosts read depends on the jobs and not on their tasks: on the users'
// grown sites sixteen hosts read it over one link.
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
