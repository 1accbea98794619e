package entry

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
)

const (
	// leavingBound is the limit for the time until a leaving upstream receives no
	// new work; the users ask for a "few seconds". The list of hosts in the
	// simulation lags by one second.
	leavingBound = 3 * time.Second
	// inForceBound is the target for the time until a patch is in force at all
	// hosts.
	inForceBound = 7 * time.Second
)

// countListReads returns how often each host reads the list of hosts in ten seconds.
func (sim *simulation) countListReads() map[string]int {
	sim.mu.Lock()
	clear(sim.listReads)
	sim.mu.Unlock()
	time.Sleep(10 * time.Second)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return maps.Clone(sim.listReads)
}

// TestListThroughPlacer counts the reads of the list of hosts. Only the placer may
// read it, and changes must reach all hosts. While the placer is cut off from the
// list all hosts must read it, and after the placer's death only the next placer.
func TestListThroughPlacer(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		p := sim.activePlacer()
		time.Sleep(3 * time.Second)
		n := sim.countListReads()
		require.GreaterOrEqual(t, n[p], 9)
		require.Len(t, n, 1, "%v", n)
		for _, h := range sim.hostNames() {
			require.Equal(t, "a-w3", sim.addressAt(h, "a-w3"))
		}
		sim.mu.Lock()
		sim.workers["moved"], sim.dcOf["moved"] = sim.workers["a-w3"], "a"
		sim.mu.Unlock()
		sim.dir.Set(logservice.Host{Name: "a-w3", Kind: logservice.KindWorker, DataCentre: "a", Address: "moved"})
		require.True(t, sim.waitUntil(5*time.Second, func() bool {
			for _, h := range sim.hostNames() {
				if sim.addressAt(h, "a-w3") != "moved" {
					return false
				}
			}
			return true
		}), "the change must reach all hosts")
		sim.setCut(p, "store", true)
		time.Sleep(5 * time.Second)
		require.Len(t, sim.countListReads(), 3, "a stale list must not be used")
		sim.setCut(p, "store", false)
		sim.killHost(sim.activePlacer())
		time.Sleep(5 * time.Second)
		n = sim.countListReads()
		require.GreaterOrEqual(t, n[sim.activePlacer()], 9)
		require.Len(t, n, 1, "%v", n)
	})
}

// addressAt returns the address of a worker that a host knows.
func (sim *simulation) addressAt(host, worker string) string {
	var a string
	sim.host(host).inspect(sim.ctx, func(s *dispatch.State) { a = s.WorkerAddress(worker) })
	return a
}

// TestLeavingWorker submits small and recorded requests while a worker leaves, which
// the worker itself or only the list of hosts reports. The worker must receive no new
// work after leavingBound.
func TestLeavingWorker(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("listed=%t", listed), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				const n = "a-w3"
				stop := sim.startLoad(t, 3, 200)
				time.Sleep(3 * time.Second)
				left := time.Now()
				if listed {
					sim.dir.Set(logservice.Host{Name: n, Kind: logservice.KindWorker, DataCentre: "a", Address: n, Leaving: true})
				} else {
					sim.workers[n].SetLeaving(true)
				}
				time.Sleep(20 * time.Second)
				stop()
				last := left
				for _, i := range sim.workers[n].History() {
					if i.Start.After(last) {
						last = i.Start
					}
				}
				t.Logf("last start %s after leaving", last.Sub(left))
				require.LessOrEqual(t, last.Sub(left), leavingBound)
			})
		})
	}
}

// startLoad submits small and recorded requests of 3*n callers until the function that
// it returns is called. That function fails the test if any request did not complete,
// or none did.
func (sim *simulation) startLoad(t *testing.T, n int, ms int64) func() {
	t.Helper()
	var wg sync.WaitGroup
	var done atomic.Bool
	var served, lost atomic.Int64
	for i := range 3 * n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; !done.Load(); k++ {
				s := spec("acme", "assay", fmt.Sprintf("load-%d-%d", i, k), ms)
				if k%4 == 0 {
					s.Key = fmt.Sprintf("load-%d-%d", i, k)
				}
				if sim.completedAnywhere(s) {
					served.Add(1)
				} else {
					lost.Add(1)
				}
			}
		}()
	}
	return func() {
		done.Store(true)
		wg.Wait()
		t.Logf("%d requests served, %d lost", served.Load(), lost.Load())
		require.Zero(t, lost.Load(), "requests lost")
		require.NotZero(t, served.Load())
	}
}

