package coordinator

// heard notes an answer with the worker's clock.
func (w *worker) recordAnswer(now, clock int64) {
	w.clock, w.clockAt, w.silentSince = clock, now, 0
}

// clockNow returns an estimate of the worker's clock.
func (w *worker) estimatedClock(now int64) int64 { return w.clock + now - w.clockAt }

// leased notes the end of a lease that the worker may have taken.
func (w *worker) extendLease(until int64) { w.leaseEnd = max(w.leaseEnd, until) }

// lapsed reports whether everything on w has certainly ended by its lease.
func (s *State) leaseExpired(w *worker) bool {
	if w.clockAt == 0 {
		// An earlier coordinator may have renewed the lease until it was certainly gone.
		return s.predecessorsGone && float64(s.now-s.predecessorsGoneAt)*minClockRate > float64(s.Lease+leaseMargin)
	}
	lease := max(w.leaseEnd, w.clock+s.Lease)
	return float64(s.now-w.clockAt)*minClockRate > float64(lease-w.clock+leaseMargin)
}

// priorIsGone notes that leases of earlier terms are not renewed any more.
func (s *State) markPredecessorsGone() {
	if !s.predecessorsGone {
		s.predecessorsGone, s.predecessorsGoneAt = true, s.now
	}
}

// leaseMargin covers the way of an order to the worker, in milliseconds.
const leaseMargin = 100
