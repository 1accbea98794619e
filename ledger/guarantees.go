package ledger

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// yard is the derived view of one data centre.
type yard struct {
	// fixed holds the live accelerated workers; slots of guaranteed jobs are used.
	fixed rack.Forest
	// taken holds, per worker, the slots of all placed jobs.
	taken map[string]rack.Mask
	// abstract holds, per organisation, the cells of its guarantee; the cells of
	// its guaranteed jobs are used.
	abstract map[string]*rack.Forest
}

// rebuild derives all yards anew.
func (l *Ledger) rebuild() {
	l.yards, l.names, l.open = map[string]*yard{}, map[string][]string{}, map[string]*Job{}
	for id, j := range l.Jobs {
		if j.State != Finished {
			l.open[id] = j
		}
	}
	// The yards are derived from open, so it has to be whole first.
	for _, j := range l.open {
		l.yard(j.DataCentre)
	}
	for _, w := range l.Workers {
		l.yard(w.DataCentre)
	}
	for _, dc := range l.Config.DataCentres() {
		l.yard(dc)
	}
}

// yard returns the yard of dc and derives it when it is missing.
func (l *Ledger) yard(dc string) *yard {
	if y := l.yards[dc]; y != nil {
		return y
	}
	y := &yard{taken: map[string]rack.Mask{}, abstract: map[string]*rack.Forest{}}
	l.yards[dc] = y
	y.fixed = l.forest(dc, liveAccelerated)
	for _, o := range l.Config.OrganisationNames() {
		f := rack.VirtualCells(l.Config.Organisations[o].Guarantee[dc])
		y.abstract[o] = &f
	}
	for _, j := range l.open {
		if j.State == Placed && j.DataCentre == dc {
			y.take(j)
		}
	}
	return y
}

// refresh derives the yard of dc anew after a change of workers or guarantees.
func (l *Ledger) refresh(dc string) {
	delete(l.yards, dc)
	delete(l.names, dc)
	l.yard(dc)
}

// forest returns the empty cells of the workers of dc that keep is true for.
func (l *Ledger) forest(dc string, keep func(*Worker) bool) rack.Forest {
	var f rack.Forest
	for _, n := range l.WorkerNames(dc) {
		if w := l.Workers[n]; keep(w) {
			f.Add(rack.Node{Name: n, Rack: w.Rack, Slots: w.Slots})
		}
	}
	return f
}

// liveAccelerated reports whether w can carry guarantees.
func liveAccelerated(w *Worker) bool { return w.Accelerated && w.State == record.Live }

// take marks the cells of a placed job.
func (y *yard) take(j *Job) {
	for _, m := range j.Members {
		y.taken[m.Worker] |= m.Mask
		if n := y.fixed.Node(m.Worker); n != nil && j.Guaranteed {
			n.Used |= m.Mask
		}
	}
	if f := y.abstract[j.Spec.Organisation]; f != nil && j.Guaranteed {
		f.Allocate(j.VirtualCells)
	}
}

// free returns the cells of a job that is no longer placed.
func (y *yard) free(j *Job) {
	for _, m := range j.Members {
		y.taken[m.Worker] &^= m.Mask
	}
	y.loosen(j)
}

// loosen takes the cells of a guaranteed job out of its guarantee.
func (y *yard) loosen(j *Job) {
	if !j.Guaranteed {
		return
	}
	for _, m := range j.Members {
		if n := y.fixed.Node(m.Worker); n != nil {
			n.Used &^= m.Mask
		}
	}
	if f := y.abstract[j.Spec.Organisation]; f != nil {
		f.Release(j.VirtualCells)
	}
}

// unused returns the sum of the unused guarantees.
func (y *yard) unused() rack.Shape {
	var s rack.Shape
	for _, f := range y.abstract {
		s = s.Add(f.Free())
	}
	return s
}

// missing returns the number of slots of unused guarantees that cannot be
// carved out by stopping borrowers.
func (y *yard) missing() int {
	return y.fixed.Free().Missing(y.unused()).Slots()
}

// Shortfall returns the cells of unused guarantees in dc that could not be
// carved out now by stopping borrowers. It is zero unless capacity was lost.
func (l *Ledger) GuaranteeShortfall(dc string) rack.Shape {
	l.init()
	y := l.yard(dc)
	return y.fixed.Free().Missing(y.unused())
}

// keeps reports whether the unused guarantees stay as carvable as they are when
// organisation org fixes cells under its guarantee with the given abstract
// cells. It leaves y as it was.
func (y *yard) keeps(org string, cells, abstract []rack.Cell) bool {
	f := y.abstract[org]
	if f == nil {
		return false
	}
	before := y.missing()
	if !f.Allocate(abstract) {
		return false
	}
	defer f.Release(abstract)
	cells = y.known(cells)
	if !y.fixed.Allocate(cells) {
		return false
	}
	defer y.fixed.Release(cells)
	return y.missing() <= before
}

