package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/retry"
)

// outbox holds the records that are not yet confirmed in the log. Only one
// batch is in flight at a time, and records are sent in the order of their
// sequence numbers. A dropped record can therefore never be applied once a
// later one has been seen.
type outbox struct {
	sequence uint64
	queue    []outboxItem
	// inFlight is the number of items at the head of queue that the append in
	// flight contains.
	inFlight int
	// appended holds the items that are in the log and that this host has not read yet, in
	// the order of their sequence numbers.
	appended []outboxItem
	// retryAt is the earliest time of the next append.
	retryAt int64
	backoff retry.Backoff
	// logDown is set by a failed call to the log and cleared by the next
	// successful one.
	logDown bool
	// logHeardAt is when the log last answered.
	logHeardAt int64
}

// outboxItem is a record in the outbox.
type outboxItem struct {
	record record.Record
	// payload is the size of the part of the record that a caller chose, in bytes.
	payload int64
	// mayBeApplied is set when an append with an unknown result contained the
	// record.
	mayBeApplied bool
	// dropped is set for records that must not be sent again.
	dropped bool
}

// flushOutbox starts an append unless one is in flight.
func (s *State) flushOutbox() {
	if s.inFlight > 0 || s.now < s.retryAt {
		return
	}
	kept := s.queue[:0]
	for _, it := range s.queue {
		if !it.dropped {
			kept = append(kept, it)
		}
	}
	s.queue = kept
	if len(s.queue) == 0 {
		return
	}
	a := &Append{}
	var payload int64
	for i := range s.queue[:min(len(s.queue), s.BatchRecords)] {
		payload += s.queue[i].payload
		if i > 0 && payload > maxBatchPayload {
			break
		}
		a.Batch = append(a.Batch, s.queue[i].record)
		a.MayBeApplied = a.MayBeApplied || s.queue[i].mayBeApplied
	}
	s.inFlight = len(a.Batch)
	s.emit(Effect{Append: a})
}

// maxBatchPayload bounds the payloads in one append, in bytes, and thereby the entries of the
// log, since other hosts read several of them in one message of at most wire.MaxMessage.
const maxBatchPayload = 256 << 10

// payloadBytes returns the size of the part of r that a caller chose, in bytes.
func payloadBytes(r *record.Record) int64 {
	switch {
	case r.Accept != nil:
		return int64(len(r.Accept.Spec.Payload))
	case r.Patch != nil:
		return r.Patch.Size()
	}
	return 0
}

// onAppended processes the result of the append in flight.
func (s *State) onAppended(a *Appended) {
	n := s.inFlight
	s.inFlight = 0
	if a.Err == nil {
		s.appended = append(s.appended, s.queue[:n]...)
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

// dropRead drops the appended records that the ledger contains.
func (s *State) dropRead() {
	last, n := s.Ledger.Sequences[s.Incarnation].Last, 0
	for n < len(s.appended) && s.appended[n].record.Sequence <= last {
		n++
	}
	s.appended = slices.Delete(s.appended, 0, n)
}

// markLogUp notes that the log has just answered, and allows the next append at
// once.
func (s *State) markLogUp() {
	s.logDown = false
	s.logHeardAt = s.now
	s.retryAt = 0
	s.backoff.Reset()
}

// dropUnapplied answers the callers whose records, among the first n items,
// were certainly not applied. The host's own records are kept for the next
// append.
func (s *State) dropUnapplied(n int, err error) {
	for i := range s.queue[:n] {
		it := &s.queue[i]
		p, waits := s.pendingRecords[it.record.Sequence]
		if !waits || it.mayBeApplied {
			continue
		}
		it.dropped = true
		delete(s.pendingRecords, it.record.Sequence)
		e := fault.As(err)
		s.replyError(p.waiter, fault.Newf(fault.Unavailable, "submit it again later", "nothing was done: %s", e.Message))
	}
}

// timeOutRecord answers a caller whose record got no verdict in time.
func (s *State) timeOutRecord(seq uint64, p pendingRecord) {
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
		s.replyError(p.waiter, fault.New(fault.Unavailable, "nothing was done: the log did not answer in time", "submit it again later"))
		return
	}
	s.replyError(p.waiter, fault.New(fault.Unknown, "the log did not confirm the record in time",
		"query the request by its key at any host before submitting it again"))
}
