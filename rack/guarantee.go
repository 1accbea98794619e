package rack

import "fmt"

// Abstract returns the forest of abstract cells that stands for the guarantee
// s. A guaranteed rack becomes a rack of whole workers; smaller cells become
// lone nodes of their size, each in a rack of its own.
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
