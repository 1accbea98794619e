package frontend

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// readNewest passes each part of the newest records of a topic to apply, with the time that
// it took in milliseconds. A part may take up to timeout; 0 means no bound. It returns the
// end that the first part reported. It fails if the parts lead nowhere, since it would
// otherwise read them forever.
func (h *Host) readNewest(ctx context.Context, topic string, timeout time.Duration, apply func(part []keyedstore.Entry, took int64) error) (uint64, error) {
	var end uint64
	after := ""
	seen := make(map[string]bool)
	for first := true; ; first = false {
		sent := h.now()
		n, err := h.readPart(ctx, topic, after, timeout)
		if err != nil {
			return 0, err
		}
		if first {
			end = n.End
		}
		if err := apply(n.Entries, h.now()-sent); err != nil {
			return 0, err
		}
		if !n.More {
			return end, nil
		}
		after = lastReadableKey(n.Entries)
		if after == "" || seen[after] {
			return 0, errors.Newf("the newest records of %s do not continue after the key %.255q", topic, after)
		}
		seen[after] = true
	}
}

// readPart reads the part of the newest records after a key.
func (h *Host) readPart(ctx context.Context, topic, after string, timeout time.Duration) (keyedstore.NewestPage, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return h.Store.Newest(ctx, topic, after)
}

// lastReadableKey returns the last key after which reading can continue, or "". A key of
// another writer that is not valid UTF-8 does not survive the encoding of the part.
func lastReadableKey(entries []keyedstore.Entry) string {
	for i := len(entries) - 1; i >= 0; i-- {
		if k := entries[i].Key; !strings.ContainsRune(k, utf8.RuneError) {
			return k
		}
	}
	return ""
}
