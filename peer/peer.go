package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/wire"
)

// TailRequest requests log records.
type TailRequest struct {
	// Host is the name of the requesting host.
	Host string `cbor:"h"`
	// From is the offset of the first requested record.
	From uint64 `cbor:"f"`
	// Wait is the longest time to wait for the first record, in milliseconds.
	Wait int64 `cbor:"w"`
	// ListDigest is the digest of the requesting host's list of the data centre's
	// hosts; 0 when it has none.
	ListDigest uint64 `cbor:"l,omitempty"`
}

// TailResponse carries log records and the state of the responding host.
type TailResponse struct {
	// Page holds the records. It is empty when the record at From is not in
	// memory.
	Page logservice.Page `cbor:"p"`
	// Missing is set when From precedes the records that the host keeps in memory.
	Missing bool `cbor:"m,omitempty"`
	// Term is the highest term of the data centre's placer that the host has seen.
	Term uint64 `cbor:"t"`
	// Placer is set while the host believes that it is the placer.
	Placer bool `cbor:"l,omitempty"`
	// Leaving is set while the host is draining.
	Leaving bool `cbor:"g,omitempty"`
	// LogAge is the time since the host last had a response from the log, in
	// milliseconds.
	LogAge int64 `cbor:"a"`
	// ListAge is the time since the host last read the platform's list of hosts,
	// in milliseconds; negative when it has never read it.
	ListAge int64 `cbor:"z"`
	// ListDigest is the digest of the responding host's list of the data centre's
	// hosts. Hosts holds that list when the requesting host's digest differs.
	ListDigest uint64            `cbor:"s,omitempty"`
	Hosts      []logservice.Host `cbor:"h,omitempty"`
}

// SnapshotResponse carries the encoded state of a ledger.
type SnapshotResponse struct {
	Data []byte `cbor:"d"`
}

// Peer is the set of calls of one entry host.
type Peer struct {
	// Tail returns records of the data centre's log, waiting for the first one.
	Tail func(context.Context, TailRequest) (TailResponse, error)
	// Fetch returns the encoded state of the host's ledger.
	Fetch func(context.Context) (SnapshotResponse, error)
}

type (
	tailRequest  struct{ TailRequest }
	fetchRequest struct{}
)

// MaxRequest is the largest request of a call, in bytes: a host's name and three numbers.
const MaxRequest = 4 << 10

const (
	procedureTail  = "/peer/tail"
	procedureFetch = "/peer/fetch"
	// callTimeout is the time allowed for a Tail call in addition to its Wait.
	callTimeout = time.Second
	// fetchTimeout limits the time for the transfer of a snapshot.
	fetchTimeout = 10 * time.Second
)

// Register registers the calls of p on mux.
func Register(mux *http.ServeMux, p Peer) {
	wire.HandleLimited(mux, procedureTail, MaxRequest, func(ctx context.Context, r *tailRequest) (*TailResponse, error) {
		res, err := p.Tail(ctx, r.TailRequest)
		return &res, err
	})
	wire.HandleLimited(mux, procedureFetch, MaxRequest, func(ctx context.Context, _ *fetchRequest) (*SnapshotResponse, error) {
		res, err := p.Fetch(ctx)
		return &res, err
	})
}

// NewClient returns a Peer that calls the host at base, for example
// "http://127.0.0.1:8001".
func NewClient(c *http.Client, base string) Peer {
	tail := wire.Call[tailRequest, TailResponse](c, base, procedureTail)
	fetch := wire.Call[fetchRequest, SnapshotResponse](c, base, procedureFetch)
	return Peer{
		Tail: func(ctx context.Context, r TailRequest) (TailResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Wait)*time.Millisecond+callTimeout)
			defer cancel()
			res, err := tail(ctx, &tailRequest{r})
			if err != nil {
				return TailResponse{}, err
			}
			return *res, nil
		},
		Fetch: func(ctx context.Context) (SnapshotResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			res, err := fetch(ctx, &fetchRequest{})
			if err != nil {
				return SnapshotResponse{}, err
			}
			return *res, nil
		},
	}
}
