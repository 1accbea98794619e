package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/retry"
)

// departureStep is the time between two looks at whether the book has been read.
const departureStep = 50 * time.Millisecond

// reportDeparture tells the others when an earlier process of this host coordinated
// and did not resign: only this host knows that it has ended. The next coordinator then
// need not wait for leases that it might still renew.
func (h *Host) reportDeparture(ctx context.Context) {
	for ctx.Err() == nil && !h.isLoaded() {
		retry.Pause(ctx, departureStep)
	}
	h.mu.Lock()
	c := h.lastLife
	h.mu.Unlock()
	if c.Term != 0 && !c.Resigned && c.Host == h.Name() && c.Incarnation != h.Incarnation {
		h.recordDeparture(ctx, c.Term)
	}
	<-ctx.Done()
}

// recordDeparture repeats the record until it is written. It may come late or twice
// without harm, since terms only rise.
func (h *Host) recordDeparture(ctx context.Context, term uint64) {
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
		retry.Pause(ctx, departureAgain)
	}
}

// departureAgain is the pause after a failed try.
const departureAgain = 500 * time.Millisecond
