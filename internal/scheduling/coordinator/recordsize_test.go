package coordinator_test

import (
	"fmt"
	"maps"

	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// maxRecord is the largest record that the platform's store accepts, in bytes.
const maxRecord = 262_144

// checkpointOf returns a checkpoint of n bytes for a task.
func checkpointOf(index, n int) string { return fmt.Sprintf("%0*d", n, index) }

// lapse has all runs of the job b on w, which were started, end with checkpoints of n bytes.
func (x *exchange) lapse(tasks, run, n int) {
	for i := range tasks {
		x.ended = append(x.ended, placement.End{
			Number: int64((run-1)*tasks + i + 1), Task: jobspec.TaskID{Job: "b", Index: i}, Run: run,
			Outcome: placement.EndLeaseExpired, Checkpoint: checkpointOf(i, n),
		})
	}
	x.wait(100)
	x.answerPolls("w", 500)
	x.wait(100)
}

// answerStarts answers all start orders since the first n, and returns the number of all.
func (x *exchange) answerStarts(n int) int {
	for _, s := range x.starts[n:] {
		x.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
			Worker: "w", Address: "w", Task: s.Order.Task, Run: s.Order.Run, Reply: placement.Reply{Verdict: placement.Executed, Clock: x.now - 500},
		}})
	}
	return len(x.starts)
}

// checkpointedJob returns the job b of many small tasks that save their progress.
func checkpointedJob(tasks int) jobspec.Spec {
	spec := batch("b", tasks, 30_000)
	spec.Steps[0].Need, spec.Steps[0].Checkpoints = jobspec.Resources{Cores: 10, Memory: 10}, true
	return spec
}

// Review 7 (LOST): the progress of a job with many long checkpoints exceeded what a record may hold. The
// store refused it for good, and no task of any job started any more.
func TestManyCheckpointsFitIntoRecords(t *testing.T) {
	const tasks, size = 600, 600
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	spec := checkpointedJob(tasks)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	x.wait(500)
	require.Len(t, x.starts, tasks)
	n := x.answerStarts(0)
	x.lapse(tasks, 1, size)
	x.wait(500)
	assert.LessOrEqual(t, x.largestRecord, maxRecord)
	require.Len(t, x.starts, 2*tasks)
	for _, s := range x.starts[n:] {
		require.Equal(t, checkpointOf(s.Order.Task.Index, size), s.Order.Checkpoint)
	}
}

// A successor must go on from the checkpoints that were recorded in parts, and parts must leave the store with
// their job.
func TestSuccessorReadsCheckpointsInParts(t *testing.T) {
	const tasks, size = 200, 4000
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	spec := checkpointedJob(tasks)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	x.wait(500)
	x.answerStarts(0)
	x.list("w", 500, true)
	x.lapse(tasks, 1, size)
	require.NotEmpty(t, x.checkpoints["b"])
	require.Empty(t, x.details["b"].Occurrences[0][0][7].Checkpoint)

	y := &exchange{T: t, now: x.now, state: coordinator.State{Term: 9, RecordedCheckpoints: x.checkpoints}, checkpoints: maps.Clone(x.checkpoints)}
	table := jobstate.Table{Jobs: map[string]*jobstate.Job{"b": {Spec: &spec}}}
	y.collect(y.state.Start(y.now, y.now, &table, x.details, configuration(0), true))
	y.list("w", 500, false)
	y.answerPolls("w", 500)
	y.wait(500)
	require.Len(t, y.starts, tasks)
	for _, s := range y.starts {
		require.Equal(t, checkpointOf(s.Order.Task.Index, size), s.Order.Checkpoint)
	}
	y.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec, Cancelled: true}})
	y.wait(1000)
	assert.Empty(t, y.checkpoints["b"])
}

