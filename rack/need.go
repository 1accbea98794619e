package rack

import (
	"sort"

	"github.com/limpetrelay/limpetrelay/fault"
)

// Adjacency bounds the distance between the members of a gang.
type Adjacency string

// The adjacencies.
const (
	// AdjacencyAny sets no bound.
	AdjacencyAny Adjacency = "any"
	// AdjacencyRack keeps all members in one rack.
	AdjacencyRack Adjacency = "rack"
	// AdjacencyWorker keeps all members on one worker.
	AdjacencyWorker Adjacency = "worker"
)

// Need is the resource request of a gang: Members aligned blocks of one level.
type Need struct {
	// Members is at least 1.
	Members int
	// Level is at most LevelWorker.
	Level Level
	// Adjacency is never empty.
	Adjacency Adjacency
}

// Cell is an aligned block of slots on one node.
type Cell struct {
	Node string `cbor:"n" json:"node"`
	Mask Mask   `cbor:"m" json:"mask"`
}

// Validate returns an Invalid error when n is malformed.
func (n Need) Validate() error {
	switch {
	case n.Members < 1:
		return fault.New(fault.Invalid, "a job needs at least one member", "set members to 1 or more")
	case n.Level > LevelWorker:
		return fault.New(fault.Invalid, "a member is larger than one worker", "split it into members of 8 slots or fewer")
	}
	switch n.Adjacency {
	case AdjacencyAny, AdjacencyRack, AdjacencyWorker:
		return nil
	default:
		return fault.Newf(fault.Invalid, "use any, rack or worker", "unknown adjacency %q", n.Adjacency)
	}
}

// FitsWhenEmpty reports whether n could be placed in f if all its slots were
// free.
func (f *Forest) FitsWhenEmpty(n Need) bool {
	g := f.Clone()
	for i := range g.Nodes {
		g.Nodes[i].Used = 0
	}
	_, ok := g.Place(n, BestFit)
	return ok
}

// Rank returns the cost of placing one member on node n; the node with the lowest
// cost is chosen. split is the level of the free block that the member's block
// would be split from.
type Rank func(n *Node, split Level) int

// BestFit prefers the node on which the smallest free block is split.
func BestFit(_ *Node, split Level) int { return int(split) }

// FirstFit ranks all nodes alike, so that the first one in order is chosen.
func FirstFit(*Node, Level) int { return 0 }

// Place finds cells for n among the free slots of f, sorted by node. It does not
// allocate them. Among the groups of nodes that satisfy the adjacency it chooses
// the one with the lowest sum of ranks and, among equals, the one with the fewest
// spare blocks. It returns false when no group has enough free blocks.
func (f *Forest) Place(n Need, rank Rank) ([]Cell, bool) {
	var best []Cell
	bestCost, bestSpare := 0, 0
	f.eachGroup(n.Adjacency, func(nodes []Node) {
		available := 0
		for i := range nodes {
			available += nodes[i].Free().Blocks().Available(n.Level)
		}
		if available < n.Members {
			return
		}
		cells, cost := placeMembers(nodes, n, rank)
		spare := available - n.Members
		if cells != nil && (best == nil || cost < bestCost || cost == bestCost && spare < bestSpare) {
			best, bestCost, bestSpare = cells, cost, spare
		}
	})
	return best, best != nil
}

// Allocate marks cells as used. It returns false, and changes nothing, when a
// cell's node is unknown or one of its slots is not free.
func (f *Forest) Allocate(cells []Cell) bool {
	for i, c := range cells {
		n := f.Node(c.Node)
		if n == nil || n.Free()&c.Mask != c.Mask {
			f.Release(cells[:i])
			return false
		}
		n.Used |= c.Mask
	}
	return true
}

// Release marks cells as free. Cells of unknown nodes are ignored.
func (f *Forest) Release(cells []Cell) {
	for _, c := range cells {
		if n := f.Node(c.Node); n != nil {
			n.Used &^= c.Mask
		}
	}
}

// eachGroup calls fn with each group of nodes on which a gang with adjacency a
// may be placed.
func (f *Forest) eachGroup(a Adjacency, fn func([]Node)) {
	switch a {
	case AdjacencyWorker:
		for i := range f.Nodes {
			fn(f.Nodes[i : i+1])
		}
	case AdjacencyRack:
		f.eachRack(fn)
	default:
		if len(f.Nodes) > 0 {
			fn(f.Nodes)
		}
	}
}

// placeMembers places the members of n one by one on nodes, without changing
// them. It returns the cells, sorted by node, and the sum of the ranks. The cells
// are nil when the free blocks do not suffice.
func placeMembers(nodes []Node, n Need, rank Rank) ([]Cell, int) {
	scratch := append([]Node(nil), nodes...)
	cells := make([]Cell, 0, n.Members)
	cost := 0
	for len(cells) < n.Members {
		index, c, r, ok := bestCell(scratch, n.Level, rank)
		if !ok {
			return nil, 0
		}
		scratch[index].Used |= c.Mask
		cells = append(cells, c)
		cost += r
	}
	sort.SliceStable(cells, func(i, j int) bool { return cells[i].Node < cells[j].Node })
	return cells, cost
}

// bestCell returns the block with the lowest rank for one member, with the index
// of its node and the rank. It returns false when no block of level l is free.
func bestCell(nodes []Node, l Level, rank Rank) (index int, c Cell, bestRank int, ok bool) {
	for i := range nodes {
		block, split, fits := nodes[i].Free().BestBlock(l)
		if !fits {
			continue
		}
		if r := rank(&nodes[i], split); !ok || r < bestRank {
			index, c, ok, bestRank = i, Cell{Node: nodes[i].Name, Mask: block}, true, r
		}
	}
	return index, c, bestRank, ok
}
