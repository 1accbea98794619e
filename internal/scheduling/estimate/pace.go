// Package estimate estimates how fast workers are and how long runs take, from the progress
// that workers report. It has no clock and performs no I/O.
package estimate

import "math"

// Pace is the estimated pace of a worker: the factor by which runs take longer there than on a
// typical worker of its service. The zero value is the pace of a worker of which nothing is known.
type Pace struct {
	// log is the natural logarithm of the factor, and samples the number of samples that it rests
	// on, weighted, at most maxSamples.
	log, samples float32
	// outliers counts the samples in a row that were too far from the estimate to be used.
	outliers uint8
}

const (
	// maxSamples bounds the weight of what was learned, so that about as many samples make a
	// worker that has become slower or faster known.
	maxSamples = 6
	// priorSamples is the weight of the assumption that a worker is a typical one.
	priorSamples = 0.5
	// sampleDeviation is the standard deviation of a sample: the tasks of one step differ by about
	// 15 % in their work, and progress is reported in whole per cent.
	sampleDeviation = 0.22
	// outlierDistance is the distance from the estimate, as a logarithm, from which on a sample is
	// taken to show an unusual task rather than the worker. Paces of 0.6 to 1.6 are within 1.
	outlierDistance = 1.1
	// maxOutliers is the number of such samples in a row that show the worker after all.
	maxOutliers = 2
	// classWidth is the width of a class of paces, as a logarithm: about 28 %, so that workers of
	// a service that differ by less are treated as alike.
	classWidth = 0.25
	// leastEvidence is the number of standard errors by which an estimate must differ from a
	// typical pace before it counts.
	leastEvidence = 1.5
	// MaxClass bounds the classes, also those of a worker that stands still for a time.
	MaxClass = 4
)

// Factor returns the factor by which runs take longer on the worker; 1 while there is too little
// evidence that it differs from a typical one.
func (p *Pace) Factor() float64 {
	if p.Class() == 0 {
		return 1
	}
	return math.Exp(float64(p.log))
}

// Class returns the class of the pace: 0 for a typical worker, lower for a faster one and higher
// for a slower one. Two neighbouring classes differ by about 28 % in run time.
func (p *Pace) Class() int {
	if p.samples <= 0 || math.Abs(float64(p.log)) < leastEvidence*sampleDeviation/math.Sqrt(float64(p.samples)) {
		return 0
	}
	return max(-MaxClass, min(MaxClass, int(math.Round(float64(p.log)/classWidth))))
}

// SlowestClass returns the highest class whose workers take at most the given factor longer than a
// typical one, from -MaxClass to MaxClass.
func SlowestClass(factor float64) int {
	if !(factor > 0) {
		return -MaxClass
	}
	// Bounded before the conversion, which is not defined for infinity.
	return int(math.Floor(max(-MaxClass, min(MaxClass, math.Log(factor)/classWidth))))
}

// Renew makes the pace count for less, since the worker's process has restarted and may be on
// another machine.
func (p *Pace) Renew() { p.samples = min(p.samples, renewedSamples) }

// renewedSamples bounds the weight of a pace that was learned in an earlier lifetime.
const renewedSamples = 1

// confidence returns the weight of the worker's pace in an estimate of a step's work, from
// unknownWeight to 1.
func (p *Pace) confidence() float32 { return min(1, unknownWeight+p.samples/2) }

// unknownWeight is the weight of a task on a worker of unknown pace in the estimate of its step's
// work. Several such tasks together still tell more than the caller's estimate.
const unknownWeight = 0.15

// add adds a sample of the logarithm of the factor with a weight from 0 to 1. It ignores
// outliers, unless several follow each other.
func (p *Pace) add(x, weight float32) {
	if math.Abs(float64(x-p.log)) > outlierDistance {
		if p.outliers++; p.outliers < maxOutliers {
			return
		}
		// The worker itself has changed.
		p.samples = 0
	}
	p.outliers = 0
	p.log = (p.log*(p.samples+priorSamples) + x*weight) / (p.samples + priorSamples + weight)
	p.samples = min(maxSamples, p.samples+weight)
}

// Work estimates the work of the tasks of one step, which are alike but for a few per cent, from
// the times that they take on several workers. The zero value knows of no task.
type Work struct {
	// sum is the weighted sum of the logarithms of the run times at a typical worker, and weight
	// the sum of the weights.
	sum, weight float32
}

// Sample is what one task contributes to the Work of its step. The zero value is no contribution.
type Sample struct {
	log, weight float32
}

// leastWork is the weight of the other tasks of a step from which on a task shows the pace of its
// worker: two on workers of unknown pace.
const leastWork = 2 * unknownWeight

// Observe learns from the run time of a task, in milliseconds at the speed that its worker has
// shown, near its data and its gang. p is the worker's pace, w the work of the task's step, and
// last what the task contributed before. It returns the task's new contribution.
func Observe(p *Pace, w *Work, last Sample, runTime float64) Sample {
	if !positive(runTime) {
		return last
	}
	x := float32(math.Log(runTime))
	others := Work{sum: w.sum - last.sum(), weight: w.weight - last.weight}
	if others.weight > leastWork-1e-3 {
		p.add(x-others.sum/others.weight, others.weight/(others.weight+0.5))
	}
	s := Sample{log: x - p.log, weight: p.confidence()}
	w.sum, w.weight = others.sum+s.sum(), others.weight+s.weight
	return s
}

// positive reports whether x is finite and greater than 0, so that it has a logarithm. Any other number
// would stay in a sum of logarithms for good.
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func (s Sample) sum() float32 { return s.log * s.weight }

// Median returns the run time of a task at a typical worker, in milliseconds, and whether enough
// tasks have shown it.
func (w *Work) Median() (runTime float64, ok bool) {
	if w.weight < leastWork-1e-3 {
		return 0, false
	}
	return math.Exp(float64(w.sum / w.weight)), true
}

// Encode returns the pace in two bytes, for a record; see DecodePace. ok is false if nothing is
// known.
func (p *Pace) Encode() (b [2]byte, ok bool) {
	steps := math.Round(float64(p.log) * logSteps)
	return [2]byte{byte(int8(max(math.MinInt8, min(math.MaxInt8, steps)))), byte(p.samples * sampleSteps)}, p.samples > 0
}

// logSteps and sampleSteps are the numbers of steps of an encoded logarithm and of an encoded number
// of samples in one unit.
const (
	logSteps    = 32
	sampleSteps = 16
)

// DecodePace returns the pace that Encode has encoded. Any two bytes are a pace. A successor
// knows of no later samples, so that its own ones count for more.
func DecodePace(b [2]byte) Pace {
	return Pace{log: float32(int8(b[0])) / logSteps, samples: min(inheritedSamples, float32(b[1])/sampleSteps)}
}

// inheritedSamples bounds the weight of a pace that another coordinator has learned.
const inheritedSamples = 4
