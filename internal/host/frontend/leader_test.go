package frontend

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// The answer to a repeated append does not show that the repeat was executed, so the claim counts
// from the first call that may have been. Calls that certainly did nothing do not count.
func TestRepeatedAppendCountsFromTheFirst(t *testing.T) {
	now := int64(0)
	answers := []fault.Kind{fault.Unavailable, fault.Unknown, fault.Unavailable, fault.Unknown}
	h := &Host{Dependencies: Dependencies{Monotonic: func() int64 { return now }}}
	h.Store.Append = func(context.Context, keyedstore.AppendRequest) (uint64, error) {
		now += 1000
		if len(answers) == 0 {
			return 1, nil
		}
		k := answers[0]
		answers = answers[1:]
		return 0, fault.Newf(k, "none", "none")
	}
	h.init()
	l := &leader{Host: h, term: 1, jobs: partition{sequence: 1}}
	sent, err := l.appendUntilDone(t.Context(), &l.jobs, []jobstate.Record{{Key: "l"}})
	require.NoError(t, err)
	assert.Equal(t, int64(1000), sent)
	assert.Equal(t, int64(5000), now)
}

// limitedStore returns a host whose store accepts appends in which each value has at most limit bytes,
// and a function that returns the keys of the records that were appended.
func limitedStore(limit int) (*Host, func() []string) {
	var keys []string
	h := &Host{Logger: slog.New(slog.DiscardHandler), Dependencies: Dependencies{Monotonic: func() int64 { return 1 }}}
	h.MaxAppendBytes = 1 << 20
	h.Store.Append = func(_ context.Context, a keyedstore.AppendRequest) (uint64, error) {
		for _, r := range a.Records {
			if len(r.Value) > limit {
				return 0, fault.New(fault.TooLarge, "none", "none")
			}
		}
		for _, r := range a.Records {
			keys = append(keys, r.Key)
		}
		return 0, nil
	}
	h.init()
	return h, func() []string { return keys }
}

// Review 7 (LOST): a record that the store refuses was repeated for ever, and nothing else was written. The
// others must be written in their order, and the refused one reported.
func TestRefusedRecordDoesNotBlockOthers(t *testing.T) {
	h, written := limitedStore(10)
	l := &leader{Host: h, term: 1, jobs: partition{sequence: 1}}
	rs := []jobstate.Record{{Key: "t1"}, {Key: "t2"}, {Key: "t3", Value: make([]byte, 11)}, {Key: "t4"}, {Key: "l"}}
	_, refused, err := l.writeBatch(t.Context(), &coordinator.Record{Details: rs[:4], Records: rs[4:]})
	require.NoError(t, err)
	assert.Equal(t, []string{"t3"}, refused)
	assert.Equal(t, []string{"t1", "t2", "t4", "l"}, written())

	// Without its claim a coordinator cannot go on.
	_, _, err = l.writeBatch(t.Context(), &coordinator.Record{Records: []jobstate.Record{{Key: "l", Value: make([]byte, 11)}}})
	require.Error(t, err)
}

// An append of callers' records must not exceed what the store accepts in one call: all of them would be
// refused.
func TestCallersRecordsFitIntoAnAppend(t *testing.T) {
	w := &writer{}
	w.init()
	for range 4 {
		w.queue <- &writeItem{record: jobstate.Record{Key: "a", Value: make([]byte, 94)}}
	}
	var sizes []int
	for next := <-w.queue; next != nil; {
		var batch []*writeItem
		batch, next = w.collectBatch(next, 250)
		sizes = append(sizes, len(batch))
	}
	assert.Equal(t, []int{2, 2}, sizes)
}