// completedAnywhere submits a request to the hosts round-robin, as a load balancer
// would, and reports whether it completed. After an error by which nothing was done it
// tries the next host. Once a job is accepted, it waits for the job at any host.
func (sim *simulation) completedAnywhere(s job.Spec) bool {
	id := ""
	for try := range 60 {
		hosts := sim.hostNames()
		if len(hosts) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		h := hosts[try%len(hosts)]
		r, err := sim.submit(h, s, 10*time.Second)
		if id != "" {
			r, err = sim.waitForJob(h, id, 10*time.Second)
		}
		switch {
		case err != nil && !fault.NothingDone(err):
			sim.t.Logf("lost at %s, job %q: %v", h, id, err)
			return false
		case err != nil:
			time.Sleep(50 * time.Millisecond)
		case r.Outcome != nil:
			return r.Outcome.Result == job.Completed
		default:
			id = r.Job
		}
	}
	sim.t.Logf("no host completed the request, job %q", id)
	return false
}

// TestRollingReplacement drains and replaces all hosts one by one under load, twice.
// No request may be lost.
func TestRollingReplacement(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		stop := sim.startLoad(t, 4, 300)
		time.Sleep(2 * time.Second)
		for range 2 {
			sim.rollHosts(sim.ctx, []string{"a-e0", "a-e1", "a-e2"})
		}
		stop()
	})
}

// TestPatchIsInForceEverywhere measures the time from the submission of a patch until
// it is in force at the last host, with a second data centre and later with a host
// there that is cut off from the log.
func TestPatchIsInForceEverywhere(t *testing.T) {
	inTwoDataCentres(t, func(t *testing.T, sim *simulation) {
		var longest time.Duration
		for i := range 20 {
			if i == 10 {
				// From here on one host of b reaches the log only through its placer.
				n := sim.followerIn("b")
				sim.setCut(n, "store", true)
			}
			startedAt := time.Now()
			_, err := sim.patch("a-e0", config.Patch{Base: sim.host("a-e0").View().Version, Author: "op", Changes: []config.Change{
				{SetClass: &config.NamedClass{Name: "c", Class: config.Class{Priority: i}}},
			}})
			require.NoError(t, err)
			v := sim.host("a-e0").View().Version
			require.True(t, sim.waitUntil(inForceBound, func() bool { return sim.allAtVersion(v) }), "version %d is not in force everywhere", v)
			longest = max(longest, time.Since(startedAt))
		}
		t.Logf("in force everywhere after %s at the most", longest)
		require.LessOrEqual(t, longest, inForceBound)
	})
}

// allAtVersion reports whether all hosts have configuration version v or later.
func (sim *simulation) allAtVersion(v uint64) bool {
	for _, n := range sim.hostNames() {
		if sim.host(n).View().Version < v {
			return false
		}
	}
	return true
}

// followerIn returns a host of dc that is not its placer.
func (sim *simulation) followerIn(dc string) string {
	for _, n := range sim.hostNames() {
		if sim.dataCentre(n) == dc && !sim.host(n).View().Placer {
			return n
		}
	}
	return ""
}

// TestConfigNeverReverts freezes a host while patches are accepted and dropped by
// retention, and then replaces all hosts. Neither the host that resumes nor the new
// one may have an older version of the configuration.
func TestConfigNeverReverts(t *testing.T) {
	inTunedSimulation(t, func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 20, 30*time.Second }, func(t *testing.T, sim *simulation) {
		sim.log.SetRetention(time.Minute)
		sim.freeze("a-e2", 5*time.Minute)
		for i := range 30 {
			_, err := sim.patch("a-e0", config.Patch{Base: sim.host("a-e0").View().Version, Author: "op", Changes: []config.Change{
				{SetClass: &config.NamedClass{Name: "c", Class: config.Class{Priority: i}}},
			}})
			require.NoError(t, err)
			time.Sleep(5 * time.Second)
		}
		v := sim.host("a-e0").View().Version
		time.Sleep(4 * time.Minute)
		require.True(t, sim.waitUntil(30*time.Second, func() bool { return sim.allAtVersion(v) }), "the host that resumed has version %d of %d", sim.host("a-e2").View().Version, v)
		for _, h := range sim.hostNames() {
			sim.killHost(h)
		}
		time.Sleep(30 * time.Second)
		sim.startHost("a-e9", "a")
		require.True(t, sim.waitUntil(30*time.Second, func() bool { return sim.host("a-e9").View().Ready }))
		require.Equal(t, v, sim.host("a-e9").View().Version)
	})
}

// TestGapKeepsNotReady starts a host when retention has dropped records that neither
// a snapshot nor a peer covers. The host must not become ready.
func TestGapKeepsNotReady(t *testing.T) {
	inTunedSimulation(t, func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 100_000, 24*time.Hour }, func(t *testing.T, sim *simulation) {
		sim.log.SetRetention(time.Minute)
		time.Sleep(5 * time.Minute)
		for _, h := range sim.hostNames() {
			sim.killHost(h)
		}
		sim.startHost("a-e9", "a")
		time.Sleep(30 * time.Second)
		v := sim.host("a-e9").View()
		require.False(t, v.Ready)
		require.NotEmpty(t, v.Stuck)
		_, err := sim.submit("a-e9", spec("acme", "assay", "x", 100), time.Second)
		require.Equal(t, fault.Unavailable, fault.KindOf(err))
	})
}

