package entry

import (
	"context"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// maxTailEntries bounds the log entries kept in memory for peers.
	maxTailEntries = 4096
	// tailMemoryShare is the part of the host's memory, as a divisor, that these entries
	// may take.
	tailMemoryShare = 32
	// maxPlacerLogAgeMS is the time since the placer last had a response from the
	// log above which a host reads the log itself.
	maxPlacerLogAgeMS = 3000
	// crowdedTailWait bounds how long a call of Tail waits while others take most of the budget.
	crowdedTailWait = 200 * time.Millisecond
)

// tailLoop follows the log until ctx ends. It reads through the placer of the data
// centre where possible, so that each record is transferred from the log's region
// once per data centre, and else from the log itself.
func (h *Host) tailLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if reason := h.restoreReason.Load(); reason != nil {
			h.restore(ctx)
			continue
		}
		v := h.View()
		var ok bool
		if v.Ready && !v.LogDown && v.PlacerAddress != "" && v.PlacerName != h.Host() {
			ok = h.tailPlacer(ctx, &v)
		}
		if !ok {
			ok = h.tailLog(ctx, &v)
		}
		if !ok {
			retry.Pause(ctx, tailRetryPause)
		}
	}
}

// tailLog reads once from the log and applies the result. It reports whether the
// read succeeded.
func (h *Host) tailLog(ctx context.Context, v *View) bool {
	p, err := h.Log.Read(ctx, logservice.RecordStream, v.Next, logReadWait)
	for _, e := range p.Entries {
		h.Metrics.Count("logBytes", "", "", int64(len(e.Data)))
	}
	h.apply(ctx, dispatch.Event{Tail: &dispatch.Tail{Page: p, Err: err}})
	return err == nil
}

// tailPlacer reads once from the placer and applies the result. It reports whether
// that replaces a read from the log: the call succeeded, the placer still has the
// entries, and its last response from the log is recent.
func (h *Host) tailPlacer(ctx context.Context, v *View) bool {
	start := time.Now()
	r, err := h.pollPlacer(ctx, v, v.TailHold)
	if fault.KindOf(err) == fault.Unknown && time.Since(start) < v.TailGiveUp {
		// The connection broke. A new connection shows whether the process has
		// died.
		r, err = h.pollPlacer(ctx, v, 0)
	}
	status := &dispatch.PeerStatus{Name: v.PlacerName, ConnectionRefused: fault.IsConnectionRefused(err)}
	if err == nil {
		status.OK, status.Placer, status.Leaving, status.Term, status.LogAge = true, r.Placer, r.Leaving, r.Term, r.LogAge
	}
	for _, e := range r.Page.Entries {
		h.Metrics.Count("peerBytes", "", "", int64(len(e.Data)))
	}
	h.apply(ctx, dispatch.Event{Tail: &dispatch.Tail{Page: r.Page, Err: err, Peer: status}})
	if err == nil {
		h.applyPlacerHosts(ctx, &r)
	}
	return err == nil && !r.Missing && r.LogAge < maxPlacerLogAgeMS
}

// pollPlacer polls the placer, which may delay its answer by hold.
func (h *Host) pollPlacer(ctx context.Context, v *View, hold time.Duration) (peer.TailResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+v.TailGiveUp-v.TailHold)
	defer cancel()
	return h.Peer(v.PlacerAddress).Tail(ctx, peer.TailRequest{
		Host: h.Host(), From: v.Next, Wait: hold.Milliseconds(), ListDigest: h.hosts.currentDigest(),
	})
}

// Tail implements peer.Peer.Tail. It waits at most 5 seconds for new entries, and less while
// there are too many calls.
func (h *Host) Tail(ctx context.Context, r peer.TailRequest) (peer.TailResponse, error) {
	wait := time.Duration(min(r.Wait, 5000)) * time.Millisecond
	if httpserver.Crowded(ctx) {
		wait = min(wait, crowdedTailWait)
	}
	page, missing := h.tail.wait(ctx, r.From, wait)
	if err := httpserver.Reserve(ctx, tailFactor*pageBytes(page.Entries)); err != nil {
		return peer.TailResponse{}, noRoomError(err)
	}
	v := h.View()
	if !v.Ready {
		return peer.TailResponse{}, fault.New(fault.Unavailable, "this host is not ready", "read from the log")
	}
	res := peer.TailResponse{
		Page: page, Missing: missing, Term: v.Term, Placer: v.Placer, Leaving: v.Draining, LogAge: v.LogAge,
	}
	res.ListDigest, res.Hosts, res.ListAge = h.hosts.changesSince(r.ListDigest)
	return res, nil
}

