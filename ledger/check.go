package ledger

import (
	"fmt"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
)

// Check returns the invariants of l that are broken, and how many were
// checked. The invariants are: cells are held by one job at a time; a placed
// gang has all of its members; unused guarantees can be carved out by stopping
// borrowers, unless the live cells could not hold all guarantees even when
// idle; a once-only job that has started is not waiting; a job told as not run
// has never started.
func (l *Ledger) CheckInvariants() (broken []string, checked int) {
	l.init()
	checkf := func(ok bool, format string, args ...any) {
		checked++
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	allocated := map[string]rack.Mask{}
	for _, id := range slices.Sorted(maps.Keys(l.Jobs)) {
		j := l.Jobs[id]
		l.checkJob(j, allocated, checkf)
	}
	for _, dc := range slices.Sorted(maps.Keys(l.cellTables)) {
		idle := l.forest(dc, liveAccelerated)
		feasible := idle.Carvable(l.Config.Guaranteed(dc))
		checkf(!feasible || l.GuaranteeShortfall(dc).IsZero(), "guarantees of %s cannot be reclaimed: %s missing", dc, l.GuaranteeShortfall(dc))
	}
	return broken, checked
}

// checkJob checks the invariants of one job.
func (l *Ledger) checkJob(j *Job, allocated map[string]rack.Mask, checkf func(bool, string, ...any)) {
	if j.State == Placed {
		checkf(len(j.Members) == max(1, j.Spec.Members), "job %s is placed with %d of %d members",
			j.ID, len(j.Members), max(1, j.Spec.Members))
		for _, m := range j.Members {
			checkf(allocated[m.Worker]&m.Mask == 0, "job %s shares slots on worker %s", j.ID, m.Worker)
			allocated[m.Worker] |= m.Mask
		}
	}
	checkf(j.State == Placed || len(j.Members) == 0, "job %s is %s and holds cells", j.ID, j.State)
	checkf(j.State != Queued || !j.Spec.Once || !j.MayHaveStarted, "once-only job %s waits although it has started", j.ID)
	checkf(j.Outcome.Result != job.NotRun || !j.MayHaveStarted, "job %s is told as not run and has started", j.ID)
}
