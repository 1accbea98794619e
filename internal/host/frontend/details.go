package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// detailsTimeout bounds fencing and reading the details partition. A host that needs
// longer leaves the role to another host before the workers' leases expire.
const detailsTimeout = 2 * time.Second

// readDetails fences the details partition, which holds the progress of the tasks of
// open jobs and the recorded leases of workers, against earlier coordinators and reads it. It
// returns the details and sets RecordedLeases, RecordedCheckpoints and RecordedPaces. The store returns the partition in parts read at
// different times; they are consistent, since after the fencing no other coordinator can
// write.
func (l *leader) readDetails(ctx context.Context) (jobstate.Details, error) {
	ctx, cancel := context.WithTimeout(ctx, detailsTimeout)
	defer cancel()
	began := l.now()
	r, err := jobstate.FenceRecord(&jobstate.Claim{Host: l.Name(), Incarnation: l.Incarnation})
	if err != nil {
		return nil, err
	}
	if _, err = l.appendUntilDone(ctx, &l.details, []jobstate.Record{r}); err != nil {
		return nil, err
	}
	d := make(jobstate.Details)
	l.state.RecordedLeases, l.state.RecordedCheckpoints = make(jobstate.Leases), make(jobstate.Checkpoints)
	l.state.RecordedPaces = make(jobstate.Paces)
	_, err = l.readNewest(ctx, l.details.topic, 0, func(part []keyedstore.Entry, _ int64) error {
		for _, e := range part {
			l.state.RecordedCheckpoints.Apply(e.Record)
			err := errors.CombineErrors(d.Apply(e.Record), l.state.RecordedLeases.Apply(e.Record))
			if err = errors.CombineErrors(err, l.state.RecordedPaces.Apply(e.Record)); err != nil {
				// Without a coordinator, all jobs would stand still.
				l.Logger.Error("record cannot be read", slog.Uint64("offset", e.Offset), errorAttr(err))
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	l.Logger.Info("details read", slog.Uint64("term", l.term), slog.Int("jobs", len(d)),
		slog.Int("leases", len(l.state.RecordedLeases)), slog.Int("paces", len(l.state.RecordedPaces)), slog.Int64("tookMs", l.now()-began))
	return d, nil
}
