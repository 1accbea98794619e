package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
)

// urgentBound is the users' limit for the time until urgent work starts.
const urgentBound = 1600 * time.Millisecond

// borrowAllWorkers fills each of the eight workers with a job of an organisation
// that borrows it.
func borrowAllWorkers(t *testing.T, sim *simulation) {
	t.Helper()
	for range 8 {
		s := spec("lender", "batch", "borrow", 3_600_000)
		s.Accelerators = 8
		_, err := sim.submit("a-e0", s, 0)
		require.NoError(t, err)
	}
	require.True(t, sim.waitUntil(10*time.Second, func() bool { return sim.host(sim.activePlacer()).View().Placed == 8 }))
}

// guaranteeClaim returns an urgent gang of acme that needs its whole guarantee.
func guaranteeClaim() job.Spec {
	s := spec("acme", "urgent", "mine", 1000)
	s.Accelerators, s.Members, s.Adjacency, s.Urgent, s.Key = 8, 4, rack.AdjacencyRack, true, "claim"
	return s
}

// firstStart returns when the first run of the job named echo started.
func (sim *simulation) firstStart(echo string) time.Time {
	var first time.Time
	for _, wk := range sim.workers {
		for _, i := range wk.History() {
			if i.Echo == echo && (first.IsZero() || i.Start.Before(first)) {
				first = i.Start
			}
		}
	}
	return first
}

// requireClaimed submits guaranteeClaim and requires that it completes and started
// within urgentBound of startedAt. If it was submitted before, its key makes it the
// same job.
func (sim *simulation) requireClaimed(t *testing.T, host string, startedAt time.Time) {
	t.Helper()
	r, err := sim.submit(host, guaranteeClaim(), 60*time.Second)
	require.NoError(t, err)
	require.NotNil(t, r.Outcome)
	require.Equal(t, job.Completed, r.Outcome.Result)
	start := sim.firstStart("mine").Sub(startedAt)
	t.Logf("start after %s", start)
	require.Less(t, start, urgentBound, "urgent start")
}

func TestReclaim(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		borrowAllWorkers(t, sim)
		startedAt := time.Now()
		sim.requireClaimed(t, "a-e1", startedAt)
	})
}

// TestReclaimWhilePlacerDies claims the guarantee while all cells are borrowed, and
// the placer's process dies, or its host is lost, at the same moment.
func TestReclaimWhilePlacerDies(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*simulation, string)
	}{
		{"process dies", (*simulation).killHost},
		{"host is lost", func(sim *simulation, n string) { sim.freeze(n, time.Hour) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				borrowAllWorkers(t, sim)
				old := sim.activePlacer()
				caller := sim.follower()
				startedAt := time.Now()
				_, err := sim.submit(caller, guaranteeClaim(), 0)
				require.NoError(t, err)
				c.lose(sim, old)
				sim.requireClaimed(t, caller, startedAt)
			})
		})
	}
}

// TestReclaimWithSilentWorker claims the guarantee while a worker does not answer.
// Its cells are not known to be free before its lease expires, so the claim must be
// placed on others.
func TestReclaimWithSilentWorker(t *testing.T) {
	for _, borrowed := range []bool{true, false} {
		t.Run(fmt.Sprintf("borrowed=%t", borrowed), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				if borrowed {
					borrowAllWorkers(t, sim)
				}
				sim.workers["a-w0"].SetFaults(silentFault)
				startedAt := time.Now()
				sim.requireClaimed(t, "a-e1", startedAt)
			})
		})
	}
}

// TestGuaranteeIsRefused submits a guarantee that the racks cannot satisfy, which is
// refused, and then one that they can.
func TestGuaranteeIsRefused(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		err := sim.createOrganisations("a-e1", map[string]rack.Shape{"greedy": {rack.LevelRack: 1}})
		require.ErrorContains(t, err, "1 rack live and whole")
		require.ErrorContains(t, err, "cannot be held")
		require.NoError(t, sim.createOrganisations("a-e1", map[string]rack.Shape{"modest": {rack.LevelWorker: 4}}))
	})
}

// TestNoOrganisationStarves claims one half of a full data centre for acme while the
// jobs in it belong to lender, to which the other half is guaranteed.
func TestNoOrganisationStarves(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		require.NoError(t, sim.createOrganisations("a-e0", map[string]rack.Shape{"lender": {rack.LevelWorker: 4}}))
		borrowAllWorkers(t, sim)
		r, err := sim.submit("a-e1", guaranteeClaim(), 30*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		guaranteed := 0
		sim.host("a-e0").inspect(sim.ctx, func(s *dispatch.State) {
			for _, j := range s.Ledger.Jobs {
				if j.Spec.Organisation == "lender" && j.Guaranteed {
					guaranteed++
				}
			}
		})
		require.Equal(t, 4, guaranteed, "lender must keep its own half")
	})
}
