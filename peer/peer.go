package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/wire"
)

// TailRequest asks for records.
type TailRequest struct {
	// Host names the sender.
	Host string `cbor:"h"`
	// From is the offset of the first record wanted.
	From uint64 `cbor:"f"`
	// Wait is how long to wait for the first record, in milliseconds.
	Wait int64 `cbor:"w"`
	// ListSum is the sum of the list of hosts that the sender has; 0 for none.
	ListSum uint64 `cbor:"l,omitempty"`
}

// TailResponse carries records and the state of the answering host.
type TailResponse struct {
	// Page holds the records. It is empty when From is not in memory.
	Page logservice.Page `cbor:"p"`
	// Missing is set when From is older than what the host keeps in memory.
	Missing bool `cbor:"m,omitempty"`
	// Term is the highest term of the data centre that the host knows.
	Term uint64 `cbor:"t"`
	// Placer is set while the host believes that it is the placer.
	Placer bool `cbor:"l,omitempty"`
	// Leaving is set while the host drains.
	Leaving bool `cbor:"g,omitempty"`
	// LogAge is the time since the host last heard from the log, in
	// milliseconds.
	LogAge int64 `cbor:"a"`
	// ListAge is the time since the host last read the platform's list of hosts,
	// in milliseconds; negative when it has not.
	ListAge int64 `cbor:"z"`
	// ListSum is the sum of the hosts of the data centre in the list. Hosts holds
	// them when the sender has others.
	ListSum uint64            `cbor:"s,omitempty"`
	Hosts   []logservice.Host `cbor:"h,omitempty"`
}

// SnapshotResponse carries a packed ledger.
type SnapshotResponse struct {
	Data []byte `cbor:"d"`
}

// Peer is the set of calls of one entry host.
type Peer struct {
	Tail func(context.Context, TailRequest) (TailResponse, error)
	// Fetch returns the packed state of the host's ledger.
	Fetch func(context.Context) (SnapshotResponse, error)
}

type (
	tailRequest  struct{ TailRequest }
	fetchRequest struct{}
)

const (
	procedureTail  = "/peer/tail"
	procedureFetch = "/peer/fetch"
	// callTimeout is the time that a call may take beyond its own wait.
	callTimeout = time.Second
	// fetchTimeout bounds the transfer of a snapshot.
	fetchTimeout = 10 * time.Second
)

// Register serves p on mux.
func Register(mux *http.ServeMux, p Peer) {
	wire.Handle(mux, procedureTail, func(ctx context.Context, r *tailRequest) (*TailResponse, error) {
		res, err := p.Tail(ctx, r.TailRequest)
		return &res, err
	})
	wire.Handle(mux, procedureFetch, func(ctx context.Context, _ *fetchRequest) (*SnapshotResponse, error) {
		res, err := p.Fetch(ctx)
		return &res, err
	})
}

// NewClient returns the peer at base.
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
