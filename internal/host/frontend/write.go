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
	// firstTry is how long the first try of an append may take beyond three round
	// trips; each further try may take twice as long.
	firstTry = 200 * time.Millisecond
	// lastTry is the longest that one try may take.
	lastTry = 1200 * time.Millisecond
	// unknownTries is how often a claim of unknown fate is repeated.
	unknownTries = 5
	// unknownFor is how long an append of unknown fate is repeated: its callers wait for
	// about three seconds.
	unknownFor = 2800 * time.Millisecond
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
	// failures counts the tries of an append that failed in a row, since failedAt.
	failures atomic.Int64
	failedAt atomic.Int64
}

// item is a record that a request waits for.
type item struct {
	record jobstate.Record
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
func (h *Host) record(ctx context.Context, r jobstate.Record) error {
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
		rs := make([]jobstate.Record, len(batch))
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
func (h *Host) appendSafely(ctx context.Context, rs []jobstate.Record) error {
	w := &h.writer
	a := keyedstore.AppendRequest{Topic: h.Topics.Jobs, Records: rs, Writer: w.name, Epoch: 1, Sequence: w.sequence}
	unknown := false
	refusals := 0
	began := h.now()
	for try := 0; ; try++ {
		err := h.appendOnce(ctx, a, try)
		if err == nil {
			w.failures.Store(0)
			w.sequence++
			return nil
		}
		if w.failures.Add(1) == 1 {
			w.failedAt.Store(h.now())
		}
		if h.storeAway() {
			w.refuse()
		}
		if fault.NothingDone(err) {
			refusals++
		} else {
			unknown = true
		}
		last := refusals >= refusedTries
		if unknown {
			last = h.now()-began > unknownFor.Milliseconds() || fault.KindOf(err) == fault.Internal
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
		retry.Pause(ctx, refusedPause<<min(try, 2))
	}
}

// awayAfter is the number of failed tries after which the store counts as away; single
// answers are lost also while it serves.
const awayAfter = 2

// storeAway reports whether the store is known not to answer: calls have failed, and no
// read that was sent later has succeeded. Requests are then refused before anything of
// them is sent.
func (h *Host) storeAway() bool {
	w := &h.writer
	return h.jobsFailing.Load() || w.failures.Load() >= awayAfter && h.jobsProof.Load() < w.failedAt.Load()
}

// refuse ends the wait of all requests that nothing was sent of.
func (w *writer) refuse() {
	for {
		select {
		case it := <-w.items:
			if it.state.CompareAndSwap(itemWaiting, itemWithdrawn) {
				it.done <- fault.New(fault.Unavailable, "the store does not answer", "send it again")
			}
		default:
			return
		}
	}
}

// noteRoundTrip takes the time of a call, which for one without an answer is its limit,
// into the time that the store is expected to take.
func (h *Host) noteRoundTrip(took int64) {
	h.roundTrip.Store((roundTripWeight*h.roundTrip.Load() + took) / (roundTripWeight + 1))
}

// roundTripWeight is the weight of the past in the store's round trip, against one call.
const roundTripWeight = 3

// appendOnce makes one try of an append, which may take the longer the more there
// have been.
func (h *Host) appendOnce(ctx context.Context, a keyedstore.AppendRequest, try int) error {
	limit := (firstTry + 3*time.Duration(h.roundTrip.Load())*time.Millisecond) << min(try, 4)
	ctx, cancel := context.WithTimeout(ctx, min(limit, lastTry))
	defer cancel()
	sent := h.now()
	_, err := h.Store.Append(ctx, a)
	took := h.now() - sent
	h.Metrics.Observe("appendTime", "", "", took)
	h.noteRoundTrip(took)
	if err != nil && fault.KindOf(err) != fault.Conflict && fault.KindOf(err) != fault.Fenced {
		h.down.fail("append", err)
	} else {
		h.down.ok("append")
	}
	return err
}
