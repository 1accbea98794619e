package coordinator

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

const (
	// drainLease is the length of the leases of a worker that is about to leave, in
	// milliseconds. What it leaves behind starts elsewhere only after its lease, which is
	// therefore short, but outlasts a poll whose answer is lost.
	drainLease = 3000
	// drainValidity is the time after the last successful append at which such leases end at
	// the latest, in milliseconds; it is ClaimValidity for all others. It exceeds drainLease
	// by the time between two renewals of the claim.
	drainValidity = 4000
)

// leaseFor returns the length of the next lease for w, which may be 0. Leases end with the
// validity of the claim, so that the next coordinator knows when they have ended although
// it cannot reach w.
func (s *State) leaseFor(w *worker) int64 {
	if s.mustEndLease(w) {
		return 0
	}
	lease, validity := s.Lease, s.ClaimValidity
	if w.Draining || s.recordedLeases[w.ID].short || w.shortUntilBatch > s.written {
		lease, validity = min(lease, drainLease), drainValidity
	}
	return max(0, min(lease, s.claimVerifiedAt+validity-s.now))
}

// mustEndLease reports whether the store may say when w's lease ends. Nothing may extend it
// before that is replaced.
func (s *State) mustEndLease(w *worker) bool {
	l := s.recordedLeases[w.ID]
	return l.Bound != nil && !l.short || w.endingUntilBatch > s.written
}

// recordedLease is the record of a worker's leases.
type recordedLease struct {
	jobstate.RecordedLease
	// short is set if Bound bounds all leases of a worker that is about to leave. They may be
	// extended, unlike others with a bound.
	short bool
}

// sameAs reports whether a successor learns the same from l and m, but for the time that has
// passed.
func (l *recordedLease) sameAs(m *recordedLease) bool {
	if (l.Bound == nil) != (m.Bound == nil) || l.Long != m.Long || l.Unseen != m.Unseen || l.short != m.short {
		return false
	}
	return l.Bound == nil || l.Bound.MaybeUnseen == m.Bound.MaybeUnseen
}

// recordLeases adds the changes of the recorded leases to a batch: those of the workers of new
// placements, whose starts wait for it, and every RenewInterval, or when a worker waits for its
// lease to be extended, those of all.
func (s *State) recordLeases(r *Record) {
	if !s.renewalDue && s.now < s.leasesRefreshedAt+s.RenewInterval {
		for _, u := range s.unrecordedUnits {
			if u.batch != r.Batch {
				continue
			}
			for _, a := range u.attempts {
				s.updateLease(r, a.w, false)
			}
		}
		return
	}
	s.leasesRefreshedAt = s.now
	for _, w := range s.sortedWorkers() {
		s.updateLease(r, w, true)
	}
	for _, id := range slices.Sorted(maps.Keys(s.recordedLeases)) {
		if s.workers[id] == nil {
			s.recordLease(r, id, nil, false)
		}
	}
}

// updateLease adds the record of w's lease to a batch if it has changed or, with refresh, if it
// says how much time is left.
func (s *State) updateLease(r *Record, w *worker, refresh bool) {
	old, recorded := s.recordedLeases[w.ID]
	l, ok := s.lease(w)
	ending := l.Bound != nil && !l.short
	unchanged := !ok
	if recorded {
		unchanged = ok && l.sameAs(&old) && (!refresh || !ending)
	}
	if unchanged {
		return
	}
	if old.Bound != nil && !old.short && !ending {
		w.endingUntilBatch = r.Batch
	}
	if old.short && !l.short {
		w.shortUntilBatch = r.Batch
	}
	s.recordLease(r, w.ID, &l, ok)
}

// recordLease adds the record of a worker's lease to a batch, or its deletion if there is none.
func (s *State) recordLease(r *Record, id string, l *recordedLease, ok bool) {
	if !ok {
		delete(s.recordedLeases, id)
		r.Details = append(r.Details, jobstate.DropLeaseRecord(id))
		return
	}
	l.Term, l.Renewal = s.Term, s.renewals+1
	d, err := jobstate.LeaseRecord(id, &l.RecordedLease)
	if err != nil {
		s.log("lease not recorded", slog.String("worker", id), slog.String("error", err.Error()))
		return
	}
	s.recordedLeases[id] = *l
	r.Details = append(r.Details, d)
}

