package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/wire"
)

// restoreRetryPause is the pause after a failed attempt to restore a snapshot.
const restoreRetryPause = time.Second

// snapshotState is the state of writing snapshots. Only the loop accesses it, save
// for done, on which the writing goroutine sends its result.
type snapshotState struct {
	// newestNext is the offset of the first record that the newest snapshot known
	// to this host does not cover.
	newestNext uint64
	// attemptedAt is when the last attempt to write a snapshot ended; at first, when
	// the loop started.
	attemptedAt time.Time
	writing     bool
	done        chan snapshotResult
}

// snapshotResult is the result of writeSnapshot.
type snapshotResult struct {
	next uint64
	err  error
}

// snapshotIfDue starts writing a snapshot when this host is the placer of its data
// centre and the newest known snapshot is old. The placers of all data centres
// write to the same stream and none is elected for it: each reads the stream
// first, so that few redundant snapshots are written.
func (h *Host) snapshotIfDue(ctx context.Context, s *dispatch.State) {
	if h.snapshots.done == nil {
		h.snapshots.done, h.snapshots.attemptedAt = make(chan snapshotResult, 1), time.Now()
	}
	select {
	case d := <-h.snapshots.done:
		h.snapshots.writing, h.snapshots.attemptedAt = false, time.Now()
		if d.err == nil {
			h.snapshots.newestNext = max(h.snapshots.newestNext, d.next)
		}
	default:
	}
	due := s.Ledger.Next >= h.snapshots.newestNext+h.SnapshotRecords ||
		time.Since(h.snapshots.attemptedAt) > h.SnapshotEvery && s.Ledger.Next > 0
	if h.snapshots.writing || !due || !s.Ready || !s.IsPlacer() || s.LogDown() {
		return
	}
	data, err := s.Ledger.Snapshot()
	if err != nil {
		h.Logger.Error("cannot pack a snapshot", "error", err.Error())
		return
	}
	h.snapshots.writing = true
	next, done := s.Ledger.Next, h.snapshots.done
	h.group.start(ctx, "snapshot", func(ctx context.Context) {
		n, err := h.writeSnapshot(ctx, next, data)
		done <- snapshotResult{next: n, err: err}
	})
}

// writeSnapshot appends a snapshot unless the stream has another one that is newer
// or less than half of SnapshotRecords older. It returns the offset of the first
// record that the newest snapshot of the stream does not cover.
func (h *Host) writeSnapshot(ctx context.Context, next uint64, data []byte) (uint64, error) {
	if j, err := h.readNewestSnapshot(ctx); err == nil && j.Data != nil && j.Next+h.SnapshotRecords/2 > next {
		if next == j.Next {
			// Nothing has changed. The snapshot is written again, so that retention
			// does not drop the only one.
			h.Logger.Debug("refreshing the snapshot", "next", next)
		} else {
			return j.Next, nil
		}
	}
	id := fmt.Sprintf("%s-%d", h.Incarnation, next)
	for _, c := range ledger.SplitSnapshot(id, next, data) {
		b, err := wire.Encode(c)
		if err != nil {
			return 0, err
		}
		if _, err := h.Log.Append(ctx, logservice.SnapshotStream, b); err != nil {
			h.Logger.Warn("cannot write a snapshot", "error", err.Error())
			return 0, err
		}
	}
	h.Metrics.Count("snapshotsWritten", "", "", 1)
	h.Metrics.Count("snapshotBytes", "", "", int64(len(data)))
	return next, nil
}

