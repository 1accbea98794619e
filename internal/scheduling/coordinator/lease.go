package coordinator

// heard notes an answer with the worker's clock.
func (w *worker) heard(now, clock int64) {
	w.clock, w.clockAt, w.silentSince = clock, now, 0
}

// clockNow returns an estimate of the worker's clock.
func (w *worker) clockNow(now int64) int64 { return w.clock + now - w.clockAt }

// leased notes the end of a lease that the worker may have taken.
func (w *worker) leased(until int64) { w.lease = max(w.lease, until) }

// lapsed reports whether everything on w has certainly ended by its lease.
func (s *State) lapsed(w *worker) bool {
	if w.clockAt == 0 {
		// An earlier coordinator may have renewed the lease until it was certainly gone.
		return s.priorGone && float64(s.now-s.priorGoneAt)*drift > float64(s.Lease+leaseMargin)
	}
	lease := max(w.lease, w.clock+s.Lease)
	return float64(s.now-w.clockAt)*drift > float64(lease-w.clock+leaseMargin)
}

// priorIsGone notes that leases of earlier terms are not renewed any more.
func (s *State) priorIsGone() {
	if !s.priorGone {
		s.priorGone, s.priorGoneAt = true, s.now
	}
}

// leaseMargin covers the way of an order to the worker, in milliseconds.
const leaseMargin = 100