// lease returns what the store must say of w's leases; ok is false if there is nothing. Bounded
// are those of workers that do not answer, which are not extended, and of workers that are about
// to leave, which never last longer than drainValidity. Long are those of workers with runs that
// may have restarted or have; they include workers that have not answered in this term. Only
// workers with runs matter.
func (s *State) lease(w *worker) (l recordedLease, ok bool) {
	if len(w.attempts) == 0 {
		return l, false
	}
	l.Unseen = w.hasUnseenStart() || s.maybeUnseen(w)
	l.Long = l.Unseen || w.hasUnconfirmedStart() || w.clockAt != 0 && s.leaseLeft(w) > s.Lease+leaseMargin
	unheard := s.unheard(w)
	if !w.lifetimeOver && (unheard || w.Draining) {
		left := s.allLeasesLeft(w)
		switch {
		case unheard:
			l.Bound = &jobstate.WorkerLease{Worker: w.ID, Left: left, MaybeUnseen: s.maybeUnseen(w)}
		case w.clockAt != 0 && w.reconciled && !w.clockReset && w.entryIsCurrent() && left <= drainValidity:
			l.Bound, l.short = &jobstate.WorkerLease{Worker: w.ID, Left: drainValidity}, true
		}
	}
	return l, l.Long || l.Bound != nil
}

// unheard reports whether the lease of w is recorded as one that is not extended, since w does
// not answer. One that has not answered in this term has no lease from this coordinator:
// what is known of it is passed on at once, as the term may be short.
func (s *State) unheard(w *worker) bool {
	if w.clockAt != 0 {
		return s.silentFor(w) > s.SilenceTimeout
	}
	if _, ok := s.priorLeases[w.ID]; ok || w.silentSince != 0 {
		return true
	}
	return s.now-s.acquiredAt > s.SilenceTimeout || !w.listed && s.now-s.acquiredAt >= s.RenewInterval
}

// PriorLeases returns the bounded leases and the workers with longer leases that the claim c of
// the last coordinator and the leases recorded beside it name, d milliseconds after the claim was
// read at the latest. maxLease is Settings.MaxLease.
func PriorLeases(c *jobstate.Claim, recorded jobstate.Leases, d, maxLease int64) (bounded []jobstate.WorkerLease, long []string) {
	long = slices.Clone(c.LongLeases)
	for _, id := range slices.Sorted(maps.Keys(recorded)) {
		l := recorded[id]
		switch {
		case l.Bound != nil && l.Precedes(c):
			bounded = append(bounded, passOn(*l.Bound, d))
		case l.Bound != nil && l.Term == c.Term:
			bounded = append(bounded, *l.Bound)
		case l.Unseen && (c.Resigned || l.Term != c.Term):
			// No time may have passed since the start was sent, and it may be executed late.
			bounded = append(bounded, jobstate.WorkerLease{Worker: id, Left: maxLease + lateExecution, MaybeUnseen: true})
		}
		if l.Long {
			long = append(long, id)
		}
	}
	// What the claim itself names is newer.
	return append(bounded, PassOn(c.Leases, d)...), long
}

// PassOn returns the leases that a claim names, d milliseconds after it was read at the latest.
func PassOn(leases []jobstate.WorkerLease, d int64) []jobstate.WorkerLease {
	var ls []jobstate.WorkerLease
	for _, l := range leases {
		ls = append(ls, passOn(l, d))
	}
	return ls
}

// passOn returns a lease, d milliseconds after it was recorded.
func passOn(l jobstate.WorkerLease, d int64) jobstate.WorkerLease {
	l.Left = max(0, l.Left-scaleElapsed(d))
	return l
}

// recordAnswer records that w answered with the given clock.
func (s *State) recordAnswer(w *worker, clock int64) {
	w.silentSince = 0
	if s.mustEndLease(w) {
		// Once the record of its lease is replaced, the lease may be extended again.
		s.renewalDue = true
	}
	switch {
	case w.clockAt == 0 && w.previousLifetime == 0:
		// An earlier coordinator may have granted a lease until now.
		w.extendLease(clock + s.Lease)
		if len(w.attempts) > 0 {
			// While it was young, the lifetime may have executed an order for the one before.
			w.extendLease(min(clock, lateExecution) + s.MaxLease)
		}
		if w.restartedSincePlaced() {
			w.extendLease(clock + s.MaxLease)
		}
	case w.clockAt == 0 || clock < w.clock-maxOvertaking:
		// The worker has restarted. It may have executed orders for its last lifetime, whose
		// leases refer to the last clock, and has shortened them to MaxLease.
		w.leaseEnd, w.clockReset = clock+s.MaxLease+maxOvertaking, true
	case clock < w.clock:
		// A later answer has overtaken this one.
		return
	}
	if w.previousLifetime != 0 && s.now-w.lifetimeSeenAt < lateExecution {
		w.extendLease(clock + s.MaxLease)
	}
	w.clock, w.clockAt = clock, s.now
}

// lateExecution is how long after its last lifetime a worker may still execute calls that were
// sent to it, in milliseconds. Calls without an answer are executed up to 12 s late.
const lateExecution = 12_000

// maxOvertaking is the time by which an answer may be overtaken, in milliseconds. It exceeds
// the timeouts of all calls.
const maxOvertaking = 3000

// estimatedClock returns an estimate of the worker's clock at now, extrapolated from
// its last answer.
func (w *worker) estimatedClock(now int64) int64 { return w.clock + now - w.clockAt }

