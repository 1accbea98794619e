package placement

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Victim is a set of runs that may be preempted together.
type Victim struct {
	// Cost is the work lost by stopping the victim plus the cost of restarting it, in core
	// seconds.
	Cost float64
	// Frees is the capacity that stopping the victim frees, once per candidate.
	Frees []FreedCapacity
	// Runs is the number of runs in the victim. It counts against Budget, if that is set.
	Runs   int
	Budget *StopBudget
}

// StopBudget bounds how many runs of one step may be stopped.
type StopBudget struct {
	// Left is at least 0.
	Left int
}

// FreedCapacity is what a victim frees on one candidate, given by its index.
type FreedCapacity struct {
	Candidate int
	Resources jobspec.Resources
}

// Add adds capacity that stopping the victim frees on a candidate. Candidates must be added
// in order.
func (v *Victim) Add(candidate int, free jobspec.Resources) {
	if n := len(v.Frees); n > 0 && v.Frees[n-1].Candidate == candidate {
		v.Frees[n-1].Resources = v.Frees[n-1].Resources.Add(free)
		return
	}
	v.Frees = append(v.Frees, FreedCapacity{Candidate: candidate, Resources: free})
}

// PlaceWithPreemption returns places for all tasks of r on the candidates at the given
// indices, which must be in ascending order, and the indices of the victims to stop for them. It selects victims greedily
// for a low total cost, among those whose indices are in eligible. It returns nil places
// when the tasks do not fit even if all of these are stopped.
func PlaceWithPreemption(candidates []Candidate, indices []int, r *Request, victims []Victim, eligible []int) (places, selected []int, cost float64) {
	t := newTrial(candidates, indices, r, victims, eligible)
	if !t.possible() {
		return nil, nil, 0
	}
	for t.fits < r.Tasks {
		k := t.best()
		if k < 0 {
			return nil, nil, 0
		}
		t.stop(k)
	}
	t.prune()
	for k := range t.victims {
		if t.victims[k].stopped {
			selected = append(selected, t.victims[k].index)
			cost += t.victims[k].cost
		}
	}
	all := make([]int, len(indices))
	for k := range all {
		all[k] = k
	}
	places = Fill(t.candidates, all, r)
	for k := range places {
		places[k] = indices[places[k]]
	}
	return places, selected, cost
}

// trial is a copy of some candidates on which victims are stopped.
type trial struct {
	request    *Request
	candidates []Candidate
	victims    []trialVictim
	// fits is the number of tasks that fit on the candidates now, and fit that on each of them.
	fits int
	fit  []int
	// ratios holds the gain of stopping each victim relative to its cost, or a negative number if
	// it has to be computed anew since a victim on the same candidate was stopped.
	ratios []float64
	// byCandidate holds the indices of the victims on each candidate.
	byCandidate [][]int
	// spent is the part of each budget that the stopped victims use, at most Left.
	spent map[*StopBudget]int
}

// trialVictim is a victim that frees capacity on a trial's candidates.
type trialVictim struct {
	// index is the victim's index among all victims. The candidates in frees are those of
	// the trial.
	index   int
	cost    float64
	frees   []FreedCapacity
	runs    int
	budget  *StopBudget
	stopped bool
}

// newTrial returns a trial of the candidates at indices with the eligible victims that free
// anything there.
func newTrial(candidates []Candidate, indices []int, r *Request, victims []Victim, eligible []int) *trial {
	t := &trial{
		request: r, candidates: make([]Candidate, len(indices)), fit: make([]int, len(indices)),
		byCandidate: make([][]int, len(indices)), victims: make([]trialVictim, 0, len(eligible)), spent: make(map[*StopBudget]int),
	}
	for k, i := range indices {
		t.candidates[k] = candidates[i]
		t.fit[k] = r.Fit(&t.candidates[k])
		t.fits += t.fit[k]
	}
	// All victims share one slice, since most free capacity on one candidate.
	frees := make([]FreedCapacity, 0, len(eligible))
	for _, v := range eligible {
		first := len(frees)
		for _, f := range victims[v].Frees {
			if k, ok := slices.BinarySearch(indices, f.Candidate); ok && !t.candidates[k].Excluded {
				frees = append(frees, FreedCapacity{Candidate: k, Resources: f.Resources})
				t.byCandidate[k] = append(t.byCandidate[k], len(t.victims))
			}
		}
		if len(frees) > first {
			t.victims = append(t.victims, trialVictim{
				index: v, cost: victims[v].Cost, runs: victims[v].Runs, budget: victims[v].Budget, frees: frees[first:len(frees):len(frees)],
			})
		}
	}
	r.examine(len(eligible))
	t.ratios = make([]float64, len(t.victims))
	for k := range t.ratios {
		t.ratios[k] = -1
	}
	return t
}

