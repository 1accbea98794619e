// Package keyedstore is the interface to the platform's keyed store: partitions of
// records with a key, of which the store keeps the newest of each key for good and
// the others for a while.
//
// Store is a struct of functions, so that tests pass functions of a fake. An
// append that fails with fault.Unknown may have been applied, and may even be
// applied later; after any other error it was not.
package keyedstore

import (
	"context"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// AppendRequest is a call that adds records, all or none.
type AppendRequest struct {
	Topic   string
	Records []jobstate.Record
	// Conditional appends fail with fault.Conflict unless the partition ends at ExpectedEnd.
	Conditional bool
	ExpectedEnd uint64
	// Writer, Epoch and Sequence, with a writer, make the call safe to repeat: a
	// repeat gets the first answer again, and an epoch lower than one already seen
	// fails with fault.Fenced.
	Writer          string
	Epoch, Sequence uint64
}

// Entry is one record with its offset.
type Entry struct {
	Offset uint64
	jobstate.Record
}

// Page is the result of a read.
type Page struct {
	// Entries is in order and starts at the offset asked for.
	Entries []Entry
	// End is the offset that the next record will get.
	End uint64
}

// NewestPage is a part of the newest records.
type NewestPage struct {
	Entries []Entry
	// More is set when the part does not reach the last key.
	More bool
	// End is the partition's end when the part was read.
	End uint64
}

// Store is the keyed store.
type Store struct {
	// Append adds records and returns the offset of the first one.
	Append func(context.Context, AppendRequest) (uint64, error)
	// Read returns records from an offset and waits up to wait for the first. It
	// fails with fault.Gap when the records have been dropped.
	Read func(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key after the given key.
	Newest func(ctx context.Context, topic, after string) (NewestPage, error)
}