// The record of the largest job must be within the limit, whatever its tasks went through, and a part is only
// written when it has changed.
func TestLargestProgressFitsIntoRecords(t *testing.T) {
	p := &jobspec.Progress{State: jobspec.Running, Term: 1 << 40, Occurrences: jobspec.Occurrences{{make([]jobspec.Task, jobspec.MaxTasks)}}}
	for i := range p.Occurrences[0][0] {
		p.Occurrences[0][0][i] = jobspec.Task{
			Phase: jobspec.Placed, Run: 1000 + i, Failures: 100, Worker: fmt.Sprintf("i-%08x", i), Lifetime: 1 << 42, Checkpoint: checkpointOf(i, jobspec.MaxCheckpointBytes),
		}
	}
	for i := range jobspec.MaxAbandoned {
		p.Abandoned = append(p.Abandoned, jobspec.Run{Occurrence: 1000, Step: 100, Index: i, Number: 10_000})
	}
	d, err := jobstate.DetailRecord("0123456789abcdef", jobstate.WithoutCheckpoints(p))
	require.NoError(t, err)
	assert.LessOrEqual(t, d.Size(), maxRecord)
	parts, err := jobstate.PartsOf("0123456789abcdef", p.Occurrences, maxRecord)
	require.NoError(t, err)
	for key, b := range parts {
		r := jobstate.Record{Key: key, Value: b}
		require.LessOrEqual(t, r.Size(), maxRecord)
	}
	q := jobstate.WithoutCheckpoints(p)
	require.NoError(t, parts.Restore(q))
	assert.Equal(t, p, q)
	_, err = jobstate.PartsOf("0123456789abcdef", p.Occurrences, 4000)
	require.Error(t, err, "a record that holds no checkpoint")
}

// A job whose record the store does not accept fails, and its tasks must not start: the next coordinator would
// not know of them. All other jobs go on.
func TestJobWithARefusedRecordFails(t *testing.T) {
	x := newExchange(t)
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	x.holdRecords = true
	x.submit()
	x.holdRecords = false
	x.apply(coordinator.Event{Recorded: &coordinator.Recorded{Batch: x.held, SentAt: x.now, Refused: []string{"tb"}}})
	spec := batch("c", 1, 1000)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	x.wait(1000)
	assert.Equal(t, jobspec.Failed, x.shown())
	require.Len(t, x.starts, 1)
	assert.Equal(t, "c", x.starts[0].Order.Task.Job)
}

// A job that lapses over and over keeps a bounded number of abandoned runs.
func TestAbandonedRunsAreBounded(t *testing.T) {
	p := simulation.Scenario{Workers: 2, Configuration: configuration(0), Jobs: []simulation.Arrival{{At: 500, Spec: checkpointedJob(1500)}}}
	p.Faults = []simulation.Fault{{At: 2500, Duration: 60_000, Kind: simulation.Partition, Count: 2}}
	w := simulation.New(p)
	w.Run(30_000)
	require.Empty(t, w.Violations)
	assert.LessOrEqual(t, w.MostAbandoned, jobspec.MaxAbandoned)
	assert.Positive(t, w.MostAbandoned)
}

// A job whose progress fits into no record fails, with the reason in the log, and the others go on.
func TestJobTooLargeForARecordFails(t *testing.T) {
	spec, p := checkpointedJob(jobspec.MaxTasks), &jobspec.Progress{State: jobspec.Queued, Occurrences: jobspec.Occurrences{{make([]jobspec.Task, jobspec.MaxTasks)}}}
	for i := range p.Occurrences[0][0] {
		p.Occurrences[0][0][i].Run = i
	}
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7, Settings: coordinator.Settings{MaxRecordBytes: 8192}}}
	table := jobstate.Table{Jobs: map[string]*jobstate.Job{"b": {Spec: &spec}}}
	x.collect(x.state.Start(x.now, x.now, &table, jobstate.Details{"b": p}, configuration(0), true))
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	other := batch("c", 1, 1000)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &other}})
	x.wait(1000)
	assert.Equal(t, jobspec.Failed, x.shown())
	assert.LessOrEqual(t, x.largestRecord, 8192)
	require.Len(t, x.starts, 1)
	assert.Equal(t, "c", x.starts[0].Order.Task.Job)
}
