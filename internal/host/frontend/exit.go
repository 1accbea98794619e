package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/retry"
)

// noteExit notes the newest term in which, according to the claim in force, this host may
// still coordinate. It is called only while the host neither coordinates nor claims the
// role: the process that coordinated in that term has ended, the role was lost to another
// host, or the store executed a claim whose outcome the host did not learn. A later claim
// of this host has a higher term.
func (h *Host) noteExit() {
	h.mu.Lock()
	term := h.table.Claim.ActiveTerm(h.Name())
	h.mu.Unlock()
	if term > h.exitedTerm.Load() {
		h.exitedTerm.Store(term)
	}
}

// reportExits records the exits that noteExit has noted, until ctx ends. Only this host can
// know that it gives no more orders. The coordinator then need not wait for leases that
// might still be renewed.
func (h *Host) reportExits(ctx context.Context) {
	recorded := uint64(0)
	for ctx.Err() == nil {
		if term := h.exitedTerm.Load(); term > recorded {
			if h.recordExit(ctx, term) {
				recorded = term
			} else {
				retry.Pause(ctx, exitRetryPause)
			}
			continue
		}
		retry.Pause(ctx, roleCheckInterval)
	}
}

// recordExit tries to write an exit record and reports whether it is in the store. A late
// or duplicate record is harmless, since terms only increase.
func (h *Host) recordExit(ctx context.Context, term uint64) bool {
	r, err := jobstate.ExitRecord(&jobstate.Exit{Host: h.Name(), Term: term})
	if err != nil {
		h.Logger.Error("departure cannot be written", slog.String("error", err.Error()))
		return false
	}
	if err = h.record(ctx, r); err != nil {
		h.Logger.Warn("departure not recorded", slog.Uint64("term", term), slog.String("error", err.Error()))
		return false
	}
	h.Logger.Info("departure recorded", slog.Uint64("term", term))
	return true
}

// exitRetryPause is the pause after a failed attempt to write the exit record.
const exitRetryPause = 500 * time.Millisecond
