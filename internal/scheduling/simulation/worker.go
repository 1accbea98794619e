package simulation

import (
	"fmt"
	"strconv"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// worker is an emulated worker.
type worker struct {
	w        *Cluster
	id, rack string
	born     int64
	// up is set while the process runs, listed while the directory has its entry and cut
	// while nothing reaches it.
	up, listed, cut, draining bool
	// rate is the speed of its clock, which read zero at born.
	rate  float64
	token uint64
	lease int64
	runs  map[jobspec.TaskID]*run
	// buried has the highest run per task that must not begin.
	buried map[jobspec.TaskID]int
	ends   []placement.End
	ended  int64
	// lapsed is the number of the last end before the lease ran out for the last time.
	lapsed int64
	// sick, hang and slow are set by faults.
	sick, hang bool
	slow       float64
	// waiting is a hold that waits for an end.
	waiting func()
}

// run is a run on a worker.
type run struct {
	*worker
	job     *jobFacts
	name    jobspec.TaskID
	run     int
	arrived int64
	// base is the work that was done before, of total; since is when it goes on, and 0
	// while it waits for its gang or stands still.
	base, total int64
	since       int64
	speed       float64
	over        bool
}

// gang is the run of all tasks of a step.
type gang struct {
	members map[int]*run
	begun   bool
}

type gangKey struct {
	step jobspec.TaskID
	run  int
}

func (r *run) step() *jobspec.Step { return &r.job.spec.Steps[r.name.Step] }

// clock returns the worker's clock.
func (w *worker) clock() int64 { return int64(float64(w.w.now-w.born) * w.rate) }

func (w *worker) reach() bool { return w.up && !w.cut }

// start carries out a start order.
func (w *worker) start(o *placement.Start) placement.Reply {
	rep := placement.Reply{Clock: w.clock()}
	if v := w.check(o.Token); v != placement.Executed {
		rep.Verdict = v
		return rep
	}
	w.extend(o.Lease)
	r := w.runs[o.Task]
	switch {
	case r != nil && r.run == o.Run:
		rep.Verdict = placement.Executed
	case o.Run <= w.buried[o.Task] || r != nil:
		rep.Verdict = placement.Superseded
	case o.Lease <= w.clock():
		rep.Verdict = placement.LeaseExpired
	case !w.fits(o):
		rep.Verdict = placement.NoCapacity
	default:
		w.begin(o)
		rep.Verdict = placement.Executed
	}
	return rep
}

// check takes the token of an order.
func (w *worker) check(token uint64) placement.Verdict {
	if token < w.token {
		return placement.Fenced
	}
	w.token = token
	return placement.Executed
}

// extend takes the end of a lease.
func (w *worker) extend(lease int64) {
	if lease <= w.lease {
		return
	}
	w.lease = lease
	w.w.after(int64(float64(lease-w.clock())/w.rate)+1, func() {
		if w.up && w.clock() >= w.lease {
			w.lapsed = w.ended
			for _, r := range w.all() {
				w.end(r, placement.EndLeaseExpired)
			}
		}
	})
}

func (w *worker) all() []*run {
	var rs []*run
	for _, r := range w.runs {
		rs = append(rs, r)
	}
	sortRuns(rs)
	return rs
}

// fits reports whether a start fits beside what runs.
func (w *worker) fits(o *placement.Start) bool {
	f := w.w.jobs[o.Task.Job]
	free := w.w.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.step().Reserved())
	}
	return f.spec.Steps[o.Task.Step].Reserved().Within(free)
}

// begin begins a run.
func (w *worker) begin(o *placement.Start) {
	f := w.w.jobs[o.Task.Job]
	r := &run{worker: w, job: f, name: o.Task, run: o.Run, arrived: w.w.now, total: f.work(o.Task.Step)}
	if o.Checkpoint != "" {
		base, err := strconv.ParseInt(o.Checkpoint, 16, 64)
		if err != nil {
			w.w.violationf("a checkpoint %q that no worker has given", o.Checkpoint)
		}
		r.base = base
	}
	w.w.judgeStart(r)
	w.runs[o.Task] = r
	w.buried[o.Task] = max(w.buried[o.Task], o.Run)
	if !r.step().Gang {
		r.work()
		return
	}
	k := gangKey{step: jobspec.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: o.Task.Step}, run: o.Run}
	g := w.w.gangs[k]
	if g == nil {
		g = &gang{members: make(map[int]*run)}
		w.w.gangs[k] = g
	}
	g.members[o.Task.Index] = r
	if g.present() == r.step().Tasks {
		g.begun = true
		for _, m := range g.sorted() {
			m.work()
		}
		return
	}
	w.w.after(w.w.GangWait, func() {
		if !g.begun && !r.over {
			w.end(r, placement.EndGangIncomplete)
		}
	})
}

// present returns the number of members that have not ended.
func (g *gang) present() int {
	n := 0
	for _, r := range g.members {
		if !r.over {
			n++
		}
	}
	return n
}

func (g *gang) sorted() []*run {
	var rs []*run
	for _, r := range g.members {
		rs = append(rs, r)
	}
	sortRuns(rs)
	return rs
}

