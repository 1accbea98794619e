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

// Blocks returns the maximal aligned blocks that are wholly inside free.
func (m Mask) Blocks() Shape {
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

// BestBlock returns the aligned block of level l inside free that breaks the
// smallest larger block, and the level of the block that it breaks. It returns
// false when no block of level l is free.
func (m Mask) BestBlock(l Level) (b Mask, broken Level, ok bool) {
	for i := 0; i < SlotsPerWorker; i += l.Slots() {
		c := blockMask(l, i)
		if m&c != c {
			continue
		}
		if br := m.enclosing(l, i); !ok || br < broken {
			b, broken, ok = c, br, true
		}
	}
	return b, broken, ok
}

// Aligned reports whether m is exactly one aligned block, and of which level.
func (m Mask) Aligned() (Level, bool) {
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
