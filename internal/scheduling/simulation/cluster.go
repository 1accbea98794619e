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

// Cluster is a simulated cluster. It is not safe for concurrent use.
type Cluster struct {
	Scenario
	// Violations lists the violated invariants.
	Violations []string
	// LogLines counts the coordinators' log lines by message.
	LogLines map[string]int
	// ReplicatedBytes is the size of the records that each host has read, and ClaimBytes
	// that of the claims and renewals, which are not included in it. LargestClaim is the size
	// of the largest of them.
	ReplicatedBytes, ClaimBytes, LargestClaim int
	// LongestTurn is the longest time that a coordinator took for one event, in milliseconds, if
	// Scenario.CallRate is set.
	LongestTurn int64
	// MostAbandoned is the largest number of abandoned runs that was recorded of a job.
	MostAbandoned int

	now        int64
	queue      eventQueue
	sequence   int64
	rand       *rand.Rand
	table      jobstate.Table
	latestTerm uint64
	// claimWrittenAt is when the claim of table was written.
	claimWrittenAt int64
	workers        []*worker
	jobs           map[string]*simulatedJob
	gangs          map[gangKey]*gang
	// details and leases are the partition that only coordinators read.
	details jobstate.Details
	leases  jobstate.Leases
	paces   jobstate.Paces
	// leader is the newest coordinator, the only one whose records the store accepts.
	leader    *coordinatorHost
	storeDown bool
	operators
	// lateProbability is the probability that an order is executed late, and
	// latePollProbability that a poll is.
	lateProbability, latePollProbability float64
	// executingLate is set while a worker executes a late order.
	executingLate bool
}

// simulatedJob is the actual state of a job, as opposed to what the coordinator knows.
type simulatedJob struct {
	Arrival
	spec *jobspec.Spec
	// cancelledAt is when the cancellation was recorded; 0 for never.
	cancelledAt int64
	// startedAt is when the first task started, and endedAt when the end of the job was
	// recorded; 0 for never.
	startedAt, endedAt int64
	// shownAt is when the job was first shown as completed; 0 for never.
	shownAt int64
	state   jobspec.State
	tasks   map[jobspec.TaskID]*simulatedTask
	starts  int
	// succeeded is the number of tasks that have succeeded, and lastSuccessAt when the last of
	// them did. wasted is as in Result.
	succeeded     int
	lastSuccessAt int64
	wasted        float64
}

// simulatedTask is the actual state of a task.
type simulatedTask struct {
	// live has the runs that have not ended.
	live []*run
	// succeeded is set once a run has succeeded, and acknowledged once the coordinator has
	// acknowledged that. failures has the runs whose failure was acknowledged.
	succeeded, acknowledged bool
	failures                map[int]bool
}

// taskRunTime returns the run time of a task of a step at full speed, in milliseconds.
func (j *simulatedJob) taskRunTime(step, index int) int64 {
	if n := len(j.TaskRunTimes); n > 0 {
		return max(1, j.TaskRunTimes[index%n])
	}
	if j.RunTime > 0 {
		return j.RunTime
	}
	return max(1, j.spec.Steps[step].Estimate)
}

// event is a function that is called at a time. Events at the same time are ordered by
// sequence.
type event struct {
	at, sequence int64
	do           func()
}

// eventQueue is a heap of events.
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

// heartbeat returns the time between a worker's heartbeats, in milliseconds. The directory
// drops the entry of a worker after three missed ones.
func (c *Cluster) heartbeat() int64 { return 1500 }

// schedule schedules a call of do in d milliseconds.
func (c *Cluster) schedule(d int64, do func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now + max(0, d), sequence: c.sequence, do: do})
}

