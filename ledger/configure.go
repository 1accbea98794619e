package ledger

import (
	"fmt"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/record"
)

// CheckPatch returns the configuration that p would yield now, or why it would
// be refused. It changes nothing.
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
				"no worker of a data centre %q is known", c.Name)
		}
		if o := ch.RemoveOrganisation; o != "" && l.openCount(o) > 0 {
			return config.Config{}, fault.Newf(fault.Refused, "cancel them or wait for their end",
				"organisation %s still has %d open jobs", o, l.openCount(o))
		}
	}
	return next, nil
}

// applyPatch makes the patch the next version when it is against the current
// one and the racks can hold its guarantees whole.
func (l *Ledger) applyPatch(offset uint64, r *record.Record) Verdict {
	next, err := l.CheckPatch(r.Patch)
	if err != nil {
		return Verdict{Err: err}
	}
	dataCentres := append(l.Config.DataCentres(), next.DataCentres()...)
	slices.Sort(dataCentres)
	l.Config = next
	l.History = append(l.History, Version{
		Version: next.Version, Patch: *r.Patch, Host: r.Host, At: r.At, Offset: offset,
	})
	if n := len(l.History) - MaxHistory; n > 0 {
		l.History = slices.Delete(l.History, 0, n)
	}
	for _, dc := range slices.Compact(dataCentres) {
		l.rebindGuarantees(dc)
	}
	for _, dc := range slices.Sorted(maps.Keys(next.Closed)) {
		l.relocate(offset, dc, next.Closed[dc].Lost)
	}
	return Verdict{Version: next.Version}
}

// checkGuarantees returns an Infeasible error with the numbers when the cells
// of dc that are not out for good cannot hold the guarantees of c whole. A
// guarantee that shrinks or stays is never refused.
func (l *Ledger) checkGuarantees(dc string, c *config.Config) error {
	need := c.Guaranteed(dc)
	if !guaranteesGrow(&l.Config, c, dc) {
		return nil
	}
	cells := l.forest(dc, liveAccelerated)
	free := cells.Free()
	missing := free.Missing(need)
	if missing.IsZero() {
		return nil
	}
	return fault.Newf(fault.Infeasible, "guarantee less, or add racks first",
		"data centre %s has %s live and whole, the guarantees add up to %s, and %s cannot be held",
		dc, free, need, missing)
}

// grows reports whether any organisation's guarantee in dc has more cells of a
// level in b than in a.
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

// explainConflict adds to a Conflict error who changed what since p's base.
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

// summary names what p touches.
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

// reseat binds the guaranteed jobs of dc anew to the cells of changed
// guarantees, oldest first. Jobs that find no cells become borrowers.
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

// reseatJob gives j abstract cells whatever the effect on what can be carved;
// settle demotes where needed.
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

// openJobs returns the number of jobs of organisation o that have no outcome.
func (l *Ledger) openCount(org string) int {
	n := 0
	for _, j := range l.open {
		if j.Spec.Organisation == org {
			n++
		}
	}
	return n
}

// applyClaim gives the placer role to the writer when it names the next term.
func (l *Ledger) applyClaim(r *record.Record) Verdict {
	c := r.Claim
	current := l.Terms[c.DataCentre].Term
	if c.Term != current+1 {
		return Verdict{Err: fault.Newf(fault.Conflict, "follow the current placer",
			"term %d of data centre %s was claimed and the next is %d", c.Term, c.DataCentre, current+1)}
	}
	l.Terms[c.DataCentre] = Term{Term: c.Term, Host: r.Host, Incarnation: r.Incarnation}
	return Verdict{}
}

// applyWorker enters a change of a worker. Only the placer of the worker's
// data centre may write it.
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
		return Verdict{Err: fault.Newf(fault.Invalid, "give each worker a name of its own",
			"worker %s is known in data centre %s", w.Name, old.DataCentre)}
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

// checkTerm returns a Conflict error unless the writer of r holds the given
// term of dc.
func (l *Ledger) checkTerm(r *record.Record, dc string, term uint64) error {
	t := l.Terms[dc]
	if t.Term == term && t.Incarnation == r.Incarnation && term != 0 {
		return nil
	}
	return fault.Newf(fault.Conflict, "follow the current placer",
		"host %s wrote with term %d of data centre %s, which is at term %d of host %s",
		r.Host, term, dc, t.Term, t.Host)
}

// LearnedKey returns the key of Ledger.Learned.
func RunStatsKey(org, class string) string { return org + "/" + class }

// RequestKey returns the key of Ledger.Keys.
func RequestKey(org, key string) string { return org + "/" + key }

// ClonedWorkers returns copies of the workers of dc in order of their names.
func (l *Ledger) ClonedWorkers(dc string) []Worker {
	var ws []Worker
	for _, n := range slices.Sorted(maps.Keys(l.Workers)) {
		if w := l.Workers[n]; w.DataCentre == dc {
			ws = append(ws, *w)
		}
	}
	return ws
}
