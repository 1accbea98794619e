package clerk

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/depot/shelf"
	"github.com/limpetrelay/limpetrelay/internal/yard/book"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// firstTry is how long the first try of an append may take beyond three round
	// trips; each further try may take twice as long.
	firstTry = 200 * time.Millisecond
	// lastTry is the longest that one try may take.
	lastTry = 1200 * time.Millisecond
	// unknownTries is how often an append of unknown fate is repeated before its
	// callers are told that it is not known.
	unknownTries = 5
	// refusedTries is how often an append that the store refuses is repeated before
	// its callers are told that nothing was done.
	refusedTries = 3
	// refusedPause is the pause after a refusal.
	refusedPause = 60 * time.Millisecond
	// writeQueue is the number of requests that may wait for the append on its way.
	writeQueue = 256
	// writeBatch is the number of requests in one append.
	writeBatch = 64
)

// writer appends the records of callers' requests, one append at a time.
type writer struct {
	items chan *item
	// name and sequence make appends safe to repeat.
	name     string
	renamed  int
	sequence uint64
	// failing is set while the last try of an append failed.
	failing atomic.Bool
}

// item is a record that a request waits for.
type item struct {
	record book.Record
	// state goes from waiting to sent, or to withdrawn.
	state atomic.Int32
	// done gets the result once.
	done chan error
}

const (
	itemWaiting = iota
	itemSent
	itemWithdrawn
)

func (w *writer) init() { w.items = make(chan *item, writeQueue) }

// record appends r. It returns nil once r is in the store. The error tells whether
// r may be in the store, or may come to be, or never will.
func (h *Host) record(ctx context.Context, r book.Record) error {
	it := &item{record: r, done: make(chan error, 1)}
	select {
	case h.writer.items <- it:
	default:
		return fault.New(fault.Overloaded, "too many requests wait to be recorded", "come back later")
	}
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
		if it.state.CompareAndSwap(itemWaiting, itemWithdrawn) {
			return fault.New(fault.Unavailable, "the store did not take the request in time", "send it again")
		}
		select {
		case err := <-it.done:
			return err
		default:
			return fault.New(fault.Unknown, "the store has not confirmed the request yet", "send it again under the same ID")
		}
	}
}

// write appends what requests wait for until ctx ends.
func (h *Host) write(ctx context.Context) {
	w := &h.writer
	w.name = h.Incarnation
	for {
		var batch []*item
		select {
		case <-ctx.Done():
			return
		case it := <-w.items:
			batch = w.add(batch, it)
		}
	more:
		for len(batch) < writeBatch {
			select {
			case it := <-w.items:
				batch = w.add(batch, it)
			default:
				break more
			}
		}
		if len(batch) == 0 {
			continue
		}
		rs := make([]book.Record, len(batch))
		for i, it := range batch {
			rs[i] = it.record
		}
		err := h.appendSafely(ctx, rs)
		for _, it := range batch {
			it.done <- err
		}
	}
}

// add takes an item into a batch unless it was withdrawn.
func (w *writer) add(batch []*item, it *item) []*item {
	if it.state.CompareAndSwap(itemWaiting, itemSent) {
		return append(batch, it)
	}
	return batch
}

// appendSafely appends records under the writer's name and repeats the call until
// its fate is known, or for as long as the callers may wait.
func (h *Host) appendSafely(ctx context.Context, rs []book.Record) error {
	w := &h.writer
	a := shelf.Append{Topic: h.Topics.Jobs, Records: rs, Writer: w.name, Epoch: 1, Sequence: w.sequence}
	unknown := false
	refusals := 0
	for try := 0; ; try++ {
		err := h.appendOnce(ctx, a, try)
		w.failing.Store(err != nil)
		switch {
		case err == nil:
			w.sequence++
			return nil
		case !fault.NothingDone(err):
			unknown = true
		default:
			refusals++
		}
		last := refusals >= refusedTries
		if unknown {
			last = try+1 >= unknownTries || fault.KindOf(err) == fault.Internal
		}
		if last || ctx.Err() != nil {
			if unknown {
				// The last append may yet come, so its sequence number cannot be used again.
				w.renamed++
				w.name = fmt.Sprintf("%s-%d", h.Incarnation, w.renamed)
				w.sequence = 0
				err = fault.Newf(fault.Unknown, "send the request again under the same ID", "the append was not answered: %v", err)
			}
			h.Logger.Warn("append given up", slog.Int("records", len(rs)), slog.Int("tries", try+1), slog.Bool("unknown", unknown),
				slog.String("error", err.Error()))
			return err
		}
		if fault.NothingDone(err) {
			retry.Pause(ctx, refusedPause<<min(refusals, 3))
		}
	}
}

// appendOnce makes one try of an append, which may take the longer the more there
// have been.
func (h *Host) appendOnce(ctx context.Context, a shelf.Append, try int) error {
	limit := (firstTry + 3*time.Duration(h.roundTrip.Load())*time.Millisecond) << min(try, 4)
	ctx, cancel := context.WithTimeout(ctx, min(limit, lastTry))
	defer cancel()
	sent := h.now()
	_, err := h.Store.Append(ctx, a)
	h.Metrics.Time("appendTime", "", "", h.now()-sent)
	if err != nil && fault.KindOf(err) != fault.Conflict && fault.KindOf(err) != fault.Fenced {
		h.down.fail("append", err)
	} else {
		h.down.ok("append")
	}
	return err
}
