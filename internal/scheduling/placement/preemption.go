package placement

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Victim is work that may be stopped to make room.
type Victim struct {
	// Cost is what stopping it loses, in core seconds, with what the restart costs.
	Cost float64
	// Frees has, per seat index, what the stop frees.
	Frees map[int]jobspec.Resources
}

// MakeRoom returns places for all tasks of r on the seats at the given indices
// and the indices of the victims to stop for them, at a low total cost. Only the
// victims at the given indices are considered. It returns nil places when even
// stopping all of them does not help.
func PlaceWithPreemption(seats []Candidate, at []int, r *Request, victims []Victim, among []int) (places, stopped []int, cost float64) {
	work := make([]Candidate, len(at))
	local := make(map[int]int, len(at))
	room := 0
	for k, i := range at {
		work[k] = seats[i]
		local[i] = k
		room += r.Fit(&work[k])
	}
	left := append([]int(nil), among...)
	for room < r.Tasks {
		k := cheapest(work, local, r, victims, left)
		if k < 0 {
			return nil, nil, 0
		}
		v := left[k]
		left = append(left[:k], left[k+1:]...)
		stopped = append(stopped, v)
		for i, f := range victims[v].Frees {
			if l, ok := local[i]; ok {
				before := r.Fit(&work[l])
				work[l].Free = work[l].Free.Add(f)
				room += r.Fit(&work[l]) - before
			}
		}
	}
	stopped = spare(work, local, r, victims, stopped, room)
	for _, v := range stopped {
		cost += victims[v].Cost
	}
	all := make([]int, len(at))
	for k := range all {
		all[k] = k
	}
	places = Fill(work, all, r)
	for k := range places {
		places[k] = at[places[k]]
	}
	return places, stopped, cost
}

// spare returns the victims that are needed, without those that others have made
// needless, the dearest first. It takes what the spared ones free from work.
func spare(work []Candidate, local map[int]int, r *Request, victims []Victim, stopped []int, room int) []int {
	byCost := slices.Clone(stopped)
	slices.SortStableFunc(byCost, func(a, b int) int { return cmp.Compare(victims[b].Cost, victims[a].Cost) })
	for _, v := range byCost {
		left := room
		for i, f := range victims[v].Frees {
			if l, ok := local[i]; ok {
				left += r.fit(&work[l], work[l].Free.Sub(f)) - r.Fit(&work[l])
			}
		}
		if left < r.Tasks {
			continue
		}
		room = left
		for i, f := range victims[v].Frees {
			if l, ok := local[i]; ok {
				work[l].Free = work[l].Free.Sub(f)
			}
		}
		stopped = slices.DeleteFunc(stopped, func(s int) bool { return s == v })
	}
	return stopped
}

// cheapest returns the position in left of the victim that frees the most for its
// cost, or -1. A victim that frees part of a place counts by that part.
func cheapest(work []Candidate, local map[int]int, r *Request, victims []Victim, left []int) int {
	best, bestGain := -1, 0.0
	need := max(1, r.Step.Reserved().Weight())
	for k, v := range left {
		gain := 0.0
		for i, f := range victims[v].Frees {
			l, ok := local[i]
			if !ok || work[l].Excluded {
				continue
			}
			seat := &work[l]
			gain += float64(r.fit(seat, seat.Free.Add(f)) - r.Fit(seat))
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

// partialGain is the weight of freed capacity that makes no place by itself,
// against a whole place.
const partialGain = 0.1
