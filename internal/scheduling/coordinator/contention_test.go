package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Guards against one large organisation that starves the others beyond its guarantee. Scenario: guest
// submits far more than the workers hold, and visitor a little, with later deadlines.
func TestLargeOrganisationStarvesNobody(t *testing.T) {
	p := simulation.Scenario{Workers: 8, Configuration: configuration(0)}
	for _, o := range []string{"guest", "visitor"} {
		p.Configuration.Organisations[o] = &queueconfig.Organisation{Name: o}
	}
	for i := range 60 {
		s := batch(fmt.Sprintf("guest%02d", i), 16, 4000)
		s.Organisation, s.Stretch = "guest", 20
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(1000 + 200*i), Spec: s})
	}
	first := len(p.Jobs)
	for i := range 8 {
		s := batch(fmt.Sprintf("visitor%02d", i), 8, 4000)
		s.Organisation, s.Stretch = "visitor", 25
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(6000 + 1000*i), Spec: s})
	}
	w := runScenario(t, p, 300_000)
	for _, r := range w.Results()[first:] {
		assert.Less(t, r.Waited, int64(2*(4000+250)), "two rounds of runs and of the reports of their ends: %+v", r)
	}
}

// Guards against work of the lowest priority that never starts while work of a higher priority keeps
// all workers busy: once it has waited for MaxWait it comes before the next that starts.
func TestLowPriorityWorkIsNotForgotten(t *testing.T) {
	p := simulation.Scenario{Workers: 4, Configuration: configuration(0)}
	low := batch("low", 4, 4000)
	low.Priority, low.Route = 2, "batch"
	p.Jobs = append(p.Jobs, simulation.Arrival{At: 2000, Spec: low})
	for i := range 700 {
		s := batch(fmt.Sprintf("high%03d", i), 8, 4000)
		s.Priority, s.Route = 1, "plan"
		s.Stretch = 1000
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(500 + 300*i), Spec: s})
	}
	w := runScenario(t, p, 1_200_000)
	r := w.Results()[0]
	assert.Less(t, r.Waited, int64(precedence.MaxWait+8000), "%+v", r)
}

// Guards against hosts that accept more and more work into a queue that can't serve it: the
// coordinator tells them of the wait, and of none once the queue has drained.
func TestBacklogIsTold(t *testing.T) {
	p := simulation.Scenario{Workers: 4, Configuration: configuration(0)}
	for i := range 150 {
		s := batch(fmt.Sprintf("b%03d", i), 8, 4000)
		s.Route = "batch"
		p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(1000 + 200*i), Spec: s})
	}
	w := simulation.New(p)
	w.Run(30_000)
	told := w.Claim().Backlogs
	if assert.Len(t, told, 1) {
		assert.Equal(t, "batch", told[0].Route)
		assert.InDelta(t, 120_000, told[0].Wait, 60_000, "about 120 jobs wait, and one begins in a second")
	}
	w.RunUntilEnded(400_000)
	assert.Empty(t, w.Claim().Backlogs)
}
