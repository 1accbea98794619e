package coordinator

// recordAnswer records that w answered with the given clock.
func (w *worker) recordAnswer(now, clock int64) {
	w.clock, w.clockAt, w.silentSince = clock, now, 0
}

// estimatedClock returns an estimate of the worker's clock at now, extrapolated from
// its last answer.
func (w *worker) estimatedClock(now int64) int64 { return w.clock + now - w.clockAt }

// extendLease records the end, on w's clock, of a lease that w may have received.
func (w *worker) extendLease(until int64) { w.leaseEnd = max(w.leaseEnd, until) }

// leaseExpired reports whether w's lease has certainly expired, so that everything on
// it has ended. The elapsed time is scaled by minClockRate, since the worker's clock
// may run slow.
func (s *State) leaseExpired(w *worker) bool {
	if w.clockAt == 0 {
		// The worker has not answered yet. An earlier coordinator may have renewed its
		// lease until the predecessors were known to be gone.
		return s.predecessorsGone && float64(s.now-s.predecessorsGoneAt)*minClockRate > float64(s.Lease+leaseMargin)
	}
	leaseEnd := max(w.leaseEnd, w.clock+s.Lease)
	return float64(s.now-w.clockAt)*minClockRate > float64(leaseEnd-w.clock+leaseMargin)
}

// markPredecessorsGone records that leases of earlier terms are no longer renewed.
func (s *State) markPredecessorsGone() {
	if !s.predecessorsGone {
		s.predecessorsGone, s.predecessorsGoneAt = true, s.now
	}
}

// leaseMargin covers the network delay of an order to the worker, in milliseconds.
const leaseMargin = 100
