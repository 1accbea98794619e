// Package soak runs the real program as processes on one machine, injects faults
// from outside them and checks the promises from what callers and workers see.
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
)

var (
	seedFlag  = flag.Uint64("soak.seed", 1, "seed of the faults and the load")
	seedsFlag = flag.Int("soak.seeds", 1, "number of seeds, from soak.seed on")
	forFlag   = flag.Duration("soak.for", 12*time.Second, "how long faults are injected, per seed")
	hostsFlag = flag.Int("soak.hosts", 4, "number of entry hosts")
	workFlag  = flag.Int("soak.workers", 12, "number of workers")
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

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{}

// TestSoak plays seeds with faults.
func TestSoak(t *testing.T) {
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// TestRegressions plays the seeds that failed once.
func TestRegressions(t *testing.T) {
	for seed, cause := range regressions {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Log(cause)
			soak(t, seed)
		})
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	w := newWorld(t, seed, *hostsFlag, *workFlag)
	for _, h := range w.hosts {
		require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "%s is ready", h.name)
	}
	load := newLoad(w, seed)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { load.client(i, stop) })
	}
	var faults sync.WaitGroup
	for end := time.Now().Add(*forFlag); time.Now().Before(end); {
		time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
		f, d := r.IntN(12), time.Duration(300+r.IntN(4000))*time.Millisecond
		h, m := w.hosts[r.IntN(len(w.hosts))], mode(1+r.IntN(int(modes)-1))
		id := w.yard.IDs()[r.IntN(*workFlag)]
		key := w.keys[r.IntN(len(w.keys))]
		faults.Go(func() { w.fault(f, d, h, m, id, key) })
	}
	faults.Wait()
	close(stop)
	wg.Wait()
	load.settle()
	require.Empty(t, w.yard.Violations(), "what workers saw")
	require.Empty(t, load.broken(), "what callers saw")
	load.report()
}

// fault lets one thing go wrong for a while.
func (w *world) fault(kind int, d time.Duration, h *host, m mode, worker, key string) {
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
		h.store.set(m)
		time.Sleep(d)
		h.store.set(pass)
	case 7:
		w.store.SetDown(true)
		time.Sleep(d)
		w.store.SetDown(false)
	case 8:
		w.store.SetLossRate(0.3)
		time.Sleep(d)
		w.store.SetLossRate(0)
	case 9:
		w.yard.Crash(worker, d)
	case 10:
		w.revoke(key)
		w.configure()
	case 11:
		w.store.SetDelay(100 * time.Millisecond)
		time.Sleep(d)
		w.store.SetDelay(0)
	}
}

// restart ends the process and starts it again after a while.
func (h *host) restart(s syscall.Signal, d time.Duration) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.stop(s)
	time.Sleep(d)
	if err := h.start(); err != nil {
		panic(err)
	}
}
