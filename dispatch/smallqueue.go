package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
)

// smallWorkerView is the part of a workerView that serves to choose workers for
// small requests.
type smallWorkerView struct {
	// free is the number of free slots that the worker reported at reportedAt,
	// and requestedSlots the number of slots requested since.
	free, requestedSlots int
	reportedAt           int64
	// avoidUntil is when the worker may be chosen again.
	avoidUntil int64
	// inFlight is the number of this host's open small requests on the worker.
	inFlight int
	// failures counts the tasks that failed since the last success.
	failures int
}

// chooseWorker returns the better of two random workers that may have enough
// free slots (the power of two choices, Mitzenmacher 2001), or nil.
func (s *State) chooseWorker(m *smallRequest) *ledger.Worker {
	var best *ledger.Worker
	bestFree, found := 0, 0
	names := s.Ledger.WorkerNames(s.DataCentre)
	if len(names) == 0 {
		return nil
	}
	start := s.rand.IntN(len(names))
	for i := range names {
		w := s.Ledger.Workers[names[(start+i)%len(names)]]
		if slices.Contains(m.failedOn, w.Name) {
			continue
		}
		free, ok := s.smallFreeSlots(w, m)
		if !ok {
			continue
		}
		if found++; best == nil || free > bestFree {
			best, bestFree = w, free
		}
		if found == 2 {
			break
		}
	}
	return best
}

// smallFreeSlots returns the estimated number of free slots of a worker, and
// whether they are enough for m. It returns false for workers that must not run
// m now.
func (s *State) smallFreeSlots(w *ledger.Worker, m *smallRequest) (int, bool) {
	if w.State != record.Live || m.Spec.Accelerators > 0 && !w.Accelerated {
		return 0, false
	}
	if h, ok := s.hosts[w.Name]; ok && h.Leaving {
		return 0, false
	}
	v := &s.view(w.Name).small
	if s.now < v.avoidUntil {
		return 0, false
	}
	free := w.Slots - v.inFlight
	if s.now-v.reportedAt < freeSlotsTTL && v.reportedAt != 0 {
		free = v.free - v.requestedSlots
	}
	return free, free >= m.need.Level.Slots()
}

// queueSmall queues a request that has no worker.
func (s *State) queueSmall(m *smallRequest) {
	m.wasQueued = true
	s.smallQueue.Push(m.Spec.Organisation, m.id, m.arrivedAt)
}

// dispatchQueuedSmall sends queued requests to workers, round-robin over the
// organisations.
func (s *State) dispatchQueuedSmall() {
	if s.now < s.nextSmallDispatch {
		return
	}
	s.nextSmallDispatch = s.now + smallQueueInterval
	s.smallQueue.Dispatch(func(id string) bool {
		m := s.smallByID[id]
		if m == nil || m.worker != "" {
			return true
		}
		if w := s.chooseWorker(m); w != nil {
			s.sendSmall(m, w)
			return true
		}
		return s.recordSmall(m)
	})
}

// recordSmall records a request that has waited for longer than SmallRecordAfter
// as a job, if the unused guarantee of its organisation covers it, so that cells
// can be reclaimed for it. It reports whether it did. It records nothing while
// maxPendingToRecordSmall records are pending, so that an overload of small
// requests does not overload the log.
func (s *State) recordSmall(m *smallRequest) bool {
	if s.now-m.arrivedAt <= s.SmallRecordAfter || m.mayHaveRun || s.logDown || s.draining || !s.Ready || len(s.pendingRecords) >= maxPendingToRecordSmall {
		return false
	}
	if _, ok := s.Ledger.Plan(s.DataCentre).FindVirtualCells(m.Spec.Organisation, m.need); !ok {
		return false
	}
	delete(s.smallByID, m.id)
	e := m.Submit
	e.Wait = m.deadline - s.now
	s.observe(m.Spec.Organisation, m.Spec.Class, "smallRecorded", 1)
	s.recordJob(&e, s.DataCentre)
	return true
}
