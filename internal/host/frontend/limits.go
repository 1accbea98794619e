package frontend

import (
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

const (
	// jobMemoryShare is the part of the host's memory, as a divisor, that the specs of all
	// jobs may take. 20,000 jobs of one step take 10 MB; hosts have 144 MB or more.
	jobMemoryShare = 8
	// minJobMemory is the least memory for the specs of all jobs, in bytes: eight times that
	// of the largest job.
	minJobMemory = 16 << 20
	// largestJobShare is the part of the memory that is left, as a divisor, that one more job
	// may take, so that large jobs leave room for others.
	largestJobShare = 8
)

// hasRoom reports whether there is memory for the spec of one more job, on this host and, since
// all hosts have the same jobs, on the others.
func (h *Host) hasRoom(s *jobspec.Spec) bool {
	if h.MemoryMB <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	left := max(minJobMemory, h.MemoryMB<<20/jobMemoryShare) - h.table.SpecBytes
	return s.Size() <= left/largestJobShare
}

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
