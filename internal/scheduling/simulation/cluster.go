package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// World is an emulated deployment.
type Cluster struct {
	Scenario
	// Broken has the promises that were broken.
	Violations []string
	// Lines counts the coordinator's log lines by message.
	LogLines map[string]int
	// FollowedBytes is the size of what each host has read, without the pulses.
	ReplicatedBytes int

	now        int64
	queue      eventQueue
	sequence   int64
	rand       *rand.Rand
	table      jobstate.Table
	latestTerm uint64
	workers    []*worker
	jobs       map[string]*jobState
	gangs      map[gangKey]*gang
	// details is the partition that only coordinators read.
	details jobstate.Details
	// lead is the coordinator that the store takes records from.
	leader          *coordinatorHost
	storeDown       bool
	lateProbability float64
}

// jobFacts is what the world knows of a job.
type jobState struct {
	Arrival
	spec *jobspec.Spec
	// cancelled is when the cancellation was recorded; 0 for never.
	cancelledAt int64
	// begun is when the first task began and shown when the end was shown; 0 for never.
	startedAt, endedAt int64
	state              jobspec.State
	tasks              map[jobspec.TaskID]*taskState
	starts             int
}

// taskFacts is what the world knows of a task.
type taskState struct {
	// live has the runs at work.
	live []*run
	// succeeded is set once a run has ended well, and done once that was noted; failures
	// has the runs whose failure was noted.
	succeeded, acknowledged bool
	failures                map[int]bool
}

// work returns how long a task of a step takes.
func (j *jobState) taskRunTime(step int) int64 {
	if j.RunTime > 0 {
		return j.RunTime
	}
	return max(1, j.spec.Steps[step].Estimate)
}

type event struct {
	at, sequence int64
	do           func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// heartbeat is the time between a worker's reports, in milliseconds.
func (c *Cluster) heartbeat() int64 { return 1500 }

// after lets do happen d milliseconds later.
func (c *Cluster) schedule(d int64, do func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now + max(0, d), sequence: c.sequence, do: do})
}

// New returns a world in which nothing has happened yet.
func New(p Scenario) *Cluster {
	p.init()
	c := &Cluster{
		Scenario: p, LogLines: make(map[string]int), rand: rand.New(rand.NewPCG(p.Seed, 1)),
		jobs: make(map[string]*jobState), gangs: make(map[gangKey]*gang), details: make(jobstate.Details), now: 1,
	}
	for i := range p.Workers {
		c.addWorker(i)
	}
	c.schedule(10, func() { c.takeOver(true) })
	for i := range p.Jobs {
		a := p.Jobs[i]
		c.schedule(a.At, func() { c.submit(a) })
	}
	for _, f := range p.Faults {
		c.schedule(f.At, func() { c.inject(f) })
	}
	return c
}

