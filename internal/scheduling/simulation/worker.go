package simulation

import (
	"fmt"
	"strconv"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

// worker is a simulated worker.
type worker struct {
	cluster  *Cluster
	id, rack string
	// lifetime is the time of day at which the process started, and bootedAt the simulated
	// time. instance is what orders name: it changes with the lifetime except by Reborn.
	lifetime, bootedAt int64
	instance           int
	// entry is the worker's newest entry in the directory.
	entry *placement.Listing
	// The faults of these names last until these times.
	ordersLostUntil, answersLostUntil, expiredUntil int64
	// up is set while the process runs, listed while the directory has its entry, and
	// partitioned while it is unreachable.
	up, listed, partitioned, draining bool
	// clockRate is the speed of its clock relative to the simulated time. The clock was 0
	// at the start of its lifetime.
	clockRate float64
	token     uint64
	lease     int64
	runs      map[jobspec.TaskID]*run
	// tombstones has the highest run per task that must not start any more.
	tombstones map[jobspec.TaskID]int
	ends       []placement.End
	endCount   int64
	// endCountAtExpiry is the value of endCount when the lease last expired. Ends up to this
	// number happened before.
	endCountAtExpiry int64
	// unhealthy, hung and slowFactor are set by faults.
	unhealthy, hung bool
	slowFactor      float64
	// pace is the factor by which tasks take longer on the worker when it is warm, and coldUntil
	// is when it becomes warm.
	pace      float64
	coldUntil int64
	// pendingPoll answers the poll that waits for an end; nil for none.
	pendingPoll func()
}

// run is a run on a worker.
type run struct {
	*worker
	job     *simulatedJob
	task    jobspec.TaskID
	run     int
	arrived int64
	// base is the part of total that was done at since, which is when the run last resumed;
	// since is 0 while the run waits for its gang or is stalled.
	base, total int64
	since       int64
	speed       float64
	// restored is the work of the checkpoint that the run started from.
	restored int64
	// resumes counts the calls of resume. The end scheduled by an earlier one does not apply.
	resumes int
	ended   bool
}

// gang is one run of all tasks of a step; members has the runs by index of the task.
type gang struct {
	members map[int]*run
	started bool
	// duration is how long all of the gang's work takes at the pace of its slowest member, in
	// milliseconds. It is set once the gang has started.
	duration float64
}

type gangKey struct {
	step jobspec.TaskID
	run  int
}

func (r *run) step() *jobspec.Step { return &r.job.spec.Steps[r.task.Step] }

// clock returns the worker's clock.
func (w *worker) clock() int64 { return int64(float64(w.cluster.now-w.bootedAt) * w.clockRate) }

// reachable reports whether orders arrive at the worker.
func (w *worker) reachable() bool {
	return w.up && !w.partitioned && w.cluster.now >= w.ordersLostUntil
}

// answers reports whether the worker's answers arrive.
func (w *worker) answers() bool {
	return w.up && !w.partitioned && w.cluster.now >= w.answersLostUntil
}

// start executes a start order.
func (w *worker) start(o *placement.Start) placement.Reply {
	reply := placement.Reply{Clock: w.clock()}
	if v := w.checkToken(o.Token); v != placement.Executed {
		reply.Verdict = v
		return reply
	}
	w.extendLease(o.Lease)
	r := w.runs[o.Task]
	switch {
	case r != nil && r.run == o.Run:
		reply.Verdict = placement.Executed
	case o.Run <= w.tombstones[o.Task] || r != nil:
		reply.Verdict = placement.Superseded
	case o.Lease <= w.clock():
		reply.Verdict = placement.LeaseExpired
	case !w.fits(o):
		reply.Verdict = placement.NoCapacity
	default:
		w.startRun(o)
		reply.Verdict = placement.Executed
	}
	return reply
}

// checkToken checks the fencing token of an order and stores the highest one.
func (w *worker) checkToken(token uint64) placement.Verdict {
	if token < w.token {
		return placement.Fenced
	}
	w.token = token
	return placement.Executed
}

// extendLease extends the lease to an end on the worker's clock, at most by MaxLease from
// now. All runs end when it expires.
func (w *worker) extendLease(lease int64) {
	lease = min(lease, w.clock()+w.cluster.MaxLease)
	if lease <= w.lease {
		return
	}
	w.lease = lease
	w.cluster.schedule(int64(float64(lease-w.clock())/w.clockRate)+1, func() {
		if w.up && w.clock() >= w.lease {
			w.cluster.tracef("%s: lease expires", w.id)
			w.endCountAtExpiry = w.endCount
			for _, r := range w.sortedRuns() {
				w.endRun(r, placement.EndLeaseExpired)
			}
		}
	})
}

func (w *worker) sortedRuns() []*run {
	var rs []*run
	for _, r := range w.runs {
		rs = append(rs, r)
	}
	sortRuns(rs)
	return rs
}

// fits reports whether the free capacity is enough for a start.
func (w *worker) fits(o *placement.Start) bool {
	j := w.cluster.jobs[o.Task.Job]
	return j.spec.Steps[o.Task.Step].Reserved().Within(w.free())
}

// free returns the capacity that no run holds.
func (w *worker) free() jobspec.Resources {
	free := w.cluster.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.step().Reserved())
	}
	return free
}

