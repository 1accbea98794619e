package frontend

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// followWait is how long a read of the jobs waits for a new record, and
	// configurationWait a read of the configuration. The last freshness check is as old
	// as the last read that was answered, at most twice the wait. Since the configuration
	// rarely changes, this age must stay well below maxConfigDenialAge. While the store drops its
	// history, waiting reads hear of no new record until their wait ends; the coordinator renews its
	// claim every 500 ms, so that a read rarely waits for longer than that.
	followWait = 600 * time.Millisecond
	// leaderFollowWait is the same for the coordinator, which must see new jobs soon.
	leaderFollowWait  = 150 * time.Millisecond
	configurationWait = 700 * time.Millisecond
	// followerReadPause is the pause between two reads of the jobs by a host that is not
	// the coordinator: it only reports the jobs to callers, and each call to the store
	// has a cost.
	followerReadPause = 150 * time.Millisecond
	// readRetryPause is the pause after a failed read.
	readRetryPause = 150 * time.Millisecond
	// newestTimeout bounds the read of one part of the newest records. When all hosts of
	// a region start at once, transferring their parts over the link to the store takes
	// several seconds; a read that makes no progress fails sooner.
	newestTimeout = 10 * time.Second
)

// follower keeps a copy of a partition up to date: it reads the newest record of each
// key and then all later records.
type follower struct {
	*Host
	topic string
	// wait returns how long a read may wait for a new record; pause, if set, returns the time
	// between two reads.
	wait  func() time.Duration
	pause func() time.Duration
	// reset and afterLoad, if set, are called before and after the newest records are
	// applied. apply is called with each record, and caughtUp after each read that reached
	// the partition's end, with the time at which the read was sent. replace, if set, is
	// called with all newest records instead of reset, apply and afterLoad.
	reset     func()
	apply     func(keyedstore.Entry)
	afterLoad func()
	replace   func([]keyedstore.Entry)
	caughtUp  func(sent int64)
	// lastReadFailed, if set, is updated after each read, except after a gap.
	lastReadFailed *atomic.Bool
}

// follow reads the partition until ctx ends. Failed reads are retried; after a gap the
// newest records are loaded again.
func (f *follower) follow(ctx context.Context) {
	var next uint64
	loaded := false
	// The first read after a load or a failure does not wait for new records, so that the
	// copy is verified to be up to date at once.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		var err error
		if !loaded {
			if next, err = f.load(ctx); err == nil {
				loaded, wait = true, 0
			}
		} else if next, err = f.read(ctx, next, wait); err == nil {
			wait = f.wait()
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.monitor.reportSuccess(f.topic)
			if f.lastReadFailed != nil {
				f.lastReadFailed.Store(false)
			}
			if f.pause != nil {
				retry.Pause(ctx, f.pause())
			}
			continue
		}
		if fault.KindOf(err) == fault.Gap {
			f.Logger.Warn("records were dropped before they were read", slog.String("topic", f.topic), slog.Uint64("next", next))
			loaded = false
			continue
		}
		f.monitor.reportFailure(f.topic, err)
		wait = 0
		if f.lastReadFailed != nil {
			f.lastReadFailed.Store(true)
		}
		retry.Pause(ctx, readRetryPause)
	}
}

// load applies the newest records and returns the offset to continue at. The parts are
// read at different times, so that reading continues at the end that the first part
// reported, and some records are applied twice.
func (f *follower) load(ctx context.Context) (uint64, error) {
	sent := f.now()
	var all []keyedstore.Entry
	end, err := f.readNewest(ctx, f.topic, newestTimeout, func(part []keyedstore.Entry, took int64) error {
		f.roundTrip.Store(took)
		all = append(all, part...)
		return nil
	})
	if err != nil {
		return 0, err
	}
	if f.replace != nil {
		f.replace(all)
	} else {
		f.applyNewest(all)
	}
	f.Logger.Info("newest records read", slog.String("topic", f.topic), slog.Int("records", len(all)),
		slog.Uint64("end", end), slog.Int64("tookMs", f.now()-sent))
	return end, nil
}

// applyNewest applies the newest records one by one.
func (f *follower) applyNewest(all []keyedstore.Entry) {
	if f.reset != nil {
		f.reset()
	}
	for _, e := range all {
		f.apply(e)
	}
	if f.afterLoad != nil {
		f.afterLoad()
	}
}

// read applies the records from offset next on and returns the offset to continue at.
func (f *follower) read(ctx context.Context, next uint64, wait time.Duration) (uint64, error) {
	sent := f.now()
	p, err := f.Store.Read(ctx, f.topic, next, wait)
	if err != nil {
		return next, err
	}
	for _, e := range p.Entries {
		f.apply(e)
	}
	next += uint64(len(p.Entries))
	if next >= p.End {
		f.caughtUp(sent)
	}
	return next, nil
}

// followConfiguration keeps the configuration and the evacuations up to date until ctx ends.
func (h *Host) followConfiguration(ctx context.Context) {
	f := &follower{
		Host: h, topic: h.Topics.Configuration, wait: func() time.Duration { return configurationWait },
		apply:    h.applyOperatorRecord,
		replace:  h.replaceOperatorRecords,
		caughtUp: func(sent int64) { h.configVerifiedAt.Store(sent) },
	}
	f.follow(ctx)
}