// extendLease records the end, on w's clock, of a lease that w may have received.
func (w *worker) extendLease(until int64) { w.leaseEnd = max(w.leaseEnd, until) }

// leaseExpired reports whether w's lease has certainly expired, so that everything on
// it has ended that no unseen restart may hold longer; see runLeft.
func (s *State) leaseExpired(w *worker) bool { return s.leaseLeft(w) < 0 }

// leaseLeft returns for how long w's lease may still last on w's clock, in milliseconds. It
// is negative once the lease has certainly expired. The elapsed time is scaled by
// minClockRate, since the clock may run slow.
func (s *State) leaseLeft(w *worker) int64 {
	if w.clockAt == 0 {
		// The worker has not answered yet. An earlier coordinator may have renewed its
		// lease until its claim ran out, or until it was known to be gone.
		sinceAcquired := scaleElapsed(s.now - s.acquiredAt)
		left := s.ClaimValidity - sinceAcquired
		if s.UnboundedLeases {
			left += s.Lease
		}
		if prior, ok := s.priorLeases[w.ID]; ok {
			if prior.MaybeUnseen {
				return prior.Left - sinceAcquired + leaseMargin
			}
			left = min(left, prior.Left-sinceAcquired)
		}
		if s.predecessorsGone {
			lease := s.Lease
			if s.UnboundedLeases || slices.Contains(s.PriorLongLeases, w.ID) {
				lease = max(lease, s.MaxLease+orderRetryInterval)
			}
			left = min(left, lease-scaleElapsed(s.now-s.predecessorsGoneAt))
		}
		return left + leaseMargin
	}
	return w.leaseEnd - w.clock + leaseMargin - scaleElapsed(s.now-w.clockAt)
}

// runLeft returns for how long the lease of an attempt may still last, in milliseconds; it
// is negative once that has certainly expired. If the attempt's worker has restarted unseen
// and then executed the start order, it shortened all leases since, which refer to the
// last clock, to MaxLease.
func (s *State) runLeft(a *attempt) int64 {
	left := s.leaseLeft(a.w)
	if !a.maybeUnseen {
		return left
	}
	executed := a.w.leaseSentAt + lateExecution
	return max(left, s.MaxLease+leaseMargin+max(0, executed-s.now)-scaleElapsed(max(0, s.now-executed)))
}

// allLeasesLeft returns for how long a lease of w or of a run on it may still last, in milliseconds.
func (s *State) allLeasesLeft(w *worker) int64 {
	left := max(0, s.leaseLeft(w))
	for _, a := range w.attempts {
		left = max(left, s.runLeft(a))
	}
	return left
}

// hasUnseenStart reports whether w has an attempt of which this coordinator has sent a start, or
// is about to, that no list of runs accounts for yet.
func (w *worker) hasUnseenStart() bool {
	for _, a := range w.attempts {
		if a.maybeUnseen || a.phase == phasePlanned {
			return true
		}
	}
	return false
}

// hasUnconfirmedStart reports whether w has an attempt of which it is not known whether it runs.
func (w *worker) hasUnconfirmedStart() bool {
	for _, a := range w.attempts {
		if a.phase == phaseUnconfirmed {
			return true
		}
	}
	return false
}

// anyOver reports whether the lease of an attempt on w has certainly expired.
func (s *State) anyOver(w *worker) bool {
	for _, a := range w.attempts {
		if s.runLeft(a) < 0 {
			return true
		}
	}
	return false
}

// maybeUnseen reports whether a lease of w that is awaited may belong to an unseen restart.
func (s *State) maybeUnseen(w *worker) bool {
	for _, a := range w.attempts {
		if a.maybeUnseen {
			return true
		}
	}
	return w.clockAt == 0 && s.priorLeases[w.ID].MaybeUnseen
}

// olderThanList reports whether an answer that has arrived at now shows a process that began
// before the newest list of runs was requested. Clocks begin at 0.
func (w *worker) olderThanList(now, clock int64) bool {
	return w.listSentAt != 0 && clock > now-w.listSentAt
}

// restartedSincePlaced reports whether an attempt on w was placed in another lifetime.
func (w *worker) restartedSincePlaced() bool {
	for _, a := range w.attempts {
		if a.lifetime != 0 && a.lifetime != w.currentLifetime {
			return true
		}
	}
	return false
}

// scaleElapsed returns the least time, in milliseconds, that passes on a worker's clock
// while d milliseconds pass here.
func scaleElapsed(d int64) int64 { return int64(float64(d) * minClockRate) }

// markPredecessorsGone records that leases of earlier terms are no longer renewed.
func (s *State) markPredecessorsGone() {
	if !s.predecessorsGone {
		s.predecessorsGone, s.predecessorsGoneAt = true, s.now
	}
}

// leaseMargin covers the network delay of an order to the worker, in milliseconds.
const leaseMargin = 100
