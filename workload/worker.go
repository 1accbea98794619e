package workload

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// fakeWorker answers the calls that the state machine makes to one worker.
type fakeWorker struct {
	name, rack string
	// broken is set when every task on the worker fails.
	broken   bool
	used     rack.Mask
	revision uint64
	tasks    map[string]*fakeTask
	// pendingHeartbeat is the heartbeat that waits for its answer, if any.
	pendingHeartbeat *dispatch.HeartbeatCall
	heartbeatSentAt  int64
	// heartbeatCount identifies the last heartbeat, so that the timer of an
	// earlier one does not answer it.
	heartbeatCount int
}

// fakeTask is a task of a fakeWorker.
type fakeTask struct {
	upstream.TaskReport
	job       *simulatedJob
	mask      rack.Mask
	revision  uint64
	startedAt int64
	// initialProgress is the saved progress from which the task started, in
	// milliseconds.
	initialProgress int64
}

// report returns the state of f with the tasks that changed after revision seen.
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

// markChanged gives a task the next revision, so that the next report has it.
func (f *fakeWorker) markChanged(t *fakeTask) {
	f.revision++
	t.revision = f.revision
}

// handleMemberCall executes a call about one member of an attempt and returns its
// result to the state machine after callDelayMS.
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

// startTask starts a reserved task and schedules its end.
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

// endTask ends a task with outcome unless it has ended already; a reserved task ends
// as NeverStarted.
func (r *runner) endTask(f *fakeWorker, t *fakeTask, outcome upstream.Outcome) {
	if t.State == upstream.Ended {
		return
	}
	j := t.job
	if t.State == upstream.Reserved {
		outcome = upstream.NeverStarted
	} else {
		t.RunTime = r.now - t.startedAt
		r.busySlots -= t.mask.Count()
		r.recordProgress(j, t, outcome)
	}
	t.State, t.Outcome = upstream.Ended, outcome
	f.used &^= t.mask
	f.markChanged(t)
	if f.pendingHeartbeat != nil {
		r.answerHeartbeat(f)
	}
}

// recordProgress saves the progress of a run that did not complete, or counts the run
// as lost work if its class saves no progress.
func (r *runner) recordProgress(j *simulatedJob, t *fakeTask, outcome upstream.Outcome) {
	switch {
	case outcome == upstream.Completed:
	case j.class.savesProgress:
		t.Checkpointed = true
		j.savedProgress = min(j.runTime, max(j.savedProgress, t.initialProgress+t.RunTime))
	default:
		r.lostWork += t.RunTime * int64(t.mask.Count())
	}
}

// handleHeartbeat holds a heartbeat until a task ends or its wait is over. One that
// requests all tasks is answered at once if any task has changed since the start.
func (r *runner) handleHeartbeat(c *dispatch.HeartbeatCall) {
	f := r.workers[c.Worker]
	for _, id := range c.Heartbeat.Forget {
		delete(f.tasks, id)
	}
	f.pendingHeartbeat, f.heartbeatSentAt = c, r.now
	f.heartbeatCount++
	count := f.heartbeatCount
	if f.revision > c.Heartbeat.SinceRevision && c.Heartbeat.SinceRevision == 0 {
		r.after(callDelayMS, func() { r.answerHeartbeat(f) })
		return
	}
	r.after(c.Heartbeat.Wait, func() {
		if f.heartbeatCount == count {
			r.answerHeartbeat(f)
		}
	})
}

// answerHeartbeat answers the pending heartbeat, if any.
func (r *runner) answerHeartbeat(f *fakeWorker) {
	if f.pendingHeartbeat == nil {
		return
	}
	c := f.pendingHeartbeat
	f.pendingHeartbeat = nil
	result := &dispatch.HeartbeatResult{Worker: f.name, SentAt: f.heartbeatSentAt, Renewed: c.Heartbeat.Renew, Report: f.report(c.Heartbeat.SinceRevision)}
	r.after(callDelayMS, func() { r.apply(dispatch.Event{Heartbeat: result}) })
}
