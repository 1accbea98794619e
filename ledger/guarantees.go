package ledger

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// yard is the derived view of one data centre.
type cellTable struct {
	// fixed holds the live accelerated workers; slots of guaranteed jobs are used.
	guaranteed rack.Forest
	// taken holds, per worker, the slots of all placed jobs.
	allocated map[string]rack.Mask
	// abstract holds, per organisation, the cells of its guarantee; the cells of
	// its guaranteed jobs are used.
	virtual map[string]*rack.Forest
}

// rebuild derives all yards anew.
func (l *Ledger) rebuild() {
	l.cellTables, l.names, l.open = map[string]*cellTable{}, map[string][]string{}, map[string]*Job{}
	for id, j := range l.Jobs {
		if j.State != Finished {
			l.open[id] = j
		}
	}
	// The yards are derived from open, so it has to be whole first.
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

// yard returns the yard of dc and derives it when it is missing.
func (l *Ledger) cellTable(dc string) *cellTable {
	if t := l.cellTables[dc]; t != nil {
		return t
	}
	t := &cellTable{allocated: map[string]rack.Mask{}, virtual: map[string]*rack.Forest{}}
	l.cellTables[dc] = t
	t.guaranteed = l.forest(dc, liveAccelerated)
	for _, o := range l.Config.Names() {
		f := rack.Abstract(l.Config.Organisations[o].Guarantee[dc])
		t.virtual[o] = &f
	}
	for _, j := range l.open {
		if j.State == Placed && j.DataCentre == dc {
			t.allocate(j)
		}
	}
	return t
}

// refresh derives the yard of dc anew after a change of workers or guarantees.
func (l *Ledger) refresh(dc string) {
	delete(l.cellTables, dc)
	delete(l.names, dc)
	l.cellTable(dc)
}

// forest returns the empty cells of the workers of dc that keep is true for.
func (l *Ledger) forest(dc string, include func(*Worker) bool) rack.Forest {
	var f rack.Forest
	for _, n := range l.WorkerNames(dc) {
		if w := l.Workers[n]; include(w) {
			f.Add(rack.Node{Name: n, Rack: w.Rack, Slots: w.Slots})
		}
	}
	return f
}

// liveAccelerated reports whether w can carry guarantees.
func liveAccelerated(w *Worker) bool { return w.Accelerated && w.State == record.Live }

// take marks the cells of a placed job.
func (t *cellTable) allocate(j *Job) {
	for _, m := range j.Members {
		t.allocated[m.Worker] |= m.Mask
		if n := t.guaranteed.Node(m.Worker); n != nil && j.Guaranteed {
			n.Used |= m.Mask
		}
	}
	if f := t.virtual[j.Spec.Organisation]; f != nil && j.Guaranteed {
		f.Take(j.VirtualCells)
	}
}

// free returns the cells of a job that is no longer placed.
func (t *cellTable) release(j *Job) {
	for _, m := range j.Members {
		t.allocated[m.Worker] &^= m.Mask
	}
	t.releaseGuarantee(j)
}

// loosen takes the cells of a guaranteed job out of its guarantee.
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

// unused returns the sum of the unused guarantees.
func (t *cellTable) unusedGuarantees() rack.Shape {
	var s rack.Shape
	for _, f := range t.virtual {
		s = s.Add(f.Free())
	}
	return s
}

// missing returns the number of slots of unused guarantees that cannot be
// carved out by stopping borrowers.
func (t *cellTable) missingSlots() int {
	return t.guaranteed.Free().Missing(t.unusedGuarantees()).Slots()
}

// Shortfall returns the cells of unused guarantees in dc that could not be
// carved out now by stopping borrowers. It is zero unless capacity was lost.
func (l *Ledger) GuaranteeShortfall(dc string) rack.Shape {
	l.init()
	t := l.cellTable(dc)
	return t.guaranteed.Free().Missing(t.unusedGuarantees())
}

// keeps reports whether the unused guarantees stay as carvable as they are when
// organisation org fixes cells under its guarantee with the given abstract
// cells. It leaves y as it was.
func (t *cellTable) preservesGuarantees(org string, cells, virtual []rack.Cell) bool {
	f := t.virtual[org]
	if f == nil {
		return false
	}
	missingBefore := t.missingSlots()
	if !f.Take(virtual) {
		return false
	}
	defer f.Release(virtual)
	cells = t.liveCells(cells)
	if !t.guaranteed.Take(cells) {
		return false
	}
	defer t.guaranteed.Release(cells)
	return t.missingSlots() <= missingBefore
}

// known returns the cells on nodes of the fixed forest. A place on a worker
// that has left since does not reduce what can be carved.
func (t *cellTable) liveCells(cells []rack.Cell) []rack.Cell {
	var live []rack.Cell
	for _, c := range cells {
		if t.guaranteed.Node(c.Node) != nil {
			live = append(live, c)
		}
	}
	return live
}

// abstractPlace finds cells for need in f, first with its adjacency and then
// without.
func findVirtualCells(f *rack.Forest, need rack.Need) ([]rack.Cell, bool) {
	if cells, ok := f.Place(need, rack.BestFit); ok {
		return cells, true
	}
	need.Adjacency = rack.AdjacencyAny
	return f.Place(need, rack.BestFit)
}

// settle restores the guarantee bookkeeping of dc after cells were freed, a
// guarantee changed or a worker came or went. It first demotes the youngest
// guaranteed jobs while the unused guarantees cannot be carved although the
// live cells would hold them, then compacts, and then promotes borrowers, oldest first, whose
// organisation has unused guarantee that no waiting job of its own could use.
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
	for _, o := range l.Config.Names() {
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

// compact binds js, the guaranteed jobs of an organisation, anew, largest first, so
// that small jobs do not keep its large abstract cells broken. Abstract cells
// are not tied to workers, so this moves nothing; it is undone when the wholer
// unused guarantee could not be carved out.
func (l *Ledger) compact(dc string, t *cellTable, org string, jobs []*Job) {
	old := t.virtual[org]
	if len(jobs) == 0 || old == nil {
		return
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return slotsOf(b) - slotsOf(a) })
	rebound := rack.Abstract(l.Config.Organisations[org].Guarantee[dc])
	cells := make([][]rack.Cell, len(jobs))
	for i, j := range jobs {
		need, err := j.Spec.Need()
		c, ok := findVirtualCells(&rebound, need)
		if err != nil || !ok {
			return
		}
		rebound.Take(c)
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

// slotsOf returns the number of slots that a placed job holds.
func slotsOf(j *Job) int {
	n := 0
	for _, m := range j.Members {
		n += m.Mask.Count()
	}
	return n
}

// claimed returns the organisations with a waiting job that their guarantee
// could hold. Their unused guarantee is kept for it.
func (l *Ledger) reservedOrganisations(dc string, t *cellTable) map[string]bool {
	reserved := map[string]bool{}
	for _, j := range l.open {
		if j.State != Queued || j.DataCentre != dc || reserved[j.Spec.Organisation] {
			continue
		}
		f := t.virtual[j.Spec.Organisation]
		if need, err := j.Spec.Need(); err == nil && f != nil && f.Fits(need) {
			reserved[j.Spec.Organisation] = true
		}
	}
	return reserved
}

// placed returns the placed jobs of dc, oldest place first.
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

// demote turns guaranteed jobs among js into borrowers as settle says.
func (l *Ledger) demote(dc string, t *cellTable, jobs []*Job) {
	if t.missingSlots() == 0 {
		return
	}
	idle := l.forest(dc, liveAccelerated)
	if !idle.Carvable(l.Config.Guaranteed(dc)) {
		return
	}
	for i := len(jobs) - 1; i >= 0 && t.missingSlots() > 0; i-- {
		if j := jobs[i]; j.Guaranteed {
			t.releaseGuarantee(j)
			j.Guaranteed, j.VirtualCells = false, nil
		}
	}
}

// promote turns the borrower j into a guaranteed job where its organisation
// has unused guarantee and nobody's unused guarantee suffers.
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

// memberCells returns the cells of members.
func memberCells(ms []record.Member) []rack.Cell {
	cells := make([]rack.Cell, len(ms))
	for i, m := range ms {
		cells[i] = rack.Cell{Node: m.Worker, Mask: m.Mask}
	}
	return cells
}
