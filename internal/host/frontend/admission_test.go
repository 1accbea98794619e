package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// Guards against jobs that are accepted although their queue's backlog makes them useless, and against
// refusals of others: by an old claim, of urgent, periodic and lasting jobs, and of those in time.
func TestJobsThatWouldEndTooLateAreRefused(t *testing.T) {
	now := int64(100_000)
	h := &Host{Dependencies: Dependencies{Monotonic: func() int64 { return now }}}
	h.init()
	h.claimSeenAt = now - 500
	h.table.Claim.Backlogs = []jobstate.Backlog{{Route: "plans", Wait: 60_000}}
	job := func(change func(*jobspec.Spec)) *jobspec.Spec {
		s := &jobspec.Spec{Route: "plans", Priority: 1, Stretch: 3, Slack: 1000, Steps: []jobspec.Step{{Tasks: 1, Estimate: 5000}}}
		change(s)
		return s
	}
	resp, refused := h.refuseIfTooLate(job(func(*jobspec.Spec) {}))
	assert.True(t, refused)
	assert.Equal(t, NotExecuted, resp.Outcome)
	assert.Equal(t, 17*time.Second, resp.RetryAfter, "until the queue has drained from 65 s to three objectives of 16 s")
	for name, change := range map[string]func(*jobspec.Spec){
		"another queue": func(s *jobspec.Spec) { s.Route = "other" },
		"urgent":        func(s *jobspec.Spec) { s.Priority = 0 },
		"periodic":      func(s *jobspec.Spec) { s.Occurrences = 4 },
		"lasting":       func(s *jobspec.Spec) { s.Steps[0].LongRunning = true },
		"in time":       func(s *jobspec.Spec) { s.Steps[0].Estimate = 20_000 },
		"no estimate":   func(s *jobspec.Spec) { s.Steps[0].Estimate = 0 },
	} {
		_, refused := h.refuseIfTooLate(job(change))
		assert.False(t, refused, name)
	}
	now += maxBacklogAge
	_, refused = h.refuseIfTooLate(job(func(*jobspec.Spec) {}))
	assert.False(t, refused, "the claim is old")
}