// addWorker adds the worker with a number.
func (c *Cluster) addWorker(i int) {
	w := &worker{cluster: c, id: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%d", i/c.Rack), clockRate: 0.98 + 0.02*c.rand.Float64()}
	c.workers = append(c.workers, w)
	w.boot()
}

// Run plays until a time.
func (c *Cluster) Run(until int64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// RunUntilEnded plays until all jobs have ended, or a time.
func (c *Cluster) RunUntilEnded(until int64) {
	const step = 1000
	for c.now < until && (c.now < c.lastArrival() || !c.allEnded()) {
		c.Run(c.now + step)
	}
}

func (c *Cluster) lastArrival() int64 {
	var last int64
	for i := range c.Jobs {
		last = max(last, c.Jobs[i].At)
	}
	return last
}

func (c *Cluster) allEnded() bool {
	for _, j := range c.jobs {
		if !j.state.Ended() {
			return false
		}
	}
	return true
}

// arrive brings a job into the store and to the coordinator.
func (c *Cluster) submit(a Arrival) {
	spec := a.Spec
	spec.AcceptedAt = c.now
	j := &jobState{Arrival: a, spec: &spec, tasks: make(map[jobspec.TaskID]*taskState)}
	c.jobs[spec.ID] = j
	r, err := jobstate.AcceptedRecord(&spec)
	if err != nil {
		c.violationf("a job cannot be recorded: %v", err)
		return
	}
	c.write(r)
	if a.CancelAt > 0 {
		c.schedule(a.CancelAt-c.now, func() {
			j.cancelledAt = c.now
			c.write(jobstate.CancelledRecord(spec.ID))
		})
	}
}

// writeDetail puts a record into the partition of the details.
func (c *Cluster) writeDetail(r jobstate.Record) {
	if len(r.Value) == 0 {
		delete(c.details, r.Key[1:])
		return
	}
	if err := c.details.Apply(r); err != nil {
		c.violationf("details cannot be read: %v", err)
	}
}

// write puts a record into the store and shows it to the coordinators.
func (c *Cluster) write(r jobstate.Record) {
	change, err := c.table.Apply(c.table.NextOffset, r)
	if !change.ClaimChanged {
		c.ReplicatedBytes += len(r.Key) + len(r.Value)
	}
	c.table.NextOffset++
	if err != nil {
		c.violationf("a record cannot be read: %v", err)
		return
	}
	c.recordJobEnd(change.Job)
	entry := c.table.Jobs[change.Job]
	if entry == nil || entry.Spec == nil {
		return
	}
	e := coordinator.Event{Job: &coordinator.JobChanged{Spec: entry.Spec, Cancelled: entry.Cancelled}}
	if l := c.leader; l != nil {
		c.schedule(c.NetworkDelay, func() { l.apply(e) })
	}
}

// pick returns n workers that are up.
func (c *Cluster) pickWorkers(n int) []*worker {
	at := c.rand.Perm(len(c.workers))
	var out []*worker
	for _, i := range at {
		if w := c.workers[i]; w.up && !w.draining && len(out) < n {
			out = append(out, w)
		}
	}
	return out
}

// fault lets something go wrong.
func (c *Cluster) inject(f Fault) {
	switch f.Kind {
	case LateOrders:
		c.lateProbability = f.Magnitude
		c.schedule(f.Duration, func() { c.lateProbability = 0 })
	case StoreDown:
		c.storeDown = true
		c.schedule(f.Duration, func() { c.storeDown = false })
	case Replace:
		c.leader.stopped = true
		c.schedule(max(f.Duration, 1500), func() { c.takeOver(false) })
	case TakeOver:
		c.takeOver(false)
	default:
		for _, w := range c.pickWorkers(max(1, f.Count)) {
			c.injectWorker(f, w)
		}
	}
}

func (c *Cluster) injectWorker(f Fault, w *worker) {
	switch f.Kind {
	case Unhealthy:
		w.unhealthy = true
		c.schedule(f.Duration, func() { w.unhealthy = false })
	case Hang:
		w.hung = true
		for _, r := range w.sortedRuns() {
			r.base, r.since = r.workDone(), 0
		}
		c.schedule(f.Duration, func() {
			w.hung = false
			for _, r := range w.sortedRuns() {
				if g := r.gang(); r.since == 0 && (g == nil || g.started) {
					r.resume()
				}
			}
		})
	case Slow:
		w.slowFactor = f.Magnitude
		c.schedule(f.Duration, func() { w.slowFactor = 1 })
	case Crash:
		w.crash(f.Duration)
	case Leave:
		w.draining = true
		c.publishEntry(w)
		c.schedule(4000, func() { w.crash(0) })
	case Partition:
		w.partitioned = true
		c.schedule(3*c.heartbeat(), func() {
			if w.partitioned {
				c.removeEntry(w)
			}
		})
		c.schedule(f.Duration, func() {
			w.partitioned = false
			c.publishEntry(w)
		})
	}
}

// list shows a worker's entry to the coordinators.
func (c *Cluster) publishEntry(w *worker) {
	w.listed = true
	if l := c.leader; l != nil {
		e := coordinator.Event{Listed: w.listing()}
		c.schedule(c.NetworkDelay, func() { l.apply(e) })
	}
}

// unlist removes a worker's entry.
func (c *Cluster) removeEntry(w *worker) {
	if w.up && !w.partitioned {
		return
	}
	w.listed = false
	if l := c.leader; l != nil {
		c.schedule(c.NetworkDelay, func() { l.apply(coordinator.Event{Unlisted: &coordinator.Unlisted{ID: w.id}}) })
	}
}

func (w *worker) listing() *placement.Listing {
	return &placement.Listing{
		ID: w.id, Lifetime: w.lifetime, Address: w.id, Service: w.cluster.Service, Labels: []string{"a", w.rack},
		Capacity: w.cluster.Capacity, Draining: w.draining, Remaining: 2500,
	}
}

// wake answers a hold that waits.
func (c *Cluster) answerPoll(w *worker) {
	if do := w.pendingPoll; do != nil {
		w.pendingPoll = nil
		do()
	}
}

func sortRuns(rs []*run) {
	slices.SortFunc(rs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
			cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index))
	})
}
