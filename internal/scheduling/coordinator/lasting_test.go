package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Guards against guaranteed work that waits for the end of lasting work, and against stopping
// more of a lasting step than it may miss, or any of it without a guarantee.
func TestGuaranteeReclaimsFromLastingWork(t *testing.T) {
	for _, c := range []struct {
		name       string
		guaranteed int64
		mayMiss    int
		reclaimed  bool
	}{
		{"unprotected", 16, 0, true},
		{"may miss enough", 16, 8, true},
		{"may not miss enough", 16, 7, false},
		{"no guarantee", 0, 0, false},
	} {
		p := simulation.Scenario{Workers: 8, Configuration: configuration(c.guaranteed)}
		lasting := batch("lasting", 64, 1000)
		step := &lasting.Steps[0]
		step.Need.Memory, step.LongRunning, step.MaxUnavailable = 30_000, true, c.mayMiss
		p.Jobs = []simulation.Arrival{{At: 500, Spec: lasting, CancelAt: 20_000}, {At: 5000, Spec: gang("urgent", 1, 8, 2500, 0)}}
		rs := runScenario(t, p, 40_000).Results()
		assert.Equal(t, c.reclaimed, rs[1].Waited < 1600, "%s: %+v", c.name, rs[1])
		starts := 64
		if c.reclaimed {
			starts += 8
		}
		assert.Equal(t, starts, rs[0].Starts, c.name)
	}
}
