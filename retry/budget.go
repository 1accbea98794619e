package retry

const (
	// DefaultRatio is the default of Budget.Ratio.
	DefaultRatio = 0.1
	// DefaultReserve is the default of Budget.Reserve.
	DefaultReserve = 10
)

// Budget limits the number of retries in proportion to the number of first
// attempts. The zero value has the default ratio and a full default reserve. It
// is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each first attempt adds to the budget;
	// 0 means DefaultRatio.
	Ratio float64
	// Reserve is the largest number of retries that the budget can hold; 0 means
	// DefaultReserve.
	Reserve float64

	// spent is the number of retries drawn from the reserve and not yet restored,
	// between 0 and Reserve.
	spent float64
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.spent = max(0, b.spent-ratio)
}

// Withdraw draws one retry from the budget. It returns false if less than one
// retry is left; the caller must then not retry.
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
