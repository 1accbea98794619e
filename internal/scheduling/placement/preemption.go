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
	// Frees has the capacity that stopping the victim frees, by index of the candidate.
	Frees map[int]jobspec.Resources
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
}

// trialVictim is a victim that frees capacity on a trial's candidates.
type trialVictim struct {
	// index is the victim's index among all victims.
	index   int
	cost    float64
	frees   []freedCapacity
	stopped bool
}

// freedCapacity is what a victim frees on one candidate of a trial.
type freedCapacity struct {
	candidate int
	resources jobspec.Resources
}

// newTrial returns a trial of the candidates at indices with the eligible victims that free
// anything there.
func newTrial(candidates []Candidate, indices []int, r *Request, victims []Victim, eligible []int) *trial {
	t := &trial{request: r, candidates: make([]Candidate, len(indices)), victims: make([]trialVictim, 0, len(eligible))}
	positions := make(map[int]int, len(indices))
	for k, i := range indices {
		t.candidates[k] = candidates[i]
		positions[i] = k
		t.fits += r.Fit(&t.candidates[k])
	}
	for _, v := range eligible {
		w := trialVictim{index: v, cost: victims[v].Cost}
		for i, f := range victims[v].Frees {
			if k, ok := positions[i]; ok && !t.candidates[k].Excluded {
				w.frees = append(w.frees, freedCapacity{candidate: k, resources: f})
			}
		}
		if len(w.frees) > 0 {
			slices.SortFunc(w.frees, func(a, b freedCapacity) int { return cmp.Compare(a.candidate, b.candidate) })
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
			free[f.candidate] = free[f.candidate].Add(f.resources)
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
	for _, f := range v.frees {
		c := &t.candidates[f.candidate]
		before := t.request.Fit(c)
		c.Free = c.Free.Add(f.resources)
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
			c := &t.candidates[f.candidate]
			without += t.request.fit(c, c.Free.Sub(f.resources)) - t.request.Fit(c)
		}
		if without < t.request.Tasks {
			continue
		}
		t.fits, v.stopped = without, false
		for _, f := range v.frees {
			c := &t.candidates[f.candidate]
			c.Free = c.Free.Sub(f.resources)
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
		if v.stopped {
			continue
		}
		gain := 0.0
		for _, f := range v.frees {
			c := &t.candidates[f.candidate]
			gain += float64(t.request.fit(c, c.Free.Add(f.resources)) - t.request.Fit(c))
			gain += partialGain * min(1, f.resources.Weight()/need)
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
