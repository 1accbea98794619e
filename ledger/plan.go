package ledger

import (
	"maps"

	"github.com/limpetrelay/limpetrelay/rack"
)

// Plan is a scratch copy of a data centre's cells on which several places are
// tried together before they are recorded.
type Plan struct {
	table cellTable
}

// Plan returns a scratch copy of the cells of dc.
func (l *Ledger) Plan(dc string) *Plan {
	l.init()
	t := l.cellTable(dc)
	p := &Plan{table: cellTable{guaranteed: t.guaranteed.Clone(), allocated: maps.Clone(t.allocated), virtual: map[string]*rack.Forest{}}}
	for o, f := range t.virtual {
		c := f.Clone()
		p.table.virtual[o] = &c
	}
	return p
}

// Taken returns the slots of a worker that placed jobs hold.
func (p *Plan) AllocatedSlots(worker string) rack.Mask { return p.table.allocated[worker] }

// Fixed returns the slots of a worker that guaranteed jobs hold.
func (p *Plan) GuaranteedSlots(worker string) rack.Mask {
	if n := p.table.guaranteed.Node(worker); n != nil {
		return n.Used
	}
	return 0
}

// Guarantee finds abstract cells for need in the unused guarantee of
// organisation org. It keeps the adjacency where the guarantee has it.
func (p *Plan) FindVirtualCells(org string, need rack.Need) ([]rack.Cell, bool) {
	f := p.table.virtual[org]
	if f == nil {
		return nil, false
	}
	return findVirtualCells(f, need)
}

// Holds reports whether org's whole guarantee, if none of it were in use, would
// cover need.
func (p *Plan) GuaranteeCovers(org string, need rack.Need) bool {
	f := p.table.virtual[org]
	return f != nil && f.Fits(need)
}

// Keeps reports whether everyone's unused guarantee stays as carvable as it is
// when org takes cells under its guarantee.
func (p *Plan) PreservesGuarantees(org string, cells, virtual []rack.Cell) bool {
	return p.table.preservesGuarantees(org, p.table.liveCells(cells), virtual)
}

// Take marks cells as taken, and as fixed when abstract is not empty.
func (p *Plan) Allocate(org string, cells, virtual []rack.Cell) {
	for _, c := range cells {
		p.table.allocated[c.Node] |= c.Mask
		if n := p.table.guaranteed.Node(c.Node); n != nil && len(virtual) > 0 {
			n.Used |= c.Mask
		}
	}
	if f := p.table.virtual[org]; f != nil {
		f.Take(virtual)
	}
}

// Unused returns the sum of the unused guarantees.
func (p *Plan) UnusedGuarantees() rack.Shape { return p.table.unusedGuarantees() }
