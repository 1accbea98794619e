package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against punctuality that is judged by the estimate: with 1 s of actual work the objective is
// 3 s, and by the estimate 9 s.
func TestOnTimeByActualRunTimes(t *testing.T) {
	for pace, onTime := range map[float64]bool{2.5: true, 4: false} {
		p := scenario(1, Arrival{Spec: job(1, false), TaskRunTimes: []int64{1000}})
		p.Paces = []float64{pace}
		r := play(t, p)
		assert.Equal(t, onTime, r.OnTime, "%+v", r)
		assert.InDelta(t, 1000*pace, r.Ended, overhead, "%+v", r)
		assert.Zero(t, r.Wasted)
	}
}

// Guards against lost work that is not counted, or counted although a checkpoint has it. A worker of
// pace 1.6 crashes when a task of 10 cores and 4 accelerators has run for 2 s, of which 0.4 s are after
// its checkpoint.
func TestWastedCoreSeconds(t *testing.T) {
	const weight = 10 + 4*8
	for checkpoints, seconds := range map[bool]float64{false: 2, true: 0.4} {
		p := scenario(1, Arrival{Spec: job(1, false)})
		p.Jobs[0].Spec.Steps[0].Checkpoints = checkpoints
		p.Paces = []float64{1.6}
		p.Faults = []Fault{{At: 3000, Duration: 500, Kind: Crash}}
		assert.InDelta(t, weight*seconds, play(t, p).Wasted, weight*0.02, "checkpoints: %t", checkpoints)
	}
}
