package retry

// Backoff yields growing waits. The zero value starts at DefaultFirst and ends
// at DefaultMax.
type Backoff struct {
	// First is the first wait, in milliseconds; 0 means DefaultFirst.
	First int64
	// Max bounds the waits, in milliseconds; 0 means DefaultMax.
	Max int64

	last int64
}

const (
	// DefaultFirst is the default of Backoff.First, in milliseconds.
	DefaultFirst = 50
	// DefaultMax is the default of Backoff.Max, in milliseconds.
	DefaultMax = 2000
)

// Next returns the next wait, in milliseconds. jitter is a random number in
// [0, 1) that shortens the wait by up to half.
func (b *Backoff) Next(jitter float64) int64 {
	first, most := b.First, b.Max
	if first == 0 {
		first = DefaultFirst
	}
	if most == 0 {
		most = DefaultMax
	}
	b.last = min(max(first, 2*b.last), most)
	return b.last - int64(jitter*float64(b.last)/2)
}

// Reset makes the next wait the first one again.
func (b *Backoff) Reset() { b.last = 0 }
