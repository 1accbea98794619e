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
// indices, and the indices of the victims to stop for them. It selects victims greedily
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
	// fits is the number of tasks that fit on the candidates now.
	fits int
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
	t := &trial{request: r, candidates: make([]Candidate, len(indices)), victims: make([]trialVictim, 0, len(eligible)), spent: make(map[*StopBudget]int)}
	positions := make(map[int]int, len(indices))
	for k, i := range indices {
		t.candidates[k] = candidates[i]
		positions[i] = k
		t.fits += r.Fit(&t.candidates[k])
	}
	for _, v := range eligible {
		w := trialVictim{index: v, cost: victims[v].Cost, runs: victims[v].Runs, budget: victims[v].Budget}
		for _, f := range victims[v].Frees {
			if k, ok := positions[f.Candidate]; ok && !t.candidates[k].Excluded {
				w.frees = append(w.frees, FreedCapacity{Candidate: k, Resources: f.Resources})
			}
		}
		if len(w.frees) > 0 {
			t.victims = append(t.victims, w)
		}
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
		before := t.request.Fit(c)
		c.Free = c.Free.Add(f.Resources)
		t.fits += t.request.Fit(c) - before
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
			without += t.request.fit(c, c.Free.Sub(f.Resources)) - t.request.Fit(c)
		}
		if without < t.request.Tasks {
			continue
		}
		t.fits, v.stopped = without, false
		t.spent[v.budget] -= v.runs
		for _, f := range v.frees {
			c := &t.candidates[f.Candidate]
			c.Free = c.Free.Sub(f.Resources)
		}
	}
}

// best returns the victim that frees the most places relative to its cost, or -1 if none
// is left. Freed capacity also counts by itself, with the weight partialGain.
func (t *trial) best() int {
	best, bestGain := -1, 0.0
	need := max(1, t.request.Step.Reserved().Weight())
	for k := range t.victims {
		v := &t.victims[k]
		if v.stopped || v.budget != nil && t.spent[v.budget]+v.runs > v.budget.Left {
			continue
		}
		gain := 0.0
		for _, f := range v.frees {
			c := &t.candidates[f.Candidate]
			gain += float64(t.request.fit(c, c.Free.Add(f.Resources)) - t.request.Fit(c))
			gain += partialGain * min(1, f.Resources.Weight()/need)
		}
		if gain == 0 {
			continue
		}
		if g := gain / (1 + v.cost); best < 0 || g > bestGain {
			best, bestGain = k, g
		}
	}
	return best
}

// partialGain is the weight of freed capacity relative to an additional place. With it, a
// victim also counts when several must be stopped together to free one place.
const partialGain = 0.1
