package rack

import "math/bits"

// Mask is a set of slots of one worker, bit i for slot i.
type Mask uint8

// FullMask returns the mask of all slots of a worker with n slots.
func FullMask(n int) Mask { return Mask(1<<n - 1) }

// Count returns the number of slots in m.
func (m Mask) Count() int { return bits.OnesCount8(uint8(m)) }

// blockMask returns the aligned block of level l that starts at slot i.
func blockMask(l Level, i int) Mask {
	return Mask((1<<l.Slots() - 1) << i)
}

// Blocks returns the maximal aligned blocks that are wholly inside m.
func (m Mask) Blocks() Shape { return blockTable[m] }

// BestBlock returns the aligned block of level l inside m that breaks the
// smallest larger block, and the level of the block that it breaks. It returns
// false when no block of level l is free.
func (m Mask) BestBlock(l Level) (b Mask, broken Level, ok bool) {
	if l > LevelWorker {
		return 0, 0, false
	}
	c := &bestTable[m][l]
	return c.block, c.broken, c.ok
}

// Aligned reports whether m is exactly one aligned block, and of which level.
func (m Mask) BlockLevel() (Level, bool) {
	l, ok := LevelFor(m.Count())
	if !ok || l.Slots() != m.Count() {
		return 0, false
	}
	i := bits.TrailingZeros8(uint8(m))
	return l, i%l.Slots() == 0 && blockMask(l, i) == m
}

// enclosing returns the level of the largest free block around slot i.
func (m Mask) enclosing(l Level, i int) Level {
	for l < LevelWorker {
		up := blockMask(l+1, i-i%(l+1).Slots())
		if m&up != up {
			return l
		}
		l++
	}
	return l
}

// best is one result of BestBlock.
type best struct {
	block  Mask
	broken Level
	ok     bool
}

// blockTable and bestTable hold the results for every mask, since a placement
// asks for them thousands of times.
var (
	blockTable [1 << SlotsPerWorker]Shape
	bestTable  [1 << SlotsPerWorker][LevelWorker + 1]best
)

func init() {
	for m := range blockTable {
		blockTable[m] = findBlocks(Mask(m))
		for l := range bestTable[m] {
			bestTable[m][l] = findBest(Mask(m), Level(l))
		}
	}
}

// findBlocks computes an entry of blockTable.
func findBlocks(m Mask) Shape {
	var s Shape
	for l := LevelWorker; ; l-- {
		n := l.Slots()
		for i := 0; i < SlotsPerWorker; i += n {
			b := blockMask(l, i)
			if m&b == b {
				s[l]++
				m &^= b
			}
		}
		if l == LevelSlot {
			return s
		}
	}
}

// findBest computes an entry of bestTable.
func findBest(m Mask, l Level) best {
	var found best
	for i := 0; i < SlotsPerWorker; i += l.Slots() {
		c := blockMask(l, i)
		if m&c != c {
			continue
		}
		if br := m.enclosing(l, i); !found.ok || br < found.broken {
			found = best{block: c, broken: br, ok: true}
		}
	}
	return found
}
