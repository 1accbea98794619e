// Package keyedstore is the interface to the platform's keyed store. The store holds
// partitions of records with keys. It keeps the newest record of each key
// indefinitely and older ones for a limited time.
//
// Store is a struct of functions, so that tests can pass the functions of a fake.
// An append that fails with fault.Unknown may have been applied, and may even be
// applied later; after any other error it was not applied.
package keyedstore

import (
	"context"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// AppendRequest appends records atomically: all or none.
type AppendRequest struct {
	Topic   string
	Records []jobstate.Record
	// Conditional makes the append fail with fault.Conflict unless the partition
	// ends at ExpectedEnd.
	Conditional bool
	ExpectedEnd uint64
	// Writer, Epoch and Sequence make the call idempotent if Writer is not empty: a
	// repeat returns the first response again, and an epoch lower than one already
	// seen fails with fault.Fenced.
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
	// Entries is in order of offsets and starts at the requested one.
	Entries []Entry
	// End is the offset of the next record to be appended.
	End uint64
}

// NewestPage is one page of the newest records of all keys.
type NewestPage struct {
	Entries []Entry
	// More is set if the page does not include the last key.
	More bool
	// End is the offset at which the partition ended when the page was read.
	End uint64
}

// Store is the keyed store.
type Store struct {
	// Append appends records and returns the offset of the first one.
	Append func(context.Context, AppendRequest) (uint64, error)
	// Read returns records from an offset on. It waits up to wait for the first
	// one. It fails with fault.Gap if the records have been dropped.
	Read func(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Newest returns a page of the newest records of the keys that come after the given
	// one.
	Newest func(ctx context.Context, topic, after string) (NewestPage, error)
}
