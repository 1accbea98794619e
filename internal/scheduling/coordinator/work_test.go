package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Guards against what is learned of a job's steps staying in memory: for each of up to 100,000
// occurrences until the job ends, and for each job from its end until it is forgotten.
func TestWorkIsDroppedAtTheEnd(t *testing.T) {
	j := &job{id: "j", spec: &jobspec.Spec{Occurrences: 3, Steps: []jobspec.Step{{Tasks: 1}}}, progress: &jobspec.Progress{
		State: jobspec.Running, Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Done}}}, {{{Phase: jobspec.Placed}}}},
	}}
	s := &State{now: 5000, jobs: map[string]*job{"j": j}}
	late, open := &attempt{unit: &unit{job: j}}, &attempt{unit: &unit{job: j, occurrence: 1}}
	for _, a := range []*attempt{late, open} {
		a.w = new(worker)
		a.segmentAt = 1000
		j.workOf(a.unit)
	}
	s.endJobIfDone(j)
	assert.Len(t, j.work, 1, "one occurrence is done")
	s.observeProgress(late, 50, 5000)
	assert.Len(t, j.work, 1, "a duplicate still runs in the occurrence that is done")
	j.room = map[jobspec.TaskID]roomSeen{stepID(j, 1, 0): {}}
	s.endJob(j, jobspec.Cancelled, "cancelled")
	s.observeProgress(open, 50, 5000)
	assert.Empty(t, j.work, "the job has ended, and its last run is being stopped")
	assert.Empty(t, j.room)
}
