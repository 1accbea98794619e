package entry

import (
	"context"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// maxKept bounds the records kept in memory for peers.
	maxTailEntries = 4096
	// staleLog is the silence of the placer's log after which a host reads the
	// log itself, in milliseconds.
	maxPlacerLogAgeMS = 3000
)

// tailLoop follows the log: through the placer of the data centre where that
// works, so that the log and the link to its region are read once per data
// centre, and directly otherwise.
func (h *Host) tailLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if why := h.restoreReason.Load(); why != nil {
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

// tailLog reads once from the log.
func (h *Host) tailLog(ctx context.Context, v *View) bool {
	p, err := h.Log.Read(ctx, logservice.Records, v.Next, logReadWait)
	for _, e := range p.Entries {
		h.Metrics.Count("logBytes", "", "", int64(len(e.Data)))
	}
	h.apply(ctx, dispatch.Event{Tail: &dispatch.Tail{Page: p, Err: err}})
	return err == nil
}

// tailPeer reads once from the placer. It reports whether that replaced a read
// from the log.
func (h *Host) tailPlacer(ctx context.Context, v *View) bool {
	began := time.Now()
	r, err := h.pollPlacer(ctx, v, v.TailHold)
	if fault.KindOf(err) == fault.Unknown && time.Since(began) < v.TailTimeout {
		// The connection broke. A new one tells whether the process has died.
		r, err = h.pollPlacer(ctx, v, 0)
	}
	pv := &dispatch.PeerStatus{Name: v.PlacerName, ConnectionRefused: fault.Absent(err)}
	if err == nil {
		pv.OK, pv.Placer, pv.Leaving, pv.Term, pv.LogAge = true, r.Placer, r.Leaving, r.Term, r.LogAge
	}
	for _, e := range r.Page.Entries {
		h.Metrics.Count("peerBytes", "", "", int64(len(e.Data)))
	}
	h.apply(ctx, dispatch.Event{Tail: &dispatch.Tail{Page: r.Page, Err: err, Peer: pv}})
	if err == nil {
		h.applyPlacerHosts(ctx, &r)
	}
	return err == nil && !r.Missing && r.LogAge < maxPlacerLogAgeMS
}

// askPlacer polls the placer, which may hold its answer.
func (h *Host) pollPlacer(ctx context.Context, v *View, hold time.Duration) (peer.TailResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+v.TailTimeout-v.TailHold)
	defer cancel()
	return h.Peer(v.PlacerAddress).Tail(ctx, peer.TailRequest{
		Host: h.Host(), From: v.Next, Wait: hold.Milliseconds(), List: h.hostList.currentDigest(),
	})
}

// Tail serves the call of package peer.
func (h *Host) Tail(ctx context.Context, r peer.TailRequest) (peer.TailResponse, error) {
	page, missing := h.tail.wait(ctx, r.From, time.Duration(min(r.Wait, 5000))*time.Millisecond)
	v := h.View()
	if !v.Ready {
		return peer.TailResponse{}, fault.New(fault.Unavailable, "this host is not ready", "read from the log")
	}
	res := peer.TailResponse{
		Page: page, Missing: missing, Term: v.Term, Placer: v.Placer, Leaving: v.Draining, LogAge: v.LogAge,
	}
	res.List, res.Hosts, res.ListAge = h.hostList.changesSince(r.List)
	return res, nil
}

// tailBuffer keeps the newest records for peers. The zero value is empty.
type tailBuffer struct {
	mu      sync.Mutex
	entries []logservice.Entry
	// grown is closed and replaced when entries are added.
	grown chan struct{}
}

// add appends the entries that follow the newest one.
func (b *tailBuffer) add(es []logservice.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.entries)
	for _, e := range es {
		if len(b.entries) > 0 {
			next := b.entries[len(b.entries)-1].Offset + 1
			if e.Offset < next {
				continue
			}
			if e.Offset > next {
				b.entries = nil
			}
		}
		b.entries = append(b.entries, e)
	}
	if k := len(b.entries) - maxTailEntries; k > 0 {
		b.entries = append([]logservice.Entry(nil), b.entries[k:]...)
	}
	if len(b.entries) != n && b.grown != nil {
		close(b.grown)
		b.grown = nil
	}
}

// wait returns the entries from the given offset, waiting up to d for the
// first. It reports missing when the offset is older than what is kept.
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

// maxPeerPage bounds the records in one answer to a peer.
const maxPeerPage = 256

// page returns the entries from the given offset and a channel that is closed
// when there are more.
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
	}
	return p, false, b.grown
}
