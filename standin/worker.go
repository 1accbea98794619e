package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// WorkerFaults are the faults of a Worker. The zero value has none.
type WorkerFaults struct {
	// Silent blocks every call until its context ends, and then fails it with
	// fault.Unknown.
	Silent bool
	// FailAll makes every task fail at its start.
	FailAll bool
	// LoseAnswers makes calls fail with fault.Unknown although they are executed.
	LoseAnswers bool
}

const (
	// defaultMaxTasks is the default of Worker.MaxTasks.
	defaultMaxTasks = 1 << 16
	// minLeaseMS is the shortest lease of a task; shorter ones are extended to it.
	minLeaseMS = 100
)

// Worker simulates one worker. Its exported fields must be set before its first
// call.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	// Slots defaults to 8.
	Slots int
	// CPUOnly workers have no accelerators.
	CPUOnly bool
	// Incarnation identifies one start of the worker; it must be unique per start.
	Incarnation string
	// MaxTasks is the number of tasks above which the worker drops ended ones.
	// Reserved and running tasks are never dropped, nor are ended tasks of a
	// placer until a heartbeat lists them in Forget. Default 65,536.
	MaxTasks int
	// Checkpoints stores the progress of stopped tasks. Nil means a private store,
	// which Restart clears.
	Checkpoints *Checkpoints

	mu      sync.Mutex
	faults  WorkerFaults
	killed  bool
	leaving bool
	// term is the highest term seen since the start.
	term uint64
	// revision is incremented at each change of a task.
	revision uint64
	used     rack.Mask
	tasks    map[string]*task
	history  []Interval
	// reportDue is closed, which makes waiting heartbeats return, and set to nil
	// when a task of a placer ends or SetLeaving is called. The next heartbeat
	// creates it again.
	reportDue chan struct{}
	// ownCheckpoints is used when Checkpoints is nil.
	ownCheckpoints Checkpoints
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetLeaving sets whether the worker refuses new tasks. Waiting heartbeats return
// at once.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	if w.reportDue != nil {
		close(w.reportDue)
		w.reportDue = nil
	}
}

// Kill stops the worker and all of its tasks, without checkpoints.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
	for _, t := range w.tasks {
		w.endTask(t, upstream.Stopped, "the worker was killed", false)
	}
}

// Restart starts a killed worker again under a new incarnation and without tasks.
// The history is kept.
func (w *Worker) Restart(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed, w.Incarnation, w.term, w.revision, w.used = false, incarnation, 0, 0, 0
	w.tasks = nil
	w.ownCheckpoints.clear()
}

// History returns all runs so far, including those of earlier incarnations.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.history)
}

// checkpointStore returns the checkpoint store that is in use.
func (w *Worker) checkpointStore() *Checkpoints {
	if w.Checkpoints != nil {
		return w.Checkpoints
	}
	return &w.ownCheckpoints
}

// TaskCount returns the number of tasks that w holds, ended ones included.
func (w *Worker) TaskCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Upstream returns w as an upstream.Worker.
func (w *Worker) Upstream() upstream.Worker {
	return upstream.Worker{
		Heartbeat: w.heartbeat,
		Reserve: func(ctx context.Context, o upstream.Order) (upstream.TaskReport, error) {
			return withFaults(ctx, w, func() (upstream.TaskReport, error) { return w.reserve(o, false) })
		},
		Start: func(ctx context.Context, s upstream.Start) (upstream.TaskReport, error) {
			return withFaults(ctx, w, func() (upstream.TaskReport, error) { return w.start(s) })
		},
		Stop: func(ctx context.Context, s upstream.Stop) (upstream.TaskReport, error) {
			return withFaults(ctx, w, func() (upstream.TaskReport, error) { return w.stop(s) })
		},
		Run:    w.run,
		Await:  w.await,
		Output: w.outputPart,
	}
}

// withFaults runs call under the faults of w. It fails when w was killed.
func withFaults[T any](ctx context.Context, w *Worker, call func() (T, error)) (T, error) {
	var zero T
	w.mu.Lock()
	f, killed := w.faults, w.killed
	w.mu.Unlock()
	if killed {
		return zero, fault.New(fault.Unavailable, "the worker is down", "use another worker")
	}
	if f.Silent {
		<-ctx.Done()
		return zero, answerLostError()
	}
	res, err := call()
	if f.LoseAnswers {
		return zero, answerLostError()
	}
	return res, err
}

// heartbeat renews leases and returns a report as soon as one is due, or after the
// wait of h.
func (w *Worker) heartbeat(ctx context.Context, h upstream.Heartbeat) (upstream.Report, error) {
	due, err := withFaults(ctx, w, func() (chan struct{}, error) { return w.renewLeases(h) })
	if err != nil {
		return upstream.Report{}, err
	}
	t := newTimer(time.Duration(h.Wait) * time.Millisecond)
	defer t.Stop()
	select {
	case <-due:
	case <-t.C:
	case <-ctx.Done():
		return upstream.Report{}, answerLostError()
	}
	return withFaults(ctx, w, func() (upstream.Report, error) { return w.report(h), nil })
}

