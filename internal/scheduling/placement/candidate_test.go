package placement_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// Guards against a cold candidate that is used before a warm one, or after an avoided one.
func TestColdCandidatesComeBeforeAvoidedOnes(t *testing.T) {
	room := jobspec.Resources{Cores: 1000, Memory: 1000}
	cs := []placement.Candidate{
		{ID: "a", Rack: "a", Free: room, Avoided: true, Cold: true}, {ID: "b", Rack: "b", Free: room, Cold: true}, {ID: "c", Rack: "c", Free: room},
	}
	for _, want := range []int{2, 1, 0} {
		r := &placement.Request{Tasks: 1, Step: &jobspec.Step{Need: room}}
		assert.Equal(t, []int{want}, placement.PlaceInRack(cs, placement.ByRack(cs), r))
		assert.Equal(t, []int{want}, placement.PlaceAnywhere(cs, r))
		cs = cs[:want]
	}
}
