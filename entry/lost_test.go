package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

// closeB closes the far data centre by a patch at the near one.
func (w *world) closeB(t *testing.T, lost bool) {
	t.Helper()
	_, err := w.patch("a-e0", config.Patch{Base: w.host("a-e0").View().ConfigVersion, Author: "op", Changes: []config.Change{
		{CloseDataCentre: &config.NamedClosing{Name: "b", Closing: config.Closing{Lost: lost}}},
	}})
	require.NoError(t, err)
}

// submitToB enters a running gang, a running once-only job, and a gang that waits
// for the first, in the far data centre.
func (w *world) submitToB(t *testing.T) {
	t.Helper()
	gang := gangOf(4, 60_000)
	gang.Key = "gang"
	waits := gangOf(8, 1000)
	waits.Key, waits.Payload = "waits", spec("acme", "plan", "waits", 1000).Payload
	once := bill(60_000)
	for _, s := range []job.Spec{once, gang, waits} {
		_, err := w.submit("b-e0", s, 0)
		require.NoError(t, err)
		time.Sleep(time.Second)
	}
	require.Len(t, w.runningOn("bill"), 1)
	require.Equal(t, 4, w.gangIn("b"))
}

// gangIn returns how many members of the gang run in a data centre.
func (w *world) gangIn(dc string) int {
	n := 0
	for _, name := range w.runningOn("gang") {
		if w.dataCentre(name) == dc {
			n++
		}
	}
	return n
}

// TestDataCentreLost loses a data centre with all of its hosts and workers, or cuts
// it off whole. By the operators' word its jobs run elsewhere, its once-only job is
// unknown, and callers learn so at the other data centre.
func TestDataCentreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*world)
	}{
		{"destroyed", func(w *world) {
			for _, h := range []string{"b-e0", "b-e1", "b-e2"} {
				w.killHost(h)
			}
			for n, wk := range w.workers {
				if w.dataCentre(n) == "b" {
					wk.Kill()
				}
			}
		}},
		{"cut off", func(w *world) { w.cut("a", "b", true); w.cut("b", "a", true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFarWorld(t, func(t *testing.T, w *world) {
				w.submitToB(t)
				c.lose(w)
				time.Sleep(20 * time.Second)
				w.closeB(t, true)
				require.True(t, w.until(30*time.Second, func() bool { return w.gangIn("a") == 4 }))
				t.Logf("%d members run in the lost data centre", w.gangIn("b"))
				w.cut("a", "b", false)
				w.cut("b", "a", false)
				time.Sleep(10 * time.Second)
				require.Equal(t, 4, w.gangIn("a"))
				require.Zero(t, w.gangIn("b"), "what was given up is stopped")
				for _, key := range []string{"gang", "waits"} {
					s := gangOf(4, 60_000)
					if key == "waits" {
						s = gangOf(8, 1000)
						s.Payload = spec("acme", "plan", "waits", 1000).Payload
					}
					s.Key = key
					r, err := w.submit("a-e1", s, 5*time.Minute)
					require.NoError(t, err)
					require.NotNil(t, r.Outcome)
					require.Equal(t, job.Completed, r.Outcome.Result, key)
				}
				r, err := w.submit("a-e1", bill(60_000), time.Minute)
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				require.Equal(t, job.Unknown, r.Outcome.Result)
				require.Equal(t, 1, w.runsOf("bill"))
				_, err = w.patch("a-e0", config.Patch{Base: w.host("a-e0").View().ConfigVersion, Author: "op", Changes: []config.Change{{OpenDataCentre: "b"}}})
				require.NoError(t, err)
			})
		})
	}
}

// TestDataCentreClosed closes a data centre for maintenance: its running jobs end
// there, the waiting one runs elsewhere, and new ones go elsewhere too.
func TestDataCentreClosed(t *testing.T) {
	inFarWorld(t, func(t *testing.T, w *world) {
		w.submitToB(t)
		w.closeB(t, false)
		require.True(t, w.until(7*time.Second, func() bool { return w.host("b-e1").View().ConfigVersion == w.host("a-e0").View().ConfigVersion }))
		s := spec("acme", "assay", "small", 100)
		r, err := w.submit("b-e1", s, 10*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, "a", w.dataCentre(r.Outcome.Answers[0].Worker), "new work goes elsewhere")
		r, err = w.submit("b-e1", bill(60_000), 2*time.Minute)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, 1, w.runsOf("bill"))
		_, err = w.patch("b-e0", config.Patch{Base: w.host("b-e0").View().ConfigVersion, Author: "op", Changes: []config.Change{
			{CloseDataCentre: &config.NamedClosing{Name: "a"}},
		}})
		require.NoError(t, err)
		_, err = w.submit("a-e0", s, time.Second)
		require.Equal(t, fault.Infeasible, fault.KindOf(err), "all are closed: %v", err)
	})
}
