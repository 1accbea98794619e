package rack

import "fmt"

// VirtualCells returns the forest of virtual cells that represents the guarantee
// s. A guaranteed rack becomes a rack of whole workers. Each smaller cell becomes
// one node of its size in a rack of its own.
func VirtualCells(s Shape) Forest {
	var f Forest
	for i := range s[LevelRack] {
		for k := range WorkersPerRack {
			r := fmt.Sprintf("rack%d", i)
			f.Add(Node{Name: fmt.Sprintf("%s.%d", r, k), Rack: r, Slots: SlotsPerWorker})
		}
	}
	for l := LevelSlot; l <= LevelWorker; l++ {
		for i := range s[l] {
			name := fmt.Sprintf("%s%d", l, i)
			f.Add(Node{Name: name, Rack: name, Slots: l.Slots()})
		}
	}
	return f
}
