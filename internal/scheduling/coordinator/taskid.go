package coordinator

import (
	"cmp"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// compareNames orders task names.
func compareTaskIDs(a, b jobspec.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index))
}
