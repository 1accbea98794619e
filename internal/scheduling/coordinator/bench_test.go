package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// BenchmarkDay runs 30 s of a full deployment. The measured time covers both the
// coordinator and the simulated workers.
func BenchmarkDay(b *testing.B) {
	for _, n := range []int{48, 350, 870} {
		b.Run(fmt.Sprint(n, "Workers"), func(b *testing.B) {
			for b.Loop() {
				p := simulation.Scenario{Workers: n, Configuration: configuration(int64(n) * 5)}
				for i := range n * 2 {
					at := int64(1000 + 25_000*i/(n*2))
					p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: gang(fmt.Sprintf("g%04d", i), 3, 4, 2500, 0)})
					if i%4 == 0 {
						p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: batch(fmt.Sprintf("b%04d", i), 24, 8000)})
						p.Jobs = append(p.Jobs, simulation.Arrival{At: at, Spec: gang(fmt.Sprintf("r%04d", i), 8, 4, 9000, 1)})
					}
				}
				w := simulation.New(p)
				w.Run(30_000)
			}
		})
	}
}
