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
	b.Report = httpserver.Reporter(h.Logger, &h.Metrics)
	return b
}

// newPools returns the parts of the budget for callers, the readiness check and the metrics.
func newPools(b *httpserver.Budget) []*httpserver.Pool {
	return []*httpserver.Pool{b.NewPool("callers", 1-2*probeShare), b.NewPool("ready", probeShare), b.NewPool("metrics", probeShare)}
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
