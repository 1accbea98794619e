package frontend

import "github.com/limpetrelay/limpetrelay/internal/host/hostconfig"

// Reload puts the settings in force that may change while the host runs: the bounds
// that a coordinator works with, from its next term on, and the one for withdrawn
// keys at once.
func (h *Host) Reload(s *hostconfig.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reloaded = s
	h.revocation.Store(s.Revocation)
}

// bounds returns the settings in force for a new term.
func (h *Host) bounds() hostconfig.Settings {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reloaded != nil {
		return *h.reloaded
	}
	return h.Settings
}

// UpdateGauges sets the metrics that tell what the host believes.
func (h *Host) UpdateGauges() {
	now := h.now()
	h.Metrics.Gauge("configurationAgeMs", float64(now-h.configProof.Load()))
	h.Metrics.Gauge("bookAgeMs", float64(now-h.jobsProof.Load()))
	h.Metrics.Gauge("leading", boolGauge(h.IsLeader()))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Metrics.Gauge("bookNext", float64(h.book.NextOffset))
	h.Metrics.Gauge("bookJobs", float64(len(h.book.Jobs)))
	h.Metrics.Gauge("bookTerm", float64(h.book.Claim.Term))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
