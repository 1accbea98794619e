package ledger

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

// CheckOpen returns an Infeasible error if data centre dc is closed and accepts no
// new jobs.
func (l *Ledger) CheckOpen(dc string) error {
	if _, ok := l.Config.Closed[dc]; !ok {
		return nil
	}
	return fault.Newf(fault.Infeasible, "submit again after an operator has opened it or another data centre",
		"data centre %s is closed in configuration version %d", dc, l.Config.Version)
}

// dataCentres returns the sorted names of the data centres of all known workers.
func (l *Ledger) dataCentres() []string {
	names := map[string]bool{}
	for _, w := range l.Workers {
		names[w.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// relocate moves the queued jobs of the closed data centre dc to open ones. If dc is
// lost, it first ends the attempts of its placed jobs: the operator's declaration of
// the loss is the authoritative confirmation that nothing runs there any more. A job
// that fits into no open data centre stays queued in dc.
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

// relocateJob moves the queued job j out of a closed data centre, if an open one can
// hold it.
func (l *Ledger) relocateJob(j *Job) {
	if j.State != Queued || l.CheckOpen(j.DataCentre) == nil {
		return
	}
	if target := l.relocationTarget(j); target != "" {
		j.DataCentre = target
	}
}

// endLostAttempt ends the attempt of a placed job whose data centre is lost. An
// at-most-once job may have run, so it ends with the outcome unknown. Any other job
// returns to the queue, or ends if it was cancelled.
func (l *Ledger) endLostAttempt(offset uint64, j *Job) {
	l.releaseCells(j)
	j.State, j.MayHaveStarted, j.Checkpointed = Queued, true, false
	switch {
	case j.Spec.AtMostOnce:
		l.finish(offset, j, job.NewOutcome(job.Unknown, fault.Unknown, "its data centre "+j.DataCentre+" was lost, and its end is not known",
			"find out by the job's own effects whether it ran before you submit it under a new key"))
	case j.CancelledBy != "":
		l.finish(offset, j, CancelledOutcome(j))
	}
}

// relocationTarget returns the first open data centre, by name, that can hold j, or
// "" if there is none.
func (l *Ledger) relocationTarget(j *Job) string {
	for _, dc := range l.dataCentres() {
		if l.CheckOpen(dc) == nil && l.checkFits(dc, &j.Spec) == nil {
			return dc
		}
	}
	return ""
}
