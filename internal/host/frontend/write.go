package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// firstAttemptTimeout plus three round trips is the time limit of the first attempt of
	// an append. Each further attempt may take twice as long.
	firstAttemptTimeout = 200 * time.Millisecond
	// maxAttemptTimeout is the longest time limit of one attempt.
	maxAttemptTimeout = 1200 * time.Millisecond
	// maxClaimAttempts bounds the attempts to write a claim whose outcome is unknown.
	maxClaimAttempts = 5
	// unknownRetryPeriod is how long an append whose outcome is unknown is retried: its
	// callers wait for about three seconds.
	unknownRetryPeriod = 2800 * time.Millisecond
	// maxRefusals is the number of refusals by the store after which an append fails and
	// its callers are told that nothing was done.
	maxRefusals = 3
	// refusalPause is the pause after the first failed attempt; it doubles after each of
	// the next two.
	refusalPause = 60 * time.Millisecond
	// writeQueueSize is the number of requests that may wait while an append is in
	// progress.
	writeQueueSize = 256
	// maxWriteBatch is the maximum number of requests in one append.
	maxWriteBatch = 64
)

// writer appends the records of callers' requests, one append at a time.
type writer struct {
	queue chan *writeItem
	// name and sequence make appends safe to repeat. The name changes, and renames is
	// incremented, after an append whose outcome stays unknown.
	name     string
	renames  int
	sequence uint64
	// failures counts the attempts that failed in a row, the first of them at failedAt.
	failures atomic.Int64
	failedAt atomic.Int64
}

// writeItem is a record whose request waits until it is appended.
type writeItem struct {
	record jobstate.Record
	// state changes once, from itemWaiting to itemSent or itemWithdrawn.
	state atomic.Int32
	// done receives the result at most once.
	done chan error
}

const (
	itemWaiting = iota
	itemSent
	itemWithdrawn
)

func (w *writer) init() { w.queue = make(chan *writeItem, writeQueueSize) }

// record appends r on behalf of a request. It returns nil once r is in the store. An
// error for which fault.NothingDone holds means that r never will be; after any other
// error r may be in the store or may be added later.
func (h *Host) record(ctx context.Context, r jobstate.Record) error {
	it := &writeItem{record: r, done: make(chan error, 1)}
	select {
	case h.writer.queue <- it:
	default:
		return fault.New(fault.Overloaded, "too many requests are waiting to be recorded", "retry later")
	}
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
		if it.state.CompareAndSwap(itemWaiting, itemWithdrawn) {
			return fault.New(fault.Unavailable, "the request was not sent to the store in time", "send it again")
		}
		select {
		case err := <-it.done:
			return err
		default:
			return fault.New(fault.Unknown, "the store has not confirmed the request yet", "send it again under the same ID")
		}
	}
}

// write appends the records of requests in batches until ctx ends.
func (h *Host) write(ctx context.Context) {
	w := &h.writer
	w.name = h.Incarnation
	// next is an item that did not fit into the last batch.
	var next *writeItem
	for {
		var batch []*writeItem
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case next = <-w.queue:
			}
		}
		batch, next = w.collectBatch(next, h.MaxAppendBytes)
		if len(batch) == 0 {
			continue
		}
		rs := make([]jobstate.Record, len(batch))
		for i, it := range batch {
			rs[i] = it.record
		}
		err := h.appendWithRetry(ctx, rs)
		for _, it := range batch {
			it.done <- err
		}
	}
}

