package ledger

import (
	"maps"

	"github.com/limpetrelay/limpetrelay/rack"
)

// Plan is a scratch copy of a data centre's cells on which several places are
// tried together before they are recorded.
type Plan struct {
	y yard
}

// Plan returns a scratch copy of the cells of dc.
func (l *Ledger) Plan(dc string) *Plan {
	l.init()
	y := l.yard(dc)
	p := &Plan{y: yard{fixed: y.fixed.Clone(), taken: maps.Clone(y.taken), abstract: map[string]*rack.Forest{}}}
	for o, f := range y.abstract {
		c := f.Clone()
		p.y.abstract[o] = &c
	}
	return p
}

// Taken returns the slots of a worker that placed jobs hold.
func (p *Plan) AllocatedSlots(worker string) rack.Mask { return p.y.taken[worker] }

// Fixed returns the slots of a worker that guaranteed jobs hold.
func (p *Plan) GuaranteedSlots(worker string) rack.Mask {
	if n := p.y.fixed.Node(worker); n != nil {
		return n.Used
	}
	return 0
}

// Guarantee finds abstract cells for need in the unused guarantee of
// organisation org. It keeps the adjacency where the guarantee has it.
func (p *Plan) FindVirtualCells(org string, need rack.Need) ([]rack.Cell, bool) {
	f := p.y.abstract[org]
	if f == nil {
		return nil, false
	}
	return abstractPlace(f, need)
}

// Holds reports whether org's whole guarantee, if none of it were in use, would
// cover need.
func (p *Plan) GuaranteeCovers(org string, need rack.Need) bool {
	f := p.y.abstract[org]
	return f != nil && f.FitsWhenEmpty(need)
}

// Keeps reports whether everyone's unused guarantee stays as carvable as it is
// when org takes cells under its guarantee.
func (p *Plan) PreservesGuarantees(org string, cells, abstract []rack.Cell) bool {
	return p.y.keeps(org, p.y.known(cells), abstract)
}

// Take marks cells as taken, and as fixed when abstract is not empty.
func (p *Plan) Allocate(org string, cells, abstract []rack.Cell) {
	for _, c := range cells {
		p.y.taken[c.Node] |= c.Mask
		if n := p.y.fixed.Node(c.Node); n != nil && len(abstract) > 0 {
			n.Used |= c.Mask
		}
	}
	if f := p.y.abstract[org]; f != nil {
		f.Allocate(abstract)
	}
}

// Unused returns the sum of the unused guarantees.
func (p *Plan) UnusedGuarantees() rack.Shape { return p.y.unused() }