// applyConfiguration puts a configuration record in force. It ignores records that
// cannot be decoded and versions that are not higher than the current one.
func (h *Host) applyConfiguration(e keyedstore.Entry) {
	if e.Key != h.Topics.ConfigurationKey || len(e.Value) == 0 {
		return
	}
	c, err := h.DecodeConfiguration(e.Value)
	if err != nil {
		h.Metrics.Count("unreadableRecords", "", "configuration", 1)
		h.Logger.Error("configuration cannot be read", slog.Uint64("offset", e.Offset), errorAttr(err))
		return
	}
	old := h.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	h.config.Store(c)
	h.Metrics.SetGauge("configurationVersion", float64(c.Version))
	h.Logger.Info("configuration in force", slog.Uint64("version", c.Version), slog.Uint64("offset", e.Offset),
		slog.Int("routes", len(c.Routes)), slog.Int("organisations", len(c.Organisations)), slog.Int("keys", len(c.Keys)))
	h.notifyCoordinator(coordinator.Event{Configured: c})
}

// followJobs keeps the job table up to date until ctx ends.
func (h *Host) followJobs(ctx context.Context) {
	f := &follower{
		Host: h, topic: h.Topics.Jobs, wait: h.jobsReadWait, pause: h.jobsReadPause,
		apply:   h.applyJob,
		replace: h.replaceJobs,
		caughtUp: func(sent int64) {
			if h.jobsReadFailed.Load() {
				h.discountOutage()
			}
			h.jobsVerifiedAt.Store(sent)
		},
		lastReadFailed: &h.jobsReadFailed,
	}
	f.follow(ctx)
}

// discountOutage moves claimSeenAt by the time for which the jobs could not be read, so
// that the coordinator, whose renewals failed in the same outage, can write one before
// another host claims the role.
func (h *Host) discountOutage() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.claimSeenAt = min(now, h.claimSeenAt+now-h.jobsVerifiedAt.Load())
}

// jobsReadWait returns how long a read of the jobs waits for a new record.
func (h *Host) jobsReadWait() time.Duration {
	if h.IsLeader() {
		return leaderFollowWait
	}
	return followWait
}

// jobsReadPause returns the pause between two reads of the jobs. The coordinator reads
// without a pause.
func (h *Host) jobsReadPause() time.Duration {
	if h.IsLeader() {
		return 0
	}
	return followerReadPause
}

// replaceJobs replaces the job table by the newest records. Nobody sees it in between: a host
// that became the coordinator with a part of the table would start running tasks again.
func (h *Host) replaceJobs(all []keyedstore.Entry) {
	h.mu.Lock()
	h.table.Reset()
	var events []coordinator.Event
	for _, e := range all {
		if ev := h.applyRecord(e); ev.PredecessorsGone {
			events = append(events, ev)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.table.Jobs)) {
		events = append(events, coordinator.Event{Job: h.jobChange(id)})
	}
	h.loaded, h.claimSeenAt = true, h.now()
	h.endWaiters.endedAll()
	post := h.postEvent
	h.mu.Unlock()
	for i := range events {
		postJob(post, &events[i])
	}
}

// applyJob applies a record to the job table and passes the change to this host's
// coordinator, if there is one.
func (h *Host) applyJob(e keyedstore.Entry) {
	h.mu.Lock()
	ev := h.applyRecord(e)
	post := h.postEvent
	h.mu.Unlock()
	postJob(post, &ev)
}

// postJob passes a change of the job table to a coordinator.
func postJob(post func(coordinator.Event), e *coordinator.Event) {
	if post != nil && (e.Job != nil || e.PredecessorsGone) {
		post(*e)
	}
}

// applyRecord applies a record to the job table and returns the change, if any. h.mu must be
// held.
func (h *Host) applyRecord(e keyedstore.Entry) coordinator.Event {
	var ev coordinator.Event
	h.table.Now = h.now()
	c, err := h.table.Apply(e.Offset, e.Record)
	if e.Offset >= h.table.NextOffset {
		h.table.NextOffset = e.Offset + 1
	}
	if err != nil {
		h.Logger.Error("record cannot be read", slog.Uint64("offset", e.Offset), errorAttr(err))
		return ev
	}
	if c.ClaimChanged {
		h.claimSeenAt = h.now()
	}
	if c.ExitRecorded && h.table.PredecessorsGone(&h.priorClaim, h.Name()) {
		ev.PredecessorsGone = true
	}
	if j := h.table.Jobs[c.Job]; j == nil || j.State().Ended() {
		h.endWaiters.ended(c.Job)
	}
	ev.Job = h.jobChange(c.Job)
	return ev
}

// jobChange returns what this host's coordinator, if there is one, must know of a job; nil if
// the job does not exist or has ended. h.mu must be held.
func (h *Host) jobChange(id string) *coordinator.JobChanged {
	j := h.table.Jobs[id]
	if h.postEvent == nil || j == nil || j.Spec == nil || j.Progress != nil && j.Progress.State.Ended() {
		return nil
	}
	return &coordinator.JobChanged{Spec: j.Spec, Cancelled: j.Cancelled}
}

// notifyCoordinator passes an event to this host's coordinator, if there is one.
func (h *Host) notifyCoordinator(e coordinator.Event) {
	h.mu.Lock()
	post := h.postEvent
	h.mu.Unlock()
	if post != nil {
		post(e)
	}
}
