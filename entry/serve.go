package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	klog "github.com/go-kratos/kratos/v2/log"

	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/upstream"
	"github.com/limpetrelay/limpetrelay/wire"
)

// shutdownTimeout bounds the time that the HTTP servers have to complete open
// responses after a drain.
const shutdownTimeout = 10 * time.Second

// drainLinger is how long a drained host still rejects requests before it closes
// its connections, so that callers learn to use other hosts.
const drainLinger = 2 * time.Second

// Addresses are the addresses on which a Host listens.
type Addresses struct {
	// Callers is the IP address and port for callers and operators.
	Callers string
	// Peers is the IP address and port for the other entry hosts.
	Peers string
	// CallersListener and PeersListener, when set, replace Callers and Peers.
	CallersListener, PeersListener net.Listener
}

// Serve runs h with HTTP servers until ctx ends, and then drains it: the host
// rejects new requests, answers the open ones and hands its role over before
// Serve returns. Serve returns early with an error when a server fails.
func (h *Host) Serve(ctx context.Context, a Addresses) error {
	h.init()
	callers, peers := http.NewServeMux(), http.NewServeMux()
	h.RegisterRoutes(callers)
	peer.Register(peers, peer.Peer{Tail: h.Tail, Fetch: h.Fetch})
	// Run and the servers outlive ctx, whose end only starts the drain.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers := []*httpserver.Server{
		newHTTPServer(a.Callers, a.CallersListener, h.closeWhenDraining(callers)),
		newHTTPServer(a.Peers, a.PeersListener, httpserver.BufferBody(peer.MaxRequest, peers)),
	}
	budget, callersPool, peersPool := h.newClientBudget()
	servers[0].Pool, servers[1].Pool = callersPool, peersPool
	budgetResult := make(chan error, 1)
	go func() { budgetResult <- budget.Run(runCtx) }()
	serverResults := make(chan error, len(servers))
	for _, s := range servers {
		go func() { serverResults <- s.Start(runCtx) }()
	}
	runResult := make(chan error, 1)
	go func() { runResult <- h.Run(runCtx) }()
	var err error
	select {
	case <-ctx.Done():
		h.Logger.Info("draining")
		h.Drain(runCtx)
		err = <-runResult
		retry.Pause(runCtx, drainLinger)
	case err = <-serverResults:
		h.Logger.Error("a server has ended", "error", fmt.Sprint(err))
		// stopServers expects one result per server.
		serverResults <- nil
		cancel()
		err = errors.CombineErrors(err, <-runResult)
	case err = <-runResult:
	}
	err = errors.CombineErrors(errors.Wrap(err, "serve"), stopServers(runCtx, servers, serverResults))
	cancel()
	return errors.CombineErrors(err, <-budgetResult)
}

// stopServers stops the servers once their open responses are complete, or after
// shutdownTimeout, and reads the result of each server from results.
func stopServers(ctx context.Context, servers []*httpserver.Server, results chan error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return httpserver.StopAll(ctx, servers, results)
}

// closeWhenDraining sets "Connection: close" in the responses of a draining host,
// so that no client sends a request over a connection that is being closed. A response
// to a request that arrived before the drain has it too.
func (h *Host) closeWhenDraining(next http.Handler) http.Handler {
	return httpserver.CloseWhen(func() bool { return h.View().Draining }, next)
}

// newHTTPServer returns a server without a request timeout, since callers wait for
// jobs.
func newHTTPServer(address string, l net.Listener, mux http.Handler) *httpserver.Server {
	return httpserver.New(address, l, mux)
}

// NetworkDependencies returns dependencies that are called over HTTP. The
// platform's services are at base. Unless nil, count is called with the number
// of bytes that cross connections, by purpose: log, worker or peer.
func NetworkDependencies(base string, count func(purpose string, sent, received int)) Dependencies {
	countFor := func(purpose string) func(int, int) {
		if count == nil {
			return nil
		}
		return func(sent, received int) { count(purpose, sent, received) }
	}
	log, dir := logservice.NewClient(wire.NewHTTPClient(countFor("log")), base)
	workers := clientCache[upstream.Worker]{httpClient: wire.NewHTTPClient(countFor("worker")), newClient: upstream.NewClient}
	peers := clientCache[peer.Peer]{httpClient: wire.NewHTTPClient(countFor("peer")), newClient: peer.NewClient}
	return Dependencies{Log: log, Directory: dir, Worker: workers.get, Peer: peers.get}
}

// SetServerLogger sends the log lines of all HTTP servers of the process to l.
// Kratos has one logger per process and sets it without a lock: a call after the
// first Serve is a data race with the running servers.
func SetServerLogger(l *slog.Logger) { klog.SetLogger(kratosLogger{l}) }

// kratosLogger is a Kratos logger that writes to an slog.Logger.
type kratosLogger struct{ *slog.Logger }

// Log implements the Logger interface of Kratos.
func (l kratosLogger) Log(level klog.Level, keyvals ...any) error {
	s := slog.LevelInfo
	switch level {
	case klog.LevelDebug:
		s = slog.LevelDebug
	case klog.LevelWarn:
		s = slog.LevelWarn
	case klog.LevelError, klog.LevelFatal:
		s = slog.LevelError
	}
	l.Logger.Log(context.Background(), s, "kratos", keyvals...)
	return nil
}

// clientCache holds one client per address.
type clientCache[T any] struct {
	httpClient *http.Client
	newClient  func(*http.Client, string) T

	mu      sync.Mutex
	clients map[string]T
}

// get returns the client of the process at address, and creates it on first use.
func (c *clientCache[T]) get(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]T{}
	}
	t, ok := c.clients[address]
	if !ok {
		t = c.newClient(c.httpClient, "http://"+address)
		c.clients[address] = t
	}
	return t
}
