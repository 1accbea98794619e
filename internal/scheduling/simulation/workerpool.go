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
	mu    sync.Mutex
	w     *Cluster
	start time.Time
}

// NewYard returns the workers of a plan; its jobs and faults are not used.
func NewWorkerPool(p Scenario) *WorkerPool {
	p.init()
	p.Jobs, p.Faults = nil, []Fault{{}}
	w := &Cluster{
		Scenario: p, LogLines: make(map[string]int), rand: rand.New(rand.NewPCG(p.Seed, 1)),
		jobs: make(map[string]*jobFacts), gangs: make(map[gangKey]*gang), now: 1,
	}
	y := &WorkerPool{w: w, start: time.Now()}
	for i := range p.Workers {
		w.addWorker(i)
	}
	return y
}

// Advance plays up to the present.
func (y *WorkerPool) Advance() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.w.Run(max(y.w.now, time.Since(y.start).Milliseconds()))
}

// IDs returns the workers' names.
func (y *WorkerPool) IDs() []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	var ids []string
	for _, k := range y.w.workers {
		ids = append(ids, k.id)
	}
	return ids
}

// Submitted tells the yard of a job before it is handed in.
func (y *WorkerPool) AddJob(s *jobspec.Spec, work int64, hopeless bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	spec := *s
	y.w.jobs[s.ID] = &jobFacts{
		Arrival: Arrival{At: y.w.now, Spec: spec, RunTime: work, AlwaysFails: hopeless}, spec: &spec,
		tasks: make(map[jobspec.TaskID]*taskFacts),
	}
}

// Listing returns a worker's entry and whether the worker is up.
func (y *WorkerPool) Listing(id string) (*placement.Listing, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	return k.listing(), k.up
}

// Start carries out a start order. It returns false when the worker is down.
func (y *WorkerPool) Start(id string, o *placement.Start) (placement.Reply, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	if !k.up || y.w.jobs[o.Task.Job] == nil {
		return placement.Reply{}, false
	}
	return k.start(o), true
}

// Stop carries out a stop order.
func (y *WorkerPool) Stop(id string, o *placement.Stop) (placement.Reply, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	if !k.up {
		return placement.Reply{}, false
	}
	return k.stop(o), true
}

// Hold carries out a hold without its wait.
func (y *WorkerPool) Hold(id string, o *placement.Poll) (placement.PollReply, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	if !k.up {
		return placement.PollReply{}, false
	}
	return k.hold(o), true
}

// Crash ends a worker; it comes back empty.
func (y *WorkerPool) Crash(id string, back time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if k := y.w.worker(id); k.up {
		k.crash(back.Milliseconds())
	}
}

// Broken returns the promises that were broken.
func (y *WorkerPool) Violations() []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]string(nil), y.w.Violations...)
}

// Starts returns how many runs of a job have begun, and whether all its tasks have
// ended well.
func (y *WorkerPool) Starts(id string) (starts int, succeeded bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	f := y.w.jobs[id]
	succeeded = true
	for step := range f.spec.Steps {
		done := 0
		for n, t := range f.tasks {
			if n.Step == step && t.succeeded {
				done++
			}
		}
		succeeded = succeeded && done == f.spec.Steps[step].Tasks
	}
	return f.starts, succeeded
}