// gang returns the run's gang, or nil.
func (r *run) gang() *gang {
	if !r.step().Gang {
		return nil
	}
	return r.w.gangs[gangKey{step: jobspec.TaskID{Job: r.name.Job, Occurrence: r.name.Occurrence, Step: r.name.Step}, run: r.run}]
}

// work lets the run go on from its base.
func (r *run) work() {
	if r.over {
		return
	}
	if r.hang {
		r.since = 0
		return
	}
	r.since, r.speed = r.w.now, 1/r.slowness()
	if r.sick || r.job.AlwaysFails {
		r.w.after(r.total/8+1, func() { r.finish(placement.EndFailed) })
		return
	}
	if r.step().LongRunning {
		return
	}
	r.w.after(int64(float64(r.total-r.base)/r.speed)+1, func() { r.finish(placement.EndDone) })
}

// slowness is how many times as long the run takes.
func (r *run) slowness() float64 {
	x := max(1, r.slow)
	if d := r.step().DataRack; d != "" && d != r.rack {
		return x * r.w.RemoteFactor
	}
	if g := r.gang(); g != nil && r.step().SameRack {
		for _, m := range g.members {
			if m.rack != r.rack {
				return x * r.w.RemoteFactor
			}
		}
	}
	return x
}

// finish ends the run if it is still the one that was begun.
func (r *run) finish(how placement.Outcome) {
	if r.over || r.since == 0 && how == placement.EndDone || !r.up {
		return
	}
	r.end(r, how)
}

// done returns the work that the run has done.
func (r *run) done() int64 {
	if r.since == 0 {
		return r.base
	}
	return min(r.total, r.base+int64(float64(r.w.now-r.since)*r.speed))
}

// saved returns the run's checkpoint; empty for none.
func (r *run) saved(exact bool) string {
	if !r.step().Checkpoints {
		return ""
	}
	d := r.done()
	if !exact {
		d = max(r.base, d-d%r.w.CheckpointInterval)
	}
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", d)
}

// end ends a run and, in a gang, all others.
func (w *worker) end(r *run, how placement.Outcome) {
	if r.over {
		return
	}
	r.over = true
	delete(w.runs, r.name)
	w.ended++
	checkpoint := ""
	if how != placement.EndDone {
		checkpoint = r.saved(how == placement.EndStopped)
	}
	w.ends = append(w.ends, placement.End{Number: w.ended, Task: r.name, Run: r.run, Outcome: how, Checkpoint: checkpoint})
	w.w.judgeEnd(r, how)
	if g := r.gang(); g != nil {
		for _, m := range g.sorted() {
			if m.over {
				continue
			}
			if how == placement.EndDone {
				m.end(m, placement.EndDone)
			} else if g.begun {
				m.end(m, placement.EndGangBroken)
			}
		}
	}
	w.w.wake(w)
}

// stop carries out a stop order.
func (w *worker) stop(o *placement.Stop) placement.Reply {
	rep := placement.Reply{Verdict: w.check(o.Token), Clock: w.clock()}
	if rep.Verdict != placement.Executed {
		return rep
	}
	w.buried[o.Task] = max(w.buried[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		w.w.after(w.w.StopTime, func() { r.finish(placement.EndStopped) })
	}
	return rep
}

// hold carries out a hold, apart from its wait.
func (w *worker) hold(o *placement.Poll) placement.PollReply {
	h := placement.PollReply{Reply: placement.Reply{Verdict: w.check(o.Token), Clock: w.clock()}, Lifetime: w.born}
	if h.Verdict != placement.Executed {
		return h
	}
	if o.Lease != 0 {
		w.extend(o.Lease)
	}
	for len(w.ends) > 0 && w.ends[0].Number <= o.AckedEnd {
		w.w.judgeNoted(w, &w.ends[0])
		w.ends = w.ends[1:]
	}
	h.Ended = append(h.Ended, w.ends...)
	for _, r := range w.all() {
		h.Running = append(h.Running, placement.Run{
			Task: r.name, Run: r.run, Checkpoint: r.saved(false), Percent: int(100 * r.done() / max(1, r.total)),
		})
	}
	return h
}

// crash ends everything and lets the worker come back empty after a while.
func (w *worker) crash(back int64) {
	for _, r := range w.all() {
		r.over = true
		w.w.judgeEnd(r, placement.EndLeaseExpired)
		if g := r.gang(); g != nil && g.begun {
			for _, m := range g.sorted() {
				if !m.over {
					m.end(m, placement.EndGangBroken)
				}
			}
		}
	}
	w.up = false
	w.w.after(3*w.w.heartbeat(), func() { w.w.unlist(w) })
	if back > 0 {
		w.w.after(back, func() { w.boot() })
	}
}

// boot starts a new lifetime.
func (w *worker) boot() {
	w.up, w.draining, w.born = true, false, w.w.now
	w.token, w.lease, w.ended, w.ends = 0, 0, 0, nil
	w.runs, w.buried = make(map[jobspec.TaskID]*run), make(map[jobspec.TaskID]int)
	w.w.list(w)
}
