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
	trial := make([]Candidate, len(indices))
	positions := make(map[int]int, len(indices))
	fits := 0
	for k, i := range indices {
		trial[k] = candidates[i]
		positions[i] = k
		fits += r.Fit(&trial[k])
	}
	remaining := append([]int(nil), eligible...)
	for fits < r.Tasks {
		k := bestVictim(trial, positions, r, victims, remaining)
		if k < 0 {
			return nil, nil, 0
		}
		v := remaining[k]
		remaining = append(remaining[:k], remaining[k+1:]...)
		selected = append(selected, v)
		for i, f := range victims[v].Frees {
			if l, ok := positions[i]; ok {
				before := r.Fit(&trial[l])
				trial[l].Free = trial[l].Free.Add(f)
				fits += r.Fit(&trial[l]) - before
			}
		}
	}
	selected = pruneVictims(trial, positions, r, victims, selected, fits)
	for _, v := range selected {
		cost += victims[v].Cost
	}
	all := make([]int, len(indices))
	for k := range all {
		all[k] = k
	}
	places = Fill(trial, all, r)
	for k := range places {
		places[k] = indices[places[k]]
	}
	return places, selected, cost
}

// pruneVictims returns the selected victims without those that the others make
// unnecessary. It tries to remove the most expensive ones first. For each victim that it
// removes, it subtracts from trial the capacity that the victim would have freed.
func pruneVictims(trial []Candidate, positions map[int]int, r *Request, victims []Victim, selected []int, fits int) []int {
	byCost := slices.Clone(selected)
	slices.SortStableFunc(byCost, func(a, b int) int { return cmp.Compare(victims[b].Cost, victims[a].Cost) })
	for _, v := range byCost {
		without := fits
		for i, f := range victims[v].Frees {
			if l, ok := positions[i]; ok {
				without += r.fit(&trial[l], trial[l].Free.Sub(f)) - r.Fit(&trial[l])
			}
		}
		if without < r.Tasks {
			continue
		}
		fits = without
		for i, f := range victims[v].Frees {
			if l, ok := positions[i]; ok {
				trial[l].Free = trial[l].Free.Sub(f)
			}
		}
		selected = slices.DeleteFunc(selected, func(s int) bool { return s == v })
	}
	return selected
}

// bestVictim returns the position in remaining of the victim that frees the most places
// relative to its cost, or -1 if none frees capacity on the candidates. Freed capacity
// also counts by itself, with the weight partialGain.
func bestVictim(trial []Candidate, positions map[int]int, r *Request, victims []Victim, remaining []int) int {
	best, bestGain := -1, 0.0
	need := max(1, r.Step.Reserved().Weight())
	for k, v := range remaining {
		gain := 0.0
		for i, f := range victims[v].Frees {
			l, ok := positions[i]
			if !ok || trial[l].Excluded {
				continue
			}
			c := &trial[l]
			gain += float64(r.fit(c, c.Free.Add(f)) - r.Fit(c))
			gain += partialGain * min(1, f.Weight()/need)
		}
		if gain == 0 {
			continue
		}
		if g := gain / (1 + victims[v].Cost); best < 0 || g > bestGain {
			best, bestGain = k, g
		}
	}
	return best
}

// partialGain is the weight of freed capacity relative to an additional place. With it, a
// victim also counts when several must be stopped together to free one place.
const partialGain = 0.1
