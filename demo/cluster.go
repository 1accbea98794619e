package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/entry"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// cluster has the platform services, the workers and the entry hosts of the demo.
type cluster struct {
	log         *standin.Log
	directory   *standin.Directory
	checkpoints standin.Checkpoints
	// platform is the address of the platform services.
	platform string
	// workers and hosts are keyed by name.
	workers map[string]*standin.Worker
	hosts   map[string]*host
	// servers are those of the platform and the workers.
	servers []*http.Server
}

// host is a running entry host.
type host struct {
	*entry.Host
	// address is the base address for callers.
	address string
	stop    context.CancelFunc
	// serveErr receives the result of Serve.
	serveErr chan error
}

// newCluster starts the platform services. It discards the log lines of all HTTP
// servers of the process from then on.
func newCluster() (*cluster, error) {
	entry.SetServerLogger(slog.New(slog.DiscardHandler))
	c := &cluster{
		log: &standin.Log{}, directory: &standin.Directory{Lag: 200 * time.Millisecond},
		workers: map[string]*standin.Worker{}, hosts: map[string]*host{},
	}
	mux := http.NewServeMux()
	logservice.Register(mux, c.log.Service(), c.directory.Service())
	var err error
	c.platform, err = c.serve(mux)
	return c, err
}

// serve serves mux on a free loopback port and returns the address.
func (c *cluster) serve(mux http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	const headerTimeout = 5 * time.Second
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addWorkers starts n workers in a data centre, eight per rack.
func (c *cluster) addWorkers(dc string, n int) error {
	for i := range n {
		name := fmt.Sprintf("%s-w%d", dc, i)
		w := &standin.Worker{Name: name, DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, i/8), Incarnation: name + ".1", Checkpoints: &c.checkpoints}
		mux := http.NewServeMux()
		upstream.Register(mux, w.Upstream())
		a, err := c.serve(mux)
		if err != nil {
			return err
		}
		c.workers[name] = w
		c.directory.Set(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: a})
	}
	return nil
}

// addHost starts an entry host in a data centre and adds it to the host list.
func (c *cluster) addHost(ctx context.Context, name, dc string) error {
	var a entry.Addresses
	var err error
	if a.CallersListener, err = listen(); err != nil {
		return err
	}
	if a.PeersListener, err = listen(); err != nil {
		return err
	}
	h := &entry.Host{Settings: entry.Settings{
		Settings: dispatch.Settings{Host: name, DataCentre: dc, Incarnation: fmt.Sprintf("%s.%d", name, time.Now().UnixNano())},
		Logger:   slog.New(slog.DiscardHandler),
	}}
	h.Dependencies = entry.NetworkDependencies("http://"+c.platform, nil)
	ctx, stop := context.WithCancel(ctx)
	running := &host{Host: h, address: "http://" + a.CallersListener.Addr().String(), stop: stop, serveErr: make(chan error, 1)}
	c.hosts[name] = running
	go func() { running.serveErr <- h.Serve(ctx, a) }()
	c.directory.Set(logservice.Host{Name: name, Kind: logservice.KindEntry, DataCentre: dc, Address: a.PeersListener.Addr().String()})
	return nil
}

// removeHost removes an entry host from the host list, drains it and waits until it
// has stopped.
func (c *cluster) removeHost(name string) error {
	h := c.hosts[name]
	delete(c.hosts, name)
	c.directory.Remove(name)
	h.stop()
	return <-h.serveErr
}

// stop stops all entry hosts and servers.
func (c *cluster) stop() error {
	var err error
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		err = errors.CombineErrors(err, <-h.serveErr)
	}
	for _, s := range c.servers {
		err = errors.CombineErrors(err, s.Close())
	}
	return err
}

// waitUntil polls met until it returns true. It fails after 20 s, or when ctx ends,
// with an error that names the condition.
func waitUntil(ctx context.Context, condition string, met func() bool) error {
	const timeout = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !met() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Newf("timed out waiting until %s", condition)
		}
	}
	return nil
}

// listen listens on a free loopback port.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen on loopback")
}
