package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

const (
	// workersWait is how long a read of the worker directory waits for a new record.
	workersWait = time.Second
	// workersReadPause is the pause between two reads. Each worker writes an entry about
	// once a second, and most entries contain no change.
	workersReadPause = 200 * time.Millisecond
	// maxClockDifference is how far the time of day of a worker may be ahead of this
	// host's, in milliseconds; see plausibleLifetime. Both are close to the true time, but may
	// jump by seconds, and a host whose clock is set wrong must still find its workers.
	maxClockDifference = 600_000
)

// directory holds what the coordinator knows from the worker directory. An entry that
// names no usable worker may have been written under the key of a live one: the worker
// then stays as it was last described, until its next own entry.
type directory struct {
	*leader
	// described holds the last usable entry of each worker that has an entry, and listed
	// the keys that have one, usable or not, since the last reset. The entry of a described
	// worker that is not listed after a load was deleted during a gap.
	described map[string]placement.Listing
	listed    map[string]bool
}

// followWorkers follows the worker directory until ctx ends and posts an event for each
// entry that is written or deleted.
func (l *leader) followWorkers(ctx context.Context) {
	d := &directory{leader: l, described: make(map[string]placement.Listing), listed: make(map[string]bool)}
	f := &follower{
		Host: l.Host, topic: l.Topics.Workers, wait: func() time.Duration { return workersWait }, pause: func() time.Duration { return workersReadPause },
		reset: func() { clear(d.listed) },
		afterLoad: func() {
			for id := range d.described {
				if !d.listed[id] {
					d.remove(ctx, id)
				}
			}
		},
		apply:    func(e keyedstore.Entry) { d.apply(ctx, e) },
		caughtUp: func(int64) {},
	}
	f.follow(ctx)
}

// apply passes an entry on, unless it names no usable worker.
func (d *directory) apply(ctx context.Context, e keyedstore.Entry) {
	if len(e.Value) == 0 {
		delete(d.listed, e.Key)
		d.remove(ctx, e.Key)
		return
	}
	d.listed[e.Key] = true
	w, err := d.DecodeWorker(e.Key, e.Value)
	if err == nil {
		err = d.check(&w)
	}
	if err != nil {
		d.Logger.Warn("entry names no worker", slog.String("worker", e.Key), slog.Uint64("offset", e.Offset), errorAttr(err))
		return
	}
	d.described[w.ID] = w
	d.post(ctx, coordinator.Event{Listed: &w})
}

// remove passes on that a worker has no entry any more.
func (d *directory) remove(ctx context.Context, id string) {
	delete(d.described, id)
	d.post(ctx, coordinator.Event{Unlisted: &coordinator.Unlisted{ID: id}})
}

// check returns an error if a well-formed entry cannot be the worker's own.
func (d *directory) check(w *placement.Listing) error {
	if !d.plausibleLifetime(w.Lifetime) {
		return errors.Newf("the lifetime %d lies in the future", w.Lifetime)
	}
	last, ok := d.described[w.ID]
	if !ok {
		return nil
	}
	if last.Lifetime != 0 && w.Lifetime == 0 {
		return errors.New("the lifetime is missing")
	}
	// An entry may be read before the configuration that adds its service, but a worker
	// does not leave a known service for an unknown one.
	if c := d.config.Load(); c != nil && c.Services[last.Service] != nil && c.Services[w.Service] == nil {
		return errors.Newf("the service %.200q is unknown", w.Service)
	}
	return nil
}

// plausibleLifetime reports whether a lifetime, which is a worker's start time, does not
// lie further in the future than the clocks differ. If it did, the worker's true lifetime
// would look like an earlier one from then on. The bound does not follow a time of day that is
// set back, since nearly all lifetimes would then look wrong.
func (h *Host) plausibleLifetime(lifetime int64) bool {
	return lifetime <= h.latestWall()+maxClockDifference
}

// latestWall returns the time of day, in milliseconds, as if the clock had never been set back
// since the process started.
func (h *Host) latestWall() int64 {
	now := h.now()
	lead := h.Wall().UnixMilli() - now
	for {
		highest := h.wallLead.Load()
		if lead <= highest {
			return now + highest
		}
		if h.wallLead.CompareAndSwap(highest, lead) {
			return now + lead
		}
	}
}
