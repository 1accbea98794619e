package foreman

import (
	"cmp"

	"github.com/limpetrelay/limpetrelay/internal/yard/order"
)

// compareNames orders task names.
func compareNames(a, b order.Name) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index))
}
