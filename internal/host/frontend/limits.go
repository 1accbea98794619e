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
	// maxPendingAge is how long an admitted job counts without being in the job table, in
	// milliseconds: an append is repeated for 2.8 s, and a read may fail several times.
	maxPendingAge = 10_000
)

// pendingJob is a job that may have been recorded and is not in the job table yet.
type pendingJob struct {
	// bytes is the memory of its spec, and at the time at which it was admitted.
	bytes, at int64
}

// admitJob reports whether there is memory for one more job, on this host and, since all hosts
// have the same jobs, on the others. If so, the job counts until it is in the job table, it is
// withdrawn, or maxPendingAge has passed.
func (h *Host) admitJob(s *jobspec.Spec) bool {
	if h.MemoryMB <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	left := max(minJobMemory, h.MemoryMB<<20/jobMemoryShare) - h.table.SpecBytes
	now := h.now()
	for id, p := range h.pending {
		if j := h.table.Jobs[id]; j != nil && j.Spec != nil || now-p.at > maxPendingAge {
			delete(h.pending, id)
			continue
		}
		left -= p.bytes
	}
	if s.Size() > left/largestJobShare {
		return false
	}
	if h.pending == nil {
		h.pending = make(map[string]pendingJob)
	}
	h.pending[s.ID] = pendingJob{bytes: s.Size(), at: now}
	return true
}

// withdrawJob frees the memory of a job that was not recorded.
func (h *Host) withdrawJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, id)
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
