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

	now     int64
	queue   events
	count   int64
	rand    *rand.Rand
	table   jobstate.Table
	epoch   uint64
	workers []*worker
	jobs    map[string]*jobFacts
	gangs   map[gangKey]*gang
	// details is the partition that only coordinators read.
	details jobstate.Details
	// lead is the coordinator that the store takes records from.
	lead      *coordinatorHost
	storeDown bool
	late      float64
}

// jobFacts is what the world knows of a job.
type jobFacts struct {
	Arrival
	spec *jobspec.Spec
	// cancelled is when the cancellation was recorded; 0 for never.
	cancelled int64
	// begun is when the first task began and shown when the end was shown; 0 for never.
	begun, shown int64
	state        jobspec.State
	tasks        map[jobspec.TaskID]*taskFacts
	starts       int
}

// taskFacts is what the world knows of a task.
type taskFacts struct {
	// live has the runs at work.
	live []*run
	// succeeded is set once a run has ended well, and done once that was noted; failures
	// has the runs whose failure was noted.
	succeeded, done bool
	failures        map[int]bool
}

// work returns how long a task of a step takes.
func (f *jobFacts) work(step int) int64 {
	if f.RunTime > 0 {
		return f.RunTime
	}
	return max(1, f.spec.Steps[step].Estimate)
}

type timed struct {
	at, count int64
	do        func()
}

type events []timed

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].count, e[j].count)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(timed)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// heartbeat is the time between a worker's reports, in milliseconds.
func (w *Cluster) heartbeat() int64 { return 1500 }

// after lets do happen d milliseconds later.
func (w *Cluster) after(d int64, do func()) {
	w.count++
	heap.Push(&w.queue, timed{at: w.now + max(0, d), count: w.count, do: do})
}

// New returns a world in which nothing has happened yet.
func New(p Scenario) *Cluster {
	p.init()
	w := &Cluster{
		Scenario: p, LogLines: make(map[string]int), rand: rand.New(rand.NewPCG(p.Seed, 1)),
		jobs: make(map[string]*jobFacts), gangs: make(map[gangKey]*gang), details: make(jobstate.Details), now: 1,
	}
	for i := range p.Workers {
		w.addWorker(i)
	}
	w.after(10, func() { w.takeOver(true) })
	for i := range p.Jobs {
		a := p.Jobs[i]
		w.after(a.At, func() { w.arrive(a) })
	}
	for _, f := range p.Faults {
		w.after(f.At, func() { w.fault(f) })
	}
	return w
}

