package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against estimates that are believed although the queue's jobs take another time, and against
// a distribution that does not follow its queue.
func TestRunTimesFollowTheQueue(t *testing.T) {
	var r RunTimes
	q := Queue{Route: "plans", Organisation: "crew"}
	rnd := rand.New(rand.NewPCG(3, 1))
	observe := func(n int, factor float64) {
		for range n {
			r.Observe(q, 1000, 1000*factor*math.Exp(0.3*rnd.NormFloat64()))
		}
	}
	observe(minRatios-1, 3)
	assert.InDelta(t, 1000, r.Quantile(q, 1000, 0.5), 0, "too few are known")
	observe(60, 3)
	assert.InDelta(t, 3000, r.Quantile(q, 1000, 0.5), 600)
	assert.Greater(t, r.Quantile(q, 1000, 0.9), 1.2*r.Quantile(q, 1000, 0.5))
	observe(ratioWindow, 0.5)
	assert.InDelta(t, 500, r.Quantile(q, 1000, 0.5), 100, "the queue has changed")
	assert.InDelta(t, 700, r.Quantile(Queue{Route: "other"}, 700, 0.9), 0, "another queue")
	r.Observe(q, 0, 100)
	assert.InDelta(t, 0, r.Quantile(q, 0, 0.5), 0, "no estimate")
}

// Guards against memory that grows with the names of queues and organisations.
func TestRunTimesAreBounded(t *testing.T) {
	var r RunTimes
	for i := range 2 * maxQueues {
		r.Observe(Queue{Route: fmt.Sprint("route", i)}, 1000, 2000)
	}
	assert.Len(t, r.queues, maxQueues)
}

// Guards against a quantile that sorts the queue's ratios for each run: a pass asks for that of thousands of
// runs that have not reported progress.
func TestQuantileDoesNotAllocate(t *testing.T) {
	var r RunTimes
	for i := range 2 * ratioWindow {
		r.Observe(Queue{}, 1000, float64(1000+i%7))
	}
	assert.Zero(t, testing.AllocsPerRun(100, func() { r.Quantile(Queue{}, 1000, 0.5) }))
}

func BenchmarkQuantile(b *testing.B) {
	var r RunTimes
	for i := range 2 * ratioWindow {
		r.Observe(Queue{}, 1000, float64(1000+i*7919%997))
	}
	for b.Loop() {
		r.Quantile(Queue{}, 1000, 0.5)
	}
}
