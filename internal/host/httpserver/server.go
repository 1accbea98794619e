// Package httpserver provides an HTTP server that stops without losing a request.
//
// http.Server.Shutdown closes an idle connection even if a part of a request has
// arrived on it, resets the connections that the kernel has established but that are
// not yet accepted, and drops without a response a request that is read completely
// after it has begun. Server.Stop therefore closes the connections itself and calls
// Shutdown only when none is left.
//
// A Budget bounds the memory and the descriptors that the clients of a process take.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// pollInterval is the interval at which Stop checks the connections.
	pollInterval = 5 * time.Millisecond
	// newConnectionWait is how long after it was accepted a connection without any
	// bytes is expected to send a request.
	newConnectionWait = 500 * time.Millisecond
	// idleMargin is how long before the end of its context Stop closes connections without
	// a complete request even though requests are open on others.
	idleMargin = 250 * time.Millisecond
)

// Server is an HTTP server without a request timeout.
type Server struct {
	// Pool bounds what the clients take; nil for no bounds. It must be set before Start.
	Pool *Pool

	address  string
	given    net.Listener
	server   *khttp.Server
	stopping atomic.Bool

	mu sync.Mutex
	// listener is nil before Start.
	listener *listener
}

// New returns a server of handler that listens on l or, if l is nil, on the TCP address.
func New(address string, l net.Listener, handler http.Handler) *Server {
	s := &Server{address: address, given: l, server: khttp.NewServer(khttp.Address(address), khttp.Timeout(0))}
	s.server.HandlePrefix("/", account(CloseWhen(s.stopping.Load, handler)))
	s.server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && (state == http.StateActive || state == http.StateIdle) {
			c.setBusy(state == http.StateActive)
			c.pool.setPhase(c, map[http.ConnState]phase{http.StateActive: body, http.StateIdle: idle}[state])
		}
	}
	s.server.ConnContext = withConn
	return s
}

// Start serves until Stop is called or the server fails.
func (s *Server) Start(ctx context.Context) error {
	nl := s.given
	if nl == nil {
		var err error
		if nl, err = net.Listen("tcp", s.address); err != nil {
			return err
		}
	}
	l := newListener(nl, s.Pool)
	// Stop must not wait for a server that has failed.
	defer func() { _ = l.Close() }()
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	khttp.Listener(l)(s.server)
	return s.server.Start(ctx)
}

// Stop accepts the connections that are already established, refuses new ones and
// answers the requests that are open or still arrive on open connections. It closes the
// idle connections once no request is open. Shortly before the end of ctx it refuses the
// requests that are incomplete and gives up responses that are not read. When ctx ends first,
// it stops the server and returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return s.server.Stop(ctx)
	}
	l.refuse()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		deadline, ok := ctx.Deadline()
		force := ok && time.Until(deadline) < idleMargin
		if force {
			s.Pool.closeIncomplete()
		}
		if l.closeIdle(force) {
			return s.server.Stop(ctx)
		}
		select {
		case <-ctx.Done():
			return s.server.Stop(ctx)
		case <-t.C:
		}
	}
}

// StopAll stops servers at the same time, and waits for the result of Start of each on results.
func StopAll(ctx context.Context, servers []*Server, results <-chan error) error {
	stopped := make(chan error, len(servers))
	for _, s := range servers {
		go func() { stopped <- s.Stop(ctx) }()
	}
	var err error
	for range servers {
		err = errors.CombineErrors(err, <-stopped)
	}
	for range servers {
		err = errors.CombineErrors(err, <-results)
	}
	return errors.Wrap(err, "stop the servers")
}

// CloseWhen returns a handler that sets "Connection: close" in the responses of next
// that are sent while closing returns true, so that clients send no further request over
// the connection.
func CloseWhen(closing func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, closing: closing}, r)
	})
}

// closingWriter is an http.ResponseWriter that asks the client to close its connection if
// closing returns true when the response is sent.
type closingWriter struct {
	http.ResponseWriter
	closing func() bool
	sent    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(code int) {
	if !w.sent && w.closing() {
		w.Header().Set("Connection", "close")
	}
	w.sent = true
	w.ResponseWriter.WriteHeader(code)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
