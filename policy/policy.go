package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
)

// QueuedJob is a job that waits to be placed.
type QueuedJob struct {
	Job          string
	Organisation string
	Class        string
	Need         rack.Need
	Urgent       bool
	// Priority is the priority of the job's class; larger values go first.
	Priority int
	// Waited is the time in the queue, in milliseconds.
	Waited int64
	// ExpectedRunTime is in milliseconds; 0 means unknown.
	ExpectedRunTime int64
	// AtMostOnce is set for a job that runs at most once and therefore must not be
	// preempted.
	AtMostOnce bool
	// Guaranteed is set when the organisation's unused guarantee covers the job.
	Guaranteed bool
	// Accepted is the position of the job's acceptance in the log.
	Accepted uint64
}

// Weights weighs completion time against fragmentation. Both zero means equal.
type Weights struct {
	Completion    float64
	Fragmentation float64
}

// Policy decides the order in which jobs are placed and the nodes that they are
// placed on. The zero value behaves like Cells after WithDefaults.
type Policy struct {
	// Name identifies the policy in tables of results.
	Name string
	// Order sorts q in place into the order of placement.
	Order func(q []QueuedJob, w Weights)
	// Rank returns the function that ranks the nodes for a member of j. The node
	// with the lowest rank is chosen.
	Rank func(j *QueuedJob, v *View, w Weights) rack.Rank
	// DeclaredRunTimes uses the run times that jobs declare, instead of those that
	// were observed.
	DeclaredRunTimes bool
	// NoPreemption ignores guarantees, so that no job is preempted for another.
	NoPreemption bool
	// NoBackfill ends a round of placement at the first job that does not fit,
	// instead of placing jobs behind it.
	NoBackfill bool
	// NoGangReservation disables the reservation of cells for overdue gangs.
	NoGangReservation bool
}

// FirstFit places jobs in order of acceptance on the first cells that fit. A job
// that does not fit blocks those behind it.
var FirstFit = Policy{
	Name: "firstFit", Order: byAcceptance, NoBackfill: true, NoGangReservation: true, NoPreemption: true,
	Rank: func(*QueuedJob, *View, Weights) rack.Rank { return rack.FirstFit },
}

// BestFit places jobs in order of acceptance on the tightest cells that fit, and
// skips jobs that do not fit.
var BestFit = Policy{
	Name: "bestFit", Order: byAcceptance, NoGangReservation: true, NoPreemption: true,
	Rank: func(*QueuedJob, *View, Weights) rack.Rank { return rack.BestFit },
}

// Cells orders jobs by urgency, priority, guarantee and expected run time with
// ageing. It packs small jobs onto cells that are already split, and reserves
// cells for overdue gangs.
var Cells = Policy{Name: "cells", Order: byResponseRatio, Rank: packRank}

// CellsUnlearned is Cells with the declared instead of the observed run times.
var CellsUnlearned = Policy{Name: "cellsUnlearned", Order: byResponseRatio, Rank: packRank, DeclaredRunTimes: true}

// View describes the racks of a data centre to Policy.Rank.
type View struct {
	// RackUsedSlots is the number of slots in use per rack. The slots of missing and
	// unusable workers count as used.
	RackUsedSlots map[string]int
	// RackOrder numbers the racks. Racks with missing workers come first, since they
	// cannot become whole; the others follow by name.
	RackOrder map[string]int
	// RackAtMostOnceSlots is the number of slots per rack in use by at-most-once
	// jobs.
	RackAtMostOnceSlots map[string]int
	// RackRemaining is, per rack, the time until its jobs are expected to have
	// ended, in milliseconds.
	RackRemaining map[string]int64
}

// packRank prefers to split the smallest free block, and splits an entirely free
// rack last. Among equals it prefers the rack whose jobs end at about the same
// time as j, so that whole racks become free again, and then the fuller rack. When
// fragmentation weighs more than completion, View.RackOrder comes before all of
// these, which fills the racks one after another. Otherwise at-most-once jobs,
// which must not be preempted, are gathered in the same racks, so that preemption
// can make the other racks whole.
func packRank(j *QueuedJob, v *View, w Weights) rack.Rank {
	expected := j.ExpectedRunTime
	if expected == 0 {
		expected = defaultRunTime
	}
	return func(n *rack.Node, split rack.Level) int {
		if split == rack.LevelWorker && v.RackUsedSlots[n.Rack] == 0 {
			split = rack.LevelRack
		}
		runTimeGap := bits.Len64(uint64(max(v.RackRemaining[n.Rack], 1))) - bits.Len64(uint64(expected))
		if runTimeGap < 0 {
			runTimeGap = -runTimeGap
		}
		freeSlots := rack.LevelRack.Slots() - v.RackUsedSlots[n.Rack]
		if j.AtMostOnce && w.Fragmentation <= w.Completion {
			return (rack.LevelRack.Slots()-v.RackAtMostOnceSlots[n.Rack])<<8 + int(split)
		}
		if w.Fragmentation > w.Completion {
			return (v.RackOrder[n.Rack]<<4+int(split))<<6 + runTimeGap
		}
		return (int(split)<<6+runTimeGap)<<8 + freeSlots
	}
}

// WithDefaults returns p with Order, Rank and Name of Cells where p has none.
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

// byAcceptance sorts q by acceptance only.
func byAcceptance(q []QueuedJob, _ Weights) {
	slices.SortStableFunc(q, func(a, b QueuedJob) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Job, b.Job))
	})
}

const (
	// defaultRunTime replaces an unknown run time, in milliseconds.
	defaultRunTime = 10 * 60 * 1000
	// minRunTime is the smallest divisor of the response ratio, in milliseconds. It
	// bounds the ratio of very short jobs.
	minRunTime = 1000
)

// byResponseRatio sorts q by urgency, priority, guarantee and then by the response
// ratio (waited + expected) / expected, which prefers short jobs and lets long
// ones age (highest response ratio next, Brinch Hansen 1971).
func byResponseRatio(q []QueuedJob, w Weights) {
	slices.SortStableFunc(q, func(a, b QueuedJob) int {
		return cmp.Or(
			-compareBool(a.Urgent, b.Urgent),
			-cmp.Compare(a.Priority, b.Priority),
			-compareBool(a.Guaranteed, b.Guaranteed),
			-cmp.Compare(responseRatio(&a, w), responseRatio(&b, w)),
			cmp.Compare(a.Accepted, b.Accepted),
			cmp.Compare(a.Job, b.Job))
	})
}

// responseRatio returns the response ratio of j, which is at least 1.
func responseRatio(j *QueuedJob, _ Weights) float64 {
	run := float64(j.ExpectedRunTime)
	if run == 0 {
		run = defaultRunTime
	}
	run = max(run, minRunTime)
	return (float64(j.Waited) + run) / run
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