// TestFreshHostFromPeer starts a host after retention has dropped records that no
// snapshot covers. The host must restore the state of a peer.
func TestFreshHostFromPeer(t *testing.T) {
	inTunedSimulation(t, func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 100_000, 24*time.Hour }, func(t *testing.T, sim *simulation) {
		sim.log.SetRetention(time.Minute)
		time.Sleep(5 * time.Minute)
		startedAt := time.Now()
		sim.startHost("a-e9", "a")
		require.True(t, sim.waitUntil(30*time.Second, func() bool { return sim.host("a-e9").View().Ready }))
		t.Logf("ready after %s", time.Since(startedAt))
		require.Equal(t, sim.host("a-e0").View().Version, sim.host("a-e9").View().Version)
	})
}

// TestServingWhileCutOff submits small requests in a data centre that is cut off from
// the log and from the other data centre. All must complete.
func TestServingWhileCutOff(t *testing.T) {
	inTwoDataCentres(t, func(t *testing.T, sim *simulation) {
		sim.setCut("b", "a", true)
		sim.setCut("a", "b", true)
		sim.setCut("b", "store", true)
		sim.setCut("store", "b", true)
		ok, refused := 0, 0
		for i := range 200 {
			r, err := sim.submit(fmt.Sprintf("b-e%d", i%3), spec("acme", "assay", fmt.Sprintf("cut-%d", i), 100), 5*time.Second)
			switch {
			case err == nil && r.Outcome != nil && r.Outcome.Result == job.Completed:
				ok++
			case fault.NothingDone(err):
				refused++
			}
			time.Sleep(300 * time.Millisecond)
		}
		t.Logf("%d of 200 served, %d refused", ok, refused)
		require.Equal(t, 200, ok)
	})
}

// TestLongOutage runs a gang through a log outage that is longer than all leases and
// than the retention, and in which the placer dies. The gang must keep running and
// complete without a second attempt.
func TestLongOutage(t *testing.T) {
	inTunedSimulation(t, func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 50, 20*time.Second }, func(t *testing.T, sim *simulation) {
		sim.log.SetRetention(time.Minute)
		_, err := sim.submit("a-e0", gangOf(4, 200_000), 0)
		require.NoError(t, err)
		require.True(t, sim.waitUntil(5*time.Second, func() bool { return len(sim.runningWorkers("gang")) == 4 }))
		sim.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(10 * time.Second)
		sim.killHost(sim.activePlacer())
		time.Sleep(2 * time.Minute)
		require.Len(t, sim.runningWorkers("gang"), 4, "the gang did not keep running")
		sim.log.SetFaults(standin.LogFaults{})
		r, err := sim.submit(sim.hostNames()[0], gangOf(4, 200_000), 4*time.Minute)
		for err != nil && fault.NothingDone(err) {
			time.Sleep(time.Second)
			r, err = sim.submit(sim.hostNames()[0], gangOf(4, 200_000), 4*time.Minute)
		}
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, 4, sim.countRuns("gang"), "the gang ran again")
	})
}

// TestWorkerThatFailsEverything has a worker that fails all tasks, which must soon
// receive no more work, and a job that fails on every worker, which must fail after
// three runs.
func TestWorkerThatFailsEverything(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		sim.workers["a-w0"].SetFaults(standin.WorkerFaults{FailAll: true})
		for i := range 30 {
			s := spec("acme", "plan", fmt.Sprintf("ok-%d", i), 300)
			s.Key = fmt.Sprintf("ok-%d", i)
			r, err := sim.submit("a-e0", s, 30*time.Second)
			require.NoError(t, err)
			require.NotNil(t, r.Outcome)
			require.Equal(t, job.Completed, r.Outcome.Result, "%+v", r.Outcome.Reason)
		}
		require.LessOrEqual(t, len(sim.workers["a-w0"].History()), 6, "the worker still receives work")
		bad := spec("acme", "plan", "bad", 300)
		bad.Key, bad.Payload = "bad", standin.TaskSpec{RunTime: 300, Echo: "bad", Fail: true}.Payload()
		r, err := sim.submit("a-e0", bad, 30*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Failed, r.Outcome.Result)
		require.Equal(t, 3, sim.countRuns("bad"))
	})
}

// TestNeverRunnable submits jobs that no data centre could ever run. They must be
// refused at once, with the largest size that would fit.
func TestNeverRunnable(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		s := gangOf(9, 100)
		_, err := sim.submit("a-e0", s, time.Second)
		require.Equal(t, fault.Infeasible, fault.KindOf(err))
		require.ErrorContains(t, err, "8 members")
		s = spec("acme", "x", "x", 100)
		s.Accelerators = 9
		_, err = sim.submit("a-e0", s, time.Second)
		require.Equal(t, fault.Infeasible, fault.KindOf(err))
	})
}
