package ledger

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

// Closed returns an Infeasible error when data centre dc takes no new jobs.
func (l *Ledger) CheckOpen(dc string) error {
	if _, ok := l.Config.Closed[dc]; !ok {
		return nil
	}
	return fault.Newf(fault.Infeasible, "submit again when an operator has opened it or another one",
		"data centre %s is closed in version %d", dc, l.Config.Version)
}

// homes returns the data centres of all known workers, in order.
func (l *Ledger) dataCentres() []string {
	names := map[string]bool{}
	for _, w := range l.Workers {
		names[w.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// rehome moves the waiting jobs of a closed data centre, and when it is lost the
// placed ones too. A job that no open data centre can hold stays and waits for
// its own. The operator's word that a data centre is lost is the arbiter of what
// runs there: nothing.
func (l *Ledger) relocate(offset uint64, dc string, lost bool) {
	affected := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		j := l.open[id]
		if j.DataCentre != dc || j.State == Placed && !lost {
			continue
		}
		if j.State == Placed {
			l.endLostAttempt(offset, j)
			affected[dc] = true
		}
		l.relocateJob(j)
	}
	for _, d := range slices.Sorted(maps.Keys(affected)) {
		l.rebalance(d)
	}
}

// moveFromClosed moves a waiting job out of a closed data centre.
func (l *Ledger) relocateJob(j *Job) {
	if j.State != Queued || l.CheckOpen(j.DataCentre) == nil {
		return
	}
	if target := l.relocationTarget(j); target != "" {
		j.DataCentre = target
	}
}

// abandon ends the attempt of a job whose data centre is lost. A once-only job
// may have run, so it ends as unknown.
func (l *Ledger) endLostAttempt(offset uint64, j *Job) {
	l.releaseCells(j)
	j.State, j.MayHaveStarted, j.Checkpointed = Queued, true, false
	switch {
	case j.Spec.Once:
		l.finish(offset, j, job.Ended(job.Unknown, fault.Unknown, "its data centre "+j.DataCentre+" was lost, and its end is not known",
			"find out by the job's own effects whether it ran before you submit it under a new key"))
	case j.CancelledBy != "":
		l.finish(offset, j, CancelledOutcome(j))
	}
}

// homeFor returns the first open data centre that can hold j, or nothing.
func (l *Ledger) relocationTarget(j *Job) string {
	for _, dc := range l.dataCentres() {
		if l.CheckOpen(dc) == nil && l.checkFits(dc, &j.Spec) == nil {
			return dc
		}
	}
	return ""
}
