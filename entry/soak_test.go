package entry

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/limpetrelay/limpetrelay/internal/testing/fixedseed"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/standin"
)

// soakFor is the virtual time under faults of one randomised run.
var soakFor = flag.Duration("soak.for", 4*time.Minute, "virtual time under faults of one randomised run")

func TestMain(m *testing.M) {
	fixedseed.Set("3")
	os.Exit(m.Run())
}

// step is one fault of a randomised run.
type step struct {
	// After is the time since the step before.
	After time.Duration
	Fault string
	// Pick chooses the target, Long how long the fault lasts.
	Pick int
	Long time.Duration
}

// faults are the faults that a randomised run draws from.
var faults = []string{
	"killHost", "killPlacer", "freezeHost", "freezePlacer", "killAllHosts",
	"killWorker", "silentWorker", "loseWorkerAnswers", "failAllWorker", "leaveWorker", "unlistWorker",
	"logDown", "logLosesAnswers", "logLateAnswers", "logSlow", "listDown",
	"cutDataCentre", "cutDataCentreOneWay", "cutHostFromLog", "cutHostFromWorker", "cutHosts",
	"cutHostToLog", "cutLogToHost", "cutHostToWorker", "cutWorkerToHost", "cutHostsOneWay",
	"loseHost", "jumpClock",
	"rollHosts", "cancelWave", "racePatches", "closeDataCentre",
}

const (
	// worldsPerCheck is the number of worlds that run beside each other in one
	// check, each with its own script.
	worldsPerCheck = 4
	// mostSkew bounds the error of a host's wall clock.
	mostSkew = 10 * time.Second
)

// drawScript draws the faults of one run.
func drawScript(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			After: time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "after")) * time.Millisecond,
			Fault: rapid.SampledFrom(faults).Draw(rt, "fault"),
			Pick:  rapid.IntRange(0, 1000).Draw(rt, "pick"),
			Long:  time.Duration(rapid.IntRange(500, 40_000).Draw(rt, "long")) * time.Millisecond,
		}
	}), 5, 40).Draw(rt, "script")
}

// TestSoak runs the whole system under random faults and judges it by the
// workers' own histories. Its drivers assert the invariants of the ledger.
func TestSoak(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var scripts [worldsPerCheck][]step
		var seeds [worldsPerCheck]uint64
		var found [worldsPerCheck][]string
		for i := range worldsPerCheck {
			scripts[i], seeds[i] = drawScript(rt), rapid.Uint64().Draw(rt, "seed")
		}
		t.Run("check", func(t *testing.T) {
			for i := range worldsPerCheck {
				t.Run(fmt.Sprint("world", i), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { found[i] = soak(t, scripts[i], seeds[i], *soakFor) })
				})
			}
		})
		for i, f := range found {
			if len(f) > 0 {
				rt.Fatalf("world %d: %s", i, strings.Join(f, "\n"))
			}
		}
	})
}

// soak runs one world and returns what was wrong.
func soak(t *testing.T, script []step, seed uint64, long time.Duration) []string {
	t.Helper()
	w := newWorld(t.Context(), t)
	w.tune = func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 60, 20*time.Second }
	w.log.Retention = 3 * time.Minute
	rnd := rand.New(rand.NewPCG(seed, 9))
	for _, n := range []string{"a-e0", "a-e1", "a-e2", "b-e0", "b-e1", "b-e2"} {
		w.skew[n] = time.Duration(rnd.Int64N(int64(2*mostSkew))) - mostSkew
	}
	for _, dc := range []string{"a", "b"} {
		w.addWorkers(dc, 8)
		for i := range 3 {
			w.startHost(fmt.Sprintf("%s-e%d", dc, i), dc)
		}
	}
	if !w.settled(16) {
		w.stop()
		return []string{"the world does not settle"}
	}
	if err := w.organise("a-e0", map[string]rack.Shape{"acme": {rack.LevelWorker: 4}, "lender": {rack.LevelWorker: 1}}); err != nil {
		w.stop()
		return []string{err.Error()}
	}
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	callers := newCallers(w, seed)
	callers.start(ctx, 8)
	w.run(ctx, script, seed)
	<-ctx.Done()
	callers.wait()
	w.heal()
	judge := &judge{w: w, callers: callers}
	judge.run()
	t.Log(judge.summary())
	w.stop()
	judge.faults = append(judge.faults, w.broken...)
	return judge.faults
}

// run carries out a script of faults.
func (w *world) run(ctx context.Context, script []step, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, s := range script {
		retry.Pause(ctx, s.After)
		if ctx.Err() != nil {
			return
		}
		w.inject(ctx, s, rnd)
	}
}

// later undoes a fault after a while.
func (w *world) later(ctx context.Context, d time.Duration, undo func()) {
	go func() {
		retry.Pause(ctx, d)
		undo()
	}()
}

