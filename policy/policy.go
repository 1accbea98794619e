package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
)

// Candidate is a waiting job.
type QueuedJob struct {
	Job          string
	Organisation string
	Class        string
	Need         rack.Need
	Urgent       bool
	// Priority is the class's; larger goes first.
	Priority int
	// Waited is the time in the queue, in milliseconds.
	Waited int64
	// Expected is the expected run time, in milliseconds; 0 for unknown.
	ExpectedRunTime int64
	// Once is set for a job that must not be stopped, since it runs at most once.
	AtMostOnce bool
	// Guaranteed is set when the organisation's unused guarantee covers it.
	Guaranteed bool
	// Accepted orders candidates by their place in the log.
	Accepted uint64
}

// Weights weighs the measures. Both zero means equal.
type Weights struct {
	Completion    float64
	Fragmentation float64
}

// Policy is a way to choose. The zero value behaves like Cells.
type Policy struct {
	// Name appears in tables.
	Name string
	// Order sorts the candidates, first to be placed first.
	Order func(q []QueuedJob, w Weights)
	// Rank orders the nodes for a member of c; smaller is taken first.
	Rank func(c *QueuedJob, v *View, w Weights) rack.Rank
	// Unlearned expects what jobs declare, instead of what was observed.
	DeclaredRunTimes bool
	// NoReclaim ignores guarantees: nobody is stopped for anybody.
	NoPreemption bool
	// Strict stops at the first candidate that does not fit.
	NoBackfill bool
	// NoGangHold turns off the reservation for aged gangs.
	NoGangReservation bool
}

// FirstFit is first come first served on the first cell that fits.
var FirstFit = Policy{
	Name: "firstFit", Order: byAge, NoBackfill: true, NoGangReservation: true, NoPreemption: true,
	Rank: func(*QueuedJob, *View, Weights) rack.Rank { return rack.FirstFit },
}

// BestFit is first come first served on the tightest cell, passing over what
// does not fit.
var BestFit = Policy{
	Name: "bestFit", Order: byAge, NoGangReservation: true, NoPreemption: true,
	Rank: func(*QueuedJob, *View, Weights) rack.Rank { return rack.BestFit },
}

// Cells orders by urgency, guarantee, priority and expected run time with
// ageing, packs small work onto broken cells and holds cells for aged gangs.
var Cells = Policy{Name: "cells", Order: byWorth, Rank: packed}

// CellsUnlearned is Cells without learning from observed run times.
var CellsUnlearned = Policy{Name: "cellsUnlearned", Order: byWorth, Rank: packed, DeclaredRunTimes: true}

// View is what a Rank may know of a data centre.
type View struct {
	// RackUsed is the number of slots in use per rack. Those of missing and
	// unusable workers count as used.
	RackUsedSlots map[string]int
	// RackOrder numbers the racks: those with missing workers first, which cannot
	// become whole, and then by name.
	RackOrder map[string]int
	// RackOnce is the number of slots per rack that once-only jobs use.
	RackAtMostOnceSlots map[string]int
	// RackUntil is, per rack, when its jobs are expected to have ended, in
	// milliseconds from now.
	RackRemaining map[string]int64
}

// packed breaks the smallest block first, a whole free rack last of all, and
// among equals takes the rack whose jobs end at about the same time, so that
// racks become whole again together. With a larger fragmentation weight the
// fuller rack goes before the better match in time. Jobs that must not be stopped
// gather in the same racks, so that the others can be made whole by stopping.
func packed(c *QueuedJob, v *View, w Weights) rack.Rank {
	expected := c.ExpectedRunTime
	if expected == 0 {
		expected = unknownRun
	}
	return func(n *rack.Node, broken rack.Level) int {
		if broken == rack.LevelWorker && v.RackUsedSlots[n.Rack] == 0 {
			broken = rack.LevelRack
		}
		apart := bits.Len64(uint64(max(v.RackRemaining[n.Rack], 1))) - bits.Len64(uint64(expected))
		if apart < 0 {
			apart = -apart
		}
		room := rack.LevelRack.Slots() - v.RackUsedSlots[n.Rack]
		if c.AtMostOnce && w.Fragmentation <= w.Completion {
			return (rack.LevelRack.Slots()-v.RackAtMostOnceSlots[n.Rack])<<8 + int(broken)
		}
		if w.Fragmentation > w.Completion {
			return (v.RackOrder[n.Rack]<<4+int(broken))<<6 + apart
		}
		return (int(broken)<<6+apart)<<8 + room
	}
}

// Resolve returns p with the functions of Cells where p has none.
func (p Policy) WithDefaults() Policy {
	if p.Order == nil {
		p.Order = Cells.Order
	}
	if p.Rank == nil {
		p.Rank = Cells.Rank
	}
	if p.Name == "" {
		p.Name = Cells.Name
	}
	return p
}

// byAge orders by acceptance only.
func byAge(q []QueuedJob, _ Weights) {
	slices.SortStableFunc(q, func(a, b QueuedJob) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Job, b.Job))
	})
}

const (
	// unknownRun stands in for an unknown run time, in milliseconds.
	unknownRun = 10 * 60 * 1000
	// leastRun keeps very short jobs from dividing by next to nothing, in
	// milliseconds.
	leastRun = 1000
)

// byWorth orders by urgency, guarantee, priority and then by the response
// ratio (waited + expected) / expected, which prefers short jobs and lets long
// ones age (highest response ratio next, Brinch Hansen 1971).
func byWorth(q []QueuedJob, w Weights) {
	slices.SortStableFunc(q, func(a, b QueuedJob) int {
		return cmp.Or(
			-compareBool(a.Urgent, b.Urgent),
			-cmp.Compare(a.Priority, b.Priority),
			-compareBool(a.Guaranteed, b.Guaranteed),
			-cmp.Compare(worth(&a, w), worth(&b, w)),
			cmp.Compare(a.Accepted, b.Accepted),
			cmp.Compare(a.Job, b.Job))
	})
}

// worth returns the response ratio of c.
func worth(c *QueuedJob, _ Weights) float64 {
	run := float64(c.ExpectedRunTime)
	if run == 0 {
		run = unknownRun
	}
	run = max(run, leastRun)
	return (float64(c.Waited) + run) / run
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
