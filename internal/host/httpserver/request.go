package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/limpetrelay/limpetrelay/fault"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, or nil if no server of this package serves it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Reserve charges n bytes, in addition to what is already charged, to the request with the
// context ctx until its handler returns. A negative n frees them earlier. It returns a
// fault.Overloaded error if the budget is exhausted, and a fault.TooLarge error if it could
// never hold n bytes; the request must then have no effect.
func Reserve(ctx context.Context, n int64) error {
	if err := checkFits(ctx, n); err != nil {
		return err
	}
	if c := connOf(ctx); c != nil && !c.pool.reserve(c, n) {
		return fault.New(fault.Overloaded, "the host has no memory left for the request", "retry it later")
	}
	return nil
}

// checkFits returns a fault.TooLarge error if the budget could never hold n bytes for a request.
func checkFits(ctx context.Context, n int64) error {
	if c := connOf(ctx); c != nil && c.pool != nil && n > c.pool.maxBytes-connectionBytes {
		return fault.New(fault.TooLarge, "the request needs more memory than the host has for requests", "send a smaller one")
	}
	return nil
}

// Crowded reports whether the requests that are handled take more than half of the memory or
// the connections of the server with the request of the context ctx. Requests should then
// not wait for long, since other clients find no room meanwhile.
func Crowded(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.pool.crowded()
}

// account returns a handler that tells the pool how far each request has come. Until the
// handler has read the end of a POST's body, the pool may close the connection with a refusal.
// Reading the body then fails, and the request must have no effect.
func account(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		first := handling
		b := &requestBody{ReadCloser: r.Body, conn: c, ended: r.ContentLength == 0}
		if r.Method == http.MethodPost && !b.ended {
			first, b.reading = body, true
		}
		r.Body = b
		if !c.pool.setPhase(c, first) {
			return
		}
		defer func() { c.pool.handled(c, b.ended) }()
		next.ServeHTTP(w, r)
	})
}

// requestBody is the body of a request on conn.
type requestBody struct {
	io.ReadCloser
	conn *conn
	// reading is set once the body counts as incomplete, and ended once its end has been read.
	reading, ended bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.reading && !b.ended {
		b.reading = true
		// Whatever the method, a handler that reads the body has not acted yet.
		if !b.conn.pool.setPhase(b.conn, body) {
			return 0, net.ErrClosed
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	if err == io.EOF && !b.conn.pool.setPhase(b.conn, handling) {
		// The end was still in a buffer when the connection was closed with a refusal.
		err = net.ErrClosed
	}
	return n, err
}

// statusLine returns a status code with its text.
func statusLine(code int) string { return fmt.Sprint(code, " ", http.StatusText(code)) }
