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
type simulation struct {
	t              testing.TB
	ctx            context.Context
	log            *standin.Log
	dir            *standin.Directory
	homeDataCentre string
	// saved keeps the progress of stopped tasks.
	checkpoints standin.Checkpoints

	mu      sync.Mutex
	workers map[string]*standin.Worker
	hosts   map[string]*runningHost
	// cuts holds the cut directions, "from>to" by node or data centre.
	cuts map[string]bool
	// silent holds pairs whose open calls hang.
	starts int
	dcOf   map[string]string
	// skew is the error of each host's wall clock.
	skew map[string]time.Duration
	// lists counts each host's looks at the list of hosts.
	listReads map[string]int
	tune      func(*Settings)
	// before, when set, is told of each call to a worker before it is sent.
	beforeCall func(from, to, operation, task string)
	violations []string
}

// running is a host with its life.
type runningHost struct {
	*Host
	// life ends with the process.
	processCtx context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	// frozen is closed when the host thaws; nil while it runs.
	thawed chan struct{}
}

// newWorld returns an empty world whose log is in data centre a.
func newSimulation(ctx context.Context, tb testing.TB) *simulation {
	return &simulation{
		t: tb, ctx: ctx, homeDataCentre: "a", log: &standin.Log{}, dir: &standin.Directory{Lag: time.Second},
		workers: map[string]*standin.Worker{}, hosts: map[string]*runningHost{}, cuts: map[string]bool{}, dcOf: map[string]string{}, skew: map[string]time.Duration{}, listReads: map[string]int{},
	}
}

// addWorkers adds workers w0.. of a data centre, eight per rack.
func (sim *simulation) addWorkers(dc string, n int) {
	for i := range n {
		name := fmt.Sprintf("%s-w%d", dc, i)
		sim.mu.Lock()
		sim.workers[name] = &standin.Worker{
			Name: name, DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, i/8), Incarnation: name + ".1",
			Checkpoints: &sim.checkpoints,
		}
		sim.dcOf[name] = dc
		sim.mu.Unlock()
		sim.dir.Set(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: name})
	}
}

// startHost starts an entry host.
func (sim *simulation) startHost(name, dc string) {
	ctx, cancel := context.WithCancel(sim.ctx)
	sim.mu.Lock()
	sim.starts++
	h := &Host{Settings: Settings{
		Settings: dispatch.Settings{Host: name, DataCentre: dc, Incarnation: fmt.Sprintf("%s.%d", name, sim.starts)},
		Logger:   slog.New(slog.DiscardHandler),
	}}
	if sim.tune != nil {
		sim.tune(&h.Settings)
	}
	r := &runningHost{Host: h, processCtx: ctx, cancel: cancel, done: make(chan struct{})}
	h.Dependencies = sim.dependencies(name, r)
	sim.hosts[name] = r
	sim.dcOf[name] = dc
	sim.mu.Unlock()
	sim.dir.Set(logservice.Host{Name: name, Kind: logservice.KindEntry, DataCentre: dc, Address: name})
	go func() {
		defer close(r.done)
		_ = h.Run(ctx)
	}()
}

// killHost ends a host at once. Its calls on the way are lost.
func (sim *simulation) killHost(name string) {
	sim.mu.Lock()
	r := sim.hosts[name]
	delete(sim.hosts, name)
	sim.mu.Unlock()
	if r == nil {
		return
	}
	sim.thaw(r)
	r.cancel()
	<-r.done
	sim.recordViolations(r)
}

// freeze stops a host for d: its reducer and its calls, between any check and
// its action.
func (sim *simulation) freeze(name string, d time.Duration) {
	sim.mu.Lock()
	r := sim.hosts[name]
	if r == nil || r.thawed != nil {
		sim.mu.Unlock()
		return
	}
	gate := make(chan struct{})
	r.thawed = gate
	sim.mu.Unlock()
	go r.inspect(sim.ctx, func(*dispatch.State) { <-gate })
	go func() {
		retry.Pause(sim.ctx, d)
		sim.thaw(r)
	}()
}

// thaw lets a frozen host go on.
func (sim *simulation) thaw(r *runningHost) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if r.thawed != nil {
		close(r.thawed)
		r.thawed = nil
	}
}

// stop ends every host and returns once they have ended.
func (sim *simulation) stop() {
	for _, n := range sim.hostNames() {
		sim.killHost(n)
	}
}