// collectBatch returns a batch of waiting items that begins with first, and an item that did not
// fit into it; nil for none. Its records take at most maxBytes, unless there is only one.
func (w *writer) collectBatch(first *writeItem, maxBytes int64) (batch []*writeItem, next *writeItem) {
	batch = w.addToBatch(nil, first)
	size := int64(recordSize(&first.record))
	for len(batch) < maxWriteBatch {
		select {
		case it := <-w.queue:
			if size += int64(recordSize(&it.record)); size > maxBytes && len(batch) > 0 {
				return batch, it
			}
			batch = w.addToBatch(batch, it)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// addToBatch adds an item to a batch unless it was withdrawn.
func (w *writer) addToBatch(batch []*writeItem, it *writeItem) []*writeItem {
	if it.state.CompareAndSwap(itemWaiting, itemSent) {
		return append(batch, it)
	}
	return batch
}

// appendWithRetry appends records under the writer's name. It retries the call until it
// succeeds, the store has refused it maxRefusals times, or the callers can no longer
// wait for an unknown outcome.
func (h *Host) appendWithRetry(ctx context.Context, rs []jobstate.Record) error {
	w := &h.writer
	a := keyedstore.AppendRequest{Topic: h.Topics.Jobs, Records: rs, Writer: w.name, Epoch: 1, Sequence: w.sequence}
	unknown := false
	refusals := 0
	began := h.now()
	for attempt := 0; ; attempt++ {
		err := h.appendOnce(ctx, a, attempt)
		if err == nil {
			w.failures.Store(0)
			w.sequence++
			return nil
		}
		if w.failures.Add(1) == 1 {
			w.failedAt.Store(h.now())
		}
		if h.storeUnavailable() {
			w.refuseWaiting()
		}
		if fault.NothingDone(err) {
			refusals++
		} else {
			unknown = true
		}
		last := refusals >= maxRefusals || contentRefused(err)
		if unknown {
			last = h.now()-began > unknownRetryPeriod.Milliseconds() || fault.KindOf(err) == fault.Internal
		}
		if last || ctx.Err() != nil {
			if unknown {
				// The last append may still arrive, so that its sequence number cannot be reused.
				w.renames++
				w.name = fmt.Sprintf("%s-%d", h.Incarnation, w.renames)
				w.sequence = 0
				err = fault.Newf(fault.Unknown, "send the request again under the same ID", "the store did not confirm the append: %v", err)
			}
			h.Logger.Warn("append given up", slog.Int("records", len(rs)), slog.Int("tries", attempt+1), slog.Bool("unknown", unknown),
				slog.String("error", err.Error()))
			return err
		}
		retry.Pause(ctx, refusalPause<<min(attempt, 2))
	}
}

// unavailableAfter is the number of consecutive failed attempts after which the store
// counts as unavailable, since single answers are lost even while it works.
const unavailableAfter = 2

// storeUnavailable reports whether the store is known not to answer: the last read of
// the jobs failed, or appends have failed and no read of the jobs sent later has
// succeeded. Requests are then refused before anything is sent to the store.
func (h *Host) storeUnavailable() bool {
	w := &h.writer
	return h.jobsReadFailed.Load() || w.failures.Load() >= unavailableAfter && h.jobsVerifiedAt.Load() < w.failedAt.Load()
}

// refuseWaiting fails all queued requests, of which nothing has been sent.
func (w *writer) refuseWaiting() {
	for {
		select {
		case it := <-w.queue:
			if it.state.CompareAndSwap(itemWaiting, itemWithdrawn) {
				it.done <- fault.New(fault.Unavailable, "the store does not answer", "send it again")
			}
		default:
			return
		}
	}
}

// updateRoundTrip updates the moving average of the store's round trip with the
// duration of a call. For a call without an answer this is its time limit.
func (h *Host) updateRoundTrip(took int64) {
	h.roundTrip.Store((roundTripWeight*h.roundTrip.Load() + took) / (roundTripWeight + 1))
}

// roundTripWeight is the weight of the previous average in roundTrip; a new call has
// the weight 1.
const roundTripWeight = 3

// appendOnce makes one attempt of an append and updates roundTrip. The time limit grows
// with the number of previous attempts.
func (h *Host) appendOnce(ctx context.Context, a keyedstore.AppendRequest, attempt int) error {
	limit := (firstAttemptTimeout + 3*time.Duration(h.roundTrip.Load())*time.Millisecond) << min(attempt, 4)
	ctx, cancel := context.WithTimeout(ctx, min(limit, maxAttemptTimeout))
	defer cancel()
	sent := h.now()
	_, err := h.Store.Append(ctx, a)
	took := h.now() - sent
	h.Metrics.Observe("appendTime", "", "", took)
	h.updateRoundTrip(took)
	if err != nil && fault.KindOf(err) != fault.Conflict && fault.KindOf(err) != fault.Fenced {
		h.monitor.reportFailure("append", err)
	} else {
		h.monitor.reportSuccess("append")
	}
	return err
}