// New returns a cluster at the start of a scenario.
func New(s Scenario) *Cluster {
	s.init()
	c := &Cluster{
		Scenario: s, LogLines: make(map[string]int), rand: rand.New(rand.NewPCG(s.Seed, 1)),
		jobs: make(map[string]*simulatedJob), gangs: make(map[gangKey]*gang), details: make(jobstate.Details), leases: make(jobstate.Leases), paces: make(jobstate.Paces), now: 1,
	}
	for i := range s.Workers {
		c.addWorker(i)
	}
	c.schedule(10, func() { c.takeOver(true) })
	for i := range s.Jobs {
		a := s.Jobs[i]
		c.schedule(a.At, func() { c.submit(a) })
	}
	for _, f := range s.Faults {
		c.schedule(f.At, func() { c.inject(f) })
	}
	return c
}

// addWorker adds worker number i.
func (c *Cluster) addWorker(i int) {
	w := &worker{cluster: c, id: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%d", i/c.RackSize), clockRate: 0.98 + 0.02*c.rand.Float64(), pace: 1}
	if n := len(c.Paces); n > 0 {
		w.pace = c.Paces[i%n]
	}
	c.workers = append(c.workers, w)
	w.boot()
}

// Run runs the simulation until the given time.
func (c *Cluster) Run(until int64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// RunUntilEnded runs the simulation until all jobs have ended, at most until the given
// time.
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

// submit writes a job to the store and schedules its cancellation, if any.
func (c *Cluster) submit(a Arrival) {
	spec := a.Spec
	spec.AcceptedAt = c.now
	j := &simulatedJob{Arrival: a, spec: &spec, tasks: make(map[jobspec.TaskID]*simulatedTask)}
	c.jobs[spec.ID] = j
	r, err := jobstate.AcceptedRecord(&spec)
	if err != nil {
		c.violationf("the acceptance of a job cannot be encoded: %v", err)
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

// writeDetail writes a record to the partition of the details.
func (c *Cluster) writeDetail(r jobstate.Record) {
	if err := c.paces.Apply(r); err != nil {
		c.violationf("a record of paces cannot be read: %v", err)
	}
	if err := c.leases.Apply(r); err != nil {
		c.violationf("a recorded lease cannot be applied: %v", err)
	}
	if len(r.Value) == 0 {
		delete(c.details, r.Key[1:])
		return
	}
	if err := c.details.Apply(r); err != nil {
		c.violationf("a detail record cannot be applied: %v", err)
	}
	if d := c.details[r.JobID()]; d != nil {
		c.MostAbandoned = max(c.MostAbandoned, len(d.Abandoned))
	}
}

// write writes a record to the store and sends the change to the leader.
func (c *Cluster) write(r jobstate.Record) {
	c.table.Now = c.now
	change, err := c.table.Apply(c.table.NextOffset, r)
	if change.ClaimChanged {
		c.claimWrittenAt = c.now
		c.ClaimBytes += len(r.Key) + len(r.Value)
		c.LargestClaim = max(c.LargestClaim, len(r.Key)+len(r.Value))
	} else {
		c.ReplicatedBytes += len(r.Key) + len(r.Value)
	}
	c.table.NextOffset++
	if err != nil {
		c.violationf("a record cannot be applied: %v", err)
		return
	}
	c.recordJobEnd(change.Job)
	entry := c.table.Jobs[change.Job]
	if entry == nil || entry.Spec == nil {
		return
	}
	c.checkShown(change.Job, entry)
	e := coordinator.Event{Job: &coordinator.JobChanged{Spec: entry.Spec, Cancelled: entry.Cancelled}}
	if l := c.leader; l != nil {
		c.schedule(c.NetworkDelay, func() { l.apply(e) })
	}
}

// pickWorkers returns at most n random workers that are up and not draining.
func (c *Cluster) pickWorkers(n int) []*worker {
	order := c.rand.Perm(len(c.workers))
	var out []*worker
	for _, i := range order {
		if w := c.workers[i]; w.up && !w.draining && len(out) < n {
			out = append(out, w)
		}
	}
	return out
}

// inject injects a fault.
func (c *Cluster) inject(f Fault) {
	switch f.Kind {
	case Evacuate, OperatorsCut:
		c.injectOperators(f)
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
	case LatePolls:
		c.latePollProbability = f.Magnitude
		c.schedule(f.Duration, func() { c.latePollProbability = 0 })
	case Freeze:
		c.freeze(c.leader, f.Duration)
	case Expire, OrdersLost, AnswersLost:
		for _, w := range c.pick(&f, c.pickAny) {
			c.injectPath(f, w)
		}
	default:
		for _, w := range c.pick(&f, c.pickWorkers) {
			c.injectWorker(f, w)
		}
	}
}

// pick returns the workers that a fault names, or else those that random chooses.
func (c *Cluster) pick(f *Fault, random func(int) []*worker) []*worker {
	if len(f.Workers) == 0 {
		return random(max(1, f.Count))
	}
	var out []*worker
	for _, id := range f.Workers {
		if w := c.worker(id); w != nil && w.up {
			out = append(out, w)
		}
	}
	return out
}

// pickAny returns at most n random workers that are up.
func (c *Cluster) pickAny(n int) []*worker {
	var out []*worker
	for _, i := range c.rand.Perm(len(c.workers)) {
		if w := c.workers[i]; w.up && len(out) < n {
			out = append(out, w)
		}
	}
	return out
}

// injectPath injects a fault of the path between a worker and the coordinators or the
// directory.
func (c *Cluster) injectPath(f Fault, w *worker) {
	c.tracef("%s: %s for %d ms", w.id, f.Kind, f.Duration)
	until := c.now + f.Duration
	switch f.Kind {
	case OrdersLost:
		w.ordersLostUntil = max(w.ordersLostUntil, until)
	case AnswersLost:
		w.answersLostUntil = max(w.answersLostUntil, until)
	default:
		w.expiredUntil = max(w.expiredUntil, until)
		c.unlist(w)
		c.schedule(f.Duration, func() {
			if w.up && !w.partitioned {
				c.publishEntry(w)
			}
		})
	}
}

func (c *Cluster) injectWorker(f Fault, w *worker) {
	c.tracef("%s: %s for %d ms", w.id, f.Kind, f.Duration)
	switch f.Kind {
	case Reborn:
		w.end()
		c.schedule(f.Duration, func() { w.reboot(f.Magnitude < 0) })
	case Linger:
		w.draining = true
		c.publishEntry(w)
		c.schedule(f.Duration, func() { w.crash(5000) })
	case Unhealthy:
		w.unhealthy = true
		c.schedule(f.Duration, func() { w.unhealthy = false })
	case Hang:
		w.hung = true
		for _, r := range w.sortedRuns() {
			r.pause()
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
	case Cold:
		w.cool(f.Duration)
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

// publishEntry adds or updates a worker's entry in the directory.
func (c *Cluster) publishEntry(w *worker) {
	if c.now < w.expiredUntil {
		return
	}
	w.listed, w.entry = true, w.listing()
	c.sendEntry(w)
}

// sendEntry sends a worker's entry in the directory to the leader.
func (c *Cluster) sendEntry(w *worker) {
	if l := c.leader; l != nil {
		e := coordinator.Event{Listed: w.entry}
		c.schedule(c.NetworkDelay, func() { l.apply(e) })
	}
}

// removeEntry removes a worker's entry from the directory, unless the worker is reachable
// again.
func (c *Cluster) removeEntry(w *worker) {
	if w.up && !w.partitioned {
		return
	}
	c.unlist(w)
}

// unlist removes a worker's entry from the directory.
func (c *Cluster) unlist(w *worker) {
	w.listed = false
	if l := c.leader; l != nil {
		c.schedule(c.NetworkDelay, func() { l.apply(coordinator.Event{Unlisted: &coordinator.Unlisted{ID: w.id}}) })
	}
}

func (w *worker) listing() *placement.Listing {
	return &placement.Listing{
		ID: w.id, Lifetime: w.lifetime, Address: w.id, Service: w.cluster.Service, Labels: []string{"a", w.rack},
		Capacity: w.cluster.Capacity, Draining: w.draining, Remaining: 2500, DataCentre: w.dataCentre(),
		ColdLeft: max(0, w.coldUntil-w.cluster.now),
	}
}

// answerPoll answers the pending poll of a worker, if any.
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
