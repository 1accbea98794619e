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

// simulation is a set of entry hosts in one process with fakes of the workers, the
// log and the list of hosts, all connected by function calls. It runs in virtual
// time, within a testing/synctest bubble.
type simulation struct {
	t   testing.TB
	ctx context.Context
	log *standin.Log
	dir *standin.Directory
	// homeDataCentre is where the log and the list of hosts are.
	homeDataCentre string
	// checkpoints stores the progress of stopped tasks.
	checkpoints standin.Checkpoints

	mu      sync.Mutex
	workers map[string]*standin.Worker
	hosts   map[string]*runningHost
	// cuts holds the directions in which the network is cut, as "from>to" by node or
	// data centre.
	cuts map[string]bool
	// starts counts the starts of hosts, so that each has its own incarnation.
	starts int
	// dcOf is the data centre of each node.
	dcOf map[string]string
	// skew is the error of each host's wall clock.
	skew map[string]time.Duration
	// listReads counts the reads of the list of hosts by each host.
	listReads map[string]int
	// tune, when set, changes the settings of each host that is started.
	tune func(*Settings)
	// beforeCall, when set, is called before each reserve, start and run of a task
	// is sent to a worker.
	beforeCall func(from, to, operation, task string)
	// violations lists the hosts that ended with broken invariants.
	violations []string
}

// runningHost is a host whose process is running.
type runningHost struct {
	*Host
	// processCtx ends when the process is killed, and done is closed when Run has
	// returned.
	processCtx context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	// thawed is closed when the frozen host resumes; nil while it is not frozen.
	thawed chan struct{}
}

// newSimulation returns a simulation without nodes whose log is in data centre a.
func newSimulation(ctx context.Context, tb testing.TB) *simulation {
	return &simulation{
		t: tb, ctx: ctx, homeDataCentre: "a", log: &standin.Log{}, dir: &standin.Directory{Lag: time.Second},
		workers: map[string]*standin.Worker{}, hosts: map[string]*runningHost{}, cuts: map[string]bool{}, dcOf: map[string]string{}, skew: map[string]time.Duration{}, listReads: map[string]int{},
	}
}

// addWorkers adds n workers to a data centre, eight per rack. The first is named
// dc-w0.
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

// killHost ends the process of a host at once. The results of its calls in flight
// are lost.
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

// freeze suspends a host for d, with its state machine and its calls. The host may
// thus be suspended between a check and the action that depends on it.
func (sim *simulation) freeze(name string, d time.Duration) {
	sim.mu.Lock()
	r := sim.hosts[name]
	if r == nil || r.thawed != nil {
		sim.mu.Unlock()
		return
	}
	thawed := make(chan struct{})
	r.thawed = thawed
	sim.mu.Unlock()
	go r.inspect(sim.ctx, func(*dispatch.State) { <-thawed })
	go func() {
		retry.Pause(sim.ctx, d)
		sim.thaw(r)
	}()
}

// thaw resumes a frozen host.
func (sim *simulation) thaw(r *runningHost) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if r.thawed != nil {
		close(r.thawed)
		r.thawed = nil
	}
}

// stop kills all hosts and returns once they have ended.
func (sim *simulation) stop() {
	for _, n := range sim.hostNames() {
		sim.killHost(n)
	}
}

// hostNames returns the names of the running hosts in alphabetical order.
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

// recordViolations records the number of invariants that a host found broken.
func (sim *simulation) recordViolations(r *runningHost) {
	if n := r.Host.View().Broken; n > 0 {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.violations = append(sim.violations, fmt.Sprintf("host %s broke %d invariants", r.Host.Host(), n))
	}
}

// setCut cuts the network from one node or data centre to another when on is true,
// and restores it otherwise.
func (sim *simulation) setCut(from, to string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cuts[from+">"+to] = on
}

// reachable reports whether messages from one node arrive at another.
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
	// localDelay and remoteDelay are the one-way network delays within a data
	// centre and between data centres.
	localDelay  = 500 * time.Microsecond
	remoteDelay = 20 * time.Millisecond
)

// delay returns the one-way network delay between two nodes.
func (sim *simulation) delay(a, b string) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.dcOf[a] == sim.dcOf[b] {
		return localDelay
	}
	return remoteDelay
}

// waitWhileFrozen blocks while a host is frozen, or until ctx ends.
func (sim *simulation) waitWhileFrozen(ctx context.Context, r *runningHost) {
	for ctx.Err() == nil {
		sim.mu.Lock()
		thawed := r.thawed
		sim.mu.Unlock()
		if thawed == nil {
			return
		}
		select {
		case <-thawed:
		case <-ctx.Done():
		}
	}
}

// callNode makes one call from a host to a node, subject to network delay, cuts and
// the freezing of the host.
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
		return zero, fault.New(fault.Unknown, "the request may be lost", "try again")
	}
	// A request that was sent arrives even if the sender dies in the meantime.
	res, err := fn(ctx)
	retry.Pause(ctx, d)
	if !sim.reachable(to, from) {
		<-ctx.Done()
	}
	sim.waitWhileFrozen(sim.ctx, r)
	if ctx.Err() != nil {
		return zero, fault.New(fault.Unknown, "the response is lost", "try again")
	}
	return res, err
}

// dependencies returns the dependencies of a host.
func (sim *simulation) dependencies(name string, r *runningHost) Dependencies {
	// store is the node of the log and the list of hosts.
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

// setSkew sets the error of a host's wall clock.
func (sim *simulation) setSkew(name string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.skew[name] = d
}

// skewOf returns the error of a host's wall clock.
func (sim *simulation) skewOf(name string) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.skew[name]
}

// notifyCall calls beforeCall, if set.
func (sim *simulation) notifyCall(from, to, operation, task string) {
	if sim.beforeCall != nil {
		sim.beforeCall(from, to, operation, task)
	}
}

// workerClient returns the client with which a host calls a worker.
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

// peerClient returns the client with which a host calls a peer.
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
					return res, fault.New(fault.Unknown, "the connection broke", "try again")
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

// unreachable returns the error of a call to a process that has ended, whose
// address refuses connections.
func unreachable() error {
	return fault.NewConnectionRefused("connection refused", "try another host")
}

// submit submits a job to a host and waits for its end, without retries.
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

// waitForJob waits at a host for the end of a job.
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

// waitUntil polls ok every 10 ms of virtual time and reports whether it returned
// true within d.
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
