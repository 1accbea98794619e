package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/estimate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
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
	j.placementAttempts = map[jobspec.TaskID]placementAttempt{stepID(j, 0, 0): {}}
	s.endJobIfDone(j)
	assert.Len(t, j.work, 1, "one occurrence is done")
	s.observeProgress(late, 50, 5000)
	assert.Len(t, j.work, 1, "a duplicate still runs in the occurrence that is done")
	j.room = map[jobspec.TaskID]roomSeen{stepID(j, 1, 0): {}}
	assert.Empty(t, j.placementAttempts)
	s.endJob(j, jobspec.Cancelled, "cancelled")
	s.observeProgress(open, 50, 5000)
	assert.Empty(t, j.work, "the job has ended, and its last run is being stopped")
	assert.Empty(t, j.room)
}

// Guards against a record of paces that lacks the workers which are not in the directory at the time: the
// next coordinator would not know their paces, although they return after a short absence.
func TestPacesOfAbsentWorkersAreRecorded(t *testing.T) {
	s := &State{workers: make(map[string]*worker), RecordedPaces: jobstate.Paces{"w": {32, 64}}}
	w := s.workerFor("w")
	assert.Positive(t, w.pace.Class())
	var r Record
	s.recordPacePart(&r, pacePart("w"))
	next := make(jobstate.Paces)
	for _, d := range r.Details {
		require.NoError(t, next.Apply(d))
	}
	p := estimate.DecodePace(next["w"])
	assert.Equal(t, w.pace.Class(), p.Class())
}

// Guards against a new coordinator that takes the slow progress of a gang on several racks for that of a
// long job or of slow workers: the racks are known only once the workers are listed.
func TestSpreadGangIsKnownAfterATakeover(t *testing.T) {
	for _, racks := range [][]string{{"r1", "r1", "r2"}, {"r1", "r1", "r1"}} {
		s := &State{workers: make(map[string]*worker), Settings: Settings{RemoteFactor: 3}}
		j := &job{id: "j", spec: &jobspec.Spec{Steps: []jobspec.Step{{Tasks: 3, Gang: true, SameRack: true}}}, progress: new(jobspec.Progress)}
		var tasks []jobspec.Task
		for _, id := range []string{"w0", "w1", "w2"} {
			tasks = append(tasks, jobspec.Task{Phase: jobspec.Placed, Run: 1, Worker: id, Lifetime: 1})
		}
		s.restoreAttempts(j, 0, 0, tasks)
		for i, rack := range racks {
			s.workerListed(&placement.Listing{ID: tasks[i].Worker, Lifetime: 1, Labels: []string{rack}})
		}
		want := 1.0
		if racks[2] != racks[0] {
			want = 3
		}
		for a := range j.attempts {
			assert.InDelta(t, want, s.remoteFactor(a), 0, "%v, on %s", racks, a.w.ID)
		}
	}
}

// Guards against a wait that is too short after a takeover: the next steps of jobs that had begun under
// the last coordinator, and occurrences of periodic jobs, do not show that their queue drains.
func TestOnlyWaitingJobsBegin(t *testing.T) {
	for want, p := range []jobspec.Progress{{State: jobspec.Running}, {State: jobspec.Queued}} {
		s := &State{now: 5000, workers: make(map[string]*worker)}
		p.Occurrences = jobspec.Occurrences{{{{}}}}
		j := &job{id: "j", spec: &jobspec.Spec{Route: "r", Priority: 1, Steps: []jobspec.Step{{Tasks: 1}}}, progress: &p}
		pool := &candidatePool{workers: []*worker{s.workerFor("w")}, candidates: make([]placement.Candidate, 1)}
		s.commitPlacement(&request{job: j, indices: []int{0}}, pool, []int{0}, []int{0}, nil)
		assert.Len(t, s.drains, want, "%+v", p)
	}
}

// Guards against a gang that is refused fast workers because another gang, which may cost others less, was
// refused them in the same pass.
func TestRefusalForItsCostCoversNoDearerRequest(t *testing.T) {
	j := &job{id: "j", spec: &jobspec.Spec{Steps: []jobspec.Step{{Tasks: 2, Gang: true}}}}
	pool := new(candidatePool)
	limited := func(cost float64) *request { return &request{job: j, limited: true, maxStopCost: cost} }
	for _, method := range []placementMethod{preemptRack, preemptSpread} {
		pool.refuse(limited(10), method, 2)
		assert.True(t, pool.refused(limited(10), method, 2))
		assert.True(t, pool.refused(limited(5), method, 2))
		assert.False(t, pool.refused(limited(20), method, 2))
		assert.False(t, pool.refused(limited(0), method, 2), "at any cost")
	}
	pool.refuse(limited(0), preemptRack, 2)
	assert.True(t, pool.refused(limited(20), preemptRack, 2))
}
