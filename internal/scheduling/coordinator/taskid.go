package coordinator

import (
	"cmp"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// compareTaskIDs orders task IDs by job, occurrence, step and index.
func compareTaskIDs(a, b jobspec.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index))
}
