package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

// closeDataCentreB closes data centre b by a patch at a host of a. lost declares
// that its hosts and workers are gone.
func (sim *simulation) closeDataCentreB(t *testing.T, lost bool) {
	t.Helper()
	_, err := sim.patch("a-e0", config.Patch{Base: sim.host("a-e0").View().Version, Author: "op", Changes: []config.Change{
		{CloseDataCentre: &config.NamedClosing{Name: "b", Closing: config.Closing{Lost: lost}}},
	}})
	require.NoError(t, err)
}

// submitToB submits to data centre b an at-most-once job and a gang, which both
// start, and a second gang that waits for the workers of the first.
func (sim *simulation) submitToB(t *testing.T) {
	t.Helper()
	gang := gangOf(4, 60_000)
	gang.Key = "gang"
	waiting := gangOf(8, 1000)
	waiting.Key, waiting.Payload = "waits", spec("acme", "plan", "waits", 1000).Payload
	once := atMostOnceJob(60_000)
	for _, s := range []job.Spec{once, gang, waiting} {
		_, err := sim.submit("b-e0", s, 0)
		require.NoError(t, err)
		time.Sleep(time.Second)
	}
	require.Len(t, sim.runningWorkers("bill"), 1)
	require.Equal(t, 4, sim.gangMembersIn("b"))
}

// gangMembersIn returns how many members of the gang run in a data centre.
func (sim *simulation) gangMembersIn(dc string) int {
	n := 0
	for _, name := range sim.runningWorkers("gang") {
		if sim.dataCentre(name) == dc {
			n++
		}
	}
	return n
}

// TestDataCentreLost destroys a data centre with all of its hosts and workers, or
// cuts it off. Once the operators declare it lost, its jobs must run in the other
// data centre and its at-most-once job must end as unknown, which callers learn
// there. Work that still runs in a data centre that was cut off must be stopped.
func TestDataCentreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*simulation)
	}{
		{"destroyed", func(sim *simulation) {
			for _, h := range []string{"b-e0", "b-e1", "b-e2"} {
				sim.killHost(h)
			}
			for n, wk := range sim.workers {
				if sim.dataCentre(n) == "b" {
					wk.Kill()
				}
			}
		}},
		{"cut off", func(sim *simulation) { sim.setCut("a", "b", true); sim.setCut("b", "a", true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inTwoDataCentres(t, func(t *testing.T, sim *simulation) {
				sim.submitToB(t)
				c.lose(sim)
				time.Sleep(20 * time.Second)
				sim.closeDataCentreB(t, true)
				require.True(t, sim.waitUntil(30*time.Second, func() bool { return sim.gangMembersIn("a") == 4 }))
				t.Logf("%d members run in the lost data centre", sim.gangMembersIn("b"))
				sim.setCut("a", "b", false)
				sim.setCut("b", "a", false)
				time.Sleep(10 * time.Second)
				require.Equal(t, 4, sim.gangMembersIn("a"))
				require.Zero(t, sim.gangMembersIn("b"), "the abandoned members must be stopped")
				for _, key := range []string{"gang", "waits"} {
					s := gangOf(4, 60_000)
					if key == "waits" {
						s = gangOf(8, 1000)
						s.Payload = spec("acme", "plan", "waits", 1000).Payload
					}
					s.Key = key
					r, err := sim.submit("a-e1", s, 5*time.Minute)
					require.NoError(t, err)
					require.NotNil(t, r.Outcome)
					require.Equal(t, job.Completed, r.Outcome.Result, key)
				}
				r, err := sim.submit("a-e1", atMostOnceJob(60_000), time.Minute)
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				require.Equal(t, job.Unknown, r.Outcome.Result)
				require.Equal(t, 1, sim.countRuns("bill"))
				_, err = sim.patch("a-e0", config.Patch{Base: sim.host("a-e0").View().Version, Author: "op", Changes: []config.Change{{OpenDataCentre: "b"}}})
				require.NoError(t, err)
			})
		})
	}
}

// TestDataCentreClosed closes a data centre for maintenance. Its running jobs
// complete there, while waiting and new jobs run in the other data centre. When both
// are closed, a job must be refused as infeasible.
func TestDataCentreClosed(t *testing.T) {
	inTwoDataCentres(t, func(t *testing.T, sim *simulation) {
		sim.submitToB(t)
		sim.closeDataCentreB(t, false)
		require.True(t, sim.waitUntil(7*time.Second, func() bool { return sim.host("b-e1").View().Version == sim.host("a-e0").View().Version }))
		s := spec("acme", "assay", "small", 100)
		r, err := sim.submit("b-e1", s, 10*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, "a", sim.dataCentre(r.Outcome.Answers[0].Worker), "new work must be placed in the open data centre")
		r, err = sim.submit("b-e1", atMostOnceJob(60_000), 2*time.Minute)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, 1, sim.countRuns("bill"))
		_, err = sim.patch("b-e0", config.Patch{Base: sim.host("b-e0").View().Version, Author: "op", Changes: []config.Change{
			{CloseDataCentre: &config.NamedClosing{Name: "a"}},
		}})
		require.NoError(t, err)
		_, err = sim.submit("a-e0", s, time.Second)
		require.Equal(t, fault.Infeasible, fault.KindOf(err), "all data centres are closed: %v", err)
	})
}
