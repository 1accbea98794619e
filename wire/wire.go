package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/limpetrelay/limpetrelay/fault"
)

const (
	// MaxMessage is the largest accepted message, in bytes.
	MaxMessage = 4 << 20
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections that were unused for this long.
	idleTimeout = 30 * time.Second
	// maxConnections is the number of connections per server.
	maxConnections = 64

	// compressFrom is the size from which answers are compressed, in bytes. Most
	// are far smaller, and compression would make them larger.
	compressFrom = 2 << 10
	// userAgent is short because it is sent with every call.
	userAgent = "lr"

	headerKind   = "Limpetrelay-Kind"
	headerRemedy = "Limpetrelay-Remedy"
)

// codec implements connect.Codec with CBOR.
type codec struct{}

// Name returns the content type suffix.
func (codec) Name() string { return "cbor" }

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) { return Encode(v) }

// Unmarshal decodes data into v and rejects unknown fields.
func (codec) Unmarshal(data []byte, v any) error { return Decode(data, v) }

var (
	encMode, _ = cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeUnixMicro}.EncMode()
	decMode, _ = cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 17}.DecMode()
)

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "encode CBOR")
}

// Decode decodes CBOR data into v.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fault.Newf(fault.Invalid, "send the message that this version documents", "malformed CBOR: %v", err)
	}
	return nil
}

// Handle registers fn on mux under procedure, for example "/platform/append".
func Handle[Req, Res any](mux *http.ServeMux, procedure string, fn func(context.Context, *Req) (*Res, error)) {
	h := connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := fn(ctx, r.Msg)
			if err != nil {
				return nil, encodeError(err)
			}
			return connect.NewResponse(res), nil
		},
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage), connect.WithCompressMinBytes(compressFrom))
	mux.Handle(procedure, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Nobody reads the date of a control message.
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	}))
}

// Call returns a function that calls procedure at base, for example
// "http://127.0.0.1:7000".
func Call[Req, Res any](c *http.Client, base, procedure string) func(context.Context, *Req) (*Res, error) {
	cl := connect.NewClient[Req, Res](c, base+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage))
	return func(ctx context.Context, req *Req) (*Res, error) {
		r := connect.NewRequest(req)
		r.Header().Set("User-Agent", userAgent)
		res, err := cl.CallUnary(ctx, r)
		if err != nil {
			return nil, decodeError(err)
		}
		return res.Msg, nil
	}
}

// NewHTTPClient returns a client with bounded connections for use with Call.
// A non-nil count is called with the bytes of every read and write.
func NewHTTPClient(count func(sent, received int)) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	dial := d.DialContext
	if count != nil {
		dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, count: count}, nil
		}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

// countingConn counts the bytes that cross a connection.
type countingConn struct {
	net.Conn
	count func(sent, received int)
}

// Read counts received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(0, n)
	return n, err
}

// Write counts sent bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n, 0)
	return n, err
}

// encodeError turns a typed error into a connect error with its kind and
// remedy in the metadata.
func encodeError(err error) error {
	e := fault.As(err)
	ce := connect.NewError(connect.CodeFailedPrecondition, errors.Newf("%s", e.Message))
	ce.Meta().Set(headerKind, string(e.Kind))
	ce.Meta().Set(headerRemedy, e.Remedy)
	return ce
}

// decodeError is the inverse of encodeError. Transport errors become
// Unavailable where the dial failed and Unknown otherwise.
func decodeError(err error) error {
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Meta().Get(headerKind) != "" {
		return fault.New(fault.Kind(ce.Meta().Get(headerKind)), ce.Message(), ce.Meta().Get(headerRemedy))
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fault.NewConnectionRefused(fmt.Sprintf("cannot connect: %v", err), "check that the process listens there")
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Newf(fault.Unavailable, "check that the process listens there", "cannot connect: %v", err)
	}
	return fault.Newf(fault.Unknown, "ask for the state before you repeat the call", "the answer was lost: %v", err)
}