// addWorker adds the worker with a number.
func (w *Cluster) addWorker(i int) {
	k := &worker{w: w, id: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%d", i/w.Rack), rate: 0.98 + 0.02*w.rand.Float64()}
	w.workers = append(w.workers, k)
	k.boot()
}

// Run plays until a time.
func (w *Cluster) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(timed)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// RunUntilEnded plays until all jobs have ended, or a time.
func (w *Cluster) RunUntilEnded(until int64) {
	const step = 1000
	for w.now < until && (w.now < w.lastArrival() || !w.allEnded()) {
		w.Run(w.now + step)
	}
}

func (w *Cluster) lastArrival() int64 {
	var last int64
	for i := range w.Jobs {
		last = max(last, w.Jobs[i].At)
	}
	return last
}

func (w *Cluster) allEnded() bool {
	for _, f := range w.jobs {
		if !f.state.Ended() {
			return false
		}
	}
	return true
}

// arrive brings a job into the store and to the coordinator.
func (w *Cluster) arrive(a Arrival) {
	spec := a.Spec
	spec.AcceptedAt = w.now
	f := &jobFacts{Arrival: a, spec: &spec, tasks: make(map[jobspec.TaskID]*taskFacts)}
	w.jobs[spec.ID] = f
	r, err := jobstate.AcceptedRecord(&spec)
	if err != nil {
		w.violationf("a job cannot be recorded: %v", err)
		return
	}
	w.write(r)
	if a.CancelAt > 0 {
		w.after(a.CancelAt-w.now, func() {
			f.cancelled = w.now
			w.write(jobstate.CancelledRecord(spec.ID))
		})
	}
}

// writeDetail puts a record into the partition of the details.
func (w *Cluster) writeDetail(r jobstate.Record) {
	if len(r.Value) == 0 {
		delete(w.details, r.Key[1:])
		return
	}
	if err := w.details.Apply(r); err != nil {
		w.violationf("details cannot be read: %v", err)
	}
}

// write puts a record into the store and shows it to the coordinators.
func (w *Cluster) write(r jobstate.Record) {
	c, err := w.table.Apply(w.table.NextOffset, r)
	if !c.ClaimChanged {
		w.ReplicatedBytes += len(r.Key) + len(r.Value)
	}
	w.table.NextOffset++
	if err != nil {
		w.violationf("a record cannot be read: %v", err)
		return
	}
	w.judgeShown(c.Job)
	j := w.table.Jobs[c.Job]
	if j == nil || j.Spec == nil {
		return
	}
	e := coordinator.Event{Job: &coordinator.JobChanged{Spec: j.Spec, Cancelled: j.Cancelled}}
	if l := w.lead; l != nil {
		w.after(w.NetworkDelay, func() { l.apply(e) })
	}
}

// pick returns n workers that are up.
func (w *Cluster) pick(n int) []*worker {
	at := w.rand.Perm(len(w.workers))
	var out []*worker
	for _, i := range at {
		if k := w.workers[i]; k.up && !k.draining && len(out) < n {
			out = append(out, k)
		}
	}
	return out
}

// fault lets something go wrong.
func (w *Cluster) fault(f Fault) {
	switch f.Kind {
	case LateOrders:
		w.late = f.Magnitude
		w.after(f.Duration, func() { w.late = 0 })
	case StoreDown:
		w.storeDown = true
		w.after(f.Duration, func() { w.storeDown = false })
	case Replace:
		w.lead.dead = true
		w.after(max(f.Duration, 1500), func() { w.takeOver(false) })
	case TakeOver:
		w.takeOver(false)
	default:
		for _, k := range w.pick(max(1, f.Count)) {
			w.faultWorker(f, k)
		}
	}
}

func (w *Cluster) faultWorker(f Fault, k *worker) {
	switch f.Kind {
	case Unhealthy:
		k.sick = true
		w.after(f.Duration, func() { k.sick = false })
	case Hang:
		k.hang = true
		for _, r := range k.all() {
			r.base, r.since = r.done(), 0
		}
		w.after(f.Duration, func() {
			k.hang = false
			for _, r := range k.all() {
				if g := r.gang(); r.since == 0 && (g == nil || g.begun) {
					r.work()
				}
			}
		})
	case Slow:
		k.slow = f.Magnitude
		w.after(f.Duration, func() { k.slow = 1 })
	case Crash:
		k.crash(f.Duration)
	case Leave:
		k.draining = true
		w.list(k)
		w.after(4000, func() { k.crash(0) })
	case Partition:
		k.cut = true
		w.after(3*w.heartbeat(), func() {
			if k.cut {
				w.unlist(k)
			}
		})
		w.after(f.Duration, func() {
			k.cut = false
			w.list(k)
		})
	}
}

// list shows a worker's entry to the coordinators.
func (w *Cluster) list(k *worker) {
	k.listed = true
	if l := w.lead; l != nil {
		e := coordinator.Event{Listed: k.listing()}
		w.after(w.NetworkDelay, func() { l.apply(e) })
	}
}

// unlist removes a worker's entry.
func (w *Cluster) unlist(k *worker) {
	if k.up && !k.cut {
		return
	}
	k.listed = false
	if l := w.lead; l != nil {
		w.after(w.NetworkDelay, func() { l.apply(coordinator.Event{Unlisted: &coordinator.Unlisted{ID: k.id}}) })
	}
}

func (w *worker) listing() *placement.Listing {
	return &placement.Listing{
		ID: w.id, Lifetime: w.born, Address: w.id, Service: w.w.Service, Labels: []string{"a", w.rack},
		Capacity: w.w.Capacity, Draining: w.draining, Remaining: 2500,
	}
}

// wake answers a hold that waits.
func (w *Cluster) wake(k *worker) {
	if do := k.waiting; do != nil {
		k.waiting = nil
		do()
	}
}

func sortRuns(rs []*run) {
	slices.SortFunc(rs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.name.Job, b.name.Job), cmp.Compare(a.name.Occurrence, b.name.Occurrence),
			cmp.Compare(a.name.Step, b.name.Step), cmp.Compare(a.name.Index, b.name.Index))
	})
}
