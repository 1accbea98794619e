package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/audit"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// gangOf returns a gang of n whole workers that runs for ms.
func gangOf(n int, ms int64) job.Spec {
	s := spec("acme", "plan", "gang", ms)
	s.Members, s.Accelerators, s.Adjacency, s.Key = n, 8, rack.AdjacencyRack, "gang"
	return s
}

// longestPartialRun returns the longest time for which an attempt of the gang named
// echo ran with only some of its n members.
func (sim *simulation) longestPartialRun(echo string, n int) time.Duration {
	requests := []*audit.RequestHistory{{Echo: echo, Spec: job.Spec{Members: n}}}
	var longest time.Duration
	byAttempt := map[string][]standin.Interval{}
	for _, wk := range sim.workers {
		for _, i := range wk.History() {
			if i.Echo == requests[0].Echo {
				byAttempt[i.Task[:len(i.Task)-1]] = append(byAttempt[i.Task[:len(i.Task)-1]], i)
			}
		}
	}
	for _, is := range byAttempt {
		longest = max(longest, audit.PartialRunTime(is, n))
	}
	return longest
}

// runningWorkers returns the workers on which the job named echo runs.
func (sim *simulation) runningWorkers(echo string) []string {
	var names []string
	for n, wk := range sim.workers {
		for _, i := range wk.History() {
			if i.Echo == echo && i.End.IsZero() {
				names = append(names, n)
			}
		}
	}
	return names
}

// TestGangLosesMember makes a running gang lose a member in several ways. The other
// members must stop within a bound, and the gang must run again with all members.
func TestGangLosesMember(t *testing.T) {
	for _, c := range []struct {
		name  string
		lose  func(sim *simulation, worker string)
		bound time.Duration
	}{
		{"worker dies", func(sim *simulation, n string) { sim.workers[n].Kill(); sim.workers[n].Restart(n + ".2") }, 4 * time.Second},
		{"worker is silent", func(sim *simulation, n string) { sim.workers[n].SetFaults(silentFault) }, partialBound},
		{"worker is cut off", func(sim *simulation, n string) {
			for _, h := range sim.hostNames() {
				sim.setCut(h, n, true)
			}
		}, partialBound},
		{"worker is silent and the placer dies", func(sim *simulation, n string) {
			sim.workers[n].SetFaults(silentFault)
			sim.killHost(sim.activePlacer())
		}, partialBound},
		{"worker is silent and three placers die", func(sim *simulation, n string) {
			sim.workers[n].SetFaults(silentFault)
			for i := range 3 {
				old := sim.activePlacer()
				sim.killHost(old)
				sim.startHost(fmt.Sprintf("a-n%d", i), "a")
				sim.waitUntil(20*time.Second, func() bool { return sim.activePlacer() != "" })
				time.Sleep(2 * time.Second)
			}
		}, partialBound},
		{"worker is silent and the log is down", func(sim *simulation, n string) {
			sim.workers[n].SetFaults(silentFault)
			sim.log.SetFaults(standin.LogFaults{Down: true})
			sim.after(sim.ctx, 30*time.Second, func() { sim.log.SetFaults(standin.LogFaults{}) })
		}, partialBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				_, err := sim.submit(sim.follower(), gangOf(4, 20_000), 0)
				require.NoError(t, err)
				require.True(t, sim.waitUntil(5*time.Second, func() bool { return len(sim.runningWorkers("gang")) == 4 }))
				time.Sleep(2 * time.Second)
				c.lose(sim, sim.runningWorkers("gang")[0])
				r, err := sim.submit(sim.hostNames()[0], gangOf(4, 20_000), 3*time.Minute)
				for try := 0; err != nil && try < 10; try++ {
					time.Sleep(10 * time.Second)
					r, err = sim.submit(sim.hostNames()[0], gangOf(4, 20_000), 3*time.Minute)
				}
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				require.Equal(t, job.Completed, r.Outcome.Result, "%+v", r.Outcome.Reason)
				d := sim.longestPartialRun("gang", 4)
				t.Logf("ran in part for %s", d)
				require.LessOrEqual(t, d, c.bound)
			})
		})
	}
}

// TestGangStartsWholeOrNotAtAll makes one worker not answer, or lose its responses,
// while a gang is reserved and started. The gang must not run in part, and must run
// once the worker is healthy.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	for _, c := range []struct {
		name string
		f    standin.WorkerFaults
	}{
		{"reserve is lost", silentFault},
		{"answers are lost", standin.WorkerFaults{LoseAnswers: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				// The gang needs all eight workers, so it cannot avoid the faulty one.
				sim.workers["a-w0"].SetFaults(c.f)
				s := gangOf(8, 2000)
				_, err := sim.submit("a-e0", s, 0)
				require.NoError(t, err)
				time.Sleep(5 * time.Second)
				require.Zero(t, sim.longestPartialRun("gang", 8).Truncate(2*time.Second), "a part of the gang ran")
				sim.workers["a-w0"].SetFaults(standin.WorkerFaults{})
				r, err := sim.submit("a-e0", s, time.Minute)
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				require.Equal(t, job.Completed, r.Outcome.Result)
			})
		})
	}
}

// silentFault makes all calls to a worker hang.
var silentFault = standin.WorkerFaults{Silent: true}

// TestRefusedPlaceIsNotRepeated occupies one slot of every worker without the
// placer's knowledge, so that each worker refuses a job that needs a whole worker.
// Each may refuse it only once, or a loop of placements and refusals fills the log,
// and the job must run when there is free capacity.
func TestRefusedPlaceIsNotRepeated(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		for n, wk := range sim.workers {
			go func() {
				_, _ = wk.Upstream().Run(sim.ctx, upstream.Run{Wait: 5000, Order: upstream.Order{
					Task: "behind/" + n, Lease: 10_000, Payload: standin.TaskSpec{RunTime: 3000}.Payload(),
				}})
			}()
		}
		time.Sleep(10 * time.Millisecond)
		appends := sim.log.AppendCount()
		s := spec("lender", "batch", "whole", 100)
		s.Key = "whole"
		s.Accelerators = 8
		r, err := sim.submit("a-e0", s, 30*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		n := sim.log.AppendCount() - appends
		t.Logf("%d appends", n)
		// One append each to accept, place and end the job, and two per refusal, to
		// place and to requeue it.
		require.LessOrEqual(t, n, 3+2*len(sim.workers))
	})
}

// TestLateStart freezes the placer after it has decided to start a gang and before
// it sends the first start, while the other workers restart. The next placer ends
// the attempt, which has lost a member, and places the gang again. When the old
// placer resumes, its late start reaches a worker that had reserved the slots of the
// old attempt. It must not start anything.
func TestLateStart(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		old := sim.activePlacer()
		var once sync.Once
		late := ""
		sim.beforeCall = func(from, to, operation, _ string) {
			if operation != "start" || from != old {
				return
			}
			once.Do(func() {
				late = to
				sim.freeze(old, 20*time.Second)
				for n, wk := range sim.workers {
					if n != to {
						wk.Kill()
						wk.Restart(n + ".2")
					}
				}
			})
		}
		r, err := sim.submit(sim.follower(), gangOf(2, 500), 15*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		time.Sleep(30 * time.Second)
		require.NotEmpty(t, late)
		require.Equal(t, 2, sim.countRuns("gang"), "the late start must not start a member")
		require.LessOrEqual(t, sim.longestPartialRun("gang", 2), time.Millisecond)
	})
}