// renewLeases renews the leases of the tasks listed in h and returns a channel that
// is closed when a report is due. It is already closed when a task of a placer has
// ended since the last report.
func (w *Worker) renewLeases(h upstream.Heartbeat) (chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(h.Term); err != nil {
		return nil, err
	}
	for _, id := range h.Renew {
		if t := w.tasks[id]; t != nil && t.State != upstream.Ended {
			w.renewLease(t)
		}
	}
	for _, id := range h.Forget {
		if t := w.tasks[id]; t != nil && t.State == upstream.Ended {
			t.forgettable = true
		}
	}
	w.trimTasks()
	for _, t := range w.tasks {
		if !t.Small && t.State == upstream.Ended && !t.forgettable && t.revision > h.SinceRevision {
			ready := make(chan struct{})
			close(ready)
			return ready, nil
		}
	}
	if w.reportDue == nil {
		w.reportDue = make(chan struct{})
	}
	return w.reportDue, nil
}

// report returns the state of w with the tasks that changed after revision
// h.SinceRevision, except those that a placer has listed in Forget.
func (w *Worker) report(h upstream.Heartbeat) upstream.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := upstream.Report{
		Worker: w.Name, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Rack: w.Rack,
		Slots: w.slotCount(), Accelerated: !w.CPUOnly, Leaving: w.leaving,
		Free: rack.FullMask(w.slotCount()) &^ w.used, Revision: w.revision,
	}
	for _, id := range sortedTaskIDs(w.tasks) {
		if t := w.tasks[id]; !t.forgettable && t.revision > h.SinceRevision {
			r.Tasks = append(r.Tasks, t.TaskReport)
		}
	}
	return r
}

// reserve allocates a cell to the task of o under a lease. A repeated call returns
// the state of the task, and is refused once the task has ended.
func (w *Worker) reserve(o upstream.Order, small bool) (upstream.TaskReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(o.Term); err != nil {
		return upstream.TaskReport{}, err
	}
	if t := w.tasks[o.Task]; t != nil {
		if t.State == upstream.Ended {
			return t.TaskReport, refusedError("task %s has ended", o.Task)
		}
		return t.TaskReport, nil
	}
	if err := w.admit(&o); err != nil {
		return upstream.TaskReport{}, err
	}
	t := &task{order: o, ended: make(chan struct{})}
	t.TaskReport = upstream.TaskReport{Task: o.Task, State: upstream.Reserved, Mask: o.Mask, Small: small}
	w.addTask(t)
	w.used |= o.Mask
	d := time.Duration(max(o.Lease, minLeaseMS)) * time.Millisecond
	t.leaseTimer = time.AfterFunc(d, func() { w.expireLease(t) })
	return t.TaskReport, nil
}

// admit checks whether w can accept o. It evicts tasks from the requested cell, or
// chooses a cell when o requests none.
func (w *Worker) admit(o *upstream.Order) error {
	if err := w.checkIncarnation(o.Incarnation); err != nil {
		return err
	}
	switch {
	case w.leaving:
		return refusedError("worker %s is leaving", w.Name)
	case o.Accelerated && w.CPUOnly:
		return refusedError("worker %s has no accelerators", w.Name)
	}
	free := rack.FullMask(w.slotCount()) &^ w.used
	if o.Mask == 0 {
		b, _, ok := free.BestBlock(o.Level)
		if !ok {
			return refusedError("worker %s has no free %s", w.Name, o.Level)
		}
		o.Mask = b
		return nil
	}
	w.evict(o)
	free = rack.FullMask(w.slotCount()) &^ w.used
	if free&o.Mask != o.Mask {
		return refusedError("slots of worker %s are in use", w.Name)
	}
	return nil
}

// evict ends the tasks in the cell of o that it may evict: placers' reservations
// that were not started, when o has a term, and small tasks, when o.Evict is set.
func (w *Worker) evict(o *upstream.Order) {
	for _, id := range sortedTaskIDs(w.tasks) {
		t := w.tasks[id]
		if t.State == upstream.Ended || t.Mask&o.Mask == 0 {
			continue
		}
		if o.Evict && t.Small || o.Term != 0 && !t.Small && t.State == upstream.Reserved {
			w.endTask(t, upstream.Evicted, "", false)
		}
	}
}

// start starts a reserved task. Repeated calls have no effect.
func (w *Worker) start(s upstream.Start) (upstream.TaskReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(s.Term); err != nil {
		return upstream.TaskReport{}, err
	}
	t := w.tasks[s.Task]
	if t == nil || t.State == upstream.Ended {
		return upstream.TaskReport{}, refusedError("task %s holds no reservation", s.Task)
	}
	if t.State == upstream.Reserved {
		w.startTask(t)
	}
	return t.TaskReport, nil
}

