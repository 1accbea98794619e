package ledger

import "math/bits"

// runTimeBuckets is the number of buckets of the histogram of run times. It covers
// run times up to 2^39 milliseconds.
const runTimeBuckets = 40

// RunStats holds statistics of the jobs of one organisation and class. The zero
// value is empty.
type RunStats struct {
	// Buckets is a histogram of the run times of completed jobs. Bucket i counts the
	// run times below 2^i milliseconds that are in no lower bucket; the last one also
	// counts all longer run times.
	Buckets [runTimeBuckets]uint32
	// Count is the sum of Buckets.
	Count uint32
	// Stops counts the attempts that may have started and were then requeued for
	// another reason than the failure of a member. Saved counts those of them that
	// saved their progress, and is at most Stops.
	Stops, Saved uint32
}

// halvingThreshold is the number of run times, or of stops, at which their counts are
// halved, so that the statistics follow changes.
const halvingThreshold = 4096

// AddRunTime records the run time of a completed job, in milliseconds.
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

// AddStop records that an attempt was stopped (see Stops), and whether it saved its
// progress.
func (r *RunStats) AddStop(saved bool) {
	r.Stops++
	if saved {
		r.Saved++
	}
	if r.Stops >= halvingThreshold {
		r.Stops, r.Saved = r.Stops/2, r.Saved/2
	}
}

// MostlySaved reports whether at least half of the stopped attempts saved their
// progress. It returns true if r is nil or no attempt was stopped.
func (r *RunStats) MostlySaved() bool { return r == nil || 2*r.Saved >= r.Stops }

// RunTimeQuantile returns an upper bound of the q-quantile of the run times, in
// milliseconds. It returns false if r is nil or holds fewer than minCount run times,
// or none.
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
