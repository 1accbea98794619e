package ledger

import (
	"maps"

	"github.com/limpetrelay/limpetrelay/rack"
)

// Plan is a scratch copy of the cell allocation of a data centre. A placer uses it
// to choose several placements together before it records them.
type Plan struct {
	table cellTable
}

// Plan returns a scratch copy of the cell allocation of dc.
func (l *Ledger) Plan(dc string) *Plan {
	l.init()
	table := l.cellTable(dc)
	p := &Plan{table: cellTable{guaranteed: table.guaranteed.Clone(), allocated: maps.Clone(table.allocated), virtual: map[string]*rack.Forest{}}}
	for o, f := range table.virtual {
		c := f.Clone()
		p.table.virtual[o] = &c
	}
	return p
}

// AllocatedSlots returns the slots of a worker that are allocated to any job.
func (p *Plan) AllocatedSlots(worker string) rack.Mask { return p.table.allocated[worker] }

// GuaranteedSlots returns the slots of a worker that are allocated to guaranteed
// jobs. It returns 0 if the worker is not live or has no accelerators.
func (p *Plan) GuaranteedSlots(worker string) rack.Mask {
	if n := p.table.guaranteed.Node(worker); n != nil {
		return n.Used
	}
	return 0
}

// FindVirtualCells finds virtual cells for need in the unused guarantee of
// organisation org. It prefers cells with the requested adjacency but accepts cells
// without it.
func (p *Plan) FindVirtualCells(org string, need rack.Need) ([]rack.Cell, bool) {
	f := p.table.virtual[org]
	if f == nil {
		return nil, false
	}
	return findVirtualCells(f, need)
}

// GuaranteeCovers reports whether need would fit into org's guarantee if none of
// it were in use.
func (p *Plan) GuaranteeCovers(org string, need rack.Need) bool {
	f := p.table.virtual[org]
	return f != nil && f.FitsWhenEmpty(need)
}

// PreservesGuarantees reports whether all unused guarantees would stay as
// allocatable as they are if org used cells within its guarantee as the given
// virtual cells.
func (p *Plan) PreservesGuarantees(org string, cells, virtual []rack.Cell) bool {
	return p.table.preservesGuarantees(org, p.table.liveCells(cells), virtual)
}

// Allocate marks cells as allocated to a job of org. If virtual is not empty, the job
// is a guaranteed one, which also uses these virtual cells of org's guarantee.
func (p *Plan) Allocate(org string, cells, virtual []rack.Cell) {
	for _, c := range cells {
		p.table.allocated[c.Node] |= c.Mask
		if n := p.table.guaranteed.Node(c.Node); n != nil && len(virtual) > 0 {
			n.Used |= c.Mask
		}
	}
	if f := p.table.virtual[org]; f != nil {
		f.Allocate(virtual)
	}
}

// UnusedGuarantees returns the sum of the unused virtual cells of all
// organisations.
func (p *Plan) UnusedGuarantees() rack.Shape { return p.table.unusedGuarantees() }
