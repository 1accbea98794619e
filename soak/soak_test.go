// Package soak runs entry hosts as real processes on one machine, injects faults
// from outside and checks the invariants that callers and workers can observe.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 1, "first seed of the faults and the load")
	seedsFlag    = flag.Int("soak.seeds", 1, "number of consecutive seeds, starting at soak.seed")
	durationFlag = flag.Duration("soak.for", 12*time.Second, "duration of fault injection per seed")
	hostsFlag    = flag.Int("soak.hosts", 4, "number of entry hosts")
	oldFlag      = flag.String("soak.oldBinary", "", "program of an earlier version, which half of the processes run")
	acrossFlag   = flag.Bool("soak.across", false, "late orders are executed in the next lifetime of a worker too")
	kindFlag     = flag.Int("soak.kind", -1, "the only kind of fault that TestNothingRunsTwice injects; -1 for all")
	workersFlag  = flag.Int("soak.workers", 12, "number of workers")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "limpetrelay")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "limpetrelay")
	build := exec.Command("go", "build", "-o", binary, "../cmd/limpetrelay")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// regressions maps each seed that once failed to the cause.
var regressions = map[uint64]string{}

// TestSoak runs consecutive seeds with faults.
func TestSoak(t *testing.T) {
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// TestRegressions runs the seeds that once failed.
func TestRegressions(t *testing.T) {
	for seed, cause := range regressions {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Log(cause)
			runSeed(t, seed)
		})
	}
}

// runSeed runs load and faults drawn from one seed, waits until all jobs have ended
// and requires that workers and callers observed no violation.
func runSeed(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, simulation.Scenario{
		Seed: seed, Workers: *workersFlag, RackSize: 4, DataCentres: dataCentres, Paces: []float64{0.6, 1, 1.6},
	}, *hostsFlag)
	for _, h := range c.hosts {
		require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "%s did not become ready", h.name)
	}
	load := newLoadGenerator(c, seed)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { load.runClient(i, stop) })
	}
	wg.Go(func() { c.runEvacuations(seed, stop) })
	wg.Go(func() { c.runOutsiders(seed, stop) })
	var faults sync.WaitGroup
	for end := time.Now().Add(*durationFlag); time.Now().Before(end); {
		time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
		kind, d := r.IntN(13), time.Duration(300+r.IntN(4000))*time.Millisecond
		h, m := c.hosts[r.IntN(len(c.hosts))], mode(1+r.IntN(int(modeCount)-1))
		id := c.workers.IDs()[r.IntN(*workersFlag)]
		key := c.keys[r.IntN(len(c.keys))]
		faults.Go(func() { c.injectFault(kind, d, h, m, id, key) })
	}
	faults.Wait()
	close(stop)
	wg.Wait()
	load.requireAnswers()
	load.settle()
	for _, h := range c.hosts {
		require.False(t, h.failed || len(h.exited) > 0, "a process of %s ended by itself", h.name)
	}
	require.Empty(t, c.workers.Violations(), "violations observed by workers")
	require.Empty(t, load.reportedViolations(), "violations observed by callers")
	load.logSummary()
}

// injectFault injects one fault and ends it after d: a restart by SIGKILL (0, 1) or
// SIGTERM (2, down for d/4), a stopped process (3), a fault of the network to the
// store (4-6), of the store (7, 8, 11) or of a worker (9, 12). Kind 10 revokes a key for
// good.
func (c *cluster) injectFault(kind int, d time.Duration, h *host, m mode, worker, key string) {
	switch kind {
	case 0, 1:
		h.restart(syscall.SIGKILL, d)
	case 2:
		h.restart(syscall.SIGTERM, d/4)
	case 3:
		h.signal(syscall.SIGSTOP)
		time.Sleep(d)
		h.signal(syscall.SIGCONT)
	case 4, 5, 6:
		h.storeProxy.setMode(m)
		time.Sleep(d)
		h.storeProxy.setMode(passThrough)
	case 7:
		c.store.SetDown(true)
		time.Sleep(d)
		c.store.SetDown(false)
	case 8:
		c.store.SetLossRate(0.3)
		time.Sleep(d)
		c.store.SetLossRate(0)
	case 9:
		c.workers.Crash(worker, d)
	case 10:
		c.revokeKey(key)
		c.publishConfiguration()
	case 11:
		c.store.SetDelay(100 * time.Millisecond)
		time.Sleep(d)
		c.store.SetDelay(0)
	case 12:
		c.workers.Cool(worker, 2*d)
	}
}

// restart ends the process with signal s and starts it again after d.
func (h *host) restart(s syscall.Signal, d time.Duration) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.stop(s)
	time.Sleep(d)
	if err := h.start(); err != nil {
		panic(err)
	}
}
