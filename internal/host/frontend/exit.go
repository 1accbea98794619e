package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/retry"
)

// loadCheckInterval is the time between two checks whether the job table is loaded.
const loadCheckInterval = 50 * time.Millisecond

// reportExit writes an exit record if an earlier process of this host was the
// coordinator and did not resign; only this host can know that the process has ended.
// The next coordinator then need not wait for leases that the ended process might
// still renew. reportExit returns when ctx ends.
func (h *Host) reportExit(ctx context.Context) {
	for ctx.Err() == nil && !h.isLoaded() {
		retry.Pause(ctx, loadCheckInterval)
	}
	h.mu.Lock()
	c := h.initialClaim
	h.mu.Unlock()
	if c.Term != 0 && !c.Resigned && c.Host == h.Name() && c.Incarnation != h.Incarnation {
		h.recordExit(ctx, c.Term)
	}
	<-ctx.Done()
}

// recordExit retries the exit record until it is written or ctx ends. A late or
// duplicate record is harmless, since terms only increase.
func (h *Host) recordExit(ctx context.Context, term uint64) {
	r, err := jobstate.ExitRecord(&jobstate.Exit{Term: term})
	if err != nil {
		h.Logger.Error("departure cannot be written", slog.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		if err = h.record(ctx, r); err == nil {
			h.Logger.Info("departure of the last process recorded", slog.Uint64("term", term))
			return
		}
		h.Logger.Warn("departure not recorded", slog.Uint64("term", term), slog.String("error", err.Error()))
		retry.Pause(ctx, exitRetryPause)
	}
}

// exitRetryPause is the pause after a failed attempt to write the exit record.
const exitRetryPause = 500 * time.Millisecond
