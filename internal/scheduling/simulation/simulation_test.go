package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// job returns a job of priority 1 whose only step has the given number of tasks. Each takes half of a
// worker.
func job(tasks int, gang bool) jobspec.Spec {
	return jobspec.Spec{
		ID: "job", Route: "r", Service: "service", Priority: 1, MaxAttempts: 3, Stretch: 2, Slack: 1000,
		Steps: []jobspec.Step{{
			Tasks: tasks, Need: jobspec.Resources{Cores: 10_000, Accelerators: 4}, Estimate: 4000, Gang: gang, MaxPerWorker: 1,
		}},
	}
}

// scenario returns a scenario of n workers with one job.
func scenario(n int, a Arrival) Scenario {
	c := &queueconfig.Configuration{Version: 1, Services: map[string]*queueconfig.Service{"service": {Name: "service", RejectsOverload: true}}}
	c.Index()
	a.At = 1000
	return Scenario{Workers: n, Configuration: c, Jobs: []Arrival{a}}
}

// play runs a scenario until its job has ended and returns the job's result.
func play(t *testing.T, p Scenario) Result {
	t.Helper()
	c := New(p)
	c.RunUntilEnded(60_000)
	require.Empty(t, c.Violations)
	require.Equal(t, jobspec.Completed, c.Results()[0].State)
	return c.Results()[0]
}

// overhead bounds how much longer than its tasks run a job may take in these tests, in milliseconds:
// a few messages, and a poll after the end of a task.
const overhead = 300

// requireTook requires that a job of a scenario takes want milliseconds.
func requireTook(t *testing.T, p Scenario, want int64) {
	t.Helper()
	r := play(t, p)
	require.GreaterOrEqual(t, r.Took, want, "%+v", r)
	require.Less(t, r.Took, want+overhead, "%+v", r)
}

// Guards against gangs that end with their fastest member, and against tasks that ignore the pace of
// their worker.
func TestPaces(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		gang  bool
		paces []float64
		want  int64
	}{
		{"without paces", 2, true, nil, 4000},
		{"one task on a fast worker", 1, false, []float64{0.6}, 2400},
		{"gang with a slow member", 2, true, []float64{0.6, 1.6}, 6400},
		{"tasks on their own", 2, false, []float64{0.6, 1.6}, 6400},
	} {
		p := scenario(c.tasks, Arrival{Spec: job(c.tasks, c.gang)})
		p.Paces = c.paces
		t.Run(c.name, func(t *testing.T) { requireTook(t, p, c.want) })
	}
}

// Guards against run times that are the same for all tasks. A gang must last as long as the longest
// of them.
func TestTaskRunTimes(t *testing.T) {
	for _, gang := range []bool{false, true} {
		requireTook(t, scenario(3, Arrival{Spec: job(3, gang), RunTime: 1000, TaskRunTimes: []int64{500, 7000}}), 7000)
	}
}

// Guards against workers that stay cold or are never so: of the 4 s of work of a gang, 2 s are done in
// the 3 s for which one worker is cold.
func TestColdWorkers(t *testing.T) {
	p := scenario(2, Arrival{Spec: job(2, true)})
	p.Faults = []Fault{{At: 2000, Duration: 3000, Kind: Cold, Workers: []string{"w000"}}}
	requireTook(t, p, 5000)
	cluster := New(p)
	for _, c := range []struct{ at, want int64 }{{1900, 0}, {2001, 3000}, {6000, 0}} {
		cluster.Run(c.at)
		assert.InDelta(t, c.want, cluster.worker("w000").entry.ColdLeft, 1, "at %d ms", c.at)
	}
}
