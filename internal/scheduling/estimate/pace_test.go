package estimate

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// learn lets gangs of the given width run on random workers, whose paces are factors, with tasks
// that differ by the deviation uneven, and returns the estimated paces.
func learn(r *rand.Rand, factors []float64, gangs, width int, uneven float64) []Pace {
	paces := make([]Pace, len(factors))
	for range gangs {
		var w Work
		work := 2000 * math.Exp(r.NormFloat64())
		for _, i := range r.Perm(len(factors))[:width] {
			Observe(&paces[i], &w, Sample{}, work*factors[i]*math.Exp(uneven*r.NormFloat64()))
		}
	}
	return paces
}

// Guards against paces that are confused with the work of jobs, whose estimates are off: workers of
// three paces must be told apart after a few gangs each.
func TestPacesAreToldApart(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	factors := make([]float64, 90)
	for i := range factors {
		factors[i] = []float64{0.6, 1, 1.6}[i%3]
	}
	wrong := 0
	for i, p := range learn(r, factors, 120, 6, 0.15) {
		if got := min(1, max(-1, p.Class())); got != i%3-1 {
			wrong++
		}
	}
	assert.LessOrEqual(t, wrong, 9, "of 90 workers after eight tasks each")
}

// Guards against differences that are noise: workers of one pace stay in one class, so that work is
// packed on them as before.
func TestEvenWorkersStayAlike(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 1))
	factors := make([]float64, 90)
	for i := range factors {
		factors[i] = 1
	}
	wrong := 0
	for _, p := range learn(r, factors, 300, 6, 0.15) {
		if p.Class() != 0 {
			wrong++
		}
	}
	assert.LessOrEqual(t, wrong, 4, "of 90 workers")
}

// Guards against a rare task of seven times the work that makes its worker look slow, and against
// a worker that becomes slow and is not noticed.
func TestOutliersAndSlowedWorkers(t *testing.T) {
	var p Pace
	observe := func(factor float64) {
		w := Work{sum: 4 * float32(math.Log(1000)), weight: 4}
		Observe(&p, &w, Sample{}, 1000*factor)
	}
	for range 4 {
		observe(1)
	}
	observe(7)
	observe(1)
	assert.Zero(t, p.Class(), "after one task of seven times the work")
	for range 4 {
		observe(5)
	}
	assert.Greater(t, p.Factor(), 3.0, "after all tasks took five times as long")
	for range 8 {
		observe(1)
	}
	assert.Less(t, p.Factor(), 1.5, "after the worker has recovered")
}

// Guards against a successor that begins with other paces than the last coordinator had.
func TestPaceEncoding(t *testing.T) {
	for _, f := range []float64{0.05, 0.6, 1, 1.6, 40} {
		p := Pace{log: float32(math.Log(f)), samples: 5}
		b, ok := p.Encode()
		assert.True(t, ok)
		q := DecodePace(b)
		assert.Equal(t, p.Class(), q.Class(), "factor %g", f)
	}
	_, ok := (&Pace{}).Encode()
	assert.False(t, ok, "nothing is known")
}

// Guards against a number that is not finite, which would stay in the estimates for good.
func TestNumbersThatAreNotFinite(t *testing.T) {
	var q Queue
	var r RunTimes
	var w Work
	paces := make([]Pace, 8)
	for i := range paces {
		s := Observe(&paces[i], &w, Sample{}, 1000)
		for _, odd := range []float64{math.Inf(1), math.NaN(), 0, -1} {
			assert.Equal(t, s, Observe(&paces[i], &w, s, odd), odd)
			r.Observe(q, 1000, odd)
			r.Observe(q, odd, 1000)
		}
		r.Observe(q, 1000, 2000)
		assert.InDelta(t, 1, paces[i].Factor(), 0)
	}
	median, _ := w.Median()
	assert.InDelta(t, 1000, median, 1)
	assert.InDelta(t, 2000, r.Quantile(q, 1000, 0.9), 1)
	assert.Equal(t, MaxClass, SlowestClass(math.Inf(1)))
	assert.Equal(t, -MaxClass, SlowestClass(math.NaN()), "no worker is known to be fast enough")
}
