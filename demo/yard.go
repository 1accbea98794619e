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

// yard is the platform, the workers and the entry hosts of the demo.
type yard struct {
	log      *standin.Log
	dir      *standin.Directory
	saved    standin.Checkpoints
	platform string
	workers  map[string]*standin.Worker
	hosts    map[string]*host
	servers  []*http.Server
}

// host is a running entry host.
type host struct {
	*entry.Host
	address string
	stop    context.CancelFunc
	ended   chan error
}

// newYard starts the platform. The process's servers log nothing from then on.
func newYard() (*yard, error) {
	entry.SetServerLogger(slog.New(slog.DiscardHandler))
	y := &yard{
		log: &standin.Log{}, dir: &standin.Directory{Lag: 200 * time.Millisecond},
		workers: map[string]*standin.Worker{}, hosts: map[string]*host{},
	}
	mux := http.NewServeMux()
	logservice.Register(mux, y.log.Platform(), y.dir.Platform())
	var err error
	y.platform, err = y.serve(mux)
	return y, err
}

// serve serves mux on a free port of loopback and returns its address.
func (y *yard) serve(mux http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	const headerTimeout = 5 * time.Second
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	y.servers = append(y.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addWorkers starts n workers of a data centre, eight per rack.
func (y *yard) addWorkers(dc string, n int) error {
	for i := range n {
		name := fmt.Sprintf("%s-w%d", dc, i)
		w := &standin.Worker{Name: name, DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, i/8), Incarnation: name + ".1", Checkpoints: &y.saved}
		mux := http.NewServeMux()
		upstream.Register(mux, w.Upstream())
		a, err := y.serve(mux)
		if err != nil {
			return err
		}
		y.workers[name] = w
		y.dir.Set(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: a})
	}
	return nil
}

// addHost starts an entry host.
func (y *yard) addHost(ctx context.Context, name, dc string) error {
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
	h.Dependencies = entry.NetworkDependencies("http://"+y.platform, nil)
	ctx, stop := context.WithCancel(ctx)
	r := &host{Host: h, address: "http://" + a.CallersListener.Addr().String(), stop: stop, ended: make(chan error, 1)}
	y.hosts[name] = r
	go func() { r.ended <- h.Serve(ctx, a) }()
	y.dir.Set(logservice.Host{Name: name, Kind: logservice.KindEntry, DataCentre: dc, Address: a.PeersListener.Addr().String()})
	return nil
}

// removeHost drains an entry host and waits for its end.
func (y *yard) removeHost(name string) error {
	h := y.hosts[name]
	delete(y.hosts, name)
	y.dir.Remove(name)
	h.stop()
	return <-h.ended
}

// stop ends everything.
func (y *yard) stop() error {
	var err error
	for _, h := range y.hosts {
		h.stop()
	}
	for _, h := range y.hosts {
		err = errors.CombineErrors(err, <-h.ended)
	}
	for _, s := range y.servers {
		err = errors.CombineErrors(err, s.Close())
	}
	return err
}

// until waits for ok.
func until(ctx context.Context, what string, ok func() bool) error {
	const patience = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Newf("waited in vain until %s", what)
		}
	}
	return nil
}

// listen listens on a free port of loopback.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen on loopback")
}
