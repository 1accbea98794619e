package workload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

const (
	dataCentre = "a"
	// appendDelayMS is the time from an append until the host reads the entry.
	appendDelayMS = 3
	// callDelayMS is the time that a call to a worker takes.
	callDelayMS = 1
	// failDelayMS is how long a task runs on a broken worker before it fails.
	failDelayMS = 2000
	// tickIntervalMS is the time between events that only advance the time.
	tickIntervalMS = 5000
	// sampleIntervalMS is the time between samples.
	sampleIntervalMS = 60_000
	// drainLimitMS is the longest time that the run continues after the end of the
	// load.
	drainLimitMS = 12 * 3600 * 1000
	// heartbeatIntervalMS is the time between heartbeats. It is long so that days
	// are simulated in seconds. The end of a task is reported at once nevertheless.
	heartbeatIntervalMS = 60_000
)

// simulatedJob is one job of the load with its state.
type simulatedJob struct {
	arrival
	// savedProgress is the progress saved by checkpoints, in milliseconds.
	savedProgress int64
	// startedAt is the time of the first start; 0 means none yet.
	startedAt int64
	endedAt   int64
	outcome   job.Result
}

// runner runs the state machine of one entry host in virtual time.
type runner struct {
	Settings
	state dispatch.State
	// now is the virtual time, in milliseconds.
	now        int64
	timerQueue timers
	// sequence numbers the timers and the submissions.
	sequence int
	// offset is the log offset of the next append.
	offset  uint64
	workers map[string]*fakeWorker
	// jobsByKey is keyed by the request key, job.Spec.Key.
	jobsByKey map[string]*simulatedJob
	allJobs   []*simulatedJob
	// waiters maps the waiter of a submission to its job until the job has an
	// outcome.
	waiters map[string]*simulatedJob
	rnd     *rand.Rand
	// busySlots is the number of slots that run a task.
	busySlots int
	// lostWork is Result.LostSlotHours, in slot-milliseconds.
	lostWork int64
	// moved is Result.Moved.
	moved   int
	events  int
	sampler sampler
}

// timer calls fn at a time.
type timer struct {
	at       int64
	sequence int
	fn       func()
}

// timers is a heap of timers, ordered by time and then by creation.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// Run simulates the load of s under policy p. It panics when the state machine
// reports a broken invariant.
func Run(s Settings, p policy.Policy) Result {
	s = s.withDefaults()
	r := &runner{
		Settings: s, workers: map[string]*fakeWorker{}, jobsByKey: map[string]*simulatedJob{}, waiters: map[string]*simulatedJob{},
		rnd: rand.New(rand.NewPCG(s.Seed, 2)), now: 1,
	}
	r.state.Settings = dispatch.Settings{
		Host: "e", Incarnation: "e.1", DataCentre: dataCentre, HeartbeatInterval: heartbeatIntervalMS, GoneAfter: 10 * heartbeatIntervalMS,
		TaskLease: 10 * heartbeatIntervalMS, GangLease: 10 * heartbeatIntervalMS, PlacerTimeout: 1, Policy: p,
	}
	r.setUp()
	for i, a := range generate(s) {
		a.spec.Key = fmt.Sprintf("k%d", i)
		j := &simulatedJob{arrival: a}
		r.allJobs = append(r.allJobs, j)
		r.jobsByKey[a.spec.Key] = j
		r.after(a.arrivedAt+warmUpMS, func() { r.submit(j) })
	}
	end := r.now + warmUpMS + int64(s.Days*24*3600*1000)
	r.sampler.until = end
	r.every(tickIntervalMS, func() { r.apply(dispatch.Event{}) })
	r.every(sampleIntervalMS, func() { r.sample() })
	r.every(int64(s.CancelIntervalHours*3600*1000), r.cancelWave)
	for len(r.timerQueue) > 0 && r.now < end+drainLimitMS {
		r.step()
		if r.now > end && len(r.waiters) == 0 {
			break
		}
	}
	return r.result()
}

// warmUpMS is the time before the load starts, in which the host discovers the
// workers.
const warmUpMS = 10_000

// step advances the time to the next timer and calls it.
func (r *runner) step() {
	t := heap.Pop(&r.timerQueue).(timer)
	r.now = t.at
	t.fn()
}

// after schedules fn after d milliseconds.
func (r *runner) after(d int64, fn func()) {
	r.sequence++
	heap.Push(&r.timerQueue, timer{at: r.now + max(0, d), sequence: r.sequence, fn: fn})
}

// every schedules fn every d milliseconds.
func (r *runner) every(d int64, fn func()) {
	r.after(d, func() {
		fn()
		r.every(d, fn)
	})
}

