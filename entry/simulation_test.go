package entry

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// world is a set of hosts and stand-ins in one process, wired by function
// calls, for use within a testing/synctest bubble.
type world struct {
	t    testing.TB
	ctx  context.Context
	log  *standin.Log
	dir  *standin.Directory
	home string
	// saved keeps the progress of stopped tasks.
	saved standin.Checkpoints

	mu      sync.Mutex
	workers map[string]*standin.Worker
	hosts   map[string]*running
	// cuts holds the cut directions, "from>to" by node or data centre.
	cuts map[string]bool
	// silent holds pairs whose open calls hang.
	starts int
	dcOf   map[string]string
	// skew is the error of each host's wall clock.
	skew map[string]time.Duration
	// lists counts each host's looks at the list of hosts.
	lists map[string]int
	tune  func(*Settings)
	// before, when set, is told of each call to a worker before it is sent.
	before func(from, to, operation, task string)
	broken []string
}

// running is a host with its life.
type running struct {
	*Host
	// life ends with the process.
	life   context.Context
	cancel context.CancelFunc
	ended  chan struct{}
	// frozen is closed when the host thaws; nil while it runs.
	frozen chan struct{}
}

// newWorld returns an empty world whose log is in data centre a.
func newWorld(ctx context.Context, tb testing.TB) *world {
	return &world{
		t: tb, ctx: ctx, home: "a", log: &standin.Log{}, dir: &standin.Directory{Lag: time.Second},
		workers: map[string]*standin.Worker{}, hosts: map[string]*running{}, cuts: map[string]bool{}, dcOf: map[string]string{}, skew: map[string]time.Duration{}, lists: map[string]int{},
	}
}

// addWorkers adds workers w0.. of a data centre, eight per rack.
func (w *world) addWorkers(dc string, n int) {
	for i := range n {
		name := fmt.Sprintf("%s-w%d", dc, i)
		w.mu.Lock()
		w.workers[name] = &standin.Worker{
			Name: name, DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, i/8), Incarnation: name + ".1",
			Checkpoints: &w.saved,
		}
		w.dcOf[name] = dc
		w.mu.Unlock()
		w.dir.Set(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: name})
	}
}

// startHost starts an entry host.
func (w *world) startHost(name, dc string) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.starts++
	h := &Host{Settings: Settings{
		Settings: dispatch.Settings{Host: name, DataCentre: dc, Incarnation: fmt.Sprintf("%s.%d", name, w.starts)},
		Logger:   slog.New(slog.DiscardHandler),
	}}
	if w.tune != nil {
		w.tune(&h.Settings)
	}
	r := &running{Host: h, life: ctx, cancel: cancel, ended: make(chan struct{})}
	h.Dependencies = w.seams(name, r)
	w.hosts[name] = r
	w.dcOf[name] = dc
	w.mu.Unlock()
	w.dir.Set(logservice.Host{Name: name, Kind: logservice.KindEntry, DataCentre: dc, Address: name})
	go func() {
		defer close(r.ended)
		_ = h.Run(ctx)
	}()
}

// killHost ends a host at once. Its calls on the way are lost.
func (w *world) killHost(name string) {
	w.mu.Lock()
	r := w.hosts[name]
	delete(w.hosts, name)
	w.mu.Unlock()
	if r == nil {
		return
	}
	w.thaw(r)
	r.cancel()
	<-r.ended
	w.noteBroken(r)
}

// freeze stops a host for d: its reducer and its calls, between any check and
// its action.
func (w *world) freeze(name string, d time.Duration) {
	w.mu.Lock()
	r := w.hosts[name]
	if r == nil || r.frozen != nil {
		w.mu.Unlock()
		return
	}
	gate := make(chan struct{})
	r.frozen = gate
	w.mu.Unlock()
	go r.inspect(w.ctx, func(*dispatch.State) { <-gate })
	go func() {
		retry.Pause(w.ctx, d)
		w.thaw(r)
	}()
}

// thaw lets a frozen host go on.
func (w *world) thaw(r *running) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.frozen != nil {
		close(r.frozen)
		r.frozen = nil
	}
}

// stop ends every host and returns once they have ended.
func (w *world) stop() {
	for _, n := range w.hostNames() {
		w.killHost(n)
	}
}

// hostNames returns the running hosts in order.
func (w *world) hostNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ns []string
	for n := range w.hosts {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// host returns a running host, or nil.
func (w *world) host(name string) *running {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[name]
}

// noteBroken keeps the broken invariants of a host.
func (w *world) noteBroken(r *running) {
	if n := r.Host.View().InvariantsBroken; n > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.broken = append(w.broken, fmt.Sprintf("host %s broke %d invariants", r.Host.Host(), n))
	}
}

