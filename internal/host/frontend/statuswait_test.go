package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// applyRecords applies records to the host's job table from an offset on.
func applyRecords(t *testing.T, h *Host, offset uint64, records ...jobstate.Record) {
	t.Helper()
	for i, r := range records {
		h.applyJob(keyedstore.Entry{Offset: offset + uint64(i), Record: r})
	}
}

// Guards against callers that are told that a job runs right before its end is read, and against
// memory that is kept for queries of jobs that have ended.
func TestStatusQueryWaitsForTheEnd(t *testing.T) {
	h := newAccessHost(t).Host
	h.config.Store((&queueconfig.Document{Routes: []queueconfig.Route{{Name: "plans", Host: "q", Prefix: "/plans/", Public: true}}}).Configuration())
	h.configVerifiedAt.Store(h.now())
	h.jobsVerifiedAt.Store(h.now())
	status := func(ctx context.Context, id string) Response {
		return h.Serve(ctx, &Request{Verb: Query, Host: "q", Path: "/plans/" + id, ValidID: func(string) bool { return true }})
	}
	s := &jobspec.Spec{ID: "job", Route: "plans", Organisation: "crew", Steps: []jobspec.Step{{Tasks: 1}}}
	accepted, err := jobstate.AcceptedRecord(s)
	require.NoError(t, err)
	applyRecords(t, h, 0, accepted)
	answer := make(chan Response, 1)
	go func() { answer <- status(context.Background(), "job") }()
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.endWaiters) == 1
	}, statusWait/2, statusWait/100, "the query waits")
	records, err := jobstate.EndedRecords(s, &jobspec.Progress{State: jobspec.Completed})
	require.NoError(t, err)
	applyRecords(t, h, 1, records...)
	assert.Equal(t, jobspec.Completed, (<-answer).State)
	assert.Empty(t, h.endWaiters)

	assert.Equal(t, jobspec.Completed, status(context.Background(), "job").State)
	assert.Empty(t, h.endWaiters, "a query for an ended job does not wait")

	s.ID = "open"
	accepted, err = jobstate.AcceptedRecord(s)
	require.NoError(t, err)
	applyRecords(t, h, 5, accepted)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, jobspec.Queued, status(ctx, "open").State, "the caller has left")
	h.Drain()
	assert.Equal(t, jobspec.Queued, status(context.Background(), "open").State, "the host shuts down")
	assert.Equal(t, statusWait, statusWaitFor(3*time.Second))
	assert.Equal(t, 25*time.Millisecond, statusWaitFor(100*time.Millisecond), "the caller waits for less")
}