// setUp lists the workers and schedules a configuration patch that sets the policy
// and creates the organisations.
func (r *runner) setUp() {
	n := r.Workers
	shapes := guarantees(r.Workers)
	if r.OnlyOrganisation != "" {
		// An organisation that runs alone has exactly the workers of its guarantee.
		n = (shapes[r.OnlyOrganisation].Slots() + rack.SlotsPerWorker - 1) / rack.SlotsPerWorker
		shapes = map[string]rack.Shape{r.OnlyOrganisation: {}}
	}
	var hosts []logservice.Host
	for i := range n {
		f := &fakeWorker{name: fmt.Sprintf("w%04d", i), rack: fmt.Sprintf("r%03d", i/rack.WorkersPerRack), tasks: map[string]*fakeTask{}}
		f.broken = i < r.BrokenWorkers && r.OnlyOrganisation == ""
		r.workers[f.name] = f
		hosts = append(hosts, logservice.Host{Name: f.name, Kind: logservice.KindWorker, DataCentre: dataCentre, Address: f.name})
	}
	r.apply(dispatch.Event{Tail: &dispatch.Tail{}})
	r.apply(dispatch.Event{Hosts: &dispatch.HostList{Hosts: hosts}})
	r.after(2, func() { r.apply(dispatch.Event{}) })
	r.after(warmUpMS/2, func() {
		p := config.Patch{Author: "op", Changes: []config.Change{{SetPolicy: &config.Policy{
			CompletionWeight: r.CompletionWeight, FragmentationWeight: r.FragmentationWeight, GangAgeLimit: r.GangAgeLimit,
		}}}}
		for _, o := range []string{"skimworks", "bureau", "feedBuyers", "coops"} {
			if shape, ok := shapes[o]; ok {
				p.Changes = append(p.Changes, config.Change{SetOrganisation: &config.NamedOrganisation{
					Name: o, Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dataCentre: shape}, MaxQueued: 100_000},
				}})
			}
		}
		r.apply(dispatch.Event{Patch: &dispatch.Patch{Waiter: "patch", Patch: p}})
	})
}

// submit submits j and records the time as that of its arrival.
func (r *runner) submit(j *simulatedJob) {
	j.arrivedAt = r.now
	r.sequence++
	waiter := fmt.Sprint(r.sequence)
	r.waiters[waiter] = j
	r.apply(dispatch.Event{Submit: &dispatch.Submit{Waiter: waiter, Spec: j.spec, Wait: 30 * 24 * 3600 * 1000}})
}

// cancelWave cancels each queued job with probability CancelShare.
func (r *runner) cancelWave() {
	for _, id := range r.state.Ledger.JobIDs(ledger.Queued) {
		if r.rnd.Float64() < r.CancelShare {
			r.apply(dispatch.Event{Cancel: &dispatch.Cancel{Waiter: "cancel", Job: id, By: "clerk"}})
		}
	}
}

// apply passes an event to the state machine and executes its effects.
func (r *runner) apply(e dispatch.Event) {
	const epoch = 1_800_000_000_000
	e.Now, e.Wall = r.now, epoch+r.now
	r.events++
	for _, effect := range r.state.Apply(e) {
		r.execute(effect)
	}
}

// execute executes one effect. Appends always succeed.
func (r *runner) execute(effect dispatch.Effect) {
	switch {
	case effect.Append != nil:
		data, err := record.Encode(effect.Append.Batch)
		if err != nil {
			panic(err)
		}
		offset := r.offset
		r.offset++
		r.after(appendDelayMS, func() {
			r.apply(dispatch.Event{Appended: &dispatch.Appended{}})
			r.apply(dispatch.Event{Tail: &dispatch.Tail{Page: logservice.Page{
				Entries: []logservice.Entry{{Offset: offset, Data: data}}, End: offset + 1,
			}}})
		})
	case effect.Heartbeat != nil:
		r.handleHeartbeat(effect.Heartbeat)
	case effect.Member != nil:
		r.handleMemberCall(*effect.Member)
	case effect.Reply != nil:
		r.handleReply(effect.Reply)
	case effect.Observe != nil && effect.Observe.Name == "moved":
		r.moved++
	case effect.Violation != nil:
		panic(effect.Violation.Message)
	}
}

// recordedJob returns the job that the ledger has under id.
func (r *runner) recordedJob(id string) *simulatedJob {
	return r.jobsByKey[r.state.Ledger.Jobs[id].Spec.Key]
}

// handleReply records the outcome of a job. A reply without one means that the job
// was not run.
func (r *runner) handleReply(rep *dispatch.Reply) {
	j := r.waiters[rep.Waiter]
	if j == nil {
		return
	}
	delete(r.waiters, rep.Waiter)
	j.endedAt, j.outcome = r.now, job.NotRun
	if rep.Outcome != nil {
		j.outcome = rep.Outcome.Result
	}
}
