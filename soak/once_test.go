package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

// siteClasses are the jobs of the site of the report, by worker of its 48.
var siteClasses = []jobClass{
	{
		route: "plan", perWorker: 1.08 / 48, tasks: 4, maxTasks: 24, duration: 6800, maxDuration: 11_000, cores: 26_000, memory: 68_000,
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, sameRack: 0.6, checkpoints: 0.45, label: 0.3,
	},
	{
		route: "urgent", perWorker: 2.4 / 48, tasks: 3, maxTasks: 18, duration: 2500, maxDuration: 8000, cores: 7500, memory: 15_000,
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, sameRack: 0.8,
	},
	{
		route: "batch", perWorker: 0.846 / 48, tasks: 12, maxTasks: 72, duration: 7600, maxDuration: 11_000, cores: 5600, memory: 15_000,
		accelerators: []int64{1}, checkpoints: 0.45, label: 0.12, second: 0.3,
	},
}

// repeatedShare is the share of the accepted jobs that are submitted again.
const repeatedShare = 0.25

// repeat submits an accepted job again after 1 to 8 s, on a connection that was open before.
func (l *loadGenerator) repeat(r *rand.Rand, j *submittedJob, text string) {
	c := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for range len(l.cluster.hosts) {
		l.call(c, r, http.MethodGet, j, "")
	}
	time.Sleep(time.Duration(1000+r.IntN(7000)) * time.Millisecond)
	if status, _ := l.call(c, r, http.MethodPost, j, text); status == http.StatusNotFound || status == http.StatusBadRequest {
		l.violationf("the repeat of job %s returned status %d", j.id, status)
	}
}

// watchStates asks for the states of random accepted jobs until stop is closed.
func (l *loadGenerator) watchStates(stop chan struct{}) {
	r := rand.New(rand.NewPCG(l.seed, 98))
	c := &http.Client{Timeout: callerTimeout}
	defer c.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		l.mu.Lock()
		var accepted []*submittedJob
		for _, j := range l.jobs {
			if !j.acceptedAt.IsZero() {
				accepted = append(accepted, j)
			}
		}
		l.mu.Unlock()
		if len(accepted) > 0 {
			l.checkState(c, r, accepted[r.IntN(len(accepted))])
		}
	}
}

// Guards against two runs of one task or gang (issue 34): gangs and steps like those of the site
// of the report, while workers restart under their IDs and are cut off, orders are late, and
// coordinators are lost right after an acceptance. Run it with -soak.hosts 9 -soak.workers 48
// -soak.for 50s, half of which has faults, for the size of that site.
func TestNothingRunsTwice(t *testing.T) {
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runOnce(t, seed) })
	}
}

func runOnce(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	c := newCluster(t, simulation.Scenario{Seed: seed, Workers: *workersFlag, StopTime: 200}, *hostsFlag)
	for _, h := range c.hosts {
		require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "%s did not become ready", h.name)
	}
	load := newLoadGenerator(c, seed)
	stop, stopWatch := make(chan struct{}), make(chan struct{})
	var wg, watch, faults sync.WaitGroup
	watch.Go(func() { load.watchStates(stopWatch) })
	for n := range siteClasses {
		wg.Go(func() { load.submitClass(n, &siteClasses[n], repeatedShare, stop) })
	}
	for _, l := range c.links {
		l.SetLate(emulator.Late{Share: 0.05, PollShare: 0.003, Min: 2 * time.Second, Max: 12 * time.Second, AcrossRestarts: *acrossFlag})
	}
	for end := time.Now().Add(*durationFlag / 2); time.Now().Before(end); {
		time.Sleep(time.Duration(100+r.IntN(24_000 / *workersFlag)) * time.Millisecond)
		f := onceFault{kind: r.IntN(9), length: r.Float64(), link: c.links[r.IntN(len(c.links))], host: c.hosts[r.IntN(len(c.hosts))], chance: r.Float64()}
		f.worker = f.link.Worker()
		if r.IntN(5) == 0 {
			f.kind = 9 + r.IntN(8)
		}
		if *kindFlag >= 0 {
			f.kind = *kindFlag
		}
		if *kindFlag > 8 {
			// Few hosts fail at a time.
			time.Sleep(10 * time.Second)
		}
		faults.Go(func() { c.injectOnce(f, load) })
	}
	faults.Wait()
	for _, l := range c.links {
		l.SetLate(emulator.Late{})
	}
	close(stop)
	wg.Wait()
	close(stopWatch)
	watch.Wait()
	t.Cleanup(func() {
		load.logSummary()
		require.Empty(t, c.workers.Violations(), "violations observed by workers")
		require.Empty(t, load.reportedViolations(), "violations observed by callers")
	})
	load.settle()
}

