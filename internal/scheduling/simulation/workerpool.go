package simulation

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// Yard is the emulated workers alone, in real time, for coordinators that run as
// processes of their own. Its methods may be called by several goroutines.
type WorkerPool struct {
	mu      sync.Mutex
	cluster *Cluster
	start   time.Time
}

// NewYard returns the workers of a plan; its jobs and faults are not used.
func NewWorkerPool(p Scenario) *WorkerPool {
	p.init()
	p.Jobs, p.Faults = nil, []Fault{{}}
	c := &Cluster{
		Scenario: p, LogLines: make(map[string]int), rand: rand.New(rand.NewPCG(p.Seed, 1)),
		jobs: make(map[string]*jobState), gangs: make(map[gangKey]*gang), now: 1,
	}
	pool := &WorkerPool{cluster: c, start: time.Now()}
	for i := range p.Workers {
		c.addWorker(i)
	}
	return pool
}

// Advance plays up to the present.
func (p *WorkerPool) Advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cluster.Run(max(p.cluster.now, time.Since(p.start).Milliseconds()))
}

// IDs returns the workers' names.
func (p *WorkerPool) IDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, w := range p.cluster.workers {
		ids = append(ids, w.id)
	}
	return ids
}

// Submitted tells the yard of a job before it is handed in.
func (p *WorkerPool) AddJob(s *jobspec.Spec, work int64, hopeless bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec := *s
	p.cluster.jobs[s.ID] = &jobState{
		Arrival: Arrival{At: p.cluster.now, Spec: spec, RunTime: work, AlwaysFails: hopeless}, spec: &spec,
		tasks: make(map[jobspec.TaskID]*taskState),
	}
}

// Listing returns a worker's entry and whether the worker is up.
func (p *WorkerPool) Listing(id string) (*placement.Listing, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	return w.listing(), w.up
}

// Start carries out a start order. It returns false when the worker is down.
func (p *WorkerPool) Start(id string, o *placement.Start) (placement.Reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	if !w.up || p.cluster.jobs[o.Task.Job] == nil {
		return placement.Reply{}, false
	}
	return w.start(o), true
}

// Stop carries out a stop order.
func (p *WorkerPool) Stop(id string, o *placement.Stop) (placement.Reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	if !w.up {
		return placement.Reply{}, false
	}
	return w.stop(o), true
}

// Hold carries out a hold without its wait.
func (p *WorkerPool) Hold(id string, o *placement.Poll) (placement.PollReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	if !w.up {
		return placement.PollReply{}, false
	}
	return w.poll(o), true
}

// Crash ends a worker; it comes back empty.
func (p *WorkerPool) Crash(id string, back time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.cluster.worker(id); w.up {
		w.crash(back.Milliseconds())
	}
}

// Broken returns the promises that were broken.
func (p *WorkerPool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.cluster.Violations...)
}

// Starts returns how many runs of a job have begun, and whether all its tasks have
// ended well.
func (p *WorkerPool) Starts(id string) (starts int, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.cluster.jobs[id]
	succeeded = true
	for step := range j.spec.Steps {
		done := 0
		for n, t := range j.tasks {
			if n.Step == step && t.succeeded {
				done++
			}
		}
		succeeded = succeeded && done == j.spec.Steps[step].Tasks
	}
	return j.starts, succeeded
}
