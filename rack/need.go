package rack

import (
	"sort"

	"github.com/limpetrelay/limpetrelay/fault"
)

// Adjacency says how close the members of a gang must be.
type Adjacency string

// The adjacencies.
const (
	// AdjacencyAny puts no bound on the distance.
	AdjacencyAny Adjacency = "any"
	// AdjacencyRack keeps all members in one rack.
	AdjacencyRack Adjacency = "rack"
	// AdjacencyWorker keeps all members on one worker.
	AdjacencyWorker Adjacency = "worker"
)

// Need is what a gang asks for: Members aligned blocks of one level.
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
		return fault.New(fault.Invalid, "a member exceeds one worker", "split it into members of 8 slots or fewer")
	}
	switch n.Adjacency {
	case AdjacencyAny, AdjacencyRack, AdjacencyWorker:
		return nil
	default:
		return fault.Newf(fault.Invalid, "use any, rack or worker", "unknown adjacency %q", n.Adjacency)
	}
}

// Fits reports whether n could be placed in f when all cells were free.
func (f *Forest) FitsWhenEmpty(n Need) bool {
	g := f.Clone()
	for i := range g.Nodes {
		g.Nodes[i].Used = 0
	}
	_, ok := g.Place(n, BestFit)
	return ok
}

// Rank orders candidate nodes for one member; the smallest is taken first.
// broken is the level of the largest free block that the member would break.
type Rank func(n *Node, broken Level) int

// BestFit breaks the smallest block first.
func BestFit(_ *Node, broken Level) int { return int(broken) }

// FirstFit takes nodes in order.
func FirstFit(*Node, Level) int { return 0 }

// Place finds cells for n among the free slots of f without changing f. Among
// the groups of nodes that satisfy the adjacency it takes the one whose cells
// have the smallest sum of ranks, and then the one with the fewest blocks to
// spare. It returns false when no group can hold the need.
func (f *Forest) Place(n Need, rank Rank) ([]Cell, bool) {
	var best []Cell
	bestCost, bestSpare := 0, 0
	f.eachGroup(n.Adjacency, func(nodes []Node) {
		have := 0
		for i := range nodes {
			have += nodes[i].Free().Blocks().Available(n.Level)
		}
		if have < n.Members {
			return
		}
		cells, cost := fill(nodes, n, rank)
		spare := have - n.Members
		if cells != nil && (best == nil || cost < bestCost || cost == bestCost && spare < bestSpare) {
			best, bestCost, bestSpare = cells, cost, spare
		}
	})
	return best, best != nil
}

// Take marks cells as used. It returns false, and changes nothing, when a cell
// is unknown or not free.
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

// Release marks cells as free. Unknown nodes are passed over.
func (f *Forest) Release(cells []Cell) {
	for _, c := range cells {
		if n := f.Node(c.Node); n != nil {
			n.Used &^= c.Mask
		}
	}
}

// eachGroup calls fn with every group of nodes that satisfies adjacency a.
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

// fill places the members of n one by one on nodes, which must have room. It
// returns the sum of the ranks.
func fill(nodes []Node, n Need, rank Rank) ([]Cell, int) {
	work := append([]Node(nil), nodes...)
	cells := make([]Cell, 0, n.Members)
	cost := 0
	for len(cells) < n.Members {
		at, c, r, ok := pick(work, n.Level, rank)
		if !ok {
			return nil, 0
		}
		work[at].Used |= c.Mask
		cells = append(cells, c)
		cost += r
	}
	sort.SliceStable(cells, func(i, j int) bool { return cells[i].Node < cells[j].Node })
	return cells, cost
}

// pick returns the best node and block for one member, and its rank.
func pick(nodes []Node, l Level, rank Rank) (at int, c Cell, bestRank int, ok bool) {
	for i := range nodes {
		b, broken, fits := nodes[i].Free().BestBlock(l)
		if !fits {
			continue
		}
		if r := rank(&nodes[i], broken); !ok || r < bestRank {
			at, c, ok, bestRank = i, Cell{Node: nodes[i].Name, Mask: b}, true, r
		}
	}
	return at, c, bestRank, ok
}
