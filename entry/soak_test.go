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

// soakFor is the virtual time for which a randomised run injects faults.
var soakFor = flag.Duration("soak.for", 4*time.Minute, "virtual time under faults of one randomised run")

func TestMain(m *testing.M) {
	fixedseed.Set("3")
	os.Exit(m.Run())
}

// faultStep is one fault of a randomised run.
type faultStep struct {
	// After is the time since the previous step.
	After time.Duration
	Fault string
	// Choice selects the target, and Duration is how long the fault lasts.
	Choice   int
	Duration time.Duration
}

// faults are the kinds of faults from which a randomised run draws.
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
	// simulationsPerCheck is the number of simulations that run in parallel in one
	// check, each with its own script.
	simulationsPerCheck = 4
	// maxClockSkew bounds the error of a host's wall clock.
	maxClockSkew = 10 * time.Second
)

// drawScript draws the faults of one run.
func drawScript(rt *rapid.T) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) faultStep {
		return faultStep{
			After:    time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "after")) * time.Millisecond,
			Fault:    rapid.SampledFrom(faults).Draw(rt, "fault"),
			Choice:   rapid.IntRange(0, 1000).Draw(rt, "pick"),
			Duration: time.Duration(rapid.IntRange(500, 40_000).Draw(rt, "long")) * time.Millisecond,
		}
	}), 5, 40).Draw(rt, "script")
}

// TestSoak runs the whole system under random faults. The replies to callers are
// checked against the workers' histories, and the hosts check the invariants of their
// ledgers.
func TestSoak(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var scripts [simulationsPerCheck][]faultStep
		var seeds [simulationsPerCheck]uint64
		var found [simulationsPerCheck][]string
		for i := range simulationsPerCheck {
			scripts[i], seeds[i] = drawScript(rt), rapid.Uint64().Draw(rt, "seed")
		}
		t.Run("check", func(t *testing.T) {
			for i := range simulationsPerCheck {
				t.Run(fmt.Sprint("world", i), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { found[i] = runSoak(t, scripts[i], seeds[i], *soakFor) })
				})
			}
		})
		for i, f := range found {
			if len(f) > 0 {
				rt.Fatalf("simulation %d: %s", i, strings.Join(f, "\n"))
			}
		}
	})
}

// runSoak runs one simulation and returns the violations that it found.
func runSoak(t *testing.T, script []faultStep, seed uint64, duration time.Duration) []string {
	t.Helper()
	sim := newSimulation(t.Context(), t)
	sim.tune = func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 60, 20*time.Second }
	sim.log.Retention = 3 * time.Minute
	rnd := rand.New(rand.NewPCG(seed, 9))
	for _, n := range []string{"a-e0", "a-e1", "a-e2", "b-e0", "b-e1", "b-e2"} {
		sim.skew[n] = time.Duration(rnd.Int64N(int64(2*maxClockSkew))) - maxClockSkew
	}
	for _, dc := range []string{"a", "b"} {
		sim.addWorkers(dc, 8)
		for i := range 3 {
			sim.startHost(fmt.Sprintf("%s-e%d", dc, i), dc)
		}
	}
	if !sim.waitUntilReady(16) {
		sim.stop()
		return []string{"not all hosts became ready"}
	}
	if err := sim.createOrganisations("a-e0", map[string]rack.Shape{"acme": {rack.LevelWorker: 4}, "lender": {rack.LevelWorker: 1}}); err != nil {
		sim.stop()
		return []string{err.Error()}
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	callers := newCallers(sim, seed)
	callers.start(ctx, 8)
	sim.runScript(ctx, script, seed)
	<-ctx.Done()
	callers.wait()
	sim.removeFaults()
	v := &verifier{sim: sim, callers: callers}
	v.verify()
	t.Log(v.summary())
	sim.stop()
	v.violations = append(v.violations, sim.violations...)
	return v.violations
}

// runScript injects the faults of a script until ctx ends.
func (sim *simulation) runScript(ctx context.Context, script []faultStep, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, s := range script {
		retry.Pause(ctx, s.After)
		if ctx.Err() != nil {
			return
		}
		sim.inject(ctx, s, rnd)
	}
}

// after calls undo after d, or when ctx ends.
func (sim *simulation) after(ctx context.Context, d time.Duration, undo func()) {
	go func() {
		retry.Pause(ctx, d)
		undo()
	}()
}

