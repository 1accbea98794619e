package frontend

import (
	"fmt"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
)

// maxBacklogAge is the maximum age of the coordinator's last claim at which its backlogs count, in
// milliseconds. It renews the claim every 500 ms.
const maxBacklogAge = 3000

// refuseIfTooLate returns a refusal and true if the jobs of the queue wait for so long that the job
// could not end while that is of use to its caller. Periodic, long-running and urgent jobs are never
// refused for that.
func (h *Host) refuseIfTooLate(s *jobspec.Spec) (Response, bool) {
	wait := h.backlogOf(s.Route)
	if wait == 0 || s.Priority == 0 || s.Occurrences > 0 || s.LongRunning() {
		return Response{}, false
	}
	retryAfter, ok := precedence.Admit(wait, s.CriticalPath(), s.Objective())
	if ok {
		return Response{}, false
	}
	h.Metrics.Count("tooLate", s.Organisation, s.Route, 1)
	resp := notExecuted(fmt.Sprintf("jobs of this queue wait for %d s, and this one could not end in its time", wait/1000))
	resp.RetryAfter = max(resp.RetryAfter, time.Duration(retryAfter)*time.Millisecond)
	return resp, true
}

// backlogOf returns how long the jobs of a route wait, in milliseconds; 0 if that is short or not
// known.
func (h *Host) backlogOf(route string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now()-h.claimSeenAt > maxBacklogAge {
		return 0
	}
	for _, b := range h.table.Claim.Backlogs {
		if b.Route == route {
			return b.Wait
		}
	}
	return 0
}
