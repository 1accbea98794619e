// Package rack models racks of workers as nested cells of slots, and computes
// which shapes can be allocated from their free cells.
//
// A slot is the smallest unit of allocation: one accelerator, or an equal share
// of a worker's processors and memory. Cells nest by powers of two inside a
// worker (slot, pair, four, worker), and a rack holds several workers. A cell is
// whole when every slot in it belongs to one holder or none. Guarantees count
// whole cells per level, so that fragmentation cannot erode them. The buddy
// cells and the rule that unused guarantees must stay allocatable follow HiveD
// (Zhao et al., OSDI 2020).
//
//	f := rack.Forest{}
//	f.Add(rack.Node{Name: "w1", Rack: "r1", Slots: 8})
//	f.CanAllocate(rack.Shape{rack.LevelWorker: 1}) // true
package rack
