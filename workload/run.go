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
	// appendTime is the time from an append to its arrival, in milliseconds.
	appendTime = 3
	// callTime is the time of a call to a worker, in milliseconds.
	callTime = 1
	// failTime is how long a task runs on a worker that fails everything, in
	// milliseconds.
	failTime = 2000
	// tickTime is the time between events that only move the time, in
	// milliseconds.
	tickTime = 5000
	// sampleTime is the time between samples, in milliseconds.
	sampleTime = 60_000
	// drainTime is how long the last jobs may take, in milliseconds.
	drainTime = 12 * 3600 * 1000
	// heartbeat is the time between heartbeats, in milliseconds. It is long so
	// that days pass in seconds; ends are reported at once all the same.
	heartbeat = 60_000
)

// jobRun is one job of a run.
type jobRun struct {
	arrival
	// saved is the progress that checkpoints have kept, in milliseconds.
	saved   int64
	started int64
	ended   int64
	outcome job.Result
}

// runner drives a reducer.
type runner struct {
	Settings
	s       dispatch.State
	now     int64
	queue   timers
	count   int
	offset  uint64
	workers map[string]*fake
	// jobs is keyed by request key.
	jobs    map[string]*jobRun
	all     []*jobRun
	waiting map[string]*jobRun
	rnd     *rand.Rand
	// busy is the number of slots that run a task.
	busy int
	// lost is the work lost by stops, in slot-milliseconds.
	lost int64
	// moved counts the jobs that were moved to make a rack whole.
	moved   int
	events  int
	sampler sampler
}

// timer is a function to call at a time.
type timer struct {
	at    int64
	count int
	fn    func()
}

// timers is a heap of timers, in order of time and then of creation.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].count < t[j].count
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

// Run drives the load of s through policy p.
func Run(s Settings, p policy.Policy) Result {
	s = s.withDefaults()
	r := &runner{
		Settings: s, workers: map[string]*fake{}, jobs: map[string]*jobRun{}, waiting: map[string]*jobRun{},
		rnd: rand.New(rand.NewPCG(s.Seed, 2)), now: 1,
	}
	r.s.Settings = dispatch.Settings{
		Host: "e", Incarnation: "e.1", DataCentre: dataCentre, HeartbeatInterval: heartbeat, GoneAfter: 10 * heartbeat,
		TaskLease: 10 * heartbeat, GangLease: 10 * heartbeat, PlacerTimeout: 1, Policy: p,
	}
	r.begins()
	for i, a := range generate(s) {
		a.spec.Key = fmt.Sprintf("k%d", i)
		j := &jobRun{arrival: a}
		r.all = append(r.all, j)
		r.jobs[a.spec.Key] = j
		r.after(a.at+warmUp, func() { r.submit(j) })
	}
	end := r.now + warmUp + int64(s.Days*24*3600*1000)
	r.sampler.until = end
	r.every(tickTime, func() { r.apply(dispatch.Event{}) })
	r.every(sampleTime, func() { r.sample() })
	r.every(int64(s.CancelIntervalHours*3600*1000), r.cancelWave)
	for len(r.queue) > 0 && r.now < end+drainTime {
		r.step()
		if r.now > end && len(r.waiting) == 0 {
			break
		}
	}
	return r.result()
}

// warmUp is the time in which the workers are found, in milliseconds.
const warmUp = 10_000

// step calls the next timer.
func (r *runner) step() {
	t := heap.Pop(&r.queue).(timer)
	r.now = t.at
	t.fn()
}

// after calls fn after a time, in milliseconds.
func (r *runner) after(d int64, fn func()) {
	r.count++
	heap.Push(&r.queue, timer{at: r.now + max(0, d), count: r.count, fn: fn})
}

// every calls fn again and again.
func (r *runner) every(d int64, fn func()) {
	r.after(d, func() {
		fn()
		r.every(d, fn)
	})
}

// begins lists the workers and creates the organisations.
func (r *runner) begins() {
	n := r.Workers
	shapes := guarantees(r.Workers)
	if r.OnlyOrganisation != "" {
		// Alone, an organisation has exactly the workers of its guarantee.
		n = (shapes[r.OnlyOrganisation].Slots() + rack.SlotsPerWorker - 1) / rack.SlotsPerWorker
		shapes = map[string]rack.Shape{r.OnlyOrganisation: {}}
	}
	var hosts []logservice.Host
	for i := range n {
		f := &fake{name: fmt.Sprintf("w%04d", i), rack: fmt.Sprintf("r%03d", i/rack.WorkersPerRack), tasks: map[string]*fakeTask{}}
		f.broken = i < r.BrokenWorkers && r.OnlyOrganisation == ""
		r.workers[f.name] = f
		hosts = append(hosts, logservice.Host{Name: f.name, Kind: logservice.KindWorker, DataCentre: dataCentre, Address: f.name})
	}
	r.apply(dispatch.Event{Tail: &dispatch.Tail{}})
	r.apply(dispatch.Event{Hosts: &dispatch.HostList{Hosts: hosts}})
	r.after(2, func() { r.apply(dispatch.Event{}) })
	r.after(warmUp/2, func() {
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

// submit submits a job.
func (r *runner) submit(j *jobRun) {
	j.at = r.now
	r.count++
	waiter := fmt.Sprint(r.count)
	r.waiting[waiter] = j
	r.apply(dispatch.Event{Submit: &dispatch.Submit{Waiter: waiter, Spec: j.spec, Wait: 30 * 24 * 3600 * 1000}})
}

// cancelWave cancels a share of the waiting jobs.
func (r *runner) cancelWave() {
	for _, id := range r.s.Ledger.JobIDs(ledger.Queued) {
		if r.rnd.Float64() < r.CancelShare {
			r.apply(dispatch.Event{Cancel: &dispatch.Cancel{Waiter: "cancel", Job: id, By: "clerk"}})
		}
	}
}

// apply applies an event and carries out its effects.
func (r *runner) apply(e dispatch.Event) {
	const epoch = 1_800_000_000_000
	e.Now, e.Wall = r.now, epoch+r.now
	r.events++
	for _, f := range r.s.Apply(e) {
		r.carryOut(f)
	}
}

// carryOut carries out one effect.
func (r *runner) carryOut(f dispatch.Effect) {
	switch {
	case f.Append != nil:
		data, err := record.Encode(f.Append.Batch)
		if err != nil {
			panic(err)
		}
		o := r.offset
		r.offset++
		r.after(appendTime, func() {
			r.apply(dispatch.Event{Appended: &dispatch.Appended{}})
			r.apply(dispatch.Event{Tail: &dispatch.Tail{Page: logservice.Page{
				Entries: []logservice.Entry{{Offset: o, Data: data}}, End: o + 1,
			}}})
		})
	case f.Heartbeat != nil:
		r.heartbeat(f.Heartbeat)
	case f.Member != nil:
		r.member(*f.Member)
	case f.Reply != nil:
		r.reply(f.Reply)
	case f.Observe != nil && f.Observe.Name == "moved":
		r.moved++
	case f.Violation != nil:
		panic(f.Violation.Message)
	}
}

// jobOf returns the run of a recorded job.
func (r *runner) jobOf(id string) *jobRun { return r.jobs[r.s.Ledger.Jobs[id].Spec.Key] }

// reply notes the outcome of a job.
func (r *runner) reply(rep *dispatch.Reply) {
	j := r.waiting[rep.Waiter]
	if j == nil {
		return
	}
	delete(r.waiting, rep.Waiter)
	j.ended, j.outcome = r.now, job.NotRun
	if rep.Outcome != nil {
		j.outcome = rep.Outcome.Result
	}
}
