package placement_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// Guards against gangs on workers that are slower than necessary, and against work without hurry on
// the fast workers that urgent work needs.
func TestPlacesFollowThePaceOrder(t *testing.T) {
	one := jobspec.Resources{Cores: 1000, Memory: 1000, Accelerators: 1}
	// Two racks of four workers, each with room for one task.
	candidates := make([]placement.Candidate, 8)
	for i, class := range []int{2, 0, 0, -2, 2, -2, 0, -2} {
		candidates[i] = placement.Candidate{Rack: []string{"a", "b"}[i/4], Free: one, Capacity: one, PaceClass: class}
	}
	racks := placement.ByRack(candidates)
	request := func(tasks int, order placement.PaceOrder) *placement.Request {
		return &placement.Request{Tasks: tasks, Order: order, Step: &jobspec.Step{Tasks: tasks, Need: one}}
	}
	assert.Equal(t, []int{5, 7}, placement.PlaceInRack(candidates, racks, request(2, placement.FastFirst)))
	assert.Equal(t, []int{3, 5, 7, 1}, placement.PlaceAnywhere(candidates, request(4, placement.FastFirst)))
	assert.Equal(t, []int{0, 4, 1}, placement.PlaceAnywhere(candidates, request(3, placement.SlowFirst)))
	assert.Equal(t, []int{0, 1, 2}, placement.PlaceAnywhere(candidates, request(3, placement.AnyPace)))
	limited := request(3, placement.FastFirst)
	limited.Limited, limited.Slowest = true, 0
	assert.Equal(t, []int{3, 1, 2}, placement.PlaceInRack(candidates, racks, limited))
	limited.Tasks = 7
	assert.Len(t, placement.PlaceAnywhere(candidates, limited), 6, "slow workers are left out")
}
