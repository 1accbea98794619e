package placement

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Candidate is a worker on which tasks may be placed.
type Candidate struct {
	ID string
	// Rack is empty when it is not known.
	Rack   string
	Labels []string
	// Free is the free capacity. It may be negative.
	Free jobspec.Resources
	// Capacity is the total capacity.
	Capacity jobspec.Resources
	// Excluded candidates receive no tasks.
	Excluded bool
	// StepTasks is the number of tasks of the requested step and occurrence that are
	// already placed on the worker. It counts towards Step.MaxPerWorker.
	StepTasks int
	// Avoided candidates are chosen last, because tasks of the step have failed or stalled
	// there, or other runs have since the worker's last success.
	Avoided bool
	// Cold candidates are still slow after their start. They are chosen after all others that are
	// not avoided.
	Cold bool
	// PaceClass is the class of the worker's pace: 0 for a typical one, lower for a faster one.
	PaceClass int
}

// PaceOrder says in which order workers are chosen by their pace.
type PaceOrder int8

// The orders of workers by their pace.
const (
	// AnyPace ignores the pace.
	AnyPace PaceOrder = iota
	// FastFirst is for urgent work.
	FastFirst
	// SlowFirst is for work that is not in a hurry: it leaves the fast workers to urgent work.
	SlowFirst
)

// rank returns what candidates of a class are ordered by.
func (o PaceOrder) rank(class int) int {
	switch o {
	case FastFirst:
		return class
	case SlowFirst:
		return -class
	default:
		return 0
	}
}

// Request is a number of identical tasks to place. The functions of this package return
// places: the index of the chosen candidate for each task.
type Request struct {
	Tasks int
	Step  *jobspec.Step
	Order PaceOrder
	// Limited is set if candidates of a higher pace class than Slowest receive no tasks.
	Limited bool
	Slowest int
	// Examined, if set, counts the comparisons of the request with candidates and victims.
	Examined *int
}

// examine counts n comparisons.
func (r *Request) examine(n int) {
	if r.Examined != nil {
		*r.Examined += n
	}
}

// Fit returns how many tasks of r fit into the free capacity of c.
func (r *Request) Fit(c *Candidate) int { return r.fit(c, c.Free) }

// FitIn returns how many tasks of r would fit on c if the given capacity were free.
func (r *Request) FitIn(c *Candidate, free jobspec.Resources) int { return r.fit(c, free) }

// fitEmpty returns how many tasks of r would fit on c if it were empty.
func (r *Request) fitEmpty(c *Candidate) int { return r.fit(c, c.Capacity) }

func (r *Request) fit(c *Candidate, free jobspec.Resources) int {
	r.examine(1)
	if c.Excluded || r.Limited && c.PaceClass > r.Slowest || r.Step.Label != "" && !slices.Contains(c.Labels, r.Step.Label) {
		return 0
	}
	limit := r.Tasks
	if r.Step.MaxPerWorker > 0 {
		limit = min(limit, r.Step.MaxPerWorker-c.StepTasks)
	}
	if limit <= 0 {
		return 0
	}
	return r.Step.Reserved().Fit(free, limit)
}

// ByRack returns the indices of candidates by rack.
func ByRack(candidates []Candidate) map[string][]int {
	m := make(map[string][]int)
	for i := range candidates {
		m[candidates[i].Rack] = append(m[candidates[i].Rack], i)
	}
	return m
}