// cut cuts or restores calls from one node or data centre to another.
func (w *world) cut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[from+">"+to] = on
}

// reaches reports whether calls from one node arrive at another.
func (w *world) reaches(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fs, ts := []string{from, w.dcOf[from]}, []string{to, w.dcOf[to]}
	for _, f := range fs {
		for _, t := range ts {
			if w.cuts[f+">"+t] {
				return false
			}
		}
	}
	return true
}

const (
	// near and far are one-way delays within and between regions.
	near = 500 * time.Microsecond
	far  = 20 * time.Millisecond
)

// delay returns the one-way delay between two nodes: near within a data
// centre, far otherwise.
func (w *world) delay(a, b string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dcOf[a] == w.dcOf[b] {
		return near
	}
	return far
}

// gate waits while a host is frozen, or until ctx ends.
func (w *world) gate(ctx context.Context, r *running) {
	for ctx.Err() == nil {
		w.mu.Lock()
		g := r.frozen
		w.mu.Unlock()
		if g == nil {
			return
		}
		select {
		case <-g:
		case <-ctx.Done():
		}
	}
}

// over makes one call from a host to a node with delays, cuts and freezes.
func over[T any](ctx context.Context, w *world, r *running, from, to string, timeout time.Duration, fn func(context.Context) (T, error)) (T, error) {
	var zero T
	w.gate(w.ctx, r)
	if ctx.Err() != nil || !w.reaches(from, to) {
		return zero, fault.New(fault.Unavailable, "no route", "try again")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := w.delay(from, to)
	retry.Pause(ctx, d)
	if !w.reaches(from, to) {
		<-ctx.Done()
		return zero, fault.New(fault.Unknown, "the request may be lost", "ask again")
	}
	// What has been sent arrives also when the sender dies meanwhile.
	res, err := fn(ctx)
	retry.Pause(ctx, d)
	if !w.reaches(to, from) {
		<-ctx.Done()
	}
	w.gate(w.ctx, r)
	if ctx.Err() != nil {
		return zero, fault.New(fault.Unknown, "the answer is lost", "ask again")
	}
	return res, err
}

// seams returns the seams of a host.
func (w *world) seams(name string, r *running) Dependencies {
	const store = "store"
	w.dcOf[store] = w.home
	return Dependencies{
		Log: logservice.Log{
			Append: func(ctx context.Context, stream string, data []byte) (uint64, error) {
				return over(ctx, w, r, name, store, 2*time.Second, func(ctx context.Context) (uint64, error) {
					return w.log.Append(ctx, stream, data)
				})
			},
			Read: func(ctx context.Context, stream string, from uint64, wait time.Duration) (logservice.Page, error) {
				return over(ctx, w, r, name, store, wait+2*time.Second, func(ctx context.Context) (logservice.Page, error) {
					return w.log.Read(ctx, stream, from, wait)
				})
			},
		},
		Directory: logservice.Directory{List: func(ctx context.Context) ([]logservice.Host, error) {
			w.mu.Lock()
			w.lists[name]++
			w.mu.Unlock()
			return over(ctx, w, r, name, store, 2*time.Second, w.dir.List)
		}},
		Clock:  func() time.Time { return time.Now().Add(w.skewOf(name)) },
		Worker: func(address string) upstream.Worker { return w.worker(r, name, address) },
		Peer:   func(address string) peer.Peer { return w.peer(r, name, address) },
	}
}

// setSkew makes a host's wall clock wrong by d, and skewOf returns by how much it
// is.
func (w *world) setSkew(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skew[name] = d
}

func (w *world) skewOf(name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.skew[name]
}

// tell tells of a call to a worker.
func (w *world) tell(from, to, operation, task string) {
	if w.before != nil {
		w.before(from, to, operation, task)
	}
}

// worker returns the calls from a host to a worker.
func (w *world) worker(r *running, name, to string) upstream.Worker {
	w.mu.Lock()
	u := upstream.Worker{}
	if s := w.workers[to]; s != nil {
		u = s.Upstream()
	}
	w.mu.Unlock()
	const t = upstream.CallTimeout
	return upstream.Worker{
		Heartbeat: func(ctx context.Context, a upstream.Heartbeat) (upstream.Report, error) {
			return over(ctx, w, r, name, to, t+time.Duration(a.Wait)*time.Millisecond, func(ctx context.Context) (upstream.Report, error) { return u.Heartbeat(ctx, a) })
		},
		Reserve: func(ctx context.Context, a upstream.Order) (upstream.TaskReport, error) {
			w.tell(name, to, "reserve", a.Task)
			return over(ctx, w, r, name, to, t, func(ctx context.Context) (upstream.TaskReport, error) { return u.Reserve(ctx, a) })
		},
		Start: func(ctx context.Context, a upstream.Start) (upstream.TaskReport, error) {
			w.tell(name, to, "start", a.Task)
			return over(ctx, w, r, name, to, t, func(ctx context.Context) (upstream.TaskReport, error) { return u.Start(ctx, a) })
		},
		Stop: func(ctx context.Context, a upstream.Stop) (upstream.TaskReport, error) {
			return over(ctx, w, r, name, to, t, func(ctx context.Context) (upstream.TaskReport, error) { return u.Stop(ctx, a) })
		},
		Run: func(ctx context.Context, a upstream.Run) (upstream.RunReport, error) {
			w.tell(name, to, "run", a.Task)
			return over(ctx, w, r, name, to, t+time.Duration(a.Wait)*time.Millisecond, func(ctx context.Context) (upstream.RunReport, error) { return u.Run(ctx, a) })
		},
		Await: func(ctx context.Context, a upstream.Await) (upstream.RunReport, error) {
			return over(ctx, w, r, name, to, t+time.Duration(a.Wait)*time.Millisecond, func(ctx context.Context) (upstream.RunReport, error) { return u.Await(ctx, a) })
		},
		Output: func(ctx context.Context, a upstream.OutputRequest) (upstream.OutputPart, error) {
			return over(ctx, w, r, name, to, t, func(ctx context.Context) (upstream.OutputPart, error) { return u.Output(ctx, a) })
		},
	}
}

// peer returns the calls from a host to a peer.
func (w *world) peer(r *running, name, to string) peer.Peer {
	return peer.Peer{
		Tail: func(ctx context.Context, a peer.TailRequest) (peer.TailResponse, error) {
			return over(ctx, w, r, name, to, time.Duration(a.Wait)*time.Millisecond+time.Second, func(ctx context.Context) (peer.TailResponse, error) {
				p := w.host(to)
				if p == nil {
					return peer.TailResponse{}, unreachable()
				}
				w.gate(ctx, p)
				ctx, cancel := context.WithCancel(ctx)
				defer cancel()
				defer context.AfterFunc(p.life, cancel)()
				res, err := p.Tail(ctx, a)
				if p.life.Err() != nil {
					return res, fault.New(fault.Unknown, "the connection broke", "ask again")
				}
				return res, err
			})
		},
		Fetch: func(ctx context.Context) (peer.SnapshotResponse, error) {
			return over(ctx, w, r, name, to, 10*time.Second, func(ctx context.Context) (peer.SnapshotResponse, error) {
				p := w.host(to)
				if p == nil {
					return peer.SnapshotResponse{}, unreachable()
				}
				return p.Fetch(ctx)
			})
		},
	}
}

// unreachable returns the error of a dead process, whose address refuses
// connections.
func unreachable() error {
	return fault.NewAbsent("nobody listens", "try another host")
}

// submit sends a job to a host as a caller would, without retries.
func (w *world) submit(host string, spec job.Spec, wait time.Duration) (dispatch.Reply, error) {
	r := w.host(host)
	if r == nil {
		return dispatch.Reply{}, unreachable()
	}
	ctx, cancel := context.WithTimeout(w.ctx, wait+20*time.Second)
	defer cancel()
	return r.Call(ctx, func(id string) dispatch.Event {
		return dispatch.Event{Submit: &dispatch.Submit{Waiter: id, Spec: spec, Wait: wait.Milliseconds()}}
	})
}

// ask asks a host for a job.
func (w *world) ask(host, id string, wait time.Duration) (dispatch.Reply, error) {
	r := w.host(host)
	if r == nil {
		return dispatch.Reply{}, unreachable()
	}
	ctx, cancel := context.WithTimeout(w.ctx, wait+20*time.Second)
	defer cancel()
	return r.Call(ctx, func(waiter string) dispatch.Event {
		return dispatch.Event{Wait: &dispatch.Wait{Waiter: waiter, Job: id, Wait: wait.Milliseconds()}}
	})
}

// until waits up to d of virtual time for ok.
func (w *world) until(d time.Duration, ok func() bool) bool {
	end := time.Now().Add(d)
	for !ok() {
		if time.Now().After(end) {
			return false
		}
		retry.Pause(w.ctx, 10*time.Millisecond)
	}
	return true
}