// startRun starts a run. A gang makes progress once all its members have started.
func (w *worker) startRun(o *placement.Start) {
	j := w.cluster.jobs[o.Task.Job]
	r := &run{worker: w, job: j, task: o.Task, run: o.Run, arrived: w.cluster.now, total: j.taskRunTime(o.Task.Step, o.Task.Index)}
	if o.Checkpoint != "" {
		base, err := strconv.ParseInt(o.Checkpoint, 16, 64)
		if err != nil {
			w.cluster.violationf("a run starts from the checkpoint %q, which no worker has reported", o.Checkpoint)
		}
		r.base, r.restored = base, base
	}
	w.cluster.checkStart(r)
	w.runs[o.Task] = r
	w.tombstones[o.Task] = max(w.tombstones[o.Task], o.Run)
	if !r.step().Gang {
		r.resume()
		return
	}
	key := gangKey{step: jobspec.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: o.Task.Step}, run: o.Run}
	g := w.cluster.gangs[key]
	if g == nil || g.started && g.liveMembers() == 0 {
		// A member of a gang that has ended may start late. It waits for others.
		g = &gang{members: make(map[int]*run)}
		w.cluster.gangs[key] = g
	}
	g.members[o.Task.Index] = r
	if g.liveMembers() == r.step().Tasks {
		g.started = true
		g.resume()
		return
	}
	w.cluster.schedule(w.cluster.GangWait, func() {
		if !g.started && !r.ended {
			w.endRun(r, placement.EndGangIncomplete)
		}
	})
}

