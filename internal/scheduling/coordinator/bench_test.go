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

// BenchmarkBurst runs 12 s in which urgent gangs arrive faster than workers full of wide
// lower-priority jobs can be cleared for them.
func BenchmarkBurst(b *testing.B) {
	for _, n := range []int{48, 350, 1100, 2500} {
		b.Run(fmt.Sprint(n, "Workers"), func(b *testing.B) {
			for b.Loop() {
				p := simulation.Scenario{Workers: n, Configuration: configuration(int64(n) * 5), NetworkDelay: 40}
				for i := range n / 6 {
					p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(1000 + 11_000*i/(n/6)), Spec: batch(fmt.Sprintf("b%04d", i), 78, 7600)})
				}
				for i := range n / 3 {
					p.Jobs = append(p.Jobs, simulation.Arrival{At: int64(4000 + 8000*i/(n/3)), Spec: gang(fmt.Sprintf("g%04d", i), 8, 1+int64(i)%8, 2500, 0)})
				}
				simulation.New(p).Run(12_000)
			}
		})
	}
}
