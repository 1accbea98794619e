package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/audit"
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/standin"
)

// callers simulates callers and operators, and records the replies that they get.
type callers struct {
	sim  *simulation
	seed uint64
	wg   sync.WaitGroup

	mu       sync.Mutex
	requests []*audit.RequestHistory
	// versions holds the configuration versions that accepted patches created.
	versions []uint64
}

// newCallers returns callers that draw their random choices from seed.
func newCallers(sim *simulation, seed uint64) *callers { return &callers{sim: sim, seed: seed} }

// start runs n callers and an operator until ctx ends.
func (c *callers) start(ctx context.Context, n int) {
	for i := range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.runCaller(ctx, i, rand.New(rand.NewPCG(c.seed, uint64(i))))
		}()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.runOperator(ctx, rand.New(rand.NewPCG(c.seed, 1000)))
	}()
}

// wait blocks until all callers and the operator have stopped.
func (c *callers) wait() { c.wg.Wait() }

// runCaller submits requests one after the other until ctx ends.
func (c *callers) runCaller(ctx context.Context, i int, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		retry.Pause(ctx, time.Duration(rnd.IntN(1500))*time.Millisecond)
		req := c.newRequest(fmt.Sprintf("c%d-%d", i, n), rnd)
		c.mu.Lock()
		c.requests = append(c.requests, req)
		c.mu.Unlock()
		c.submitUntilDefinite(ctx, req, rnd)
	}
}

// newRequest returns a random request.
func (c *callers) newRequest(echo string, rnd *rand.Rand) *audit.RequestHistory {
	org := []string{"acme", "lender"}[rnd.IntN(2)]
	req := &audit.RequestHistory{Echo: echo, Spec: spec(org, "class"+fmt.Sprint(rnd.IntN(3)), echo, 20+rnd.Int64N(3000))}
	s := &req.Spec
	s.Accelerators = 1 << rnd.IntN(4)
	switch rnd.IntN(5) {
	case 0:
		s.AtMostOnce, s.Key = true, echo
	case 1:
		s.Members, s.Key = 2+rnd.IntN(3), echo
		s.Adjacency = []rack.Adjacency{rack.AdjacencyAny, rack.AdjacencyRack}[rnd.IntN(2)]
		s.Urgent = rnd.IntN(2) == 0
	case 2:
		s.Members, s.Key, s.AtMostOnce = 2, echo, true
	case 3:
		s.Key = echo
	}
	return req
}

// submitUntilDefinite submits a request. While it has a key and no definite
// outcome, it is submitted again at random hosts, four times at the most.
func (c *callers) submitUntilDefinite(ctx context.Context, req *audit.RequestHistory, rnd *rand.Rand) {
	for try := 0; try < 4 && ctx.Err() == nil; try++ {
		hosts := c.sim.hostNames()
		if len(hosts) == 0 {
			retry.Pause(ctx, time.Second)
			continue
		}
		r, err := c.sim.submit(hosts[rnd.IntN(len(hosts))], req.Spec, time.Duration(4000+rnd.IntN(8000))*time.Millisecond)
		c.recordReply(req, &r, err)
		if r.Outcome != nil && r.Outcome.Result != job.Unknown || req.Spec.Key == "" {
			return
		}
		if req.Job != "" && rnd.IntN(6) == 0 {
			c.cancel(req, hosts[rnd.IntN(len(hosts))])
		}
		retry.Pause(ctx, time.Duration(rnd.IntN(3000))*time.Millisecond)
	}
}

// recordReply records the reply or the error that a caller received.
func (c *callers) recordReply(req *audit.RequestHistory, r *dispatch.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		req.Errors = append(req.Errors, err.Error())
		if req.Spec.Key == "" && fault.NothingDone(err) {
			req.Results = append(req.Results, job.NotRun)
		}
		return
	}
	if r.Job != "" {
		req.Job = r.Job
	}
	if r.Outcome == nil {
		return
	}
	req.Results = append(req.Results, r.Outcome.Result)
	if r.Output != nil {
		req.Output = string(r.Output)
	}
}

// cancel cancels a job at a host and records the reply.
func (c *callers) cancel(req *audit.RequestHistory, host string) {
	r := c.sim.host(host)
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.sim.ctx, 20*time.Second)
	defer cancel()
	rep, err := r.Call(ctx, func(id string) dispatch.Event {
		return dispatch.Event{Cancel: &dispatch.Cancel{Waiter: id, Job: req.Job, By: "caller"}}
	})
	c.recordReply(req, &rep, err)
}

// runOperator submits patches until ctx ends, some of them as two that race.
func (c *callers) runOperator(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		retry.Pause(ctx, time.Duration(rnd.IntN(6000))*time.Millisecond)
		hosts := c.sim.hostNames()
		if len(hosts) == 0 {
			continue
		}
		var wg sync.WaitGroup
		for range 1 + rnd.IntN(2) {
			host := hosts[rnd.IntN(len(hosts))]
			priority := rnd.IntN(50)
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.submitPatch(host, priority)
			}()
		}
		wg.Wait()
	}
}

// submitPatch submits one patch to a host, based on the version in force there.
func (c *callers) submitPatch(host string, priority int) {
	r := c.sim.host(host)
	if r == nil {
		return
	}
	p := config.Patch{Base: r.View().Version, Author: host, Changes: []config.Change{
		{SetClass: &config.NamedClass{Name: "class0", Class: config.Class{Priority: priority}}},
	}}
	rep, err := c.sim.patch(host, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.versions = append(c.versions, rep.Version)
	}
}

// removeFaults removes the faults of the log, the list of hosts, the network and the
// workers, starts or thaws the hosts and opens the data centres. It waits up to a
// minute until all hosts are ready, then up to five minutes until they have no open
// jobs, and 30 s more.
func (sim *simulation) removeFaults() {
	sim.log.SetFaults(standin.LogFaults{})
	sim.dir.SetDown(false)
	sim.mu.Lock()
	clear(sim.cuts)
	sim.mu.Unlock()
	for name, wk := range sim.workers {
		wk.SetFaults(standin.WorkerFaults{})
		wk.SetLeaving(false)
		sim.listWorker(name, strings.SplitN(name, "-", 2)[0])
	}
	for _, dc := range []string{"a", "b"} {
		for i := range 3 {
			n := fmt.Sprintf("%s-e%d", dc, i)
			if r := sim.host(n); r == nil {
				sim.startHost(n, dc)
			} else {
				sim.thaw(r)
			}
		}
	}
	sim.waitUntil(time.Minute, func() bool {
		for _, n := range sim.hostNames() {
			if !sim.host(n).View().Ready {
				return false
			}
		}
		return true
	})
	for _, dc := range []string{"a", "b"} {
		sim.setClosed(dc, false)
	}
	sim.waitUntil(5*time.Minute, func() bool {
		for _, n := range sim.hostNames() {
			if v := sim.host(n).View(); !v.Ready || v.Queued+v.Placed > 0 {
				return false
			}
		}
		return true
	})
	retry.Pause(sim.ctx, 30*time.Second)
}

// listWorker adds a worker to the list of hosts.
func (sim *simulation) listWorker(name, dc string) {
	sim.dir.Set(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: name})
}
