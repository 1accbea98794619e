package crew

import "github.com/limpetrelay/limpetrelay/internal/yard/order"

// Victim is work that may be stopped to make room.
type Victim struct {
	// Cost is what stopping it loses, in core seconds, with what the restart costs.
	Cost float64
	// Frees has, per seat index, what the stop frees.
	Frees map[int]order.Resources
}

// MakeRoom returns places for all tasks of r on the seats at the given indices
// and the indices of the victims to stop for them, at a low total cost. It returns
// nil places when even stopping all victims does not help.
func MakeRoom(seats []Seat, at []int, r *Request, victims []Victim) (places, stopped []int, cost float64) {
	work := append([]Seat(nil), seats...)
	here := make(map[int]bool, len(at))
	room := 0
	for _, i := range at {
		here[i] = true
		room += r.Fit(&work[i])
	}
	used := make([]bool, len(victims))
	for room < r.Tasks {
		v := cheapest(work, here, r, victims, used)
		if v < 0 {
			return nil, nil, 0
		}
		used[v] = true
		stopped = append(stopped, v)
		cost += victims[v].Cost
		for i, f := range victims[v].Frees {
			before := r.Fit(&work[i])
			work[i].Free = work[i].Free.Add(f)
			if here[i] {
				room += r.Fit(&work[i]) - before
			}
		}
	}
	return Fill(work, at, r), stopped, cost
}

// cheapest returns the unused victim that frees the most for its cost, or -1. A
// victim that frees part of a place counts by that part.
func cheapest(seats []Seat, here map[int]bool, r *Request, victims []Victim, used []bool) int {
	best, bestGain := -1, 0.0
	need := r.Step.Reserved().Weight()
	for v := range victims {
		if used[v] {
			continue
		}
		gain := 0.0
		for i, f := range victims[v].Frees {
			if !here[i] || seats[i].Closed {
				continue
			}
			after := seats[i]
			after.Free = after.Free.Add(f)
			gain += float64(r.Fit(&after) - r.Fit(&seats[i]))
			gain += partialGain * min(1, f.Weight()/max(1, need))
		}
		if gain == 0 {
			continue
		}
		if g := gain / (1 + victims[v].Cost); best < 0 || g > bestGain {
			best, bestGain = v, g
		}
	}
	return best
}

// partialGain is the weight of freed capacity that makes no place by itself,
// against a whole place.
const partialGain = 0.1