// PlaceInRack returns places for all tasks of r on one rack, or nil when no rack has
// enough free capacity. It prefers the rack of the data, then racks that do not need
// avoided candidates, then those that do not need cold ones, then with FastFirst the one whose slowest
// chosen candidate is fastest, then the rack on which the fewest tasks fit.
func PlaceInRack(candidates []Candidate, racks map[string][]int, r *Request) []int {
	var best []int
	var bestRank rackRank
	for rack, indices := range racks {
		rank, ok := r.rankRack(candidates, rack, indices)
		if !ok {
			continue
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 || rank == bestRank && indices[0] < best[0] {
			best, bestRank = indices, rank
		}
	}
	if best == nil {
		return nil
	}
	return Fill(candidates, best, r)
}

// rackRank orders racks for PlaceInRack, the lowest first.
type rackRank [5]int

// rankRack returns the rank of a rack with the candidates at indices, and whether all tasks of r fit
// there.
func (r *Request) rankRack(candidates []Candidate, rack string, indices []int) (rackRank, bool) {
	fits, avoided, cold := 0, 0, 0
	var byClass classFits
	for _, i := range indices {
		n := r.Fit(&candidates[i])
		fits += n
		byClass.add(candidates[i].PaceClass, n)
		switch {
		case candidates[i].Avoided:
			avoided += n
		case candidates[i].Cold:
			cold += n
		}
	}
	rank := rackRank{4: fits}
	if r.Step.DataRack != "" && rack != r.Step.DataRack {
		rank[0] = 1
	}
	if fits-avoided < r.Tasks {
		rank[1] = 1
	}
	if cold > 0 && fits-avoided-cold < r.Tasks {
		rank[2] = 1
	}
	if r.Order == FastFirst {
		rank[3] = byClass.slowest(r.Tasks)
	}
	return rank, fits >= r.Tasks
}

// classFits counts the tasks that fit on candidates by pace class.
type classFits [2*maxPaceClass + 1]int

// maxPaceClass bounds the pace classes that are told apart.
const maxPaceClass = 8

func (f *classFits) add(class, n int) {
	f[maxPaceClass+max(-maxPaceClass, min(maxPaceClass, class))] += n
}

// slowest returns the class of the slowest candidate if n tasks are placed on the fastest.
func (f *classFits) slowest(n int) int {
	for k := range f {
		if n -= f[k]; n <= 0 {
			return k - maxPaceClass
		}
	}
	return maxPaceClass
}

// FitsRack reports whether all tasks of r would fit on one of the racks if it were empty.
func FitsRack(candidates []Candidate, racks map[string][]int, r *Request) bool {
	for _, indices := range racks {
		fits := 0
		for _, i := range indices {
			fits += r.fitEmpty(&candidates[i])
		}
		if fits >= r.Tasks {
			return true
		}
	}
	return false
}

// Fits reports whether all tasks of r fit into the free capacity of all candidates.
func Fits(candidates []Candidate, r *Request) bool {
	fits := 0
	for i := range candidates {
		if fits += r.Fit(&candidates[i]); fits >= r.Tasks {
			return true
		}
	}
	return false
}

// FitsAnywhere reports whether all tasks of r would fit if all candidates were empty.
func FitsAnywhere(candidates []Candidate, r *Request) bool {
	fits := 0
	for i := range candidates {
		fits += r.fitEmpty(&candidates[i])
	}
	return fits >= r.Tasks
}

// CouldHold reports whether all tasks of r would fit on the candidates if these were empty, those
// that are excluded at present included.
func CouldHold(candidates []Candidate, r *Request) bool {
	fits := 0
	for i := range candidates {
		c := candidates[i]
		c.Excluded, c.StepTasks = false, 0
		if fits += r.fitEmpty(&c); fits >= r.Tasks {
			return true
		}
	}
	return false
}

// PlaceAnywhere returns places for as many tasks of r as fit. It chooses among all
// candidates with the preferences of Fill.
func PlaceAnywhere(candidates []Candidate, r *Request) []int {
	indices := make([]int, len(candidates))
	for i := range indices {
		indices[i] = i
	}
	return Fill(candidates, indices, r)
}

// Fill returns places for as many tasks of r as fit on the candidates at the given
// indices. It prefers candidates that are not avoided, then the rack of the data, then those that
// are not cold, then those that come first by the request's pace order, then those with the least
// free capacity, so that others stay empty.
func Fill(candidates []Candidate, indices []int, r *Request) []int {
	type option struct {
		index, fit int
		rank       [5]int
	}
	var options []option
	for _, i := range indices {
		c := &candidates[i]
		n := r.Fit(c)
		if n == 0 {
			continue
		}
		o := option{index: i, fit: n}
		if c.Avoided {
			o.rank[0] = 1
		}
		if r.Step.DataRack != "" && c.Rack != r.Step.DataRack {
			o.rank[1] = 1
		}
		if c.Cold {
			o.rank[2] = 1
		}
		o.rank[3] = r.Order.rank(c.PaceClass)
		o.rank[4] = int(c.Free.Weight())
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(slices.Compare(a.rank[:], b.rank[:]), cmp.Compare(a.index, b.index))
	})
	places := make([]int, 0, r.Tasks)
	for _, o := range options {
		for range o.fit {
			if len(places) == r.Tasks {
				return places
			}
			places = append(places, o.index)
		}
	}
	return places
}