// hostNames returns the running hosts in order.
func (sim *simulation) hostNames() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var ns []string
	for n := range sim.hosts {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// host returns a running host, or nil.
func (sim *simulation) host(name string) *runningHost {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.hosts[name]
}

// noteBroken keeps the broken invariants of a host.
func (sim *simulation) recordViolations(r *runningHost) {
	if n := r.Host.View().InvariantsBroken; n > 0 {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.violations = append(sim.violations, fmt.Sprintf("host %s broke %d invariants", r.Host.Host(), n))
	}
}

// cut cuts or restores calls from one node or data centre to another.
func (sim *simulation) setCut(from, to string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cuts[from+">"+to] = on
}

// reaches reports whether calls from one node arrive at another.
func (sim *simulation) reachable(from, to string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	fs, ts := []string{from, sim.dcOf[from]}, []string{to, sim.dcOf[to]}
	for _, f := range fs {
		for _, t := range ts {
			if sim.cuts[f+">"+t] {
				return false
			}
		}
	}
	return true
}

const (
	// near and far are one-way delays within and between regions.
	localDelay  = 500 * time.Microsecond
	remoteDelay = 20 * time.Millisecond
)

// delay returns the one-way delay between two nodes: near within a data
// centre, far otherwise.
func (sim *simulation) delay(a, b string) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.dcOf[a] == sim.dcOf[b] {
		return localDelay
	}
	return remoteDelay
}