// liveMembers returns the number of members that have not ended.
func (g *gang) liveMembers() int {
	n := 0
	for _, r := range g.members {
		if !r.ended {
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
	return r.cluster.gangs[gangKey{step: jobspec.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: r.task.Step}, run: r.run}]
}

// resume continues the run from its base and schedules its end.
func (r *run) resume() {
	if r.ended {
		return
	}
	if r.hung {
		r.since = 0
		return
	}
	r.since, r.speed = r.cluster.now, 1/r.slowdown()
	if g := r.gang(); g != nil {
		r.speed = float64(r.total) / g.duration
	}
	r.resumes++
	switch {
	case r.unhealthy || r.job.AlwaysFails:
		r.finishIn(r.total/8+1, placement.EndFailed)
	case !r.step().LongRunning:
		r.finishIn(int64(float64(r.total-r.base)/r.speed)+1, placement.EndDone)
	}
}

// finishIn finishes the run in d milliseconds, unless it is resumed again before that.
func (r *run) finishIn(d int64, outcome placement.Outcome) {
	n := r.resumes
	r.cluster.schedule(d, func() {
		if r.resumes == n {
			r.finish(outcome)
		}
	})
}

// resume continues all members. The percentages of all of them advance alike, as fast as that of
// the slowest one.
func (g *gang) resume() {
	g.duration = 0
	for _, m := range g.members {
		g.duration = max(g.duration, float64(m.total)*m.slowdown())
	}
	for _, m := range g.sorted() {
		m.resume()
	}
}

// slowdown returns the factor by which the run would take longer than at full speed if it did not
// have to wait for other members of its gang.
func (r *run) slowdown() float64 {
	x := r.currentPace()
	if d := r.step().DataRack; d != "" && d != r.rack {
		return x * r.cluster.RemoteFactor
	}
	if g := r.gang(); g != nil && r.step().SameRack {
		for _, m := range g.members {
			if m.rack != r.rack {
				return x * r.cluster.RemoteFactor
			}
		}
	}
	return x
}

// finish ends the run, unless it has ended already or its worker is down. A stalled run
// does not end as done.
func (r *run) finish(outcome placement.Outcome) {
	if r.ended || r.since == 0 && outcome == placement.EndDone || !r.up {
		return
	}
	r.endRun(r, outcome)
}

// workDone returns the work that the run has completed, in milliseconds at full speed.
func (r *run) workDone() int64 {
	if r.since == 0 {
		return r.base
	}
	return min(r.total, r.base+int64(float64(r.cluster.now-r.since)*r.speed))
}

// checkpoint returns the run's newest checkpoint, or with exact one of its current state;
// empty for none.
func (r *run) checkpoint(exact bool) string {
	d := r.savedWork(exact)
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", d)
}

// savedWork returns the work that the run's newest checkpoint has, or with exact one of its
// current state.
func (r *run) savedWork(exact bool) int64 {
	d := r.workDone()
	switch {
	case !r.step().Checkpoints:
		return 0
	case exact:
		return d
	}
	return max(r.restored, d-d%r.cluster.CheckpointInterval)
}

// endRun ends a run. The other members of its gang end too: as done if the run is done, and
// otherwise as broken if the gang has started.
func (w *worker) endRun(r *run, outcome placement.Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	delete(w.runs, r.task)
	w.endCount++
	w.cluster.tracef("%s: %v run %d ends %s (number %d)", w.id, r.task, r.run, outcome, w.endCount)
	checkpoint := ""
	if outcome != placement.EndDone {
		checkpoint = r.checkpoint(outcome == placement.EndStopped)
	}
	w.ends = append(w.ends, placement.End{Number: w.endCount, Task: r.task, Run: r.run, Outcome: outcome, Checkpoint: checkpoint})
	w.cluster.checkEnd(r, outcome)
	if g := r.gang(); g != nil {
		for _, m := range g.sorted() {
			if m.ended {
				continue
			}
			if outcome == placement.EndDone {
				m.endRun(m, placement.EndDone)
			} else if g.started {
				m.endRun(m, placement.EndGangBroken)
			}
		}
	}
	w.cluster.answerPoll(w)
}

// stop executes a stop order.
func (w *worker) stop(o *placement.Stop) placement.Reply {
	reply := placement.Reply{Verdict: w.checkToken(o.Token), Clock: w.clock()}
	if reply.Verdict != placement.Executed {
		return reply
	}
	w.tombstones[o.Task] = max(w.tombstones[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		w.cluster.schedule(w.cluster.StopTime, func() { r.finish(placement.EndStopped) })
	}
	return reply
}

// poll executes a poll without its wait.
func (w *worker) poll(o *placement.Poll) placement.PollReply {
	reply := placement.PollReply{Reply: placement.Reply{Verdict: w.checkToken(o.Token), Clock: w.clock()}, Lifetime: w.lifetime}
	if reply.Verdict != placement.Executed {
		return reply
	}
	if o.Lease != 0 {
		w.extendLease(o.Lease)
	}
	for len(w.ends) > 0 && w.ends[0].Number <= o.AckedEnd {
		w.cluster.checkAcknowledged(w, &w.ends[0])
		w.ends = w.ends[1:]
	}
	n := min(len(w.ends), w.cluster.MaxListedEnds)
	reply.Ended, reply.MoreEnds = append(reply.Ended, w.ends[:n]...), n == w.cluster.MaxListedEnds
	for _, r := range w.sortedRuns() {
		reply.Running = append(reply.Running, placement.Run{
			Task: r.task, Run: r.run, Checkpoint: r.checkpoint(false), Percent: int(100 * r.workDone() / max(1, r.total)),
		})
	}
	return reply
}

// crash ends the worker's process and its runs. Another worker starts without runs at its
// address after restartAfter milliseconds, or none if that is 0.
func (w *worker) crash(restartAfter int64) {
	w.end()
	if restartAfter > 0 {
		w.cluster.schedule(restartAfter, func() { w.boot() })
	}
}

// end ends the worker's process and its runs.
func (w *worker) end() {
	w.cluster.tracef("%s: process ends", w.id)
	for _, r := range w.sortedRuns() {
		r.ended = true
		w.cluster.checkEnd(r, placement.EndLeaseExpired)
		if g := r.gang(); g != nil && g.started {
			for _, m := range g.sorted() {
				if !m.ended {
					m.endRun(m, placement.EndGangBroken)
				}
			}
		}
	}
	w.up = false
	w.cluster.schedule(3*w.cluster.heartbeat(), func() { w.cluster.removeEntry(w) })
}

// firstBorn is the time of day at the start of the simulation, in milliseconds.
const firstBorn = 1_000_000

// boot starts a new lifetime of a new instance.
func (w *worker) boot() {
	w.instance++
	w.begin(firstBorn + w.cluster.now)
	w.cluster.publishEntry(w)
}

// reboot starts a new lifetime of the same instance, with a lower value if steppedBack.
// Its entry is read up to two seconds later.
func (w *worker) reboot(steppedBack bool) {
	lifetime := firstBorn + w.cluster.now
	if steppedBack {
		lifetime = w.lifetime - 1 - w.cluster.rand.Int64N(5000)
	}
	w.begin(lifetime)
	w.cluster.schedule(w.cluster.rand.Int64N(2000), func() {
		if w.lifetime == lifetime && w.up && !w.partitioned {
			w.cluster.publishEntry(w)
		}
	})
}

// begin starts a lifetime without state of the last one.
func (w *worker) begin(lifetime int64) {
	w.cluster.tracef("%s: born %d", w.id, lifetime)
	w.up, w.draining, w.lifetime, w.bootedAt = true, false, lifetime, w.cluster.now
	w.token, w.lease, w.endCount, w.endCountAtExpiry, w.ends = 0, 0, 0, 0, nil
	w.runs, w.tombstones = make(map[jobspec.TaskID]*run), make(map[jobspec.TaskID]int)
}
