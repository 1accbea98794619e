package main

import (
	"bytes"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
)

// probeShare is the share of the client budget for each of the readiness check and the
// metrics, which a few clients use.
const probeShare = 1.0 / 16

// newClientBudget returns the budget of the clients of h. It has the limits of the
// configuration in force.
func newClientBudget(h *frontend.Host) *httpserver.Budget {
	b := httpserver.NewBudget(h.MemoryMB<<20, h.MaxDescriptors)
	b.Limits = func() httpserver.Limits {
		l := h.Limits()
		return httpserver.Limits{
			HeaderBytes: l.HeaderBytes, HeaderTimeout: time.Duration(l.HeaderTimeout) * time.Millisecond,
			IdleTimeout: time.Duration(l.IdleTimeout) * time.Millisecond,
		}
	}
	b.Report = func(closed map[httpserver.Closed]int64) { reportClosed(h, closed) }
	return b
}

// newPools returns the parts of the budget for callers, the readiness check and the metrics.
func newPools(b *httpserver.Budget) []*httpserver.Pool {
	return []*httpserver.Pool{b.NewPool("callers", 1-2*probeShare), b.NewPool("ready", probeShare), b.NewPool("metrics", probeShare)}
}

// reportClosed counts the connections that were closed or refused and logs them. Idle ones
// are only counted, since callers leave them behind in ordinary operation.
func reportClosed(h *frontend.Host, closed map[httpserver.Closed]int64) {
	var sum int64
	var attrs []any
	for c, n := range closed {
		name := c.Pool + "." + string(c.Reason)
		h.Metrics.Count("closedConnections", c.Pool, string(c.Reason), n)
		if c.Reason != httpserver.IdleTimedOut {
			sum += n
			attrs = append(attrs, slog.Int64(name, n))
		}
	}
	if sum > 0 {
		h.Logger.Warn("connections closed", append(attrs, slog.Int64("count", sum))...)
	}
}

// metricsHandler serves the metrics as JSON. They are collected for one request at a time,
// since that takes several times the size of the answer.
func metricsHandler(h *frontend.Host, b *httpserver.Budget) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var out bytes.Buffer
		mu.Lock()
		h.UpdateGauges()
		used, conns := b.Usage()
		h.Metrics.SetGauge("clientBytes", float64(used))
		h.Metrics.SetGauge("clientConnections", float64(conns))
		h.Metrics.WriteJSON(&out)
		mu.Unlock()
		if err := httpserver.Reserve(r.Context(), int64(out.Cap())); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := out.WriteTo(w); err != nil {
			h.Logger.Debug("answer not written", slog.String("error", err.Error()))
		}
	})
}
