package ledger

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// cellTable is the allocation of the cells of one data centre, derived from the
// workers, the open jobs and the guarantees.
type cellTable struct {
	// guaranteed holds the live accelerated workers. Only the slots of guaranteed
	// jobs are marked as used.
	guaranteed rack.Forest
	// allocated maps each worker to the slots of all placed jobs.
	allocated map[string]rack.Mask
	// virtual maps each organisation to the virtual cells of its guarantee. Those
	// of its guaranteed jobs are marked as used.
	virtual map[string]*rack.Forest
}

// rebuild recomputes all derived fields.
func (l *Ledger) rebuild() {
	l.cellTables, l.names, l.open = map[string]*cellTable{}, map[string][]string{}, map[string]*Job{}
	l.used, l.usedBy = Usage{}, map[string]Usage{}
	for id, j := range l.Jobs {
		u := Usage{Jobs: 1}
		if j.State != Finished {
			l.open[id] = j
			u.PayloadBytes = int64(len(j.Spec.Payload))
		}
		l.use(j.Spec.Organisation, u)
	}
	// The cell tables are derived from open, which must be complete first.
	for _, j := range l.open {
		l.cellTable(j.DataCentre)
	}
	for _, w := range l.Workers {
		l.cellTable(w.DataCentre)
	}
	for _, dc := range l.Config.DataCentres() {
		l.cellTable(dc)
	}
}

// cellTable returns the cell table of dc, computing it if necessary.
func (l *Ledger) cellTable(dc string) *cellTable {
	if t := l.cellTables[dc]; t != nil {
		return t
	}
	t := &cellTable{allocated: map[string]rack.Mask{}, virtual: map[string]*rack.Forest{}}
	l.cellTables[dc] = t
	t.guaranteed = l.forest(dc, liveAccelerated)
	for _, o := range l.Config.OrganisationNames() {
		f := rack.VirtualCells(l.Config.Organisations[o].Guarantee[dc])
		t.virtual[o] = &f
	}
	for _, j := range l.open {
		if j.State == Placed && j.DataCentre == dc {
			t.allocate(j)
		}
	}
	return t
}

// refresh recomputes the derived state of dc after a change of its workers or
// guarantees.
func (l *Ledger) refresh(dc string) {
	delete(l.cellTables, dc)
	delete(l.names, dc)
	l.cellTable(dc)
}

// forest returns the cells of the workers of dc that include selects, all free.
func (l *Ledger) forest(dc string, include func(*Worker) bool) rack.Forest {
	var f rack.Forest
	for _, n := range l.WorkerNames(dc) {
		if w := l.Workers[n]; include(w) {
			f.Add(rack.Node{Name: n, Rack: w.Rack, Slots: w.Slots})
		}
	}
	return f
}

// liveAccelerated reports whether the cells of w can back guarantees.
func liveAccelerated(w *Worker) bool { return w.Accelerated && w.State == record.Live }

// allocate marks the cells of the placed job j as used.
func (t *cellTable) allocate(j *Job) {
	for _, m := range j.Members {
		t.allocated[m.Worker] |= m.Mask
		if n := t.guaranteed.Node(m.Worker); n != nil && j.Guaranteed {
			n.Used |= m.Mask
		}
	}
	if f := t.virtual[j.Spec.Organisation]; f != nil && j.Guaranteed {
		f.Allocate(j.VirtualCells)
	}
}

// release frees the cells of j when its placement ends.
func (t *cellTable) release(j *Job) {
	for _, m := range j.Members {
		t.allocated[m.Worker] &^= m.Mask
	}
	t.releaseGuarantee(j)
}

// releaseGuarantee frees the virtual cells of j and the cells that back them. It
// does nothing for a borrower.
func (t *cellTable) releaseGuarantee(j *Job) {
	if !j.Guaranteed {
		return
	}
	for _, m := range j.Members {
		if n := t.guaranteed.Node(m.Worker); n != nil {
			n.Used &^= m.Mask
		}
	}
	if f := t.virtual[j.Spec.Organisation]; f != nil {
		f.Release(j.VirtualCells)
	}
}

