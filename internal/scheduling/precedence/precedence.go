// Package precedence decides which work goes first, and what is delayed or turned away, when there
// is too little room for all. It consists of plain data and pure functions.
package precedence

import (
	"cmp"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Waiting is a request for places as far as its precedence depends on it. Times are in
// milliseconds.
type Waiting struct {
	// Rank orders requests before all else, the lowest first: by guarantee and priority.
	Rank int
	// Overdue is set once the request has waited for longer than MaxWait. It is then ordered before
	// the others that are not urgent.
	Overdue bool
	// Late is set if the job can't meet its deadline any more even if it starts now.
	Late bool
	// OverShare is set if the request's organisation uses more than its share beside what is
	// guaranteed to it; see Shares.
	OverShare bool
	Deadline  int64
}

// MaxWait is how long a request that is not urgent waits behind others of a higher priority at
// most, in milliseconds: several times the objective of the longest common jobs, about 25 s, so that
// only work that would otherwise starve is moved up.
const MaxWait = 120_000

// Compare orders requests: it is negative if a goes first. Within a rank, what can still meet its
// deadline goes before what can't, organisations within their share go before others, and earlier
// deadlines before later ones.
func Compare(a, b *Waiting) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareBool(b.Overdue, a.Overdue), compareBool(a.Late, b.Late),
		compareBool(a.OverShare, b.OverShare), cmp.Compare(a.Deadline, b.Deadline))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Shares compares what organisations use of a service with their fair shares of it. The zero value
// has no use and no capacity.
type Shares struct {
	// Capacity is that of all workers of the service.
	Capacity jobspec.Resources
	// Active is the number of organisations that use or wait for capacity.
	Active int
}

// Over reports whether an organisation that uses the given resources, of which guaranteed
// accelerators are its own in any case, exceeds an equal share of the service beside these. What it uses is
// measured by its dominant resource, that of which it takes the largest part.
func (s *Shares) Over(used jobspec.Resources, guaranteed int64) bool {
	if s.Active < 2 {
		return false
	}
	own := share(guaranteed, s.Capacity.Accelerators)
	dominant := max(share(used.Cores, s.Capacity.Cores), share(used.Memory, s.Capacity.Memory), share(used.Accelerators, s.Capacity.Accelerators))
	return dominant-own > 1/float64(s.Active)
}

// share returns n as a part of total; 0 if there is none.
func share(n, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// Stop is a possible preemption, as far as its cost to callers depends on it.
type Stop struct {
	// Lost is the work that the victim would lose, in core seconds.
	Lost float64
	// Percent is the progress of the victim.
	Percent int
}

const (
	// nearlyDone is the progress in percent from which on a run is stopped only where hardly
	// anything else can be.
	nearlyDone = 90
	// nearlyDoneFactor is the factor by which its cost counts for more: its caller loses the
	// whole run for the time that it needs anyway to free its place.
	nearlyDoneFactor = 3
)

// Cost returns what the preemption costs, in core seconds.
func (s *Stop) Cost() float64 {
	if s.Percent >= nearlyDone {
		return nearlyDoneFactor * s.Lost
	}
	return s.Lost
}
