package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// After a takeover, the coordinator may know of runs on workers without a directory entry.
// It has no address to send orders to until the entry is back.
func TestNoOrdersWithoutAnAddress(t *testing.T) {
	spec := batch("b", 1, 1000)
	placed := jobspec.Progress{
		State: jobspec.Running, Started: true,
		Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Placed, Run: 1, Worker: "w", Lifetime: 5}}}},
	}
	b := jobstate.Table{Jobs: map[string]*jobstate.Job{"b": {Spec: &spec, Progress: &placed}}}
	s := coordinator.State{Term: 7}
	s.Start(1000, 1000, &b, jobstate.Details{"b": &placed}, configuration(0), true)
	targets := func(es []coordinator.Effect) (addresses []string) {
		for i := range es {
			if es[i].Stop != nil {
				addresses = append(addresses, es[i].Stop.Target.Address)
			}
		}
		return addresses
	}
	es := s.Apply(&coordinator.Event{Now: 1010, Job: &coordinator.JobChanged{Spec: &spec, Cancelled: true}})
	for now := int64(1050); now < 4000; now += 50 {
		es = append(es, s.Apply(&coordinator.Event{Now: now})...)
	}
	assert.Empty(t, targets(es))
	es = s.Apply(&coordinator.Event{Now: 4010, Listed: &placement.Listing{ID: "w", Lifetime: 5, Address: "10.0.0.1:1", Service: service}})
	for now := int64(4050); now < 5000; now += 50 {
		es = append(es, s.Apply(&coordinator.Event{Now: now})...)
	}
	assert.Contains(t, targets(es), "10.0.0.1:1")
}

// The records of ended jobs are read again when the store has dropped its history. No
// job must be reopened or recorded again.
func TestOutlineIsNoNewJob(t *testing.T) {
	spec := batch("b", 1, 1000)
	summary, err := spec.Summary()
	require.NoError(t, err)
	s := coordinator.State{Term: 7}
	s.Start(1000, 1000, &jobstate.Table{}, jobstate.Details{}, configuration(0), true)
	s.Apply(&coordinator.Event{Now: 1010, Job: &coordinator.JobChanged{Spec: &summary}})
	open, _, _ := s.Counts()
	assert.Zero(t, open)
	for _, e := range s.Apply(&coordinator.Event{Now: 2000}) {
		if e.Record != nil {
			assert.Len(t, e.Record.Records, 1, "only a renewal")
		}
	}
}

// A member of a gang must not be started after a takeover when other members of its run have
// ended: it would wait in vain, and the next run would wait for it.
func TestBrokenGangIsNotStartedAfterATakeover(t *testing.T) {
	spec := gang("g", 2, 1, 5000, 1)
	placed := jobspec.Progress{
		State: jobspec.Running, Started: true,
		Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Placed, Run: 1, Worker: "w", Lifetime: 500}, {Run: 1}}}},
	}
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
	b := jobstate.Table{Jobs: map[string]*jobstate.Job{"g": {Spec: &spec, Progress: &placed}}}
	x.collect(x.state.Start(x.now, x.now, &b, jobstate.Details{"g": &placed}, configuration(0), true))
	x.list("w", 500, false)
	x.answerPolls("w", 500)
	x.wait(1000)
	assert.Empty(t, x.starts)
	assert.Positive(t, x.answerStops(x.now-500))
	x.wait(100)
	x.answerPolls("w", 500)
	x.wait(500)
	x.answerPolls("w", 500)
	x.wait(500)
	require.Len(t, x.starts, 2)
	assert.Equal(t, 2, x.starts[0].Order.Run)
}

// A job whose record is read after its details must go on with them: without them its tasks
// would start again, with run 1, beside the runs that go on.
func TestDetailsAreKeptUntilTheirJobIsRead(t *testing.T) {
	spec := batch("b", 1, 30_000)
	placed := &jobspec.Progress{
		State: jobspec.Running, Started: true,
		Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Placed, Run: 3, Worker: "w", Lifetime: 500}}}},
	}
	x := &exchange{T: t, now: 1000, state: coordinator.State{Term: 7}}
	x.collect(x.state.Start(x.now, x.now, &jobstate.Table{}, jobstate.Details{"b": placed}, configuration(0), true))
	x.list("v", 600, false)
	x.answerPolls("v", 600)
	x.wait(100)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec}})
	x.wait(500)
	assert.False(t, x.startedElsewhere())
}

// A stop that an earlier lifetime of the worker has executed must be repeated if the next one lists the run:
// a late order of the predecessor has started it there. The run of a cancelled job would go on.
func TestStopIsRepeatedAfterARestart(t *testing.T) {
	x := newSuccessor(t)
	x.list("w", lifetime, false)
	spec, run := batch("b", 1, 30_000), placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1}
	x.answerPolls("w", lifetime, run)
	x.apply(coordinator.Event{Job: &coordinator.JobChanged{Spec: &spec, Cancelled: true}})
	require.Positive(t, x.answerStops(x.now-lifetime))
	restart := x.now + 20
	x.now += 50
	x.list("w", restart, false)
	stops := 0
	for range 20 {
		x.wait(100)
		x.answerPolls("w", restart, run)
		stops += x.answerStops(x.now - restart)
	}
	assert.Positive(t, stops)
}
