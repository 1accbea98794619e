package retry

const (
	// DefaultRatio is the default of Budget.Ratio.
	DefaultRatio = 0.1
	// DefaultReserve is the default of Budget.Reserve.
	DefaultReserve = 10
)

// Budget bounds retries by first tries. The zero value has the default ratio
// and a full default reserve. It must not be used by two goroutines at once.
type Budget struct {
	// Ratio is the number of retries that a first try pays for; 0 means
	// DefaultRatio.
	Ratio float64
	// Reserve is the largest number of saved retries; 0 means DefaultReserve.
	Reserve float64

	// spent is the part of the reserve in use, between 0 and Reserve.
	spent float64
}

// Deposit notes a first try.
func (b *Budget) Deposit() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.spent = max(0, b.spent-ratio)
}

// Withdraw notes a retry. It returns false when the budget is empty, and the
// retry must not be made.
func (b *Budget) Withdraw() bool {
	reserve := b.Reserve
	if reserve == 0 {
		reserve = DefaultReserve
	}
	if b.spent+1 > reserve {
		return false
	}
	b.spent++
	return true
}
