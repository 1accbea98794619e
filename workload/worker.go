package workload

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// fake is a worker at the reducer's interface.
type fakeWorker struct {
	name, rack string
	// broken workers fail everything.
	broken   bool
	used     rack.Mask
	revision uint64
	tasks    map[string]*fakeTask
	// waiting is the heartbeat that has not been answered.
	pendingHeartbeat *dispatch.HeartbeatCall
	heartbeatSentAt  int64
	// beat counts heartbeats, so that an old timer does not answer a new one.
	heartbeatCount int
}

// fakeTask is a task of a fake.
type fakeTask struct {
	upstream.TaskReport
	job       *simulatedJob
	mask      rack.Mask
	revision  uint64
	startedAt int64
	// base is the progress with which the task began, in milliseconds.
	initialProgress int64
}

// report returns what changed since the revision asked for.
func (f *fakeWorker) report(seen uint64) upstream.Report {
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
func (f *fakeWorker) markChanged(t *fakeTask) {
	f.revision++
	t.revision = f.revision
}

// member answers a call about a member of a gang.
func (r *runner) handleMemberCall(c dispatch.MemberCall) {
	f := r.workers[c.Worker]
	result := &dispatch.MemberResult{MemberCall: c}
	t := f.tasks[c.Order.Task]
	switch c.Operation {
	case dispatch.OpReserve:
		t = &fakeTask{job: r.recordedJob(c.Job), mask: c.Order.Mask}
		t.TaskReport = upstream.TaskReport{Task: c.Order.Task, State: upstream.Reserved}
		f.tasks[c.Order.Task] = t
		f.used |= t.mask
		f.markChanged(t)
	case dispatch.OpStart:
		if t.State == upstream.Reserved {
			r.startTask(f, t)
		}
	case dispatch.OpStop:
		r.endTask(f, t, upstream.Stopped)
	}
	result.Report = t.TaskReport
	r.after(callDelayMS, func() { r.apply(dispatch.Event{Member: result}) })
}

// begin runs a task.
func (r *runner) startTask(f *fakeWorker, t *fakeTask) {
	j := t.job
	t.State, t.startedAt, t.initialProgress = upstream.Running, r.now, j.savedProgress
	f.markChanged(t)
	r.busySlots += t.mask.Count()
	if j.startedAt == 0 {
		j.startedAt = r.now
	}
	if f.broken {
		r.after(failDelayMS, func() { r.endTask(f, t, upstream.Failed) })
		return
	}
	r.after(j.runTime-j.savedProgress, func() { r.endTask(f, t, upstream.Completed) })
}

// end ends a task unless it has ended.
func (r *runner) endTask(f *fakeWorker, t *fakeTask, how upstream.End) {
	if t.State == upstream.Ended {
		return
	}
	j := t.job
	if t.State == upstream.Reserved {
		how = upstream.NeverStarted
	} else {
		t.RunTime = r.now - t.startedAt
		r.busySlots -= t.mask.Count()
		r.recordProgress(j, t, how)
	}
	t.State, t.End = upstream.Ended, how
	f.used &^= t.mask
	f.markChanged(t)
	if f.pendingHeartbeat != nil {
		r.answerHeartbeat(f)
	}
}

// account notes lost work or saved progress.
func (r *runner) recordProgress(j *simulatedJob, t *fakeTask, how upstream.End) {
	switch {
	case how == upstream.Completed:
	case j.class.savesProgress:
		t.Checkpointed = true
		j.savedProgress = min(j.runTime, max(j.savedProgress, t.initialProgress+t.RunTime))
	default:
		r.lostWork += t.RunTime * int64(t.mask.Count())
	}
}

// heartbeat keeps a heartbeat until there is news or its wait is over.
func (r *runner) handleHeartbeat(c *dispatch.HeartbeatCall) {
	f := r.workers[c.Worker]
	for _, id := range c.Heartbeat.Forget {
		delete(f.tasks, id)
	}
	f.pendingHeartbeat, f.heartbeatSentAt = c, r.now
	f.heartbeatCount++
	count := f.heartbeatCount
	if f.revision > c.Heartbeat.Seen && c.Heartbeat.Seen == 0 {
		r.after(callDelayMS, func() { r.answerHeartbeat(f) })
		return
	}
	r.after(c.Heartbeat.Wait, func() {
		if f.heartbeatCount == count {
			r.answerHeartbeat(f)
		}
	})
}

// answer answers the waiting heartbeat.
func (r *runner) answerHeartbeat(f *fakeWorker) {
	if f.pendingHeartbeat == nil {
		return
	}
	c := f.pendingHeartbeat
	f.pendingHeartbeat = nil
	result := &dispatch.HeartbeatResult{Worker: f.name, SentAt: f.heartbeatSentAt, Renewed: c.Heartbeat.Renew, Report: f.report(c.Heartbeat.Seen)}
	r.after(callDelayMS, func() { r.apply(dispatch.Event{Heartbeat: result}) })
}
