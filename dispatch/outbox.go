package dispatch

import (
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/retry"
)

// outbox holds the records on their way to the log. One batch is in flight at
// a time and records leave in the order of their sequence, so that a record
// that was dropped can never be applied once a later one has been seen.
type outbox struct {
	sequence uint64
	queue    []outboxItem
	// inFlight is the number of items at the head of queue being appended.
	inFlight int
	// retryAt is when the next try may be made.
	retryAt int64
	backoff retry.Backoff
	// logDown is set from a failed call to the next successful one.
	logDown bool
	// logHeard is when the log last answered.
	logHeardAt int64
}

// item is a record in the outbox.
type outboxItem struct {
	record record.Record
	// unsure is set when a try may have been applied.
	mayBeApplied bool
	// dropped items are not tried again.
	dropped bool
}

// flush starts an append when none is in flight.
func (s *State) flushOutbox() {
	if s.inFlight > 0 || s.now < s.retryAt {
		return
	}
	keep := s.queue[:0]
	for _, it := range s.queue {
		if !it.dropped {
			keep = append(keep, it)
		}
	}
	s.queue = keep
	if len(s.queue) == 0 {
		return
	}
	a := &Append{}
	for i := range s.queue[:min(len(s.queue), s.BatchRecords)] {
		a.Batch = append(a.Batch, s.queue[i].record)
		a.MayBeApplied = a.MayBeApplied || s.queue[i].mayBeApplied
	}
	s.inFlight = len(a.Batch)
	s.emit(Effect{Append: a})
}

// onAppended takes the result of the append in flight.
func (s *State) onAppended(a *Appended) {
	n := s.inFlight
	s.inFlight = 0
	if a.Err == nil {
		s.queue = s.queue[n:]
		s.markLogUp()
		return
	}
	s.logDown = true
	s.retryAt = s.now + s.backoff.Next(s.rand.Float64())
	if fault.NothingDone(a.Err) {
		s.dropUnapplied(n, a.Err)
		return
	}
	for i := range s.queue[:n] {
		s.queue[i].mayBeApplied = true
	}
}

// heardLog notes that the log answers.
func (s *State) markLogUp() {
	s.logDown = false
	s.logHeardAt = s.now
	s.retryAt = 0
	s.backoff.Reset()
}

// dropRefused answers the callers among the first n items whose records were
// certainly not applied, and keeps the host's own records for the next try.
func (s *State) dropUnapplied(n int, err error) {
	for i := range s.queue[:n] {
		it := &s.queue[i]
		sub, waits := s.pendingRecords[it.record.Sequence]
		if !waits || it.mayBeApplied {
			continue
		}
		it.dropped = true
		delete(s.pendingRecords, it.record.Sequence)
		e := fault.As(err)
		s.replyError(sub.waiter, fault.Newf(fault.Unavailable, "submit it again later", "nothing was done: %s", e.Message))
	}
}

// giveUp answers a caller that waited too long for the log's verdict.
func (s *State) timeOutRecord(seq uint64, sub pendingRecord) {
	for i := range s.queue {
		it := &s.queue[i]
		if it.record.Sequence != seq {
			continue
		}
		if i < s.inFlight {
			break
		}
		it.dropped = true
		if it.mayBeApplied {
			break
		}
		s.replyError(sub.waiter, fault.New(fault.Unavailable, "nothing was done: the log did not answer in time", "submit it again later"))
		return
	}
	s.replyError(sub.waiter, fault.New(fault.Unknown, "the log's verdict did not arrive in time",
		"ask for the request by its key, at any host, before you submit it again"))
}
