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
type faultStep struct {
	// After is the time since the step before.
	After time.Duration
	Fault string
	// Pick chooses the target, Long how long the fault lasts.
	Choice   int
	Duration time.Duration
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
	simulationsPerCheck = 4
	// mostSkew bounds the error of a host's wall clock.
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

// TestSoak runs the whole system under random faults and judges it by the
// workers' own histories. Its drivers assert the invariants of the ledger.
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
				rt.Fatalf("world %d: %s", i, strings.Join(f, "\n"))
			}
		}
	})
}

// soak runs one world and returns what was wrong.
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
		return []string{"the world does not settle"}
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

// run carries out a script of faults.
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

// later undoes a fault after a while.
func (sim *simulation) after(ctx context.Context, d time.Duration, undo func()) {
	go func() {
		retry.Pause(ctx, d)
		undo()
	}()
}

// inject causes one fault and has it undone later.
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

// injectLog causes the faults of the log and of the network.
func (sim *simulation) injectNetworkFault(ctx context.Context, s faultStep, host, dc, worker string) {
	fault := func(f standin.LogFaults) {
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
		fault(standin.LogFaults{Down: true})
	case "logLosesAnswers":
		fault(standin.LogFaults{LoseAnswers: true})
	case "logLateAnswers":
		fault(standin.LogFaults{LoseAnswers: true, LateApply: time.Duration(s.Choice) * 3 * time.Millisecond})
	case "logSlow":
		fault(standin.LogFaults{Delay: time.Duration(s.Choice) * time.Millisecond})
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

// bounce kills a host and starts it again after d.
func (sim *simulation) restartHost(ctx context.Context, host string, d time.Duration) {
	if host == "" || sim.host(host) == nil {
		return
	}
	dc := sim.dataCentre(host)
	sim.killHost(host)
	sim.after(ctx, d, func() { sim.startHost(host, dc) })
}

// roll drains and replaces all hosts, one after the other.
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

// leader returns the placer of a data centre as its hosts see it.
func (sim *simulation) placerIn(dc string) string {
	for _, n := range sim.hostNames() {
		if sim.dataCentre(n) == dc && sim.host(n).View().Placer {
			return n
		}
	}
	return ""
}

// dataCentre returns where a node is.
func (sim *simulation) dataCentre(name string) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.dcOf[name]
}