// unusedGuarantees returns the sum of the unused virtual cells of all
// organisations.
func (t *cellTable) unusedGuarantees() rack.Shape {
	var s rack.Shape
	for _, f := range t.virtual {
		s = s.Add(f.Free())
	}
	return s
}

// missingSlots returns the number of slots of unused guarantees that cannot be
// allocated even if all borrowers are preempted.
func (t *cellTable) missingSlots() int {
	return t.guaranteed.Free().Missing(t.unusedGuarantees()).Slots()
}

// GuaranteeShortfall returns the cells of unused guarantees in dc that cannot be
// allocated now even if all borrowers are preempted. It is zero unless capacity
// was lost.
func (l *Ledger) GuaranteeShortfall(dc string) rack.Shape {
	l.init()
	t := l.cellTable(dc)
	return t.guaranteed.Free().Missing(t.unusedGuarantees())
}

// preservesGuarantees reports whether missingSlots would not increase if
// organisation org used the given cells within its guarantee, as the given virtual
// cells. It returns false if org is unknown, or if a guaranteed job already uses one
// of the cells or virtual cells. It leaves t unchanged.
func (t *cellTable) preservesGuarantees(org string, cells, virtual []rack.Cell) bool {
	f := t.virtual[org]
	if f == nil {
		return false
	}
	missingBefore := t.missingSlots()
	if !f.Allocate(virtual) {
		return false
	}
	defer f.Release(virtual)
	cells = t.liveCells(cells)
	if !t.guaranteed.Allocate(cells) {
		return false
	}
	defer t.guaranteed.Release(cells)
	return t.missingSlots() <= missingBefore
}

// liveCells returns those of cells that are on live accelerated workers. A
// placement on any other worker, such as one that has left since, does not reduce
// what can be allocated to guarantees.
func (t *cellTable) liveCells(cells []rack.Cell) []rack.Cell {
	var live []rack.Cell
	for _, c := range cells {
		if t.guaranteed.Node(c.Node) != nil {
			live = append(live, c)
		}
	}
	return live
}

// findVirtualCells finds free virtual cells for need in f. It prefers cells with
// the requested adjacency but accepts cells without it.
func findVirtualCells(f *rack.Forest, need rack.Need) ([]rack.Cell, bool) {
	if cells, ok := f.Place(need, rack.BestFit); ok {
		return cells, true
	}
	need.Adjacency = rack.AdjacencyAny
	return f.Place(need, rack.BestFit)
}

// rebalance reassigns the guarantees of dc to its placed jobs after cells were
// freed, a guarantee changed, or a worker was added, changed or removed. It first
// demotes guaranteed jobs, latest placed first, while the unused guarantees cannot
// be allocated although the idle live cells would hold all guarantees. It then
// compacts each guarantee. Finally it promotes borrowers, earliest placed first,
// whose organisation has enough unused guarantee and no queued job for which this
// guarantee is reserved (see reservedOrganisations).
func (l *Ledger) rebalance(dc string) {
	t := l.cellTable(dc)
	placed := l.placedJobs(dc)
	l.demote(dc, t, placed)
	guaranteed := map[string][]*Job{}
	for _, j := range placed {
		if j.Guaranteed {
			guaranteed[j.Spec.Organisation] = append(guaranteed[j.Spec.Organisation], j)
		}
	}
	for _, o := range l.Config.OrganisationNames() {
		l.compact(dc, t, o, guaranteed[o])
	}
	reserved := l.reservedOrganisations(dc, t)
	for _, j := range placed {
		if j.Guaranteed || reserved[j.Spec.Organisation] {
			continue
		}
		l.promote(t, j)
	}
}

