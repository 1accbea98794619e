package ledger

import (
	"fmt"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/record"
)

// CheckPatch returns the configuration that results from applying p to the current
// one, or the error with which Apply would reject p. It does not change the
// configuration.
func (l *Ledger) CheckPatch(p *config.Patch) (config.Config, error) {
	l.init()
	next, err := l.Config.Apply(p)
	if err != nil {
		return config.Config{}, l.explainConflict(p, err)
	}
	for _, dc := range next.DataCentres() {
		if err := l.checkGuarantees(dc, &next); err != nil {
			return config.Config{}, err
		}
	}
	for _, ch := range p.Changes {
		if c := ch.CloseDataCentre; c != nil && !slices.Contains(l.dataCentres(), c.Name) {
			return config.Config{}, fault.Newf(fault.NotFound, fmt.Sprintf("name one of %v", l.dataCentres()),
				"data centre %q has no known workers", c.Name)
		}
		if o := ch.RemoveOrganisation; o != "" && l.openCount(o) > 0 {
			return config.Config{}, fault.Newf(fault.Refused, "cancel them or wait until they end",
				"organisation %s still has %d open jobs", o, l.openCount(o))
		}
	}
	return next, nil
}

// applyPatch applies a configuration patch. The patch must be based on the current
// version, and the live cells must be able to hold all guarantees that it raises.
func (l *Ledger) applyPatch(offset uint64, r *record.Record) Verdict {
	next, err := l.CheckPatch(r.Patch)
	if err != nil {
		return Verdict{Err: err}
	}
	dataCentres := append(l.Config.DataCentres(), next.DataCentres()...)
	slices.Sort(dataCentres)
	l.Config = next
	l.History = append(l.History, Version{
		Version: next.Version, Patch: *r.Patch, Host: r.Host, At: r.At, Offset: offset, Size: r.Patch.Size(),
	})
	l.trimHistory()
	for _, dc := range slices.Compact(dataCentres) {
		l.rebindGuarantees(dc)
	}
	for _, dc := range slices.Sorted(maps.Keys(next.Closed)) {
		l.relocate(offset, dc, next.Closed[dc].Lost)
	}
	return Verdict{Version: next.Version}
}

// trimHistory deletes the oldest versions beyond MaxHistory and MaxHistoryBytes. It keeps the
// newest one.
func (l *Ledger) trimHistory() {
	n := max(0, len(l.History)-MaxHistory)
	var size int64
	for i := len(l.History) - 1; i >= n; i-- {
		if size += l.History[i].Size; size > MaxHistoryBytes {
			n = min(i+1, len(l.History)-1)
		}
	}
	l.History = slices.Delete(l.History, 0, n)
}

// checkGuarantees returns an Infeasible error if the cells of the live accelerated
// workers of dc, when idle, cannot hold all guarantees of c. The error states the
// numbers of cells. A patch that raises no guarantee in dc is never rejected.
func (l *Ledger) checkGuarantees(dc string, c *config.Config) error {
	need := c.TotalGuarantee(dc)
	if !guaranteesGrow(&l.Config, c, dc) {
		return nil
	}
	cells := l.forest(dc, liveAccelerated)
	free := cells.Free()
	missing := free.Missing(need)
	if missing.IsZero() {
		return nil
	}
	return fault.Newf(fault.Infeasible, "reduce the guarantees or add racks first",
		"data centre %s has %s live and whole, the guarantees add up to %s, and %s cannot be held",
		dc, free, need, missing)
}

// guaranteesGrow reports whether any organisation's guarantee in dc has more cells
// of any level in after than in before.
func guaranteesGrow(before, after *config.Config, dc string) bool {
	for name, o := range after.Organisations {
		old := before.Organisations[name].Guarantee[dc]
		for lv, n := range o.Guarantee[dc] {
			if n > old[lv] {
				return true
			}
		}
	}
	return false
}

// explainConflict adds to a Conflict error the author and the changes of each
// version after the base of p. It returns err unchanged if it is not a Conflict
// error or the base of p is newer than the current version.
func (l *Ledger) explainConflict(p *config.Patch, err error) error {
	e := fault.As(err)
	if e.Kind != fault.Conflict || p.Base > l.Config.Version {
		return err
	}
	msg := e.Message
	for i := range l.History {
		if h := &l.History[i]; h.Version > p.Base {
			msg += fmt.Sprintf("; version %d by %s: %s", h.Version, h.Patch.Author, patchSummary(&h.Patch))
		}
	}
	const maxLength = 2000
	if len(msg) > maxLength {
		msg = msg[:maxLength] + "..."
	}
	return fault.New(e.Kind, msg, e.Remedy)
}

// patchSummary lists the changes of p.
func patchSummary(p *config.Patch) string {
	s := ""
	for _, ch := range p.Changes {
		if s != "" {
			s += ", "
		}
		switch {
		case ch.SetOrganisation != nil:
			s += "set organisation " + ch.SetOrganisation.Name
		case ch.RemoveOrganisation != "":
			s += "removed organisation " + ch.RemoveOrganisation
		case ch.SetClass != nil:
			s += "set class " + ch.SetClass.Name
		case ch.RemoveClass != "":
			s += "removed class " + ch.RemoveClass
		case ch.SetPolicy != nil:
			s += "set policy"
		case ch.CloseDataCentre != nil && ch.CloseDataCentre.Lost:
			s += "closed data centre " + ch.CloseDataCentre.Name + " as lost"
		case ch.CloseDataCentre != nil:
			s += "closed data centre " + ch.CloseDataCentre.Name
		case ch.OpenDataCentre != "":
			s += "opened data centre " + ch.OpenDataCentre
		}
	}
	return s
}

