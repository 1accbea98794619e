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
func (l *Ledger) homes() []string {
	dcs := map[string]bool{}
	for _, w := range l.Workers {
		dcs[w.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(dcs))
}

// rehome moves the waiting jobs of a closed data centre, and when it is lost the
// placed ones too. A job that no open data centre can hold stays and waits for
// its own. The operator's word that a data centre is lost is the arbiter of what
// runs there: nothing.
func (l *Ledger) rehome(offset uint64, dc string, lost bool) {
	touched := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		j := l.open[id]
		if j.DataCentre != dc || j.State == Placed && !lost {
			continue
		}
		if j.State == Placed {
			l.abandon(offset, j)
			touched[dc] = true
		}
		l.moveFromClosed(j)
	}
	for _, d := range slices.Sorted(maps.Keys(touched)) {
		l.settle(d)
	}
}

// moveFromClosed moves a waiting job out of a closed data centre.
func (l *Ledger) moveFromClosed(j *Job) {
	if j.State != Queued || l.CheckOpen(j.DataCentre) == nil {
		return
	}
	if to := l.homeFor(j); to != "" {
		j.DataCentre = to
	}
}

// abandon ends the attempt of a job whose data centre is lost. A once-only job
// may have run, so it ends as unknown.
func (l *Ledger) abandon(offset uint64, j *Job) {
	l.leave(j)
	j.State, j.MayHaveStarted, j.Checkpointed = Queued, true, false
	switch {
	case j.Spec.AtMostOnce:
		l.finish(offset, j, job.NewOutcome(job.Unknown, fault.Unknown, "its data centre "+j.DataCentre+" was lost, and its end is not known",
			"find out by the job's own effects whether it ran before you submit it under a new key"))
	case j.CancelledBy != "":
		l.finish(offset, j, CancelledOutcome(j))
	}
}

// homeFor returns the first open data centre that can hold j, or nothing.
func (l *Ledger) homeFor(j *Job) string {
	for _, dc := range l.homes() {
		if l.CheckOpen(dc) == nil && l.checkFits(dc, &j.Spec) == nil {
			return dc
		}
	}
	return ""
}
