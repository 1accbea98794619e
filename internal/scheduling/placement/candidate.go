package placement

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Seat is a worker as it is seen when places are chosen.
type Candidate struct {
	ID string
	// Rack is the worker's rack; empty when it is not known.
	Rack   string
	Labels []string
	// Free is what new tasks may take. It may be negative.
	Free jobspec.Resources
	// Whole is the capacity of the empty worker.
	Capacity jobspec.Resources
	// Closed seats take no new tasks.
	Excluded bool
	// Taken is the number of tasks of the step in question that are there already.
	StepTasks int
	// Avoided seats are taken last, since the task has failed there or the worker
	// is under suspicion.
	Avoided bool
}

// Request is a number of equal tasks that need places.
type Request struct {
	Tasks int
	Step  *jobspec.Step
}

// Fit returns how many tasks of r fit on s.
func (r *Request) Fit(s *Candidate) int { return r.fit(s, s.Free) }

// fitWhole returns how many tasks of r fit on s when it is empty.
func (r *Request) fitEmpty(s *Candidate) int { return r.fit(s, s.Capacity) }

func (r *Request) fit(s *Candidate, free jobspec.Resources) int {
	if s.Excluded || r.Step.Label != "" && !slices.Contains(s.Labels, r.Step.Label) {
		return 0
	}
	limit := r.Tasks
	if r.Step.MaxPerWorker > 0 {
		limit = min(limit, r.Step.MaxPerWorker-s.StepTasks)
	}
	if limit <= 0 {
		return 0
	}
	return r.Step.Reserved().Fit(free, limit)
}

// Racks returns the indices of seats by rack.
func ByRack(seats []Candidate) map[string][]int {
	m := make(map[string][]int)
	for i := range seats {
		m[seats[i].Rack] = append(m[seats[i].Rack], i)
	}
	return m
}

// InRack returns places for all tasks of r on one rack, as indices of seats, or
// nil when no rack has room. It prefers the data's rack, then seats that are not
// avoided, then the rack with the least room to spare.
func PlaceInRack(seats []Candidate, racks map[string][]int, r *Request) []int {
	var best []int
	bestRank := [3]int{}
	for rack, at := range racks {
		room, avoided := 0, 0
		for _, i := range at {
			n := r.Fit(&seats[i])
			room += n
			if seats[i].Avoided {
				avoided += n
			}
		}
		if room < r.Tasks {
			continue
		}
		rank := [3]int{0, 0, room}
		if r.Step.DataRack != "" && rack != r.Step.DataRack {
			rank[0] = 1
		}
		if room-avoided < r.Tasks {
			rank[1] = 1
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 || rank == bestRank && at[0] < best[0] {
			best, bestRank = at, rank
		}
	}
	if best == nil {
		return nil
	}
	return Fill(seats, best, r)
}

// FitsRack reports whether some rack could hold all tasks of r when empty.
func FitsRack(seats []Candidate, racks map[string][]int, r *Request) bool {
	for _, at := range racks {
		room := 0
		for _, i := range at {
			room += r.fitEmpty(&seats[i])
		}
		if room >= r.Tasks {
			return true
		}
	}
	return false
}

// FitsAnywhere reports whether the seats could hold all tasks of r when empty.
func FitsAnywhere(seats []Candidate, r *Request) bool {
	room := 0
	for i := range seats {
		room += r.fitEmpty(&seats[i])
	}
	return room >= r.Tasks
}

// Anywhere returns places for as many tasks of r as fit, as indices of seats. The
// data's rack comes first.
func PlaceAnywhere(seats []Candidate, r *Request) []int {
	at := make([]int, len(seats))
	for i := range at {
		at[i] = i
	}
	return Fill(seats, at, r)
}

// Fill returns places for as many tasks of r as fit on the seats at the given
// indices. Seats with little room left are filled first, so that others stay whole.
func Fill(seats []Candidate, at []int, r *Request) []int {
	type candidate struct {
		at, fit int
		rank    [3]int
	}
	var cs []candidate
	for _, i := range at {
		s := &seats[i]
		n := r.Fit(s)
		if n == 0 {
			continue
		}
		c := candidate{at: i, fit: n}
		if s.Avoided {
			c.rank[0] = 1
		}
		if r.Step.DataRack != "" && s.Rack != r.Step.DataRack {
			c.rank[1] = 1
		}
		c.rank[2] = int(s.Free.Weight())
		cs = append(cs, c)
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(slices.Compare(a.rank[:], b.rank[:]), cmp.Compare(a.at, b.at))
	})
	places := make([]int, 0, r.Tasks)
	for _, c := range cs {
		for range c.fit {
			if len(places) == r.Tasks {
				return places
			}
			places = append(places, c.at)
		}
	}
	return places
}
