package retry

// Backoff computes the waits between retries. Before jitter, each wait is twice
// the previous one, up to a maximum. The zero value starts at DefaultFirst and is
// bounded by DefaultMax. It is not safe for concurrent use.
type Backoff struct {
	// First is the first wait, in milliseconds; 0 means DefaultFirst.
	First int64
	// Max is the longest wait, in milliseconds; 0 means DefaultMax.
	Max int64

	// last is the previous wait before jitter, in milliseconds.
	last int64
}

const (
	// DefaultFirst is the default of Backoff.First, in milliseconds.
	DefaultFirst = 50
	// DefaultMax is the default of Backoff.Max, in milliseconds.
	DefaultMax = 2000
)

// Next returns the next wait, in milliseconds. The caller passes a random number
// in [0, 1) as jitter, which shortens the wait by up to half.
func (b *Backoff) Next(jitter float64) int64 {
	first, limit := b.First, b.Max
	if first == 0 {
		first = DefaultFirst
	}
	if limit == 0 {
		limit = DefaultMax
	}
	b.last = min(max(first, 2*b.last), limit)
	return b.last - int64(jitter*float64(b.last)/2)
}

// Reset restarts the sequence at the first wait.
func (b *Backoff) Reset() { b.last = 0 }
