package frontend

import (
	"context"
	"time"
)

// statusWait is how long a query for the state of a job that has not ended waits for the job's end. The end is
// told once it is in the store and was read here, up to 250 ms after the last task has ended; a caller
// that is told of an open job right before that asks again only later.
const statusWait = 250 * time.Millisecond

// endWaiters holds, by job, what is closed once the end of the job was read. It is guarded by Host.mu.
type endWaiters map[string]chan struct{}

// wait returns the channel that is closed with the end of a job. Its entry lasts until then.
func (ws endWaiters) wait(id string) <-chan struct{} {
	c := ws[id]
	if c == nil {
		c = make(chan struct{})
		ws[id] = c
	}
	return c
}

// ended wakes those who wait for the end of a job.
func (ws endWaiters) ended(id string) {
	if c := ws[id]; c != nil {
		close(c)
		delete(ws, id)
	}
}

// endedAll wakes all.
func (ws endWaiters) endedAll() {
	for id := range ws {
		ws.ended(id)
	}
}

// statusWaitFor returns how long a query waits whose caller waits for the given time; 0 if the caller
// did not say. Most of that time is left for the way of the answer.
func statusWaitFor(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return statusWait
	}
	return min(statusWait, timeout/4)
}

// awaitEnd waits for the end of a job for up to timeout, unless the job is not open or the host is
// shutting down.
func (h *Host) awaitEnd(ctx context.Context, timeout time.Duration, id string) {
	if h.draining.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h.mu.Lock()
	j := h.table.Jobs[id]
	if j == nil || j.State().Ended() {
		h.mu.Unlock()
		return
	}
	ended := h.endWaiters.wait(id)
	h.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
