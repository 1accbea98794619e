package frontend

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// followWait is how long a read of the jobs waits for news, and configurationWait one
	// of the configuration. A proof is as old as the last read that was answered, at the
	// most twice the wait; it must stay well below denialAge, since the configuration has
	// no news for most of the time.
	followWait        = 1200 * time.Millisecond
	configurationWait = 700 * time.Millisecond
	// followerGap is the least time between two reads of the jobs by a host that does
	// not coordinate: it only shows them, and each call to the store is paid for.
	followerGap = 150 * time.Millisecond
	// followPause is the pause after a failed read.
	followPause = 150 * time.Millisecond
	// newestTimeout bounds the reading of one part of the newest records. When all hosts
	// of a region start at once, the link to the store carries their parts for some
	// seconds; a read without progress fails sooner.
	newestTimeout = 10 * time.Second
)

// follower reads a partition: the newest record of each key, then what comes after.
type follower struct {
	*Host
	topic string
	// wait is how long a read may wait for news, and gap the least time between reads.
	wait time.Duration
	gap  func() time.Duration
	// reset is called before the newest records are taken, take with each record and
	// caughtUp when the end was reached by a read that was sent at a time. after is
	// called once the newest records have been taken.
	reset    func()
	take     func(keyedstore.Entry)
	after    func()
	caughtUp func(sent int64)
	// failing, if set, tells whether the last read failed.
	failing *atomic.Bool
}

// follow runs until ctx ends.
func (f *follower) follow(ctx context.Context) {
	var next uint64
	loaded := false
	// The first read after the newest records, or after a failure, does not wait, so that
	// the host knows at once that it is up to date.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		var err error
		if !loaded {
			if next, err = f.load(ctx); err == nil {
				loaded, wait = true, 0
			}
		} else if next, err = f.read(ctx, next, wait); err == nil {
			wait = f.wait
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.down.ok(f.topic)
			if f.failing != nil {
				f.failing.Store(false)
			}
			if f.gap != nil {
				retry.Pause(ctx, f.gap())
			}
			continue
		}
		if fault.KindOf(err) == fault.Gap {
			f.Logger.Warn("records were dropped before they were read", slog.String("topic", f.topic), slog.Uint64("next", next))
			loaded = false
			continue
		}
		f.down.fail(f.topic, err)
		wait = 0
		if f.failing != nil {
			f.failing.Store(true)
		}
		retry.Pause(ctx, followPause)
	}
}

// load takes the newest records and returns where to go on reading. The parts are
// not of one moment, so that everything from the first part's end on is read again.
func (f *follower) load(ctx context.Context) (uint64, error) {
	sent := f.now()
	var all []keyedstore.Entry
	var end uint64
	after := ""
	for first := true; ; first = false {
		part, cancel := context.WithTimeout(ctx, newestTimeout)
		asked := f.now()
		n, err := f.Store.Newest(part, f.topic, after)
		cancel()
		if err != nil {
			return 0, err
		}
		f.roundTrip.Store(f.now() - asked)
		if first {
			end = n.End
		}
		all = append(all, n.Entries...)
		if !n.More || len(n.Entries) == 0 {
			break
		}
		after = n.Entries[len(n.Entries)-1].Key
	}
	if f.reset != nil {
		f.reset()
	}
	for _, e := range all {
		f.take(e)
	}
	f.Logger.Info("newest records read", slog.String("topic", f.topic), slog.Int("records", len(all)),
		slog.Uint64("end", end), slog.Int64("tookMs", f.now()-sent))
	if f.after != nil {
		f.after()
	}
	return end, nil
}

// read takes the records from next on and returns where to go on.
func (f *follower) read(ctx context.Context, next uint64, wait time.Duration) (uint64, error) {
	sent := f.now()
	p, err := f.Store.Read(ctx, f.topic, next, wait)
	if err != nil {
		return next, err
	}
	for _, e := range p.Entries {
		f.take(e)
	}
	next += uint64(len(p.Entries))
	if next >= p.End {
		f.caughtUp(sent)
	}
	return next, nil
}

// followConfiguration keeps the configuration up to date.
func (h *Host) followConfiguration(ctx context.Context) {
	f := &follower{
		Host: h, topic: h.Topics.Configuration, wait: configurationWait,
		take:     h.takeConfiguration,
		caughtUp: func(sent int64) { h.configProof.Store(sent) },
	}
	f.follow(ctx)
}

// takeConfiguration puts a version in force. Versions never go back.
func (h *Host) takeConfiguration(e keyedstore.Entry) {
	if e.Key != h.Topics.ConfigurationKey || len(e.Value) == 0 {
		return
	}
	c, err := h.DecodeConfiguration(e.Value)
	if err != nil {
		h.Logger.Error("configuration cannot be read", slog.Uint64("offset", e.Offset), slog.String("error", err.Error()))
		return
	}
	old := h.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	h.config.Store(c)
	h.Metrics.Gauge("configurationVersion", float64(c.Version))
	h.Logger.Info("configuration in force", slog.Uint64("version", c.Version), slog.Uint64("offset", e.Offset),
		slog.Int("routes", len(c.Routes)), slog.Int("organisations", len(c.Organisations)), slog.Int("keys", len(c.Keys)))
	h.tell(coordinator.Event{Configured: c})
}

// followJobs keeps the book up to date.
func (h *Host) followJobs(ctx context.Context) {
	f := &follower{
		Host: h, topic: h.Topics.Jobs, wait: followWait, gap: h.jobsGap,
		reset: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.book.Reset()
		},
		take: h.takeJob,
		after: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !h.loaded {
				h.lastLife = h.book.Claim
			}
			h.loaded, h.claimSeen = true, h.now()
		},
		caughtUp: func(sent int64) { h.jobsProof.Store(sent) },
		failing:  &h.jobsFailing,
	}
	f.follow(ctx)
}

// jobsGap returns the least time between two reads of the jobs.
func (h *Host) jobsGap() time.Duration {
	if h.IsLeader() {
		return 0
	}
	return followerGap
}

// takeJob applies a record of the book and tells the coordinator.
func (h *Host) takeJob(e keyedstore.Entry) {
	h.mu.Lock()
	c, err := h.book.Apply(e.Offset, e.Record)
	if e.Offset >= h.book.NextOffset {
		h.book.NextOffset = e.Offset + 1
	}
	if c.ClaimChanged {
		h.claimSeen = h.now()
	}
	var ev coordinator.Event
	feed := h.feed
	if c.ExitRecorded && h.book.PredecessorsGone(&h.prior, h.Name()) {
		ev.PredecessorsGone = true
	}
	if j := h.book.Jobs[c.Job]; feed != nil && c.Job != "" && j != nil && j.Spec != nil {
		ev.Job = &coordinator.JobChanged{Spec: j.Spec, Cancelled: j.Cancelled}
	}
	h.mu.Unlock()
	if err != nil {
		h.Logger.Error("record cannot be read", slog.Uint64("offset", e.Offset), slog.String("error", err.Error()))
		return
	}
	if feed != nil && (ev.Job != nil || ev.PredecessorsGone) {
		feed(ev)
	}
}

// tell hands an event to this host's coordinator, if there is one.
func (h *Host) tell(e coordinator.Event) {
	h.mu.Lock()
	feed := h.feed
	h.mu.Unlock()
	if feed != nil {
		feed(e)
	}
}
