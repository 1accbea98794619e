package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in order. Iterating over them keeps the
// effects deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
