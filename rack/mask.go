package rack

import "math/bits"

// Mask is a set of slots of one worker, bit i for slot i.
type Mask uint8

// FullMask returns the mask of all slots of a worker with n slots.
func FullMask(n int) Mask { return Mask(1<<n - 1) }

// Count returns the number of slots in m.
func (m Mask) Count() int { return bits.OnesCount8(uint8(m)) }

// blockMask returns the block of level l that starts at slot i.
func blockMask(l Level, i int) Mask {
	return Mask((1<<l.Slots() - 1) << i)
}

// Blocks counts, per level, the maximal aligned blocks that m contains.
func (m Mask) Blocks() Shape { return blocksOf[m] }

// BestBlock returns the best fit for a block of level l among the free slots m:
// the aligned block whose allocation splits the smallest free block. split is the
// level of that free block, and l when nothing is split. BestBlock returns false
// when m contains no block of level l.
func (m Mask) BestBlock(l Level) (block Mask, split Level, ok bool) {
	if l > LevelWorker {
		return 0, 0, false
	}
	c := &bestBlockOf[m][l]
	return c.block, c.split, c.ok
}

// BlockLevel returns the level of the aligned block that m forms. It returns
// false unless m is exactly one aligned block.
func (m Mask) BlockLevel() (Level, bool) {
	l, ok := LevelFor(m.Count())
	if !ok || l.Slots() != m.Count() {
		return 0, false
	}
	i := bits.TrailingZeros8(uint8(m))
	return l, i%l.Slots() == 0 && blockMask(l, i) == m
}

// enclosingLevel returns the level of the largest aligned block in m that
// contains the block of level l at slot i, which m must contain.
func (m Mask) enclosingLevel(l Level, i int) Level {
	for l < LevelWorker {
		parent := blockMask(l+1, i-i%(l+1).Slots())
		if m&parent != parent {
			return l
		}
		l++
	}
	return l
}

// blockChoice is one result of BestBlock.
type blockChoice struct {
	block Mask
	split Level
	ok    bool
}

// blocksOf and bestBlockOf hold the results of Blocks and BestBlock for every
// mask, since one placement needs them thousands of times.
var (
	blocksOf    [1 << SlotsPerWorker]Shape
	bestBlockOf [1 << SlotsPerWorker][LevelWorker + 1]blockChoice
)

func init() {
	for m := range blocksOf {
		blocksOf[m] = computeBlocks(Mask(m))
		for l := range bestBlockOf[m] {
			bestBlockOf[m][l] = computeBestBlock(Mask(m), Level(l))
		}
	}
}

// computeBlocks computes an entry of blocksOf.
func computeBlocks(m Mask) Shape {
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

// computeBestBlock computes an entry of bestBlockOf.
func computeBestBlock(m Mask, l Level) blockChoice {
	var found blockChoice
	for i := 0; i < SlotsPerWorker; i += l.Slots() {
		b := blockMask(l, i)
		if m&b != b {
			continue
		}
		if split := m.enclosingLevel(l, i); !found.ok || split < found.split {
			found = blockChoice{block: b, split: split, ok: true}
		}
	}
	return found
}
