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
type Yard struct {
	mu    sync.Mutex
	w     *World
	start time.Time
}

// NewYard returns the workers of a plan; its jobs and faults are not used.
func NewYard(p Plan) *Yard {
	p.init()
	p.Jobs, p.Faults = nil, []Fault{{}}
	w := &World{
		Plan: p, Lines: make(map[string]int), rand: rand.New(rand.NewPCG(p.Seed, 1)),
		jobs: make(map[string]*jobFacts), gangs: make(map[gangKey]*gang), now: 1,
	}
	y := &Yard{w: w, start: time.Now()}
	for i := range p.Workers {
		w.addWorker(i)
	}
	return y
}

// Advance plays up to the present.
func (y *Yard) Advance() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.w.Run(max(y.w.now, time.Since(y.start).Milliseconds()))
}

// IDs returns the workers' names.
func (y *Yard) IDs() []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	var ids []string
	for _, k := range y.w.workers {
		ids = append(ids, k.id)
	}
	return ids
}

// Submitted tells the yard of a job before it is handed in.
func (y *Yard) Submitted(s *jobspec.Spec, work int64, hopeless bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	spec := *s
	y.w.jobs[s.ID] = &jobFacts{
		Arrival: Arrival{At: y.w.now, Spec: spec, Work: work, Hopeless: hopeless}, spec: &spec,
		tasks: make(map[jobspec.Name]*taskFacts),
	}
}

// Listing returns a worker's entry and whether the worker is up.
func (y *Yard) Listing(id string) (*placement.Listing, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	return k.listing(), k.up
}

// Start carries out a start order. It returns false when the worker is down.
func (y *Yard) Start(id string, o *placement.Start) (placement.Reply, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	if !k.up || y.w.jobs[o.Task.Job] == nil {
		return placement.Reply{}, false
	}
	return k.start(o), true
}

// Stop carries out a stop order.
func (y *Yard) Stop(id string, o *placement.Stop) (placement.Reply, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	if !k.up {
		return placement.Reply{}, false
	}
	return k.stop(o), true
}

// Hold carries out a hold without its wait.
func (y *Yard) Hold(id string, o *placement.Hold) (placement.Held, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	k := y.w.worker(id)
	if !k.up {
		return placement.Held{}, false
	}
	return k.hold(o), true
}

// Crash ends a worker; it comes back empty.
func (y *Yard) Crash(id string, back time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if k := y.w.worker(id); k.up {
		k.crash(back.Milliseconds())
	}
}

// Broken returns the promises that were broken.
func (y *Yard) Broken() []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]string(nil), y.w.Broken...)
}

// Starts returns how many runs of a job have begun, and whether all its tasks have
// ended well.
func (y *Yard) Starts(id string) (starts int, succeeded bool) {
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
