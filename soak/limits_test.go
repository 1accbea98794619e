package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// Guards against tasks that start again after they are done (review 6): more runs end on a worker
// during an outage of the store than it lists at once, 500.
func TestEndsBeyondAFullList(t *testing.T) {
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runFullList(t, seed) })
	}
}

func runFullList(t *testing.T, seed uint64) {
	const tasks, runTime = 1100, 3000
	r := rand.New(rand.NewPCG(seed, 5))
	c := newCluster(t, simulation.Scenario{Seed: seed, Workers: 1}, 3)
	for _, h := range c.hosts {
		require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "%s did not become ready", h.name)
	}
	l := newLoadGenerator(c, seed)
	j := &submittedJob{id: fmt.Sprintf("%016x", seed), prefix: "/batch/", key: c.keys[0]}
	l.jobs = []*submittedJob{j}
	spec := jobspec.Spec{ID: j.id, MaxAttempts: 4, Steps: []jobspec.Step{{
		Tasks: tasks, Estimate: runTime, Need: jobspec.Resources{Cores: 50, Memory: 64},
	}}}
	c.workers.AddJob(&spec, runTime, false)
	client := &http.Client{Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	status, _ := l.call(client, r, http.MethodPost, j, body(&spec))
	require.Equal(t, http.StatusOK, status)
	l.accept(j)
	starts := func() int {
		n, _ := c.workers.Starts(j.id)
		return n
	}
	require.Eventually(t, func() bool { return starts() == tasks }, 20*time.Second, 20*time.Millisecond, "not all tasks have started")
	time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	c.store.SetDown(true)
	time.Sleep(time.Duration(3500+r.IntN(2000)) * time.Millisecond)
	c.store.SetDown(false)
	l.settle()
	assert.Equal(t, tasks, starts(), "a task has started again")
	assert.Empty(t, c.workers.Violations(), "violations observed by workers")
	assert.Empty(t, l.reportedViolations(), "violations observed by callers")
}
