package rack

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/limpetrelay/limpetrelay/fault"
)

// MaxCells is the largest count per level that Shape.Validate accepts.
const MaxCells = 100_000

// Shape is a number of whole cells per level. In JSON it is an object such as
// {"rack": 1, "four": 2}.
type Shape [NumLevels]int

// Slots returns the total number of slots in s.
func (s Shape) Slots() int {
	n := 0
	for l, c := range s {
		n += c * levelSlots[l]
	}
	return n
}

// IsZero reports whether s has no cells.
func (s Shape) IsZero() bool { return s == Shape{} }

// Add returns the sum of s and t.
func (s Shape) Add(t Shape) Shape {
	for l := range s {
		s[l] += t[l]
	}
	return s
}

// Missing returns the cells of need that cannot be allocated from the maximal
// free cells s. Larger cells are allocated first, and the remaining ones are split
// for smaller cells. This greedy order is optimal because cells nest evenly.
func (s Shape) Missing(need Shape) Shape {
	var missing Shape
	available := 0
	for l := NumLevels - 1; l >= 0; l-- {
		if l < NumLevels-1 {
			available *= levelSlots[l+1] / levelSlots[l]
		}
		available += s[l]
		if need[l] > available {
			missing[l] = need[l] - available
			available = 0
			continue
		}
		available -= need[l]
	}
	return missing
}

// Available returns the number of cells of level l that can be allocated from
// the maximal free cells s.
func (s Shape) Available(l Level) int {
	n := 0
	for k := int(l); k < NumLevels; k++ {
		n += s[k] * (levelSlots[k] / levelSlots[l])
	}
	return n
}

// Fragmentation returns the share of the free slots, between 0 and 1, that cannot
// be allocated as cells of level l. It returns 0 when no slot is free.
func (s Shape) Fragmentation(l Level) float64 {
	free := s.Slots()
	if free == 0 {
		return 0
	}
	return 1 - float64(s.Available(l)*l.Slots())/float64(free)
}

// Validate returns an Invalid error when a count is negative or exceeds MaxCells.
func (s Shape) Validate() error {
	for l, c := range s {
		if c < 0 || c > MaxCells {
			return fault.Newf(fault.Invalid, fmt.Sprintf("set the count to a value from 0 to %d", MaxCells),
				"the shape has %d cells of level %s", c, Level(l))
		}
	}
	return nil
}

// String returns the non-zero counts, largest level first.
func (s Shape) String() string {
	var parts []string
	for l := NumLevels - 1; l >= 0; l-- {
		if s[l] != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", s[l], Level(l)))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// MarshalJSON implements json.Marshaler.
func (s Shape) MarshalJSON() ([]byte, error) {
	m := map[string]int{}
	for l, c := range s {
		if c != 0 {
			m[levelNames[l]] = c
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON implements json.Unmarshaler. It returns an Invalid error when b is
// malformed, names an unknown level or has a count that Validate rejects.
func (s *Shape) UnmarshalJSON(b []byte) error {
	m := map[string]int{}
	if err := json.Unmarshal(b, &m); err != nil {
		return fault.Newf(fault.Invalid, `write it as {"rack": 1, "four": 2}`, "malformed shape: %v", err)
	}
	var t Shape
	for name, c := range m {
		l, err := ParseLevel(name)
		if err != nil {
			return err
		}
		t[l] = c
	}
	*s = t
	return s.Validate()
}
