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

// callers plays callers and operators.
type callers struct {
	w    *world
	seed uint64
	wg   sync.WaitGroup

	mu   sync.Mutex
	told []*audit.Told
	// versions holds the numbers that accepted patches yielded.
	versions []uint64
}

// newCallers returns callers with random choices from a seed.
func newCallers(w *world, seed uint64) *callers { return &callers{w: w, seed: seed} }

// start runs n callers and an operator until ctx ends.
func (c *callers) start(ctx context.Context, n int) {
	for i := range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.call(ctx, i, rand.New(rand.NewPCG(c.seed, uint64(i))))
		}()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.operate(ctx, rand.New(rand.NewPCG(c.seed, 1000)))
	}()
}

// wait returns once all callers have gone.
func (c *callers) wait() { c.wg.Wait() }

// call sends requests until ctx ends.
func (c *callers) call(ctx context.Context, i int, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		retry.Pause(ctx, time.Duration(rnd.IntN(1500))*time.Millisecond)
		t := c.newRequest(fmt.Sprintf("c%d-%d", i, n), rnd)
		c.mu.Lock()
		c.told = append(c.told, t)
		c.mu.Unlock()
		c.follow(ctx, t, rnd)
	}
}

// newRequest draws a request.
func (c *callers) newRequest(echo string, rnd *rand.Rand) *audit.Told {
	org := []string{"acme", "lender"}[rnd.IntN(2)]
	t := &audit.Told{Echo: echo, Spec: spec(org, "class"+fmt.Sprint(rnd.IntN(3)), echo, 20+rnd.Int64N(3000))}
	s := &t.Spec
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
	return t
}

// follow submits a request and, when it has a key and the outcome is not
// definite, asks again at other hosts.
func (c *callers) follow(ctx context.Context, t *audit.Told, rnd *rand.Rand) {
	for try := 0; try < 4 && ctx.Err() == nil; try++ {
		hosts := c.w.hostNames()
		if len(hosts) == 0 {
			retry.Pause(ctx, time.Second)
			continue
		}
		r, err := c.w.submit(hosts[rnd.IntN(len(hosts))], t.Spec, time.Duration(4000+rnd.IntN(8000))*time.Millisecond)
		c.note(t, &r, err)
		if r.Outcome != nil && r.Outcome.Result != job.Unknown || t.Spec.Key == "" {
			return
		}
		if t.Job != "" && rnd.IntN(6) == 0 {
			c.cancel(t, hosts[rnd.IntN(len(hosts))])
		}
		retry.Pause(ctx, time.Duration(rnd.IntN(3000))*time.Millisecond)
	}
}

// note keeps what a caller was told.
func (c *callers) note(t *audit.Told, r *dispatch.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		t.Errors = append(t.Errors, err.Error())
		if t.Spec.Key == "" && fault.NothingDone(err) {
			t.Results = append(t.Results, job.NotRun)
		}
		return
	}
	if r.Job != "" {
		t.Job = r.Job
	}
	if r.Outcome == nil {
		return
	}
	t.Results = append(t.Results, r.Outcome.Result)
	if r.Output != nil {
		t.Output = string(r.Output)
	}
}

// cancel cancels a job.
func (c *callers) cancel(t *audit.Told, host string) {
	r := c.w.host(host)
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.w.ctx, 20*time.Second)
	defer cancel()
	rep, err := r.Call(ctx, func(id string) dispatch.Event {
		return dispatch.Event{Cancel: &dispatch.Cancel{Waiter: id, Job: t.Job, By: "caller"}}
	})
	c.note(t, &rep, err)
}

// operate submits patches, some of them raced at two hosts.
func (c *callers) operate(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		retry.Pause(ctx, time.Duration(rnd.IntN(6000))*time.Millisecond)
		hosts := c.w.hostNames()
		if len(hosts) == 0 {
			continue
		}
		var wg sync.WaitGroup
		for range 1 + rnd.IntN(2) {
			host := hosts[rnd.IntN(len(hosts))]
			prio := rnd.IntN(50)
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.operateOnce(host, prio)
			}()
		}
		wg.Wait()
	}
}

// operateOnce submits one patch against the version that a host shows.
func (c *callers) operateOnce(host string, prio int) {
	r := c.w.host(host)
	if r == nil {
		return
	}
	p := config.Patch{Base: r.View().ConfigVersion, Author: host, Changes: []config.Change{
		{SetClass: &config.NamedClass{Name: "class0", Class: config.Class{Priority: prio}}},
	}}
	rep, err := c.w.patch(host, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.versions = append(c.versions, rep.Version)
	}
}

// heal undoes every fault and waits until the system is quiet.
func (w *world) heal() {
	w.log.SetFaults(standin.LogFaults{})
	w.dir.SetDown(false)
	w.mu.Lock()
	clear(w.cuts)
	w.mu.Unlock()
	for name, wk := range w.workers {
		wk.SetFaults(standin.WorkerFaults{})
		wk.SetLeaving(false)
		w.listWorker(name, strings.SplitN(name, "-", 2)[0])
	}
	for _, dc := range []string{"a", "b"} {
		for i := range 3 {
			n := fmt.Sprintf("%s-e%d", dc, i)
			if r := w.host(n); r == nil {
				w.startHost(n, dc)
			} else {
				w.thaw(r)
			}
		}
	}
	w.until(time.Minute, func() bool {
		for _, n := range w.hostNames() {
			if !w.host(n).View().Ready {
				return false
			}
		}
		return true
	})
	for _, dc := range []string{"a", "b"} {
		w.setClosed(dc, false)
	}
	w.until(5*time.Minute, func() bool {
		for _, n := range w.hostNames() {
			if v := w.host(n).View(); !v.Ready || v.JobsQueued+v.JobsPlaced > 0 {
				return false
			}
		}
		return true
	})
	retry.Pause(w.ctx, 30*time.Second)
}

// listWorker enters a worker into the list.
func (w *world) listWorker(name, dc string) {
	w.dir.Set(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: name})
}