// known returns the cells on nodes of the fixed forest. A place on a worker
// that has left since does not reduce what can be carved.
func (y *yard) known(cells []rack.Cell) []rack.Cell {
	var k []rack.Cell
	for _, c := range cells {
		if y.fixed.Node(c.Node) != nil {
			k = append(k, c)
		}
	}
	return k
}

// abstractPlace finds cells for need in f, first with its adjacency and then
// without.
func abstractPlace(f *rack.Forest, need rack.Need) ([]rack.Cell, bool) {
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
func (l *Ledger) settle(dc string) {
	y := l.yard(dc)
	placed := l.placed(dc)
	l.demote(dc, y, placed)
	guaranteed := map[string][]*Job{}
	for _, j := range placed {
		if j.Guaranteed {
			guaranteed[j.Spec.Organisation] = append(guaranteed[j.Spec.Organisation], j)
		}
	}
	for _, o := range l.Config.OrganisationNames() {
		l.compact(dc, y, o, guaranteed[o])
	}
	claimed := l.claimed(dc, y)
	for _, j := range placed {
		if j.Guaranteed || claimed[j.Spec.Organisation] {
			continue
		}
		l.promote(y, j)
	}
}

// compact binds js, the guaranteed jobs of an organisation, anew, largest first, so
// that small jobs do not keep its large abstract cells broken. Abstract cells
// are not tied to workers, so this moves nothing; it is undone when the wholer
// unused guarantee could not be carved out.
func (l *Ledger) compact(dc string, y *yard, org string, js []*Job) {
	old := y.abstract[org]
	if len(js) == 0 || old == nil {
		return
	}
	slices.SortStableFunc(js, func(a, b *Job) int { return slotsOf(b) - slotsOf(a) })
	fresh := rack.VirtualCells(l.Config.Organisations[org].Guarantee[dc])
	cells := make([][]rack.Cell, len(js))
	for i, j := range js {
		need, err := j.Spec.Need()
		c, ok := abstractPlace(&fresh, need)
		if err != nil || !ok {
			return
		}
		fresh.Allocate(c)
		cells[i] = c
	}
	before := y.missing()
	if fresh.Free() == old.Free() {
		return
	}
	y.abstract[org] = &fresh
	if y.missing() > before {
		y.abstract[org] = old
		return
	}
	for i, j := range js {
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
func (l *Ledger) claimed(dc string, y *yard) map[string]bool {
	m := map[string]bool{}
	for _, j := range l.open {
		if j.State != Queued || j.DataCentre != dc || m[j.Spec.Organisation] {
			continue
		}
		f := y.abstract[j.Spec.Organisation]
		if need, err := j.Spec.Need(); err == nil && f != nil && f.FitsWhenEmpty(need) {
			m[j.Spec.Organisation] = true
		}
	}
	return m
}

// placed returns the placed jobs of dc, oldest place first.
func (l *Ledger) placed(dc string) []*Job {
	var js []*Job
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		if j := l.open[id]; j.State == Placed && j.DataCentre == dc {
			js = append(js, j)
		}
	}
	slices.SortStableFunc(js, func(a, b *Job) int {
		switch {
		case a.PlacedOffset < b.PlacedOffset:
			return -1
		case a.PlacedOffset > b.PlacedOffset:
			return 1
		}
		return 0
	})
	return js
}

// demote turns guaranteed jobs among js into borrowers as settle says.
func (l *Ledger) demote(dc string, y *yard, js []*Job) {
	if y.missing() == 0 {
		return
	}
	whole := l.forest(dc, liveAccelerated)
	if !whole.CanAllocate(l.Config.TotalGuarantee(dc)) {
		return
	}
	for i := len(js) - 1; i >= 0 && y.missing() > 0; i-- {
		if j := js[i]; j.Guaranteed {
			y.loosen(j)
			j.Guaranteed, j.VirtualCells = false, nil
		}
	}
}

// promote turns the borrower j into a guaranteed job where its organisation
// has unused guarantee and nobody's unused guarantee suffers.
func (l *Ledger) promote(y *yard, j *Job) {
	f := y.abstract[j.Spec.Organisation]
	if f == nil {
		return
	}
	need, err := j.Spec.Need()
	if err != nil {
		return
	}
	abstract, ok := abstractPlace(f, need)
	if !ok || !y.keeps(j.Spec.Organisation, memberCells(j.Members), abstract) {
		return
	}
	j.Guaranteed, j.VirtualCells = true, abstract
	y.take(j)
}

// memberCells returns the cells of members.
func memberCells(ms []record.Member) []rack.Cell {
	cells := make([]rack.Cell, len(ms))
	for i, m := range ms {
		cells[i] = rack.Cell{Node: m.Worker, Mask: m.Mask}
	}
	return cells
}
