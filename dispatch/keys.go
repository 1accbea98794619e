package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in order, so that no map order reaches the
// effects.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
