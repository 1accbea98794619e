package logservice

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/wire"
)

const (
	// RecordStream is the stream of records.
	RecordStream = "limpetrelay.records"
	// SnapshotStream is the stream of snapshot chunks.
	SnapshotStream = "limpetrelay.snapshots"
)

// OldestOffset is the offset that selects the oldest retained entry in a read.
const OldestOffset = ^uint64(0)

// Entry is one entry of a stream.
type Entry struct {
	Offset uint64 `cbor:"o"`
	Data   []byte `cbor:"d"`
}

// Page is the result of a read.
type Page struct {
	// Entries starts at the requested offset and has no gaps.
	Entries []Entry `cbor:"e"`
	// Start is the oldest offset that is retained.
	Start uint64 `cbor:"s"`
	// End is the offset of the next entry to be appended.
	End uint64 `cbor:"n"`
}

// Log is the append-only log.
type Log struct {
	// Append adds data to stream and returns its offset.
	Append func(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns entries from the given offset on. It waits up to wait for the
	// first one. It fails with fault.Gap if the entry at the offset is no longer
	// retained.
	Read func(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}

// Kind is the kind of a host.
type Kind string

// The kinds of hosts.
const (
	// KindWorker is the kind of the hosts that run tasks.
	KindWorker Kind = "worker"
	// KindEntry is the kind of the hosts that run limpetrelay.
	KindEntry Kind = "entry"
)

// Host is one entry of the list of hosts.
type Host struct {
	Name       string `cbor:"n" json:"name"`
	Kind       Kind   `cbor:"k" json:"kind"`
	DataCentre string `cbor:"d" json:"dataCentre"`
	// Address is an IP address and port.
	Address string `cbor:"a" json:"address"`
	Leaving bool   `cbor:"l,omitempty" json:"leaving,omitempty"`
}

// Directory reads the platform's list of live and leaving hosts, which lags behind
// their actual state.
type Directory struct {
	List func(ctx context.Context) ([]Host, error)
}

type appendRequest struct {
	Stream string `cbor:"s"`
	Data   []byte `cbor:"d"`
}

type appendResponse struct {
	Offset uint64 `cbor:"o"`
}

type readRequest struct {
	Stream string `cbor:"s"`
	From   uint64 `cbor:"f"`
	// Wait is the longest time to wait for the first entry, in milliseconds.
	Wait int64 `cbor:"w"`
}

type listRequest struct{}

type listResponse struct {
	Hosts []Host `cbor:"h"`
}

const (
	procedureAppend = "/platform/append"
	procedureRead   = "/platform/read"
	procedureList   = "/platform/list"
	// callTimeout is the time allowed for a call in addition to its own wait.
	callTimeout = 2 * time.Second
)

// Register registers the calls of l and d on mux.
func Register(mux *http.ServeMux, l Log, d Directory) {
	wire.Handle(mux, procedureAppend, func(ctx context.Context, r *appendRequest) (*appendResponse, error) {
		o, err := l.Append(ctx, r.Stream, r.Data)
		return &appendResponse{Offset: o}, err
	})
	wire.Handle(mux, procedureRead, func(ctx context.Context, r *readRequest) (*Page, error) {
		p, err := l.Read(ctx, r.Stream, r.From, time.Duration(r.Wait)*time.Millisecond)
		return &p, err
	})
	wire.Handle(mux, procedureList, func(ctx context.Context, _ *listRequest) (*listResponse, error) {
		h, err := d.List(ctx)
		return &listResponse{Hosts: h}, err
	})
}

// NewClient returns a Log and a Directory that call the platform at base, for
// example "http://127.0.0.1:7000".
func NewClient(c *http.Client, base string) (Log, Directory) {
	appendCall := wire.Call[appendRequest, appendResponse](c, base, procedureAppend)
	readCall := wire.Call[readRequest, Page](c, base, procedureRead)
	listCall := wire.Call[listRequest, listResponse](c, base, procedureList)
	l := Log{
		Append: func(ctx context.Context, stream string, data []byte) (uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := appendCall(ctx, &appendRequest{Stream: stream, Data: data})
			if err != nil {
				return 0, err
			}
			return r.Offset, nil
		},
		Read: func(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
			ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
			defer cancel()
			r, err := readCall(ctx, &readRequest{Stream: stream, From: from, Wait: wait.Milliseconds()})
			if err != nil {
				return Page{}, err
			}
			return *r, nil
		},
	}
	d := Directory{List: func(ctx context.Context) ([]Host, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r, err := listCall(ctx, &listRequest{})
		if err != nil {
			return nil, err
		}
		return r.Hosts, nil
	}}
	return l, d
}