// tailBuffer holds the newest contiguous log entries for peers. The zero value is
// empty.
type tailBuffer struct {
	// maxBytes bounds the size of the entries, save for the newest; 0 means no bound.
	maxBytes int64

	mu      sync.Mutex
	entries []logservice.Entry
	// bytes is the size of entries.
	bytes int64
	// grown is closed and cleared when entries are added.
	grown chan struct{}
}

// add appends the entries that are newer than the newest one in the buffer. At a
// gap in the offsets it first drops all entries before the gap.
func (b *tailBuffer) add(es []logservice.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	added := false
	for _, e := range es {
		if len(b.entries) > 0 {
			next := b.entries[len(b.entries)-1].Offset + 1
			if e.Offset < next {
				continue
			}
			if e.Offset > next {
				b.entries, b.bytes = nil, 0
			}
		}
		b.entries = append(b.entries, e)
		b.bytes += int64(len(e.Data))
		added = true
	}
	b.trim()
	if added && b.grown != nil {
		close(b.grown)
		b.grown = nil
	}
}

// trim drops the oldest entries beyond the bounds. b.mu must be held.
func (b *tailBuffer) trim() {
	k := max(0, len(b.entries)-maxTailEntries)
	b.bytes -= pageBytes(b.entries[:k])
	for b.maxBytes > 0 && b.bytes > b.maxBytes && k < len(b.entries)-1 {
		b.bytes -= int64(len(b.entries[k].Data))
		k++
	}
	if k > 0 {
		b.entries = append([]logservice.Entry(nil), b.entries[k:]...)
	}
}

// pageBytes returns the size of entries, in bytes.
func pageBytes(entries []logservice.Entry) int64 {
	var n int64
	for _, e := range entries {
		n += int64(len(e.Data))
	}
	return n
}

// wait returns the entries from the given offset, and waits up to d for the first.
// It reports missing when the buffer is empty or the offset is older than its
// oldest entry.
func (b *tailBuffer) wait(ctx context.Context, from uint64, d time.Duration) (p logservice.Page, missing bool) {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	for {
		p, missing, grown := b.page(from)
		if missing || len(p.Entries) > 0 {
			return p, missing
		}
		select {
		case <-grown:
		case <-t.C:
			return p, false
		case <-ctx.Done():
			return p, false
		}
	}
}

const (
	// maxPeerPage bounds the log entries in one response to a peer.
	maxPeerPage = 256
	// maxPeerPageBytes bounds their size, save for the first one, in bytes: a message has at
	// most wire.MaxMessage, and several hosts poll at once.
	maxPeerPageBytes = 256 << 10
	// tailFactor is the memory of a response in relation to its entries: the encoded message,
	// its growing buffer and the compressed one.
	tailFactor = 4
)

// page returns the entries from the given offset, whether they are missing as wait
// reports it, and a channel that is closed when entries are added.
func (b *tailBuffer) page(from uint64) (logservice.Page, bool, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.grown == nil {
		b.grown = make(chan struct{})
	}
	if len(b.entries) == 0 {
		return logservice.Page{}, true, b.grown
	}
	start := b.entries[0].Offset
	end := start + uint64(len(b.entries))
	p := logservice.Page{Start: start, End: end}
	if from < start {
		return p, true, b.grown
	}
	if from < end {
		p.Entries = b.entries[from-start : min(end-start, from-start+maxPeerPage)]
		size := int64(0)
		for i := range p.Entries {
			if size += int64(len(p.Entries[i].Data)); i > 0 && size > maxPeerPageBytes {
				p.Entries = p.Entries[:i]
				break
			}
		}
	}
	return p, false, b.grown
}