// onceFault is a fault. length, between 0 and 1, says how long it lasts for its kind.
type onceFault struct {
	kind           int
	worker         string
	link           *emulator.Link
	host           *host
	length, chance float64
}

// between returns the duration of the fault when it lasts between shortest and longest.
func (f *onceFault) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.length*float64(longest-shortest))
}

// injectOnce injects one fault and ends it: restarts of a worker under its ID (0-2), with a cut
// in 1, and unseen in 2; cuts (3-5), draining (6), expired entries (7), moves (8); losses (9-12) and
// standstills (13) of hosts, and faults of the store (14, 15) and of the coordinator's way to
// it (16).
func (c *cluster) injectOnce(f onceFault, load *loadGenerator) {
	down, cut := f.between(200*time.Millisecond, 3*time.Second), f.between(time.Second, 12*time.Second)
	kind := emulator.CutBoth
	if f.chance < 0.5 {
		kind = emulator.CutAnswers
	}
	switch f.kind {
	case 0:
		f.link.Restart(down)
	case 1:
		f.restartWithin(kind, cut, time.Duration(float64(cut)*f.chance/2), down)
	case 2:
		f.link.RestartUnseen(down/5, f.between(7*time.Second, 12*time.Second))
	case 3, 4, 5:
		f.link.Cut(kind, cut)
	case 6:
		c.workers.Drain(f.worker)
		time.Sleep(f.between(2500*time.Millisecond, 20*time.Second))
		f.link.Leave(2 * time.Second)
	case 7:
		f.link.Expire(c.store, cut)
	case 8:
		f.link.Move()
	case 14:
		c.store.SetLossRate(0.3)
		time.Sleep(cut / 4)
		c.store.SetLossRate(0)
	case 15:
		f.link.Cut(emulator.CutDirectory, cut)
	default:
		c.injectHost(f, load)
	}
}

// restartWithin cuts the worker off and restarts it after a time within the cut.
func (f *onceFault) restartWithin(kind emulator.Cut, cut, after, down time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(after)
		f.link.Restart(down)
	})
	f.link.Cut(kind, cut)
	wg.Wait()
}

// injectHost injects a fault of hosts, right after a job was accepted.
func (c *cluster) injectHost(f onceFault, load *loadGenerator) {
	down := f.between(300*time.Millisecond, 1500*time.Millisecond)
	load.awaitAcceptance(2 * time.Second)
	h := c.coordinator()
	if h == nil {
		h = f.host
	}
	switch f.kind {
	case 9:
		var wg sync.WaitGroup
		for _, h := range c.hosts {
			wg.Go(func() { h.restart(syscall.SIGKILL, down) })
		}
		wg.Wait()
	case 10, 11:
		h.restart(syscall.SIGKILL, down)
	case 12:
		h.replace(c, down)
	case 16:
		// The coordinator reaches one half of the workers but not the store, and its successor
		// the other half.
		cut := f.between(10*time.Second, 20*time.Second)
		var wg sync.WaitGroup
		for i, l := range c.links {
			wg.Go(func() { l.Cut(emulator.CutNewer+emulator.Cut(i%2), cut) })
		}
		h.storeProxy.setMode(dropAll)
		wg.Wait()
		h.storeProxy.setMode(passThrough)
	case 13:
		h.signal(syscall.SIGSTOP)
		time.Sleep(f.between(time.Second, 6*time.Second))
		h.signal(syscall.SIGCONT)
	}
	c.trace(fmt.Sprintf("%s: fault %d of hosts, %v", h.name, f.kind, down))
}
