package frontend

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// While the newest records of all jobs are read again, nobody may see a part of the job table:
// a host that takes the role with it starts the tasks of the missing jobs a second time.
func TestReloadedTableIsNeverPartial(t *testing.T) {
	const jobs = 3000
	all := make([]keyedstore.Entry, jobs)
	for i := range all {
		r, err := jobstate.AcceptedRecord(&jobspec.Spec{ID: fmt.Sprintf("%016x", i), Steps: []jobspec.Step{{Tasks: 1}}})
		require.NoError(t, err)
		all[i] = keyedstore.Entry{Offset: uint64(i), Record: r}
	}
	h := &Host{Logger: slog.New(slog.DiscardHandler)}
	h.Monotonic = func() int64 { return 1 }
	done := make(chan struct{}, 1)
	go func() {
		for range 30 {
			h.replaceJobs(all)
		}
		done <- struct{}{}
	}()
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		default:
		}
		h.mu.Lock()
		n, loaded := len(h.table.Jobs), h.loaded
		h.mu.Unlock()
		if loaded {
			require.Equal(t, jobs, n)
		}
	}
	assert.True(t, h.loaded)
}

// The coordinator forgets jobs by when this host first read their ends. A table that is not told
// the time makes it forget all of them, one that loses it with a gap makes it keep them longer, and
// a job that is given the ID of a dropped one must not inherit its age.
func TestEndsAreSeenOnTheSteadyClock(t *testing.T) {
	r, err := jobstate.ProgressRecord("b", &jobspec.Progress{State: jobspec.Completed})
	require.NoError(t, err)
	now := int64(70_000)
	h := &Host{Logger: slog.New(slog.DiscardHandler)}
	h.Monotonic = func() int64 { return now }
	h.applyJob(keyedstore.Entry{Offset: 3, Record: r})
	now = 90_000
	h.replaceJobs([]keyedstore.Entry{{Offset: 3, Record: r}})
	assert.Equal(t, int64(70_000), h.table.Jobs["b"].EndSeenAt)
	h.replaceJobs([]keyedstore.Entry{{Offset: 4, Record: r}})
	assert.Equal(t, now, h.table.Jobs["b"].EndSeenAt)
}
