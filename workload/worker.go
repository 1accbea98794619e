package workload

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// fake is a worker at the reducer's interface.
type fake struct {
	name, rack string
	// broken workers fail everything.
	broken   bool
	used     rack.Mask
	revision uint64
	tasks    map[string]*fakeTask
	// waiting is the heartbeat that has not been answered.
	waiting *dispatch.HeartbeatCall
	sent    int64
	// beat counts heartbeats, so that an old timer does not answer a new one.
	beat int
}

// fakeTask is a task of a fake.
type fakeTask struct {
	upstream.TaskReport
	job      *jobRun
	mask     rack.Mask
	revision uint64
	started  int64
	// base is the progress with which the task began, in milliseconds.
	base int64
}

// report returns what changed since the revision asked for.
func (f *fake) report(seen uint64) upstream.Report {
	r := upstream.Report{
		Worker: f.name, Incarnation: "1", DataCentre: dataCentre, Rack: f.rack, Slots: rack.SlotsPerWorker,
		Accelerated: true, Free: ^f.used, Revision: f.revision,
	}
	for _, id := range slices.Sorted(maps.Keys(f.tasks)) {
		if t := f.tasks[id]; t.revision > seen {
			r.Tasks = append(r.Tasks, t.TaskReport)
		}
	}
	return r
}

// touch marks a task as changed.
func (f *fake) touch(t *fakeTask) {
	f.revision++
	t.revision = f.revision
}

// member answers a call about a member of a gang.
func (r *runner) member(c dispatch.MemberCall) {
	f := r.workers[c.Worker]
	done := &dispatch.MemberResult{MemberCall: c}
	t := f.tasks[c.Order.Task]
	switch c.Operation {
	case dispatch.OpReserve:
		t = &fakeTask{job: r.jobOf(c.Job), mask: c.Order.Mask}
		t.TaskReport = upstream.TaskReport{Task: c.Order.Task, State: upstream.Reserved}
		f.tasks[c.Order.Task] = t
		f.used |= t.mask
		f.touch(t)
	case dispatch.OpStart:
		if t.State == upstream.Reserved {
			r.begin(f, t)
		}
	case dispatch.OpStop:
		r.end(f, t, upstream.Stopped)
	}
	done.Report = t.TaskReport
	r.after(callTime, func() { r.apply(dispatch.Event{Member: done}) })
}

// begin runs a task.
func (r *runner) begin(f *fake, t *fakeTask) {
	j := t.job
	t.State, t.started, t.base = upstream.Running, r.now, j.saved
	f.touch(t)
	r.busy += t.mask.Count()
	if j.started == 0 {
		j.started = r.now
	}
	if f.broken {
		r.after(failTime, func() { r.end(f, t, upstream.Failed) })
		return
	}
	r.after(j.run-j.saved, func() { r.end(f, t, upstream.Completed) })
}

// end ends a task unless it has ended.
func (r *runner) end(f *fake, t *fakeTask, how upstream.End) {
	if t.State == upstream.Ended {
		return
	}
	j := t.job
	if t.State == upstream.Reserved {
		how = upstream.NeverStarted
	} else {
		t.RunTime = r.now - t.started
		r.busy -= t.mask.Count()
		r.account(j, t, how)
	}
	t.State, t.End = upstream.Ended, how
	f.used &^= t.mask
	f.touch(t)
	if f.waiting != nil {
		r.answer(f)
	}
}

// account notes lost work or saved progress.
func (r *runner) account(j *jobRun, t *fakeTask, how upstream.End) {
	switch {
	case how == upstream.Completed:
	case j.class.keeps:
		t.Checkpointed = true
		j.saved = min(j.run, max(j.saved, t.base+t.RunTime))
	default:
		r.lost += t.RunTime * int64(t.mask.Count())
	}
}

// heartbeat keeps a heartbeat until there is news or its wait is over.
func (r *runner) heartbeat(c *dispatch.HeartbeatCall) {
	f := r.workers[c.Worker]
	for _, id := range c.Heartbeat.Forget {
		delete(f.tasks, id)
	}
	f.waiting, f.sent = c, r.now
	f.beat++
	beat := f.beat
	if f.revision > c.Heartbeat.Seen && c.Heartbeat.Seen == 0 {
		r.after(callTime, func() { r.answer(f) })
		return
	}
	r.after(c.Heartbeat.Wait, func() {
		if f.beat == beat {
			r.answer(f)
		}
	})
}

// answer answers the waiting heartbeat.
func (r *runner) answer(f *fake) {
	if f.waiting == nil {
		return
	}
	c := f.waiting
	f.waiting = nil
	done := &dispatch.HeartbeatResult{Worker: f.name, SentAt: f.sent, Renewed: c.Heartbeat.Renew, Report: f.report(c.Heartbeat.Seen)}
	r.after(callTime, func() { r.apply(dispatch.Event{Heartbeat: done}) })
}
