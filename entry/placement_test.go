package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/standin"
)

// setPolicy sets the placement policy by a patch.
func (sim *simulation) setPolicy(t *testing.T, p config.Policy) {
	t.Helper()
	_, err := sim.patch("a-e0", config.Patch{
		Base: sim.host("a-e0").View().Version, Author: "op", Changes: []config.Change{{SetPolicy: &p}},
	})
	require.NoError(t, err)
}

// wholeWorkerJob returns a job of lender on n whole workers that runs for ms.
func wholeWorkerJob(key string, n int, ms int64) job.Spec {
	s := spec("lender", "batch", key, ms)
	s.Accelerators, s.Members, s.Key = 8, n, key
	return s
}

// attemptCount returns how often the job of a key was placed.
func (sim *simulation) attemptCount(key string) int {
	n := 0
	sim.host(sim.activePlacer()).inspect(sim.ctx, func(s *dispatch.State) {
		for _, j := range s.Ledger.Jobs {
			if j.Spec.Key == key {
				n = j.Attempt
			}
		}
	})
	return n
}

// TestMoveMakesRackWhole runs a job in the second rack until there is free capacity
// in the first. With a fragmentation weight the job must be migrated there with its
// progress, which frees the whole second rack; with a weight of 0 it must stay.
func TestMoveMakesRackWhole(t *testing.T) {
	for _, weight := range []float64{3, 0} {
		t.Run(fmt.Sprintf("fragmentation weight %g", weight), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t.Context(), t)
				defer sim.stop()
				sim.addWorkers("a", 16)
				sim.startHost("a-e0", "a")
				sim.startHost("a-e1", "a")
				require.True(t, sim.waitUntilReady(16))
				require.NoError(t, sim.createOrganisations("a-e0", map[string]rack.Shape{"lender": {}}))
				sim.setPolicy(t, config.Policy{CompletionWeight: 1, FragmentationWeight: weight})
				for i := range 8 {
					_, err := sim.submit("a-e0", wholeWorkerJob(fmt.Sprint("fill", i), 1, 5*60_000), 0)
					require.NoError(t, err)
				}
				_, err := sim.submit("a-e0", wholeWorkerJob("moved", 2, 20*60_000), 0)
				require.NoError(t, err)
				require.True(t, sim.waitUntil(time.Minute, func() bool { return len(sim.runningWorkers("moved")) == 2 }))
				startedAt := time.Now()
				r, err := sim.submit("a-e1", wholeWorkerJob("moved", 2, 20*60_000), 60*time.Minute)
				require.NoError(t, err)
				require.Equal(t, job.Completed, r.Outcome.Result)
				if weight == 0 {
					require.Equal(t, 1, sim.attemptCount("moved"), "a job must not be moved for its completion time alone")
					return
				}
				require.Equal(t, 2, sim.attemptCount("moved"))
				require.Less(t, time.Since(startedAt), 21*time.Minute, "the move must keep the progress")
				var racks []string
				for _, a := range r.Outcome.Answers {
					racks = append(racks, sim.workers[a.Worker].Rack)
				}
				require.Equal(t, []string{"a-r0", "a-r0"}, racks)
			})
		})
	}
}