// possible reports whether the request would fit if all victims were stopped.
func (t *trial) possible() bool {
	if t.fits >= t.request.Tasks {
		return true
	}
	free := make([]jobspec.Resources, len(t.candidates))
	for k := range t.candidates {
		free[k] = t.candidates[k].Free
	}
	for k := range t.victims {
		for _, f := range t.victims[k].frees {
			free[f.Candidate] = free[f.Candidate].Add(f.Resources)
		}
	}
	fits := 0
	for k := range t.candidates {
		fits += t.request.fit(&t.candidates[k], free[k])
	}
	return fits >= t.request.Tasks
}

// stop stops a victim.
func (t *trial) stop(k int) {
	v := &t.victims[k]
	v.stopped = true
	t.spent[v.budget] += v.runs
	for _, f := range v.frees {
		c := &t.candidates[f.Candidate]
		c.Free = c.Free.Add(f.Resources)
		before := t.fit[f.Candidate]
		t.fit[f.Candidate] = t.request.Fit(c)
		t.fits += t.fit[f.Candidate] - before
		for _, other := range t.byCandidate[f.Candidate] {
			t.ratios[other] = -1
		}
	}
}

// prune undoes the stops that the others make unnecessary, those of the most expensive
// victims first.
func (t *trial) prune() {
	var byCost []int
	for k := range t.victims {
		if t.victims[k].stopped {
			byCost = append(byCost, k)
		}
	}
	slices.SortStableFunc(byCost, func(a, b int) int { return cmp.Compare(t.victims[b].cost, t.victims[a].cost) })
	for _, k := range byCost {
		v := &t.victims[k]
		without := t.fits
		for _, f := range v.frees {
			c := &t.candidates[f.Candidate]
			without += t.request.fit(c, c.Free.Sub(f.Resources)) - t.fit[f.Candidate]
		}
		if without < t.request.Tasks {
			continue
		}
		t.fits, v.stopped = without, false
		t.spent[v.budget] -= v.runs
		for _, f := range v.frees {
			c := &t.candidates[f.Candidate]
			c.Free = c.Free.Sub(f.Resources)
			t.fit[f.Candidate] = t.request.Fit(c)
		}
	}
}

// best returns the victim that frees the most places relative to its cost, or -1 if none
// is left.
func (t *trial) best() int {
	best, bestRatio := -1, 0.0
	t.request.examine(len(t.victims) / 4)
	for k := range t.victims {
		v := &t.victims[k]
		if v.stopped || v.budget != nil && t.spent[v.budget]+v.runs > v.budget.Left {
			continue
		}
		if t.ratios[k] < 0 {
			t.ratios[k] = t.ratio(v)
		}
		if t.ratios[k] > bestRatio {
			best, bestRatio = k, t.ratios[k]
		}
	}
	return best
}

// ratio returns the number of places that stopping a victim would free, relative to its cost.
// Freed capacity also counts by itself, with the weight partialGain.
func (t *trial) ratio(v *trialVictim) float64 {
	need := max(1, t.request.Step.Reserved().Weight())
	gain := 0.0
	for _, f := range v.frees {
		c := &t.candidates[f.Candidate]
		gain += float64(t.request.fit(c, c.Free.Add(f.Resources)) - t.fit[f.Candidate])
		gain += partialGain * min(1, f.Resources.Weight()/need)
	}
	return gain / (1 + v.cost)
}

// partialGain is the weight of freed capacity relative to an additional place. With it, a
// victim also counts when several must be stopped together to free one place.
const partialGain = 0.1
