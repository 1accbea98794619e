package ledger

import "math/bits"

// runTimeBuckets covers run times up to 2^39 milliseconds.
const runTimeBuckets = 40

// RunTimes is a histogram of observed run times in powers of two milliseconds.
// The zero value is empty.
type RunStats struct {
	Buckets [runTimeBuckets]uint32
	Count   uint32
	// Stops counts the attempts that were stopped after a start, and Saved those
	// of them whose progress was kept. Saved is at most Stops.
	Stops, Saved uint32
}

// halveAt is the count at which old observations are halved, so that the
// histogram follows change.
const halvingThreshold = 4096

// Add records a run time in milliseconds.
func (r *RunStats) AddRunTime(ms int64) {
	bucket := min(bits.Len64(uint64(max(ms, 0))), runTimeBuckets-1)
	r.Buckets[bucket]++
	r.Count++
	if r.Count < halvingThreshold {
		return
	}
	r.Count = 0
	for i := range r.Buckets {
		r.Buckets[i] /= 2
		r.Count += r.Buckets[i]
	}
}

// AddStop records that an attempt was stopped, with or without its progress.
func (r *RunStats) AddStop(saved bool) {
	r.Stops++
	if saved {
		r.Saved++
	}
	if r.Stops >= halvingThreshold {
		r.Stops, r.Saved = r.Stops/2, r.Saved/2
	}
}

// Keeps reports whether stopped attempts mostly keep their progress. Without any
// observation it returns true.
func (r *RunStats) MostlySaved() bool { return r == nil || 2*r.Saved >= r.Stops }

// Quantile returns an upper bound, in milliseconds, of the q-quantile. It
// returns false when fewer than least observations were made.
func (r *RunStats) RunTimeQuantile(q float64, minCount uint32) (int64, bool) {
	if r == nil || r.Count < minCount || r.Count == 0 {
		return 0, false
	}
	target := q * float64(r.Count)
	cumulative := 0.0
	for i, c := range r.Buckets {
		cumulative += float64(c)
		if cumulative >= target {
			return int64(1) << i, true
		}
	}
	return int64(1) << (runTimeBuckets - 1), true
}
