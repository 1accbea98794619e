package frontend

import "github.com/limpetrelay/limpetrelay/internal/host/hostconfig"

// Reload puts the settings in force that may change while the host runs: the
// coordinator's settings from its next term on, and the revocation timeout at once.
func (h *Host) Reload(s *hostconfig.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reloadedSettings = s
	h.currentRevocationTimeout.Store(s.RevocationTimeout)
}

// currentSettings returns the settings that apply to a new term.
func (h *Host) currentSettings() hostconfig.Settings {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reloadedSettings != nil {
		return *h.reloadedSettings
	}
	return h.Settings
}

// UpdateGauges sets the metrics of the host's copies of the configuration and the jobs,
// and of its role.
func (h *Host) UpdateGauges() {
	now := h.now()
	h.Metrics.SetGauge("configurationAgeMs", float64(now-h.configVerifiedAt.Load()))
	h.Metrics.SetGauge("bookAgeMs", float64(now-h.jobsVerifiedAt.Load()))
	h.Metrics.SetGauge("leading", boolValue(h.IsLeader()))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Metrics.SetGauge("evacuations", float64(len(h.evacuations.active)))
	h.Metrics.SetGauge("bookNext", float64(h.table.NextOffset))
	h.Metrics.SetGauge("bookJobs", float64(len(h.table.Jobs)))
	h.Metrics.SetGauge("bookTerm", float64(h.table.Claim.Term))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
