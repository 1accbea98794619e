package placement_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// Guards against needless preemptions: an urgent gang needs whole workers, which cheap
// small runs share with one large run. The small runs are selected first because they are
// cheap, but stopping the large run makes them unnecessary.
func TestMakeRoomSparesNeedlessVictims(t *testing.T) {
	whole := jobspec.Resources{Cores: 64_000, Memory: 128_000, Accelerators: 8}
	part := jobspec.Resources{Cores: 8000, Memory: 16_000, Accelerators: 1}
	for _, c := range []struct {
		name       string
		tasks      int
		candidates int
		victims    []placement.Victim
		want       []int
		cost       float64
	}{
		{"nothing to place", 0, 1, nil, nil, 0},
		{"one is enough", 1, 1, []placement.Victim{
			{Cost: 1, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: part}}},
			{Cost: 30, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: whole}}},
		}, []int{1}, 30},
		{"both are needed", 1, 1, []placement.Victim{
			{Cost: 1, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: part}}},
			{Cost: 30, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: part.Times(7)}}},
		}, []int{0, 1}, 31},
		{"two workers", 2, 2, []placement.Victim{
			{Cost: 5, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: part}, {Candidate: 1, Resources: part}}},
			{Cost: 40, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: whole}, {Candidate: 1, Resources: whole}}},
		}, []int{1}, 40},
		{"not enough", 2, 1, []placement.Victim{{Cost: 1, Frees: []placement.FreedCapacity{{Candidate: 0, Resources: whole}}}}, nil, 0},
	} {
		candidates := make([]placement.Candidate, c.candidates)
		indices := make([]int, c.candidates)
		for i := range candidates {
			candidates[i].Capacity, indices[i] = whole, i
		}
		eligible := make([]int, len(c.victims))
		for i := range eligible {
			eligible[i] = i
		}
		r := &placement.Request{Tasks: c.tasks, Step: &jobspec.Step{Tasks: c.tasks, Need: whole}}
		places, stopped, cost := placement.PlaceWithPreemption(candidates, indices, r, c.victims, eligible)
		assert.ElementsMatch(t, c.want, stopped, c.name)
		assert.InDelta(t, c.cost, cost, 1e-9, c.name)
		if c.want != nil {
			assert.Len(t, places, c.tasks, c.name)
		}
	}
}