// gate waits while a host is frozen, or until ctx ends.
func (sim *simulation) waitWhileFrozen(ctx context.Context, r *runningHost) {
	for ctx.Err() == nil {
		sim.mu.Lock()
		g := r.thawed
		sim.mu.Unlock()
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
func callNode[T any](ctx context.Context, sim *simulation, r *runningHost, from, to string, timeout time.Duration, fn func(context.Context) (T, error)) (T, error) {
	var zero T
	sim.waitWhileFrozen(sim.ctx, r)
	if ctx.Err() != nil || !sim.reachable(from, to) {
		return zero, fault.New(fault.Unavailable, "no route", "try again")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := sim.delay(from, to)
	retry.Pause(ctx, d)
	if !sim.reachable(from, to) {
		<-ctx.Done()
		return zero, fault.New(fault.Unknown, "the request may be lost", "ask again")
	}
	// What has been sent arrives also when the sender dies meanwhile.
	res, err := fn(ctx)
	retry.Pause(ctx, d)
	if !sim.reachable(to, from) {
		<-ctx.Done()
	}
	sim.waitWhileFrozen(sim.ctx, r)
	if ctx.Err() != nil {
		return zero, fault.New(fault.Unknown, "the answer is lost", "ask again")
	}
	return res, err
}

// seams returns the seams of a host.
func (sim *simulation) dependencies(name string, r *runningHost) Dependencies {
	const store = "store"
	sim.dcOf[store] = sim.homeDataCentre
	return Dependencies{
		Log: logservice.Log{
			Append: func(ctx context.Context, stream string, data []byte) (uint64, error) {
				return callNode(ctx, sim, r, name, store, 2*time.Second, func(ctx context.Context) (uint64, error) {
					return sim.log.Append(ctx, stream, data)
				})
			},
			Read: func(ctx context.Context, stream string, from uint64, wait time.Duration) (logservice.Page, error) {
				return callNode(ctx, sim, r, name, store, wait+2*time.Second, func(ctx context.Context) (logservice.Page, error) {
					return sim.log.Read(ctx, stream, from, wait)
				})
			},
		},
		Directory: logservice.Directory{List: func(ctx context.Context) ([]logservice.Host, error) {
			sim.mu.Lock()
			sim.listReads[name]++
			sim.mu.Unlock()
			return callNode(ctx, sim, r, name, store, 2*time.Second, sim.dir.List)
		}},
		Clock:  func() time.Time { return time.Now().Add(sim.skewOf(name)) },
		Worker: func(address string) upstream.Worker { return sim.workerClient(r, name, address) },
		Peer:   func(address string) peer.Peer { return sim.peerClient(r, name, address) },
	}
}

// setSkew makes a host's wall clock wrong by d, and skewOf returns by how much it
// is.
func (sim *simulation) setSkew(name string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.skew[name] = d
}

func (sim *simulation) skewOf(name string) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.skew[name]
}

// tell tells of a call to a worker.
func (sim *simulation) notifyCall(from, to, operation, task string) {
	if sim.beforeCall != nil {
		sim.beforeCall(from, to, operation, task)
	}
}

// worker returns the calls from a host to a worker.
func (sim *simulation) workerClient(r *runningHost, name, to string) upstream.Worker {
	sim.mu.Lock()
	u := upstream.Worker{}
	if s := sim.workers[to]; s != nil {
		u = s.Upstream()
	}
	sim.mu.Unlock()
	const t = upstream.CallTimeout
	return upstream.Worker{
		Heartbeat: func(ctx context.Context, a upstream.Heartbeat) (upstream.Report, error) {
			return callNode(ctx, sim, r, name, to, t+time.Duration(a.Wait)*time.Millisecond, func(ctx context.Context) (upstream.Report, error) { return u.Heartbeat(ctx, a) })
		},
		Reserve: func(ctx context.Context, a upstream.Order) (upstream.TaskReport, error) {
			sim.notifyCall(name, to, "reserve", a.Task)
			return callNode(ctx, sim, r, name, to, t, func(ctx context.Context) (upstream.TaskReport, error) { return u.Reserve(ctx, a) })
		},
		Start: func(ctx context.Context, a upstream.Start) (upstream.TaskReport, error) {
			sim.notifyCall(name, to, "start", a.Task)
			return callNode(ctx, sim, r, name, to, t, func(ctx context.Context) (upstream.TaskReport, error) { return u.Start(ctx, a) })
		},
		Stop: func(ctx context.Context, a upstream.Stop) (upstream.TaskReport, error) {
			return callNode(ctx, sim, r, name, to, t, func(ctx context.Context) (upstream.TaskReport, error) { return u.Stop(ctx, a) })
		},
		Run: func(ctx context.Context, a upstream.Run) (upstream.RunReport, error) {
			sim.notifyCall(name, to, "run", a.Task)
			return callNode(ctx, sim, r, name, to, t+time.Duration(a.Wait)*time.Millisecond, func(ctx context.Context) (upstream.RunReport, error) { return u.Run(ctx, a) })
		},
		Await: func(ctx context.Context, a upstream.Await) (upstream.RunReport, error) {
			return callNode(ctx, sim, r, name, to, t+time.Duration(a.Wait)*time.Millisecond, func(ctx context.Context) (upstream.RunReport, error) { return u.Await(ctx, a) })
		},
		Output: func(ctx context.Context, a upstream.OutputRequest) (upstream.OutputPart, error) {
			return callNode(ctx, sim, r, name, to, t, func(ctx context.Context) (upstream.OutputPart, error) { return u.Output(ctx, a) })
		},
	}
}

// peer returns the calls from a host to a peer.
func (sim *simulation) peerClient(r *runningHost, name, to string) peer.Peer {
	return peer.Peer{
		Tail: func(ctx context.Context, a peer.TailRequest) (peer.TailResponse, error) {
			return callNode(ctx, sim, r, name, to, time.Duration(a.Wait)*time.Millisecond+time.Second, func(ctx context.Context) (peer.TailResponse, error) {
				p := sim.host(to)
				if p == nil {
					return peer.TailResponse{}, unreachable()
				}
				sim.waitWhileFrozen(ctx, p)
				ctx, cancel := context.WithCancel(ctx)
				defer cancel()
				defer context.AfterFunc(p.processCtx, cancel)()
				res, err := p.Tail(ctx, a)
				if p.processCtx.Err() != nil {
					return res, fault.New(fault.Unknown, "the connection broke", "ask again")
				}
				return res, err
			})
		},
		Fetch: func(ctx context.Context) (peer.SnapshotResponse, error) {
			return callNode(ctx, sim, r, name, to, 10*time.Second, func(ctx context.Context) (peer.SnapshotResponse, error) {
				p := sim.host(to)
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
func (sim *simulation) submit(host string, spec job.Spec, wait time.Duration) (dispatch.Reply, error) {
	r := sim.host(host)
	if r == nil {
		return dispatch.Reply{}, unreachable()
	}
	ctx, cancel := context.WithTimeout(sim.ctx, wait+20*time.Second)
	defer cancel()
	return r.Call(ctx, func(id string) dispatch.Event {
		return dispatch.Event{Submit: &dispatch.Submit{Waiter: id, Spec: spec, Wait: wait.Milliseconds()}}
	})
}

// ask asks a host for a job.
func (sim *simulation) waitForJob(host, id string, wait time.Duration) (dispatch.Reply, error) {
	r := sim.host(host)
	if r == nil {
		return dispatch.Reply{}, unreachable()
	}
	ctx, cancel := context.WithTimeout(sim.ctx, wait+20*time.Second)
	defer cancel()
	return r.Call(ctx, func(waiter string) dispatch.Event {
		return dispatch.Event{Wait: &dispatch.Wait{Waiter: waiter, Job: id, Wait: wait.Milliseconds()}}
	})
}

// until waits up to d of virtual time for ok.
func (sim *simulation) waitUntil(d time.Duration, ok func() bool) bool {
	end := time.Now().Add(d)
	for !ok() {
		if time.Now().After(end) {
			return false
		}
		retry.Pause(sim.ctx, 10*time.Millisecond)
	}
	return true
}
