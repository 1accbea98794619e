package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Guards against a wait that is computed from how fast jobs arrived while none waited: hosts then refuse
// jobs of the first burst after a quiet time, although the queue drains fast.
func TestBacklogAfterAQuietTime(t *testing.T) {
	p := simulation.Scenario{Workers: 4, Configuration: configuration(0)}
	for i := range 24 {
		s := batch(fmt.Sprintf("b%03d", i), 8, 4000)
		s.Route = "batch"
		at := int64(1000 + 6000*i)
		if i >= 8 {
			at = 200_000
		}
		p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: s})
	}
	w := simulation.New(p)
	for at := int64(199_000); at < 215_000; at += 250 {
		w.Run(at)
		for _, b := range w.Claim().Backlogs {
			assert.Less(t, b.Wait, int64(2*16_000), "16 jobs, of which one begins in a second, at %d", at)
		}
	}
}
