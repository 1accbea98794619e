package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/standin"
)

// inSimulation runs fn in a simulation with three hosts and eight workers in one
// data centre. There are two organisations: acme, with a guarantee of four workers,
// and lender, without one.
func inSimulation(t *testing.T, fn func(t *testing.T, sim *simulation)) {
	t.Helper()
	inTunedSimulation(t, nil, fn)
}

// inTwoDataCentres is inSimulation with a second data centre, b, of three hosts and
// eight workers.
func inTwoDataCentres(t *testing.T, fn func(t *testing.T, sim *simulation)) {
	t.Helper()
	inSimulation(t, func(t *testing.T, sim *simulation) {
		sim.addWorkers("b", 8)
		for _, h := range []string{"b-e0", "b-e1", "b-e2"} {
			sim.startHost(h, "b")
		}
		require.True(t, sim.waitUntilReady(16), "not all hosts became ready")
		fn(t, sim)
	})
}

// inTunedSimulation is inSimulation with settings changed by tune, which may be nil.
// Each simulation has its own bubble and virtual clock, so tests run in parallel.
func inTunedSimulation(t *testing.T, tune func(*Settings), fn func(t *testing.T, sim *simulation)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), t)
		sim.tune = tune
		defer sim.stop()
		sim.addWorkers("a", 8)
		for _, h := range []string{"a-e0", "a-e1", "a-e2"} {
			sim.startHost(h, "a")
		}
		require.True(t, sim.waitUntilReady(8), "not all hosts became ready")
		require.NoError(t, sim.createOrganisations("a-e0", map[string]rack.Shape{"acme": {rack.LevelWorker: 4}, "lender": {}}))
		fn(t, sim)
		// Violations of invariants are recorded when the hosts end.
		sim.stop()
		require.Empty(t, sim.violations)
	})
}

// activePlacer returns a host that is placer and not frozen, or an empty string.
func (sim *simulation) activePlacer() string {
	for _, n := range sim.hostNames() {
		if r := sim.host(n); r.View().Placer && !sim.isFrozen(r) {
			return n
		}
	}
	return ""
}

// isFrozen reports whether a host is frozen.
func (sim *simulation) isFrozen(r *runningHost) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return r.thawed != nil
}

// follower returns a host that is not a placer, or an empty string.
func (sim *simulation) follower() string {
	for _, n := range sim.hostNames() {
		if !sim.host(n).View().Placer {
			return n
		}
	}
	return ""
}

func TestSmallRequest(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		r, err := sim.submit("a-e1", spec("acme", "assay", "hello", 100), 5*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, "hello", string(r.Output))
	})
}

func TestSmallRequestWhileLogIsDown(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		sim.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(30 * time.Second)
		r, err := sim.submit("a-e1", spec("acme", "assay", "hello", 100), 5*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		once := spec("acme", "lease", "bill", 100)
		once.AtMostOnce, once.Key = true, "k"
		_, err = sim.submit("a-e1", once, 5*time.Second)
		require.True(t, fault.NothingDone(err), "%v", err)
		sim.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		r, err = sim.submit("a-e2", once, 5*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
	})
}

func TestPlacerDies(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		s := spec("acme", "plan", "plan", 20_000)
		s.Members, s.Accelerators = 4, 4
		r, err := sim.submit(sim.follower(), s, 0)
		require.NoError(t, err)
		require.True(t, sim.waitUntil(5*time.Second, func() bool { return sim.host(sim.activePlacer()).View().Placed == 1 }))
		old := sim.activePlacer()
		killedAt := time.Now()
		sim.killHost(old)
		require.True(t, sim.waitUntil(20*time.Second, func() bool { return sim.activePlacer() != "" }))
		t.Logf("takeover after %s", time.Since(killedAt))
		r, err = sim.waitForJob(sim.follower(), r.Job, 60*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		for _, wk := range sim.workers {
			for _, run := range wk.History() {
				require.Contains(t, run.Task, "/1/", "the gang ran again on %s", wk.Name)
			}
		}
	})
}

func TestPlacerFrozen(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		s := spec("acme", "plan", "plan", 60_000)
		s.Members, s.Accelerators = 4, 4
		r, err := sim.submit(sim.follower(), s, 0)
		require.NoError(t, err)
		old := sim.activePlacer()
		time.Sleep(2 * time.Second)
		sim.freeze(old, 25*time.Second)
		require.True(t, sim.waitUntil(20*time.Second, func() bool { return sim.activePlacer() != "" && sim.activePlacer() != old }))
		time.Sleep(30 * time.Second)
		require.Equal(t, 1, sim.placers(), "two placers after the thaw")
		r, err = sim.waitForJob(sim.follower(), r.Job, 60*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
	})
}

// placers returns the number of hosts that consider themselves the placer.
func (sim *simulation) placers() int {
	n := 0
	for _, h := range sim.hostNames() {
		if sim.host(h).View().Placer {
			n++
		}
	}
	return n
}
