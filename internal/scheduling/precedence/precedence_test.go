package precedence

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Guards against an order that costs callers more than necessary: urgent work first, what has waited
// for too long next, what is late after what can be in time, and deadlines within that.
func TestCompare(t *testing.T) {
	want := []Waiting{
		{Rank: 0, Deadline: 900},
		{Rank: 1, Deadline: 100},
		{Rank: 2, Overdue: true, Late: true, Deadline: -100_000},
		{Rank: 2, Deadline: 200},
		{Rank: 2, OverShare: true, Deadline: 100},
		{Rank: 2, Late: true, Deadline: 50},
		{Rank: 3, Deadline: 10},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, func(a, b Waiting) int { return Compare(&a, &b) })
	assert.Equal(t, want, got)
}

// Guards against an organisation that starves others beyond its guarantee, and against one that is
// held back for what is guaranteed to it or while nobody else wants capacity.
func TestOverShare(t *testing.T) {
	s := Shares{Capacity: jobspec.Resources{Cores: 1_000_000, Memory: 1000, Accelerators: 100}, Active: 4}
	assert.False(t, s.Over(jobspec.Resources{Accelerators: 25}, 0), "a quarter")
	assert.True(t, s.Over(jobspec.Resources{Accelerators: 26}, 0))
	assert.True(t, s.Over(jobspec.Resources{Cores: 400_000, Accelerators: 1}, 0), "cores are its dominant resource")
	assert.False(t, s.Over(jobspec.Resources{Accelerators: 54}, 30), "30 are its own")
	assert.False(t, (&Shares{Capacity: s.Capacity, Active: 1}).Over(jobspec.Resources{Accelerators: 99}, 0))
	assert.False(t, (&Shares{Active: 3}).Over(jobspec.Resources{Accelerators: 9}, 0), "no capacity is known")
}

// Guards against the stop of a run that would free its place by itself in a moment.
func TestStopCost(t *testing.T) {
	early, nearly := Stop{Lost: 100, Percent: 80}, Stop{Lost: 100, Percent: 95}
	assert.Less(t, 2*early.Cost(), nearly.Cost())
}