// readNewestSnapshot reads the whole stream of snapshots and returns the newest
// complete one. Its Data is nil when there is none.
func (h *Host) readNewestSnapshot(ctx context.Context) (*ledger.Joiner, error) {
	j := &ledger.Joiner{}
	from := logservice.OldestOffset
	for {
		p, err := h.Log.Read(ctx, logservice.SnapshotStream, from, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range p.Entries {
			var c ledger.Chunk
			if wire.Decode(e.Data, &c) == nil {
				j.Add(c)
			}
			from = e.Offset + 1
		}
		if len(p.Entries) == 0 || from >= p.End {
			return j, nil
		}
	}
}

// restore searches for a snapshot from which the host can continue with the log:
// first at the peers of the data centre, then in the stream of snapshots. It
// applies the newest one that it finds. Without one the host stays not ready and
// restore pauses.
func (h *Host) restore(ctx context.Context) {
	l := h.fetchFromPeers(ctx)
	if j, err := h.readNewestSnapshot(ctx); err == nil && j.Data != nil && (l == nil || j.Next > l.Next) {
		if r, err := ledger.Restore(j.Data); err == nil {
			l = r
		}
	}
	if l == nil || l.Next < h.View().Next || !h.logReaches(ctx, l.Next) {
		h.Logger.Warn("no snapshot bridges the gap", "why", *h.restoreReason.Load())
		retry.Pause(ctx, restoreRetryPause)
		return
	}
	h.restoreReason.Store(nil)
	h.apply(ctx, dispatch.Event{Restored: &dispatch.Restored{Ledger: l}})
	h.Logger.Info("restored a snapshot", "next", l.Next)
}

// logReaches reports whether the log still has, or will have, the record at next.
// It returns true when the log cannot be read.
func (h *Host) logReaches(ctx context.Context, next uint64) bool {
	_, err := h.Log.Read(ctx, logservice.RecordStream, next, 0)
	return fault.KindOf(err) != fault.Gap
}

// fetchFromPeers returns the ledger of the first peer of the data centre that
// returns a valid one, or nil.
func (h *Host) fetchFromPeers(ctx context.Context) *ledger.Ledger {
	hosts, err := h.Directory.List(ctx)
	if err != nil {
		return nil
	}
	for _, p := range hosts {
		if p.Kind != logservice.KindEntry || p.DataCentre != h.DataCentre || p.Name == h.Host() {
			continue
		}
		r, err := h.Peer(p.Address).Fetch(ctx)
		if err != nil {
			continue
		}
		if l, err := ledger.Restore(r.Data); err == nil {
			h.Metrics.Count("snapshotsFetched", "", "", 1)
			return l
		}
	}
	return nil
}

const (
	// maxFetchAge is how long the snapshot of one call of Fetch serves others. The caller reads
	// what is newer from the log.
	maxFetchAge = time.Second
	// fetchFactor is the memory of a response in relation to the snapshot: the encoded message,
	// its growing buffer and the compressed one.
	fetchFactor = 4
	// maxFetchBytes is the largest snapshot that fits into a message, with room for its header.
	maxFetchBytes = wire.MaxMessage - 1<<10
)

// fetchedSnapshot is the snapshot that Fetch returned last.
type fetchedSnapshot struct {
	data []byte
	at   time.Time
}

// Fetch implements peer.Peer.Fetch.
func (h *Host) Fetch(ctx context.Context) (peer.SnapshotResponse, error) {
	if !h.View().Ready {
		return peer.SnapshotResponse{}, fault.New(fault.Unavailable, "this host is not ready", "fetch the snapshot from another host")
	}
	data, err := h.recentSnapshot(ctx)
	if err != nil {
		return peer.SnapshotResponse{}, err
	}
	if len(data) > maxFetchBytes {
		return peer.SnapshotResponse{}, fault.New(fault.TooLarge, "the snapshot does not fit into a message", "read the stream of snapshots")
	}
	if err := httpserver.Reserve(ctx, fetchFactor*int64(len(data))); err != nil {
		return peer.SnapshotResponse{}, noRoomError(err)
	}
	return peer.SnapshotResponse{Data: data}, nil
}

// recentSnapshot returns a snapshot that is at most maxFetchAge old. Calls wait for one that
// encodes it, since that takes the time of the state machine.
func (h *Host) recentSnapshot(ctx context.Context) ([]byte, error) {
	h.fetchMu.Lock()
	defer h.fetchMu.Unlock()
	if f := h.fetched.Load(); f != nil && time.Since(f.at) < maxFetchAge {
		return f.data, nil
	}
	var data []byte
	var err error
	if !h.inspect(ctx, func(s *dispatch.State) { data, err = s.Ledger.Snapshot() }) {
		return nil, hostEndedError()
	}
	if err != nil {
		return nil, fault.Newf(fault.Unavailable, "fetch the snapshot from another host", "cannot encode a snapshot: %v", err)
	}
	h.fetched.Store(&fetchedSnapshot{data: data, at: time.Now()})
	return data, nil
}

// dropFetched drops the snapshot of Fetch once it is too old to be used.
func (h *Host) dropFetched() {
	if f := h.fetched.Load(); f != nil && time.Since(f.at) >= maxFetchAge {
		h.fetched.CompareAndSwap(f, nil)
	}
}
