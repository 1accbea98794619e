package estimate

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Queue identifies the jobs whose estimates are wrong in a like way.
type Queue struct {
	Route, Organisation string
}

// RunTimes holds, by queue, the distribution of the run time of steps relative to their callers'
// estimates. The zero value knows of none.
type RunTimes struct {
	queues map[Queue]*ratios
	// clock counts the observations.
	clock int64
}

const (
	// ratioWindow is the number of newest steps of a queue that count, so that its distribution
	// follows its jobs. It bounds a queue to about 600 bytes.
	ratioWindow = 32
	// minRatios is the number of steps from which on a queue's distribution is used.
	minRatios = 6
	// maxQueues bounds the queues that are remembered. The one observed longest ago is dropped.
	maxQueues = 512
)

// ratios holds the newest ratios of a queue, as logarithms.
type ratios struct {
	values [ratioWindow]float64
	// sorted has values in order unless unsorted is set.
	sorted   [ratioWindow]float64
	unsorted bool
	count    int
	seen     int64
}

// inOrder returns the ratios in ascending order.
func (d *ratios) inOrder() []float64 {
	sorted := d.sorted[:min(d.count, ratioWindow)]
	if d.unsorted {
		copy(sorted, d.values[:])
		slices.Sort(sorted)
		d.unsorted = false
	}
	return sorted
}

// Observe records that a step that its caller estimated at the given time took runTime at a typical
// worker, both in milliseconds.
func (r *RunTimes) Observe(q Queue, estimated, runTime float64) {
	if !positive(estimated) || !positive(runTime) {
		return
	}
	r.clock++
	d := r.queues[q]
	if d == nil {
		if r.queues == nil {
			r.queues = make(map[Queue]*ratios)
		}
		if len(r.queues) >= maxQueues {
			r.dropOldest()
		}
		d = new(ratios)
		r.queues[q] = d
	}
	d.values[d.count%ratioWindow] = math.Log(runTime / estimated)
	d.count, d.seen, d.unsorted = d.count+1, r.clock, true
}

// dropOldest drops the queue that was observed longest ago.
func (r *RunTimes) dropOldest() {
	var oldest Queue
	seen := int64(math.MaxInt64)
	for q, d := range r.queues {
		if d.seen < seen {
			oldest, seen = q, d.seen
		}
	}
	delete(r.queues, oldest)
}

// Quantile returns the quantile p, from 0 to 1, of the run time of a step of a queue with the given
// estimate, at a typical worker and in milliseconds. It is the estimate while too few steps of the
// queue are known.
func (r *RunTimes) Quantile(q Queue, estimated, p float64) float64 {
	d := r.queues[q]
	if d == nil || d.count < minRatios {
		return estimated
	}
	return estimated * math.Exp(stat.Quantile(p, stat.Empirical, d.inOrder(), nil))
}
