package frontend

import "github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"

// maxLoggedID bounds a job's ID in the log, in bytes: it is what a caller sent as the last
// part of the path, and the log's queue holds many lines.
const maxLoggedID = 64

// Limits returns the limits of requests in force; the zero value before the first
// configuration has been read.
func (h *Host) Limits() queueconfig.Limits {
	if c := h.config.Load(); c != nil {
		return c.Limits
	}
	return queueconfig.Limits{}
}
