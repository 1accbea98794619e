package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAskedBeforeRun queries a host before any other method of it was called. The
// query must be answered once the host runs.
func TestAskedBeforeRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), t)
		r := &runningHost{}
		h := &Host{Settings: Settings{}}
		h.Settings.Host, h.DataCentre, h.Incarnation = "a-e0", "a", "a-e0.1"
		h.Dependencies = sim.dependencies("a-e0", r)
		liveWorkers := make(chan int, 1)
		go func() { liveWorkers <- h.LiveWorkers(t.Context()) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.Run(ctx) }()
		select {
		case n := <-liveWorkers:
			require.Zero(t, n)
		case <-time.After(time.Minute):
			require.Fail(t, "the query was not answered")
		}
		cancel()
		require.NoError(t, <-ended)
	})
}
