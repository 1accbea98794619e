package simulation

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// WorkerPool runs the simulated workers alone, in real time, for coordinators in processes
// of their own. It is safe for concurrent use.
type WorkerPool struct {
	mu      sync.Mutex
	cluster *Cluster
	start   time.Time
}

// NewWorkerPool returns the workers of a scenario. It ignores the scenario's jobs and
// faults.
func NewWorkerPool(s Scenario) *WorkerPool {
	s.init()
	// The placeholder fault is not injected. It makes hasFaults report that there may be
	// faults.
	s.Jobs, s.Faults = nil, []Fault{{}}
	c := &Cluster{
		Scenario: s, LogLines: make(map[string]int), rand: rand.New(rand.NewPCG(s.Seed, 1)),
		jobs: make(map[string]*simulatedJob), gangs: make(map[gangKey]*gang), now: 1,
	}
	pool := &WorkerPool{cluster: c, start: time.Now()}
	for i := range s.Workers {
		c.addWorker(i)
	}
	return pool
}

// Advance runs the simulation up to the present.
func (p *WorkerPool) Advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cluster.Run(max(p.cluster.now, time.Since(p.start).Milliseconds()))
}

// IDs returns the IDs of the workers.
func (p *WorkerPool) IDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, w := range p.cluster.workers {
		ids = append(ids, w.id)
	}
	return ids
}

// AddJob adds a job. It must be called before the job is submitted.
func (p *WorkerPool) AddJob(s *jobspec.Spec, runTime int64, alwaysFails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec := *s
	p.cluster.jobs[s.ID] = &simulatedJob{
		Arrival: Arrival{At: p.cluster.now, Spec: spec, RunTime: runTime, AlwaysFails: alwaysFails}, spec: &spec,
		tasks: make(map[jobspec.TaskID]*simulatedTask),
	}
}

// Listing returns a worker's entry in the directory and reports whether the worker is up.
func (p *WorkerPool) Listing(id string) (*placement.Listing, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	return w.listing(), w.up
}

// Start executes a start order. It reports false when the worker is down or the job is
// unknown.
func (p *WorkerPool) Start(id string, o *placement.Start) (placement.Reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	if !w.up || p.cluster.jobs[o.Task.Job] == nil {
		return placement.Reply{}, false
	}
	return w.start(o), true
}

// Stop executes a stop order. It reports false when the worker is down.
func (p *WorkerPool) Stop(id string, o *placement.Stop) (placement.Reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	if !w.up {
		return placement.Reply{}, false
	}
	return w.stop(o), true
}

// Poll executes a poll without its wait. It reports false when the worker is down.
func (p *WorkerPool) Poll(id string, o *placement.Poll) (placement.PollReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.cluster.worker(id)
	if !w.up {
		return placement.PollReply{}, false
	}
	return w.poll(o), true
}

// Crash ends a worker's process. It restarts without runs after restartAfter.
func (p *WorkerPool) Crash(id string, restartAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.cluster.worker(id); w.up {
		w.crash(restartAfter.Milliseconds())
	}
}

// Drain makes a worker drain until its process ends.
func (p *WorkerPool) Drain(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cluster.worker(id).draining = true
}

// Cool makes a worker cold for d.
func (p *WorkerPool) Cool(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cluster.worker(id).cool(d.Milliseconds())
}

// SetEvacuated notes that the request to evacuate a data centre is in force from now on, or no
// longer. Starts later than the scenario's MaxEvacuationDelay after it are violations.
func (p *WorkerPool) SetEvacuated(dataCentre string, inForce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cluster.evacuatedAt == nil {
		p.cluster.evacuatedAt = make(map[string]int64)
	}
	delete(p.cluster.evacuatedAt, dataCentre)
	if inForce {
		p.cluster.evacuatedAt[dataCentre] = time.Since(p.start).Milliseconds()
	}
}

// Shown notes that a job was shown as completed.
func (p *WorkerPool) Shown(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.cluster.jobs[id]; j.shownAt == 0 {
		j.shownAt = p.cluster.now
	}
}

// Violations returns the violated invariants.
func (p *WorkerPool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.cluster.Violations...)
}

// Starts returns how many runs of a job have started, and reports whether all its tasks
// have succeeded.
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

// Stranded returns the jobs that have nothing running although a step of theirs could run: it
// has tasks that have not succeeded, the steps before it are done, and there is free capacity for
// twice what starts together, which is a whole gang or one task. Jobs that always fail
// are left out.
func (p *WorkerPool) Stranded() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, j := range p.cluster.jobs {
		if !j.AlwaysFails && !j.running() && p.cluster.couldRun(j) {
			ids = append(ids, id)
		}
	}
	return ids
}

// running reports whether any run of j has not ended.
func (j *simulatedJob) running() bool {
	for _, t := range j.tasks {
		if len(t.live) > 0 {
			return true
		}
	}
	return false
}

// couldRun reports whether there is free capacity for twice what starts together of a step of
// j whose turn has come.
func (c *Cluster) couldRun(j *simulatedJob) bool {
	for n := range j.spec.Steps {
		step := &j.spec.Steps[n]
		if j.stepDone(n) || slices.ContainsFunc(step.After, func(a int) bool { return !j.stepDone(a) }) {
			continue
		}
		wanted := 2
		if step.Gang {
			wanted = 2 * step.Tasks
		}
		for _, w := range c.workers {
			if wanted > 0 && w.up && !w.draining && !w.partitioned && (step.Label == "" || slices.Contains(w.listing().Labels, step.Label)) {
				wanted -= step.Reserved().Fit(w.free(), wanted)
			}
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
}

// stepDone reports whether all tasks of a step of the first occurrence have succeeded.
func (j *simulatedJob) stepDone(step int) bool {
	done := 0
	for id, t := range j.tasks {
		if id.Step == step && t.succeeded {
			done++
		}
	}
	return done > 0 && (done == j.spec.Steps[step].Tasks || j.spec.Steps[step].Gang)
}
