// Package rack describes racks of workers as nested cells of slots, and does
// the arithmetic of guaranteed shapes on them.
//
// A slot is the smallest unit: one accelerator, or a like share of a worker's
// processors and memory. Cells nest by powers of two inside a worker (slot,
// pair, four, worker) and a rack holds several workers. A cell of a level is
// whole when every slot in it belongs to one holder or none. Guarantees count
// whole cells per level, so that fragmentation cannot hollow them out. The
// buddy cells and the rule "unused guarantees must stay carvable" follow HiveD
// (Zhao et al., OSDI 2020).
//
//	f := rack.Forest{}
//	f.AddRack("r1", []rack.Worker{{Name: "w1", Slots: 8}})
//	f.Carvable(rack.Shape{rack.LevelWorker: 1}) // true
package rack
