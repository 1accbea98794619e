package rack

import "github.com/limpetrelay/limpetrelay/fault"

// Level is a size of cell, ordered from small to large.
type Level uint8

// The cell levels. Each cell of a level splits evenly into cells of the level
// below it.
const (
	// LevelSlot is one slot.
	LevelSlot Level = iota
	// LevelPair is two aligned slots of one worker.
	LevelPair
	// LevelFour is four aligned slots of one worker.
	LevelFour
	// LevelWorker is a whole worker of eight slots.
	LevelWorker
	// LevelRack is a whole rack of eight workers.
	LevelRack
	// NumLevels is the number of levels.
	NumLevels = 5
)

const (
	// SlotsPerWorker is the number of slots in a LevelWorker cell.
	SlotsPerWorker = 8
	// WorkersPerRack is the number of workers in a LevelRack cell.
	WorkersPerRack = 8
)

var (
	levelSlots = [NumLevels]int{1, 2, 4, SlotsPerWorker, SlotsPerWorker * WorkersPerRack}
	levelNames = [NumLevels]string{"slot", "pair", "four", "worker", "rack"}
)

// Slots returns the number of slots in a cell of level l.
func (l Level) Slots() int { return levelSlots[l] }

// String returns the name of l as used in settings and output.
func (l Level) String() string {
	if l >= NumLevels {
		return "none"
	}
	return levelNames[l]
}

// ParseLevel returns the level with the given name, or an Invalid error when
// there is none.
func ParseLevel(name string) (Level, error) {
	for i, s := range levelNames {
		if s == name {
			return Level(i), nil
		}
	}
	return 0, fault.Newf(fault.Invalid, "use slot, pair, four, worker or rack", "unknown cell level %q", name)
}

// LevelFor returns the smallest level inside one worker that holds the given
// number of slots. It returns false when slots is below 1 or exceeds a worker.
func LevelFor(slots int) (Level, bool) {
	if slots < 1 {
		return 0, false
	}
	for l := LevelSlot; l <= LevelWorker; l++ {
		if l.Slots() >= slots {
			return l, true
		}
	}
	return 0, false
}
