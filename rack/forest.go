package rack

import "sort"

// Node is one worker of a Forest, or one virtual cell no larger than a worker.
type Node struct {
	// Name is unique in a Forest.
	Name string
	// Rack names the rack; nodes with the same rack are adjacent.
	Rack string
	// Slots is 1, 2, 4 or 8.
	Slots int
	// Used is the set of slots in use, a subset of FullMask(Slots).
	Used Mask
}

// Free returns the unused slots of n.
func (n *Node) Free() Mask { return FullMask(n.Slots) &^ n.Used }

// Forest is the set of cells of one data centre, or of the virtual cells of one
// guarantee. The zero value is empty and ready to use.
type Forest struct {
	// Nodes is sorted by Rack, then Name.
	Nodes []Node
}

// Add inserts n at its place in the order of Nodes.
func (f *Forest) Add(n Node) {
	i := sort.Search(len(f.Nodes), func(i int) bool {
		m := &f.Nodes[i]
		return m.Rack > n.Rack || m.Rack == n.Rack && m.Name >= n.Name
	})
	f.Nodes = append(f.Nodes, Node{})
	copy(f.Nodes[i+1:], f.Nodes[i:])
	f.Nodes[i] = n
}

// Node returns the node with the given name, or nil when there is none.
func (f *Forest) Node(name string) *Node {
	for i := range f.Nodes {
		if f.Nodes[i].Name == name {
			return &f.Nodes[i]
		}
	}
	return nil
}

// Free returns the maximal free cells of f. A free rack counts as one LevelRack
// cell and not as its workers.
func (f *Forest) Free() Shape {
	var s Shape
	f.eachRack(func(nodes []Node) {
		if isFreeRack(nodes) {
			s[LevelRack]++
			return
		}
		for i := range nodes {
			s = s.Add(nodes[i].Free().Blocks())
		}
	})
	return s
}

// CanAllocate reports whether the cells of need can all be allocated from the
// free cells of f.
func (f *Forest) CanAllocate(need Shape) bool {
	return f.Free().Missing(need).IsZero()
}

// Clone returns a deep copy of f.
func (f *Forest) Clone() Forest {
	return Forest{Nodes: append([]Node(nil), f.Nodes...)}
}

// eachRack calls fn with the nodes of each rack, in the order of the racks.
func (f *Forest) eachRack(fn func([]Node)) {
	for i := 0; i < len(f.Nodes); {
		j := i
		for j < len(f.Nodes) && f.Nodes[j].Rack == f.Nodes[i].Rack {
			j++
		}
		fn(f.Nodes[i:j])
		i = j
	}
}

// isFreeRack reports whether nodes, which are those of one rack, form a free
// LevelRack cell.
func isFreeRack(nodes []Node) bool {
	if len(nodes) != WorkersPerRack {
		return false
	}
	for i := range nodes {
		if nodes[i].Slots != SlotsPerWorker || nodes[i].Used != 0 {
			return false
		}
	}
	return true
}