// inject injects one fault, which ends after its duration.
func (sim *simulation) inject(ctx context.Context, s faultStep, rnd *rand.Rand) {
	hosts := []string{"a-e0", "a-e1", "a-e2", "b-e0", "b-e1", "b-e2"}
	host := hosts[s.Choice%len(hosts)]
	dc := []string{"a", "b"}[s.Choice%2]
	worker := fmt.Sprintf("%s-w%d", dc, s.Choice/2%8)
	wk := sim.workers[worker]
	switch s.Fault {
	case "killHost":
		sim.restartHost(ctx, host, s.Duration)
	case "killPlacer":
		sim.restartHost(ctx, sim.placerIn(dc), s.Duration)
	case "freezeHost":
		sim.freeze(host, s.Duration)
	case "freezePlacer":
		sim.freeze(sim.placerIn(dc), s.Duration)
	case "killAllHosts":
		for i := range 3 {
			sim.restartHost(ctx, fmt.Sprintf("%s-e%d", dc, i), s.Duration/4)
		}
	case "killWorker":
		wk.Kill()
		n := rnd.Uint64()
		sim.after(ctx, s.Duration, func() { wk.Restart(fmt.Sprintf("%s.%d", worker, n)) })
	case "silentWorker":
		wk.SetFaults(standin.WorkerFaults{Silent: true})
		sim.after(ctx, s.Duration, func() { wk.SetFaults(standin.WorkerFaults{}) })
	case "loseWorkerAnswers":
		wk.SetFaults(standin.WorkerFaults{LoseAnswers: true})
		sim.after(ctx, s.Duration/4, func() { wk.SetFaults(standin.WorkerFaults{}) })
	case "failAllWorker":
		wk.SetFaults(standin.WorkerFaults{FailAll: true})
		sim.after(ctx, s.Duration, func() { wk.SetFaults(standin.WorkerFaults{}) })
	case "leaveWorker":
		wk.SetLeaving(true)
		sim.after(ctx, s.Duration, func() { wk.SetLeaving(false) })
	case "unlistWorker":
		sim.dir.Remove(worker)
		sim.after(ctx, s.Duration, func() { sim.listWorker(worker, dc) })
	case "listDown":
		sim.dir.SetDown(true)
		sim.after(ctx, s.Duration, func() { sim.dir.SetDown(false) })
	case "loseHost":
		sim.freeze(host, s.Duration)
		sim.after(ctx, s.Duration/2, func() { sim.restartHost(ctx, host, s.Duration/2) })
	case "jumpClock":
		sim.setSkew(host, time.Duration(rnd.Int64N(int64(2*maxClockSkew)))-maxClockSkew)
	case "rollHosts":
		go sim.rollHosts(ctx, hosts)
	case "cancelWave":
		go sim.cancelWave(ctx, host)
	case "racePatches":
		go sim.racePatches(s.Choice)
	case "closeDataCentre":
		go func() {
			sim.setClosed(dc, true)
			retry.Pause(ctx, s.Duration)
			sim.setClosed(dc, false)
		}()
	default:
		sim.injectNetworkFault(ctx, s, host, dc, worker)
	}
}

// injectNetworkFault injects one fault of the log or of the network.
func (sim *simulation) injectNetworkFault(ctx context.Context, s faultStep, host, dc, worker string) {
	injectLogFaults := func(f standin.LogFaults) {
		sim.log.SetFaults(f)
		sim.after(ctx, s.Duration, func() { sim.log.SetFaults(standin.LogFaults{}) })
	}
	cut := func(pairs ...string) {
		for i := 0; i < len(pairs); i += 2 {
			a, b := pairs[i], pairs[i+1]
			sim.setCut(a, b, true)
			sim.after(ctx, s.Duration, func() { sim.setCut(a, b, false) })
		}
	}
	otherHost := fmt.Sprintf("%s-e%d", dc, s.Choice%3)
	switch s.Fault {
	case "logDown":
		injectLogFaults(standin.LogFaults{Down: true})
	case "logLosesAnswers":
		injectLogFaults(standin.LogFaults{LoseAnswers: true})
	case "logLateAnswers":
		injectLogFaults(standin.LogFaults{LoseAnswers: true, LateApply: time.Duration(s.Choice) * 3 * time.Millisecond})
	case "logSlow":
		injectLogFaults(standin.LogFaults{Delay: time.Duration(s.Choice) * time.Millisecond})
	case "cutDataCentre":
		cut("b", "a", "a", "b")
	case "cutDataCentreOneWay":
		cut("a", "b")
	case "cutHostFromLog":
		cut(host, "store", "store", host)
	case "cutHostFromWorker":
		cut(host, worker, worker, host)
	case "cutHosts":
		cut(host, otherHost, otherHost, host)
	case "cutHostToLog":
		cut(host, "store")
	case "cutLogToHost":
		cut("store", host)
	case "cutHostToWorker":
		cut(host, worker)
	case "cutWorkerToHost":
		cut(worker, host)
	case "cutHostsOneWay":
		cut(host, otherHost)
	}
}

// restartHost kills a host and starts it again after d.
func (sim *simulation) restartHost(ctx context.Context, host string, d time.Duration) {
	if host == "" || sim.host(host) == nil {
		return
	}
	dc := sim.dataCentre(host)
	sim.killHost(host)
	sim.after(ctx, d, func() { sim.startHost(host, dc) })
}

// rollHosts drains and replaces the given hosts one by one.
func (sim *simulation) rollHosts(ctx context.Context, hosts []string) {
	for _, n := range hosts {
		r := sim.host(n)
		if r == nil || ctx.Err() != nil {
			continue
		}
		r.Drain(ctx)
		select {
		case <-r.done:
		case <-time.After(30 * time.Second):
		}
		dc := sim.dataCentre(n)
		sim.killHost(n)
		sim.startHost(n, dc)
		retry.Pause(ctx, 2*time.Second)
	}
}

// placerIn returns a host of a data centre that considers itself the placer, or an
// empty string.
func (sim *simulation) placerIn(dc string) string {
	for _, n := range sim.hostNames() {
		if sim.dataCentre(n) == dc && sim.host(n).View().Placer {
			return n
		}
	}
	return ""
}

// dataCentre returns the data centre of a node.
func (sim *simulation) dataCentre(name string) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.dcOf[name]
}
