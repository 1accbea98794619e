package jobspec

// Resources is an amount of a worker's capacity. No field is negative in a valid request;
// fields of a difference may be.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// Cores is in thousandths of a processor core.
	Cores int64
	// Memory is in MiB.
	Memory int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{Cores: r.Cores + s.Cores, Memory: r.Memory + s.Memory, Accelerators: r.Accelerators + s.Accelerators}
}

// Sub returns the difference of r and s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{Cores: r.Cores - s.Cores, Memory: r.Memory - s.Memory, Accelerators: r.Accelerators - s.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{Cores: n * r.Cores, Memory: n * r.Memory, Accelerators: n * r.Accelerators}
}

// Within reports whether r fits into s.
func (r Resources) Within(s Resources) bool {
	return r.Cores <= s.Cores && r.Memory <= s.Memory && r.Accelerators <= s.Accelerators
}

// Fit returns how many times r fits into s, at most limit.
func (r Resources) Fit(s Resources, limit int) int {
	if !r.Within(s) {
		return 0
	}
	n := int64(limit)
	for _, p := range [...][2]int64{{r.Cores, s.Cores}, {r.Memory, s.Memory}, {r.Accelerators, s.Accelerators}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		} else if p[1] < 0 {
			return 0
		}
	}
	return int(n)
}

// CoresPerAccelerator is the weight of an accelerator in processor cores, according to
// the operators' prices.
const CoresPerAccelerator = 8

// Weight returns the cores and accelerators of r as an equivalent number of processor
// cores. It ignores memory.
func (r Resources) Weight() float64 {
	return float64(r.Cores)/1000 + CoresPerAccelerator*float64(r.Accelerators)
}