// stop ends a task, or adds a tombstone for an unknown one. It saves the progress of
// a running task when s has a grace period.
func (w *Worker) stop(s upstream.Stop) (upstream.TaskReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(s.Term); err != nil {
		return upstream.TaskReport{}, err
	}
	if err := w.checkIncarnation(s.Incarnation); err != nil {
		return upstream.TaskReport{}, err
	}
	t := w.tombstone(s.Task, s.Term == 0)
	if t.State != upstream.Ended {
		w.endTask(t, upstream.Stopped, "", s.Grace > 0)
	}
	return t.TaskReport, nil
}

// run reserves and starts a small task and waits for its end.
func (w *Worker) run(ctx context.Context, r upstream.Run) (upstream.RunReport, error) {
	_, err := withFaults(ctx, w, func() (upstream.TaskReport, error) {
		if _, err := w.reserve(r.Order, true); err != nil {
			return upstream.TaskReport{}, err
		}
		return w.start(upstream.Start{Task: r.Task})
	})
	if err != nil {
		return upstream.RunReport{FreeSlots: w.freeSlots()}, err
	}
	return w.await(ctx, upstream.Await{Task: r.Task, Wait: r.Wait})
}

// await waits for the end of a task, for at most the wait of a.
func (w *Worker) await(ctx context.Context, a upstream.Await) (upstream.RunReport, error) {
	t, err := withFaults(ctx, w, func() (*task, error) { return w.findTask(a) })
	if err != nil {
		return upstream.RunReport{}, err
	}
	timer := newTimer(time.Duration(a.Wait) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-ctx.Done():
		return upstream.RunReport{}, answerLostError()
	}
	return withFaults(ctx, w, func() (upstream.RunReport, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		report := upstream.RunReport{TaskReport: t.TaskReport, FreeSlots: (rack.FullMask(w.slotCount()) &^ w.used).Count()}
		if len(t.output) <= upstream.MaxInlineOutput {
			report.Output = t.output
		}
		return report, nil
	})
}

// findTask returns the task of a and renews its lease when it runs. For an unknown
// task, it adds a tombstone when a.Fence is set.
func (w *Worker) findTask(a upstream.Await) (*task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkIncarnation(a.Incarnation); err != nil {
		return nil, err
	}
	t := w.tasks[a.Task]
	if t == nil && !a.Fence {
		return nil, fault.Newf(fault.NotFound, "check the task's name", "worker %s has no task %s", w.Name, a.Task)
	}
	if t == nil {
		t = w.tombstone(a.Task, true)
	}
	if t.State == upstream.Running {
		w.renewLease(t)
	}
	return t, nil
}

// outputPart returns a part of the output of a completed task.
func (w *Worker) outputPart(ctx context.Context, r upstream.OutputRequest) (upstream.OutputPart, error) {
	return withFaults(ctx, w, func() (upstream.OutputPart, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		t := w.tasks[r.Task]
		if t == nil || t.Outcome != upstream.Completed {
			return upstream.OutputPart{}, fault.Newf(fault.NotFound, "run the job again if it is repeatable",
				"worker %s no longer has the output of task %s", w.Name, r.Task)
		}
		if r.Offset < 0 || r.Offset > t.Size {
			return upstream.OutputPart{}, fault.Newf(fault.Invalid, "start within the output", "offset %d is outside the output", r.Offset)
		}
		end := min(r.Offset+upstream.MaxOutputPart, t.Size)
		return upstream.OutputPart{Data: t.output[r.Offset:end], Size: t.Size}, nil
	})
}

// checkTerm rejects terms below the highest one seen and records higher ones. Term
// 0 is used by small requests and always passes.
func (w *Worker) checkTerm(term uint64) error {
	if term == 0 {
		return nil
	}
	if term < w.term {
		return refusedError("term %d has ended; worker %s follows term %d", term, w.Name, w.term)
	}
	w.term = term
	return nil
}

// checkIncarnation rejects calls meant for another incarnation; an empty one means
// any.
func (w *Worker) checkIncarnation(incarnation string) error {
	if incarnation == "" || incarnation == w.Incarnation {
		return nil
	}
	return refusedError("worker %s has restarted", w.Name)
}

// freeSlots returns the number of free slots.
func (w *Worker) freeSlots() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (rack.FullMask(w.slotCount()) &^ w.used).Count()
}

// slotCount returns the number of slots, free or not.
func (w *Worker) slotCount() int {
	if w.Slots == 0 {
		return rack.SlotsPerWorker
	}
	return w.Slots
}

// refusedError returns the error of a call that had no effect.
func refusedError(format string, args ...any) error {
	return fault.Newf(fault.Refused, "try another worker", format, args...)
}

// answerLostError returns the error of a call that may have had an effect.
func answerLostError() error {
	return fault.New(fault.Unknown, "the answer of the worker was lost", "query the state of the task on a new connection")
}