// inject causes one fault and has it undone later.
func (w *world) inject(ctx context.Context, s step, rnd *rand.Rand) {
	hosts := []string{"a-e0", "a-e1", "a-e2", "b-e0", "b-e1", "b-e2"}
	host := hosts[s.Pick%len(hosts)]
	dc := []string{"a", "b"}[s.Pick%2]
	worker := fmt.Sprintf("%s-w%d", dc, s.Pick/2%8)
	wk := w.workers[worker]
	switch s.Fault {
	case "killHost":
		w.bounce(ctx, host, s.Long)
	case "killPlacer":
		w.bounce(ctx, w.leader(dc), s.Long)
	case "freezeHost":
		w.freeze(host, s.Long)
	case "freezePlacer":
		w.freeze(w.leader(dc), s.Long)
	case "killAllHosts":
		for i := range 3 {
			w.bounce(ctx, fmt.Sprintf("%s-e%d", dc, i), s.Long/4)
		}
	case "killWorker":
		wk.Kill()
		n := rnd.Uint64()
		w.later(ctx, s.Long, func() { wk.Restart(fmt.Sprintf("%s.%d", worker, n)) })
	case "silentWorker":
		wk.SetFaults(standin.WorkerFaults{Silent: true})
		w.later(ctx, s.Long, func() { wk.SetFaults(standin.WorkerFaults{}) })
	case "loseWorkerAnswers":
		wk.SetFaults(standin.WorkerFaults{LoseAnswers: true})
		w.later(ctx, s.Long/4, func() { wk.SetFaults(standin.WorkerFaults{}) })
	case "failAllWorker":
		wk.SetFaults(standin.WorkerFaults{FailAll: true})
		w.later(ctx, s.Long, func() { wk.SetFaults(standin.WorkerFaults{}) })
	case "leaveWorker":
		wk.SetLeaving(true)
		w.later(ctx, s.Long, func() { wk.SetLeaving(false) })
	case "unlistWorker":
		w.dir.Remove(worker)
		w.later(ctx, s.Long, func() { w.listWorker(worker, dc) })
	case "listDown":
		w.dir.SetDown(true)
		w.later(ctx, s.Long, func() { w.dir.SetDown(false) })
	case "loseHost":
		w.freeze(host, s.Long)
		w.later(ctx, s.Long/2, func() { w.bounce(ctx, host, s.Long/2) })
	case "jumpClock":
		w.setSkew(host, time.Duration(rnd.Int64N(int64(2*mostSkew)))-mostSkew)
	case "rollHosts":
		go w.roll(ctx, hosts)
	case "cancelWave":
		go w.cancelWave(ctx, host)
	case "racePatches":
		go w.racePatches(s.Pick)
	case "closeDataCentre":
		go func() {
			w.setClosed(dc, true)
			retry.Pause(ctx, s.Long)
			w.setClosed(dc, false)
		}()
	default:
		w.injectLog(ctx, s, host, dc, worker)
	}
}

// injectLog causes the faults of the log and of the network.
func (w *world) injectLog(ctx context.Context, s step, host, dc, worker string) {
	fault := func(f standin.LogFaults) {
		w.log.SetFaults(f)
		w.later(ctx, s.Long, func() { w.log.SetFaults(standin.LogFaults{}) })
	}
	cut := func(pairs ...string) {
		for i := 0; i < len(pairs); i += 2 {
			a, b := pairs[i], pairs[i+1]
			w.cut(a, b, true)
			w.later(ctx, s.Long, func() { w.cut(a, b, false) })
		}
	}
	other := fmt.Sprintf("%s-e%d", dc, s.Pick%3)
	switch s.Fault {
	case "logDown":
		fault(standin.LogFaults{Down: true})
	case "logLosesAnswers":
		fault(standin.LogFaults{LoseAnswers: true})
	case "logLateAnswers":
		fault(standin.LogFaults{LoseAnswers: true, LateApply: time.Duration(s.Pick) * 3 * time.Millisecond})
	case "logSlow":
		fault(standin.LogFaults{Delay: time.Duration(s.Pick) * time.Millisecond})
	case "cutDataCentre":
		cut("b", "a", "a", "b")
	case "cutDataCentreOneWay":
		cut("a", "b")
	case "cutHostFromLog":
		cut(host, "store", "store", host)
	case "cutHostFromWorker":
		cut(host, worker, worker, host)
	case "cutHosts":
		cut(host, other, other, host)
	case "cutHostToLog":
		cut(host, "store")
	case "cutLogToHost":
		cut("store", host)
	case "cutHostToWorker":
		cut(host, worker)
	case "cutWorkerToHost":
		cut(worker, host)
	case "cutHostsOneWay":
		cut(host, other)
	}
}

// bounce kills a host and starts it again after d.
func (w *world) bounce(ctx context.Context, host string, d time.Duration) {
	if host == "" || w.host(host) == nil {
		return
	}
	dc := w.dataCentre(host)
	w.killHost(host)
	w.later(ctx, d, func() { w.startHost(host, dc) })
}

// roll drains and replaces all hosts, one after the other.
func (w *world) roll(ctx context.Context, hosts []string) {
	for _, n := range hosts {
		r := w.host(n)
		if r == nil || ctx.Err() != nil {
			continue
		}
		r.Drain(ctx)
		select {
		case <-r.ended:
		case <-time.After(30 * time.Second):
		}
		dc := w.dataCentre(n)
		w.killHost(n)
		w.startHost(n, dc)
		retry.Pause(ctx, 2*time.Second)
	}
}

// leader returns the placer of a data centre as its hosts see it.
func (w *world) leader(dc string) string {
	for _, n := range w.hostNames() {
		if w.dataCentre(n) == dc && w.host(n).View().Placer {
			return n
		}
	}
	return ""
}

// dataCentre returns where a node is.
func (w *world) dataCentre(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dcOf[name]
}
