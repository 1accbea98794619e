package wire

import (
	"bytes"
	"context"
	"encoding/json"
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
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 30 * time.Second
	// maxConnsPerHost is the largest number of connections to one server.
	maxConnsPerHost = 64

	// compressMinBytes is the size from which responses are compressed, in bytes.
	// Most responses are far smaller, and compression would make them larger.
	compressMinBytes = 2 << 10
	// userAgent is short because every call carries it.
	userAgent = "lr"

	headerKind   = "Limpetrelay-Kind"
	headerRemedy = "Limpetrelay-Remedy"
)

// codec implements connect.Codec with CBOR.
type codec struct{}

// Name returns the subtype that names the codec in the Content-Type header.
func (codec) Name() string { return "cbor" }

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) { return Encode(v) }

// Unmarshal decodes data into v. It ignores unknown fields.
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

// DecodeList decodes a JSON list of at most limit elements. It fails before it allocates memory
// for more. Unknown fields of the elements are an error if strict is set. The list is nil for
// null.
func DecodeList[T any](b []byte, limit int, strict bool) ([]T, error) {
	if string(b) == "null" {
		return nil, nil
	}
	d := json.NewDecoder(bytes.NewReader(b))
	if strict {
		d.DisallowUnknownFields()
	}
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return nil, errors.New("the value is not a list")
	}
	var list []T
	for d.More() {
		if len(list) == limit {
			return nil, errors.Newf("the list has more than %d elements", limit)
		}
		var v T
		if err := d.Decode(&v); err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

// Handle registers fn on mux under procedure, for example "/platform/append". It accepts
// requests of up to MaxMessage bytes.
func Handle[Req, Res any](mux *http.ServeMux, procedure string, fn func(context.Context, *Req) (*Res, error)) {
	HandleLimited(mux, procedure, MaxMessage, fn)
}

// HandleLimited is Handle for requests of up to maxRequest bytes, after decompression.
func HandleLimited[Req, Res any](mux *http.ServeMux, procedure string, maxRequest int, fn func(context.Context, *Req) (*Res, error)) {
	h := connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := fn(ctx, r.Msg)
			if err != nil {
				return nil, encodeError(err)
			}
			return connect.NewResponse(res), nil
		},
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxRequest), connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(procedure, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Omit the Date header, because no caller reads it.
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	}))
}

// Call returns a function that calls procedure at base, for example
// "http://127.0.0.1:7000".
func Call[Req, Res any](c *http.Client, base, procedure string) func(context.Context, *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c, base+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage))
	return func(ctx context.Context, req *Req) (*Res, error) {
		r := connect.NewRequest(req)
		r.Header().Set("User-Agent", userAgent)
		res, err := client.CallUnary(ctx, r)
		if err != nil {
			return nil, decodeError(err)
		}
		return res.Msg, nil
	}
}

// NewHTTPClient returns a client for use with Call that limits its connections
// per server. If count is not nil, it is called with the number of bytes of every
// read and write.
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
		MaxConnsPerHost:     maxConnsPerHost,
		MaxIdleConnsPerHost: maxConnsPerHost,
		IdleConnTimeout:     idleTimeout,
	}}
}

// countingConn reports the bytes sent and received on a connection to count.
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

// encodeError converts a typed error to a connect error that carries its kind
// and remedy in the metadata.
func encodeError(err error) error {
	e := fault.As(err)
	ce := connect.NewError(connect.CodeFailedPrecondition, errors.Newf("%s", e.Message))
	ce.Meta().Set(headerKind, string(e.Kind))
	ce.Meta().Set(headerRemedy, e.Remedy)
	return ce
}

// decodeError is the inverse of encodeError. Transport errors become Unavailable
// if the connection could not be established and Unknown otherwise.
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
	return fault.Newf(fault.Unknown, "query the state before you repeat the call", "the response was lost: %v", err)
}