// TestAgedGangGetsItsCells lets a gang wait for four workers while younger jobs use
// the workers that become free. After a share of the age limit the gang is overdue, and
// cells must be reserved for it. With the other half of the workers guaranteed to another
// organisation, the reserved cells are all that the gang can use, and its own
// reservation must not block it.
func TestAgedGangGetsItsCells(t *testing.T) {
	for _, guaranteed := range []bool{true, false} {
		t.Run(fmt.Sprintf("guaranteed=%t", guaranteed), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				org := "acme"
				if guaranteed {
					require.NoError(t, sim.createOrganisations("a-e0", map[string]rack.Shape{"lender": {rack.LevelWorker: 4}}))
				} else {
					org = "lender"
				}
				sim.setPolicy(t, config.Policy{GangAgeLimit: 4 * 60_000})
				for i := range 8 {
					s := wholeWorkerJob(fmt.Sprint("first", i), 1, 20*60_000)
					if i%2 == 0 {
						s = wholeWorkerJob(s.Key, 1, int64(2+i/2)*60_000)
						s.Organisation = org
					} else if !guaranteed {
						s.Organisation = "acme"
					}
					_, err := sim.submit("a-e0", s, 0)
					require.NoError(t, err)
				}
				gang := wholeWorkerJob("gang", 4, 1000)
				gang.Organisation, gang.Adjacency = org, rack.AdjacencyRack
				startedAt := time.Now()
				_, err := sim.submit("a-e1", gang, 0)
				require.NoError(t, err)
				for i := 0; time.Since(startedAt) < 8*time.Minute && sim.countRuns("gang") == 0; i++ {
					younger := wholeWorkerJob(fmt.Sprint("young", i), 1, 90_000)
					younger.Organisation = org
					_, err := sim.submit("a-e0", younger, 0)
					require.NoError(t, err)
					time.Sleep(10 * time.Second)
				}
				require.Equal(t, 4, sim.countRuns("gang"))
				start := sim.firstStart("gang").Sub(startedAt)
				t.Logf("the gang started after %s", start)
				// The first jobs of org declare a run time of five minutes at the most.
				require.LessOrEqual(t, start, 5*time.Minute+5*time.Second)
			})
		})
	}
}

// TestFailingWorkerStaysOut has a worker that fails all tasks for six minutes. It
// returns on probation after each ejection; its runs must become rarer but never end.
func TestFailingWorkerStaysOut(t *testing.T) {
	const baseEjectionTime = time.Second
	inTunedSimulation(t, func(s *Settings) { s.BaseEjectionTime = baseEjectionTime.Milliseconds() }, func(t *testing.T, sim *simulation) {
		bad := sim.workers["a-w0"]
		bad.SetFaults(standin.WorkerFaults{FailAll: true})
		stop := time.Now().Add(6 * time.Minute)
		for i := 0; time.Now().Before(stop); i++ {
			_, err := sim.submit("a-e0", wholeWorkerJob(fmt.Sprint("p", i), 1, 4000), 0)
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		late := 0
		for _, i := range bad.History() {
			if i.Start.After(stop.Add(-2 * time.Minute)) {
				late++
			}
		}
		t.Logf("%d starts on the worker, %d of them in the last two minutes", len(bad.History()), late)
		// The ejection time has doubled four times by then.
		require.LessOrEqual(t, late, 1+int(2*time.Minute/(16*baseEjectionTime)))
		require.NotZero(t, late, "the worker must be tried again")
	})
}

// TestOversizedJob submits jobs that use more resources than they declare, so that
// the workers stop them. Each must end as failed after three workers at the most,
// other jobs must not be affected, and no worker may be ejected.
func TestOversizedJob(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		for i := range 12 {
			s := spec("acme", "plan", fmt.Sprint("good", i), 3000)
			s.Key, s.Accelerators = fmt.Sprint("good", i), 2
			_, err := sim.submit("a-e0", s, 0)
			require.NoError(t, err)
		}
		for i := range 6 {
			s := spec("acme", "plan", fmt.Sprint("big", i), 100)
			s.Key, s.RunTime = fmt.Sprint("big", i), 10
			s.Payload = standin.TaskSpec{RunTime: 200, Echo: fmt.Sprint("big", i), Oversize: true}.Payload()
			r, err := sim.submit("a-e1", s, 30*time.Second)
			require.NoError(t, err)
			require.NotNil(t, r.Outcome)
			require.Equal(t, job.Failed, r.Outcome.Result)
			require.Contains(t, r.Outcome.Reason.Message, "declared size")
			require.LessOrEqual(t, sim.countRuns(fmt.Sprint("big", i)), 3)
		}
		for i := range 12 {
			s := spec("acme", "plan", fmt.Sprint("good", i), 3000)
			s.Key, s.Accelerators = fmt.Sprint("good", i), 2
			r, err := sim.submit("a-e2", s, 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, job.Completed, r.Outcome.Result)
			require.Equal(t, 1, sim.countRuns(fmt.Sprint("good", i)))
		}
		sim.host("a-e0").inspect(sim.ctx, func(s *dispatch.State) {
			for n, wk := range s.Ledger.Workers {
				require.Equal(t, record.Live, wk.State, n)
			}
		})
	})
}