// rebindGuarantees reassigns the virtual cells of the guaranteed jobs of dc after
// its guarantees changed, earliest placed first. A job that does not fit into the
// new guarantee becomes a borrower.
func (l *Ledger) rebindGuarantees(dc string) {
	jobs := l.placedJobs(dc)
	for _, j := range jobs {
		j.VirtualCells = nil
	}
	wasGuaranteed := map[string]bool{}
	for _, j := range jobs {
		wasGuaranteed[j.ID], j.Guaranteed = j.Guaranteed, false
	}
	l.refresh(dc)
	t := l.cellTable(dc)
	for _, j := range jobs {
		if wasGuaranteed[j.ID] {
			l.rebindJob(t, j)
		}
	}
	l.rebalance(dc)
}

// rebindJob assigns virtual cells to j if its guarantee has them. It does not check
// that the unused guarantees stay allocatable; rebalance demotes jobs if they do
// not.
func (l *Ledger) rebindJob(t *cellTable, j *Job) {
	f := t.virtual[j.Spec.Organisation]
	need, err := j.Spec.Need()
	if f == nil || err != nil {
		return
	}
	if virtual, ok := findVirtualCells(f, need); ok {
		j.Guaranteed, j.VirtualCells = true, virtual
		t.allocate(j)
	}
}

// openCount returns the number of jobs of organisation org that have no outcome.
func (l *Ledger) openCount(org string) int {
	n := 0
	for _, j := range l.open {
		if j.Spec.Organisation == org {
			n++
		}
	}
	return n
}

// applyClaim assigns the placer role of a data centre to the writer if the claim
// names the next term.
func (l *Ledger) applyClaim(r *record.Record) Verdict {
	c := r.Claim
	current := l.Terms[c.DataCentre].Term
	if c.Term != current+1 {
		return Verdict{Err: fault.Newf(fault.Conflict, "follow the current placer",
			"term %d of data centre %s was claimed, but the next term is %d", c.Term, c.DataCentre, current+1)}
	}
	l.Terms[c.DataCentre] = Term{Term: c.Term, Host: r.Host, Incarnation: r.Incarnation}
	return Verdict{}
}

// applyWorker adds, updates or removes a worker. Only the placer of the worker's
// data centre may write the record. A new incarnation of a worker starts without
// failures.
func (l *Ledger) applyWorker(r *record.Record) Verdict {
	w := r.Worker
	if err := l.checkTerm(r, w.DataCentre, w.Term); err != nil {
		return Verdict{Err: err}
	}
	if w.Slots < 1 || w.Slots > 8 || w.Slots&(w.Slots-1) != 0 {
		return Verdict{Err: fault.Newf(fault.Invalid, "use 1, 2, 4 or 8", "worker %s has %d slots", w.Name, w.Slots)}
	}
	old := l.Workers[w.Name]
	if old != nil && old.DataCentre != w.DataCentre {
		return Verdict{Err: fault.Newf(fault.Invalid, "give each worker a unique name",
			"worker %s is already recorded in data centre %s", w.Name, old.DataCentre)}
	}
	updated := &Worker{Worker: *w}
	if old != nil && old.Incarnation == w.Incarnation {
		updated.FailedJobs, updated.Failures = old.FailedJobs, old.Failures
	}
	if w.State == record.Removed {
		delete(l.Workers, w.Name)
	} else {
		l.Workers[w.Name] = updated
	}
	l.refresh(w.DataCentre)
	l.rebalance(w.DataCentre)
	return Verdict{}
}

// checkTerm returns a Conflict error unless the incarnation that wrote r holds the
// placer role of dc in the given term.
func (l *Ledger) checkTerm(r *record.Record, dc string, term uint64) error {
	t := l.Terms[dc]
	if t.Term == term && t.Incarnation == r.Incarnation && term != 0 {
		return nil
	}
	return fault.Newf(fault.Conflict, "follow the current placer",
		"host %s wrote with term %d of data centre %s, whose current term is %d, held by host %s",
		r.Host, term, dc, t.Term, t.Host)
}

// RunStatsKey returns the key in Ledger.RunStats of a class of an organisation.
func RunStatsKey(org, class string) string { return org + "/" + class }

// RequestKey returns the key in Ledger.Keys of a request key of an organisation.
func RequestKey(org, key string) string { return org + "/" + key }

// ClonedWorkers returns copies of the workers of dc, sorted by name.
func (l *Ledger) ClonedWorkers(dc string) []Worker {
	var ws []Worker
	for _, n := range slices.Sorted(maps.Keys(l.Workers)) {
		if w := l.Workers[n]; w.DataCentre == dc {
			ws = append(ws, *w)
		}
	}
	return ws
}
