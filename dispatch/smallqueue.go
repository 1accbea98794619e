package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
)

// smallView is what the small path knows of a worker.
type smallWorkerView struct {
	// free is the number of free slots that the worker told at the time at, and
	// sent the number of slots asked for since.
	free, requestedSlots int
	reportedAt           int64
	avoidUntil           int64
	inFlight             int
	// failures counts failed tasks since the last success.
	failures int
}

// chooseWorker returns the better of two random workers that may have room
// (the power of two choices, Mitzenmacher 2001), or nil.
func (s *State) chooseWorker(m *smallRequest) *ledger.Worker {
	var best *ledger.Worker
	bestFree, seen := 0, 0
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
		if seen++; best == nil || free > bestFree {
			best, bestFree = w, free
		}
		if seen == 2 {
			break
		}
	}
	return best
}

// smallRoom returns how many slots a worker is believed to have free for m.
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

// letWait queues a request that has no worker.
func (s *State) queueSmall(m *smallRequest) {
	m.wasQueued = true
	s.smallQueue.Push(m.Spec.Organisation, m.id, m.arrivedAt)
}

// turnSmalls offers the waiting requests to the workers, one organisation after
// the other.
func (s *State) dispatchQueuedSmall() {
	if s.now < s.nextSmallDispatch {
		return
	}
	s.nextSmallDispatch = s.now + smallQueueInterval
	s.smallQueue.Turn(func(id string) bool {
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

// recordSmall records a request that has waited long as a job, when its
// organisation has unused guarantee that could be reclaimed for it. It reports
// whether it did. The number on their way is bounded, so that an overload of
// small requests does not become one of the log.
func (s *State) recordSmall(m *smallRequest) bool {
	if s.now-m.arrivedAt <= s.SmallRecordAfter || m.mayHaveRun || s.logDown || s.draining || !s.Ready || len(s.pendingRecords) >= maxPendingToRecordSmall {
		return false
	}
	if _, ok := s.Ledger.Plan(s.DataCentre).Guarantee(m.Spec.Organisation, m.need); !ok {
		return false
	}
	delete(s.smallByID, m.id)
	e := m.Submit
	e.Wait = m.deadline - s.now
	s.observe(m.Spec.Organisation, m.Spec.Class, "smallRecorded", 1)
	s.recordJob(&e, s.DataCentre)
	return true
}
