package ledger

import (
	"fmt"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
)

// CheckInvariants returns descriptions of the broken invariants of l and the number
// of checks made. The invariants are: a slot is held by at most one job; all
// members of a placed gang are placed, and a job that is not placed holds no cells;
// unused guarantees can be allocated by preempting borrowers, unless the live cells
// could not hold all guarantees even when idle; an at-most-once job that may
// have started is not queued; a job reported as notRun has never started.
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
		feasible := idle.CanAllocate(l.Config.TotalGuarantee(dc))
		checkf(!feasible || l.GuaranteeShortfall(dc).IsZero(), "unused guarantees of data centre %s cannot be allocated: %s missing", dc, l.GuaranteeShortfall(dc))
	}
	return broken, checked
}

// checkJob checks the invariants of j and adds its slots to allocated, which holds
// the slots of the jobs checked before.
func (l *Ledger) checkJob(j *Job, allocated map[string]rack.Mask, checkf func(bool, string, ...any)) {
	if j.State == Placed {
		checkf(len(j.Members) == max(1, j.Spec.Members), "job %s is placed with %d of %d members",
			j.ID, len(j.Members), max(1, j.Spec.Members))
		for _, m := range j.Members {
			checkf(allocated[m.Worker]&m.Mask == 0, "job %s shares slots on worker %s", j.ID, m.Worker)
			allocated[m.Worker] |= m.Mask
		}
	}
	checkf(j.State == Placed || len(j.Members) == 0, "job %s is %s but holds cells", j.ID, j.State)
	checkf(j.State != Queued || !j.Spec.AtMostOnce || !j.MayHaveStarted, "at-most-once job %s is queued although it may have started", j.ID)
	checkf(j.Outcome.Result != job.NotRun || !j.MayHaveStarted, "job %s is reported as notRun but may have started", j.ID)
}
