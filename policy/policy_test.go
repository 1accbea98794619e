package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/rack"
)

// TestCellsRank ranks a free worker in each of four racks for one member: r0 lacks
// workers, r1 and r2 are in use, r3 is entirely free.
func TestCellsRank(t *testing.T) {
	v := &View{
		RackUsedSlots:       map[string]int{"r0": 8, "r1": 56, "r2": 40, "r3": 0},
		RackOrder:           map[string]int{"r0": 0, "r1": 1, "r2": 2, "r3": 3},
		RackAtMostOnceSlots: map[string]int{"r2": 4},
		RackRemaining:       map[string]int64{"r1": 3_600_000, "r2": 60_000},
	}
	for _, c := range []struct {
		name string
		job  QueuedJob
		w    Weights
		want string
	}{
		{"completion: the rack whose jobs end at about the same time", QueuedJob{ExpectedRunTime: 70_000}, Weights{Completion: 3, Fragmentation: 1}, "r2"},
		{"completion: a long job joins long jobs", QueuedJob{ExpectedRunTime: 3_000_000}, Weights{Completion: 3, Fragmentation: 1}, "r1"},
		{"completion: at-most-once jobs share a rack", QueuedJob{ExpectedRunTime: 3_000_000, AtMostOnce: true}, Weights{Completion: 1, Fragmentation: 1}, "r2"},
		{"fragmentation: the first rack in order", QueuedJob{ExpectedRunTime: 70_000}, Weights{Completion: 1, Fragmentation: 3}, "r0"},
	} {
		rank := Cells.Rank(&c.job, v, c.w)
		best, bestRank := "", 0
		for _, r := range []string{"r3", "r2", "r1", "r0"} {
			if nodeRank := rank(&rack.Node{Name: r, Rack: r, Slots: 8}, rack.LevelWorker); best == "" || nodeRank < bestRank {
				best, bestRank = r, nodeRank
			}
		}
		require.Equal(t, c.want, best, c.name)
	}
}

// TestWholeRackIsBrokenLast checks that splitting an entirely free rack ranks after
// splitting a free worker of a rack in use.
func TestWholeRackIsBrokenLast(t *testing.T) {
	v := &View{RackUsedSlots: map[string]int{"used": 1}, RackOrder: map[string]int{"used": 1}}
	rank := Cells.Rank(&QueuedJob{}, v, Weights{})
	require.Less(t, rank(&rack.Node{Rack: "used"}, rack.LevelWorker), rank(&rack.Node{Rack: "whole"}, rack.LevelWorker))
}