// compact reassigns the virtual cells of jobs, the guaranteed jobs of org, largest
// job first, so that small jobs do not fragment its large virtual cells. Virtual
// cells are not tied to workers, so no job moves. The result is discarded if it
// would increase missingSlots: a less fragmented unused guarantee needs larger free
// cells.
func (l *Ledger) compact(dc string, t *cellTable, org string, jobs []*Job) {
	old := t.virtual[org]
	if len(jobs) == 0 || old == nil {
		return
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return slotsOf(b) - slotsOf(a) })
	rebound := rack.VirtualCells(l.Config.Organisations[org].Guarantee[dc])
	cells := make([][]rack.Cell, len(jobs))
	for i, j := range jobs {
		need, err := j.Spec.Need()
		c, ok := findVirtualCells(&rebound, need)
		if err != nil || !ok {
			return
		}
		rebound.Allocate(c)
		cells[i] = c
	}
	missingBefore := t.missingSlots()
	if rebound.Free() == old.Free() {
		return
	}
	t.virtual[org] = &rebound
	if t.missingSlots() > missingBefore {
		t.virtual[org] = old
		return
	}
	for i, j := range jobs {
		j.VirtualCells = cells[i]
	}
}

// slotsOf returns the number of slots that the placed job j holds.
func slotsOf(j *Job) int {
	n := 0
	for _, m := range j.Members {
		n += m.Mask.Count()
	}
	return n
}

// reservedOrganisations returns the organisations with a queued job in dc that
// would fit into their whole guarantee. Their unused guarantee is reserved for that
// job.
func (l *Ledger) reservedOrganisations(dc string, t *cellTable) map[string]bool {
	reserved := map[string]bool{}
	for _, j := range l.open {
		if j.State != Queued || j.DataCentre != dc || reserved[j.Spec.Organisation] {
			continue
		}
		f := t.virtual[j.Spec.Organisation]
		if need, err := j.Spec.Need(); err == nil && f != nil && f.FitsWhenEmpty(need) {
			reserved[j.Spec.Organisation] = true
		}
	}
	return reserved
}

// placedJobs returns the placed jobs of dc, earliest placed first.
func (l *Ledger) placedJobs(dc string) []*Job {
	var jobs []*Job
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		if j := l.open[id]; j.State == Placed && j.DataCentre == dc {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		switch {
		case a.PlacedOffset < b.PlacedOffset:
			return -1
		case a.PlacedOffset > b.PlacedOffset:
			return 1
		}
		return 0
	})
	return jobs
}

// demote turns guaranteed jobs among jobs into borrowers, last one first, until no
// slots are missing. It does nothing if the idle live cells could not hold all
// guarantees.
func (l *Ledger) demote(dc string, t *cellTable, jobs []*Job) {
	if t.missingSlots() == 0 {
		return
	}
	idle := l.forest(dc, liveAccelerated)
	if !idle.CanAllocate(l.Config.TotalGuarantee(dc)) {
		return
	}
	for i := len(jobs) - 1; i >= 0 && t.missingSlots() > 0; i-- {
		if j := jobs[i]; j.Guaranteed {
			t.releaseGuarantee(j)
			j.Guaranteed, j.VirtualCells = false, nil
		}
	}
}

// promote turns the borrower j into a guaranteed job if its organisation has
// enough unused guarantee and all unused guarantees stay as allocatable as before.
func (l *Ledger) promote(t *cellTable, j *Job) {
	f := t.virtual[j.Spec.Organisation]
	if f == nil {
		return
	}
	need, err := j.Spec.Need()
	if err != nil {
		return
	}
	virtual, ok := findVirtualCells(f, need)
	if !ok || !t.preservesGuarantees(j.Spec.Organisation, memberCells(j.Members), virtual) {
		return
	}
	j.Guaranteed, j.VirtualCells = true, virtual
	t.allocate(j)
}

// memberCells returns the cells that members occupy.
func memberCells(ms []record.Member) []rack.Cell {
	cells := make([]rack.Cell, len(ms))
	for i, m := range ms {
		cells[i] = rack.Cell{Node: m.Worker, Mask: m.Mask}
	}
	return cells
}
