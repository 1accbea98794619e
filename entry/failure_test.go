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

// inWorld runs fn in a bubble with three hosts and eight workers in one data
// centre and two organisations, of which acme is guaranteed four workers.
func inWorld(t *testing.T, fn func(t *testing.T, w *world)) {
	t.Helper()
	inTunedWorld(t, nil, fn)
}

// inFarWorld is inWorld with a second, far data centre.
func inFarWorld(t *testing.T, fn func(t *testing.T, w *world)) {
	t.Helper()
	inWorld(t, func(t *testing.T, w *world) {
		w.addWorkers("b", 8)
		for _, h := range []string{"b-e0", "b-e1", "b-e2"} {
			w.startHost(h, "b")
		}
		require.True(t, w.settled(16), "the world does not settle")
		fn(t, w)
	})
}

// inTunedWorld is inWorld with changed settings. Each world has a bubble and a
// virtual clock of its own, so worlds run beside each other.
func inTunedWorld(t *testing.T, tune func(*Settings), fn func(t *testing.T, w *world)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), t)
		w.tune = tune
		defer w.stop()
		w.addWorkers("a", 8)
		for _, h := range []string{"a-e0", "a-e1", "a-e2"} {
			w.startHost(h, "a")
		}
		require.True(t, w.settled(8), "the world does not settle")
		require.NoError(t, w.organise("a-e0", map[string]rack.Shape{"acme": {rack.LevelWorker: 4}, "lender": {}}))
		fn(t, w)
		// The hosts' broken invariants are collected as they end.
		w.stop()
		require.Empty(t, w.broken)
	})
}

// placerOf returns the placer of the data centre.
func (w *world) placerOf() string {
	for _, n := range w.hostNames() {
		if r := w.host(n); r.View().Placer && !w.isFrozen(r) {
			return n
		}
	}
	return ""
}

// isFrozen reports whether a host is frozen.
func (w *world) isFrozen(r *running) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.frozen != nil
}

// notPlacer returns a host that is not the placer.
func (w *world) notPlacer() string {
	for _, n := range w.hostNames() {
		if !w.host(n).View().Placer {
			return n
		}
	}
	return ""
}

func TestSmallRequest(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r, err := w.submit("a-e1", spec("acme", "assay", "hello", 100), 5*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, "hello", string(r.Output))
	})
}

func TestSmallRequestWhileLogIsDown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(30 * time.Second)
		r, err := w.submit("a-e1", spec("acme", "assay", "hello", 100), 5*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		once := spec("acme", "lease", "bill", 100)
		once.AtMostOnce, once.Key = true, "k"
		_, err = w.submit("a-e1", once, 5*time.Second)
		require.True(t, fault.NothingDone(err), "%v", err)
		w.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		r, err = w.submit("a-e2", once, 5*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
	})
}

func TestPlacerDies(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		s := spec("acme", "plan", "plan", 20_000)
		s.Members, s.Accelerators = 4, 4
		r, err := w.submit(w.notPlacer(), s, 0)
		require.NoError(t, err)
		require.True(t, w.until(5*time.Second, func() bool { return w.host(w.placerOf()).View().JobsPlaced == 1 }))
		old := w.placerOf()
		began := time.Now()
		w.killHost(old)
		require.True(t, w.until(20*time.Second, func() bool { return w.placerOf() != "" }))
		t.Logf("take-over after %s", time.Since(began))
		r, err = w.ask(w.notPlacer(), r.Job, 60*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		for _, wk := range w.workers {
			for _, run := range wk.History() {
				require.Contains(t, run.Task, "/1/", "the gang ran again on %s", wk.Name)
			}
		}
	})
}

func TestPlacerFrozen(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		s := spec("acme", "plan", "plan", 60_000)
		s.Members, s.Accelerators = 4, 4
		r, err := w.submit(w.notPlacer(), s, 0)
		require.NoError(t, err)
		old := w.placerOf()
		time.Sleep(2 * time.Second)
		w.freeze(old, 25*time.Second)
		require.True(t, w.until(20*time.Second, func() bool { return w.placerOf() != "" && w.placerOf() != old }))
		time.Sleep(30 * time.Second)
		require.Equal(t, 1, w.placers(), "two placers after the thaw")
		r, err = w.ask(w.notPlacer(), r.Job, 60*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
	})
}

// placers returns the number of hosts that believe to be the placer.
func (w *world) placers() int {
	n := 0
	for _, h := range w.hostNames() {
		if w.host(h).View().Placer {
			n++
		}
	}
	return n
}
