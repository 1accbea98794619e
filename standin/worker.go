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
	// Silent hangs every call until its context ends.
	Silent bool
	// FailAll fails every task at its start.
	FailAll bool
	// LoseAnswers carries out calls and then reports them as unknown.
	LoseAnswers bool
}

const (
	// defaultMemory is the number of tasks that a worker remembers.
	defaultMaxTasks = 1 << 16
	// smallLease is the least lease, in milliseconds.
	minLeaseMS = 100
)

// Worker plays one worker. Its exported fields are set before its first call.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	// Slots defaults to 8.
	Slots int
	// CPUOnly workers have no accelerators.
	CPUOnly bool
	// Incarnation is unique per start.
	Incarnation string
	// MaxTasks bounds the remembered tasks. Running tasks and the ends that no
	// placer has told it to forget are kept beyond it. Default 65,536.
	MaxTasks int
	// Checkpoints keeps the progress of stopped tasks. Nil means a store of the
	// worker's own, which a restart empties.
	Checkpoints *Checkpoints

	mu       sync.Mutex
	faults   WorkerFaults
	killed   bool
	leaving  bool
	term     uint64
	revision uint64
	used     rack.Mask
	tasks    map[string]*task
	history  []Interval
	// news is closed and replaced when a task of a placer ends.
	taskEnded chan struct{}
	// own is used when Checkpoints is nil.
	ownCheckpoints Checkpoints
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetLeaving makes the worker refuse new work.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	if w.taskEnded != nil {
		close(w.taskEnded)
		w.taskEnded = nil
	}
}

// Kill ends the worker and all of its tasks.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
	for _, t := range w.tasks {
		w.endTask(t, upstream.Stopped, "the worker died", false)
	}
}

// Restart brings a killed worker back, empty, with a new incarnation.
func (w *Worker) Restart(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed, w.Incarnation, w.term, w.revision, w.used = false, incarnation, 0, 0, 0
	w.tasks = nil
	w.ownCheckpoints.clear()
}

// History returns every run so far, also of earlier incarnations.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.history)
}

// checkpoints returns the store of saved progress.
func (w *Worker) checkpointStore() *Checkpoints {
	if w.Checkpoints != nil {
		return w.Checkpoints
	}
	return &w.ownCheckpoints
}

// TaskCount returns the number of tasks that w remembers.
func (w *Worker) TaskCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Upstream returns the calls of w.
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

// guarded applies the faults around fn.
func withFaults[T any](ctx context.Context, w *Worker, call func() (T, error)) (T, error) {
	var zero T
	w.mu.Lock()
	f, dead := w.faults, w.killed
	w.mu.Unlock()
	if dead {
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

// heartbeat renews leases, waits for news and reports.
func (w *Worker) heartbeat(ctx context.Context, h upstream.Heartbeat) (upstream.Report, error) {
	ended, err := withFaults(ctx, w, func() (chan struct{}, error) { return w.renewLeases(h) })
	if err != nil {
		return upstream.Report{}, err
	}
	t := newTimer(time.Duration(h.Wait) * time.Millisecond)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
	case <-ctx.Done():
		return upstream.Report{}, answerLostError()
	}
	return withFaults(ctx, w, func() (upstream.Report, error) { return w.report(h), nil })
}

// renewAll renews leases and returns a channel that is closed when a task of a
// placer ends, or already closed when there is news.
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
		if !t.Small && t.State == upstream.Ended && !t.forgettable && t.revision > h.Seen {
			ready := make(chan struct{})
			close(ready)
			return ready, nil
		}
	}
	if w.taskEnded == nil {
		w.taskEnded = make(chan struct{})
	}
	return w.taskEnded, nil
}

// report returns the tasks that changed since the revision asked for.
func (w *Worker) report(h upstream.Heartbeat) upstream.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := upstream.Report{
		Worker: w.Name, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Rack: w.Rack,
		Slots: w.slotCount(), Accelerated: !w.CPUOnly, Leaving: w.leaving,
		Free: rack.FullMask(w.slotCount()) &^ w.used, Revision: w.revision,
	}
	for _, id := range sortedTaskIDs(w.tasks) {
		if t := w.tasks[id]; !t.forgettable && t.revision > h.Seen {
			r.Tasks = append(r.Tasks, t.TaskReport)
		}
	}
	return r
}

// reserve holds a cell.
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
	t := &task{order: o, done: make(chan struct{})}
	t.TaskReport = upstream.TaskReport{Task: o.Task, State: upstream.Reserved, Mask: o.Mask, Small: small}
	w.addTask(t)
	w.used |= o.Mask
	d := time.Duration(max(o.Lease, minLeaseMS)) * time.Millisecond
	t.leaseTimer = time.AfterFunc(d, func() { w.expireLease(t) })
	return t.TaskReport, nil
}

// admit checks o and chooses its cell.
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
		return refusedError("slots of worker %s are taken", w.Name)
	}
	return nil
}

// evict stops what must make room for o: the reservations that were never
// started and, where o says so, the small tasks.
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

// start runs a reserved task.
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
		w.execute(t)
	}
	return t.TaskReport, nil
}

// stop ends a task, or leaves a tombstone.
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

// run is the call Run.
func (w *Worker) run(ctx context.Context, r upstream.Run) (upstream.RunReport, error) {
	_, err := withFaults(ctx, w, func() (upstream.TaskReport, error) {
		if _, err := w.reserve(r.Order, true); err != nil {
			return upstream.TaskReport{}, err
		}
		return w.start(upstream.Start{Task: r.Task})
	})
	if err != nil {
		return upstream.RunReport{Free: w.freeSlots()}, err
	}
	return w.await(ctx, upstream.Await{Task: r.Task, Wait: r.Wait})
}

// await is the call Await.
func (w *Worker) await(ctx context.Context, a upstream.Await) (upstream.RunReport, error) {
	t, err := withFaults(ctx, w, func() (*task, error) { return w.findTask(a) })
	if err != nil {
		return upstream.RunReport{}, err
	}
	timer := newTimer(time.Duration(a.Wait) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
	case <-ctx.Done():
		return upstream.RunReport{}, answerLostError()
	}
	return withFaults(ctx, w, func() (upstream.RunReport, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		rep := upstream.RunReport{TaskReport: t.TaskReport, Free: (rack.FullMask(w.slotCount()) &^ w.used).Count()}
		if len(t.output) <= upstream.MaxInline {
			rep.Output = t.output
		}
		return rep, nil
	})
}

// find returns a task for Await and renews its lease.
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

// outputPart is the call Output.
func (w *Worker) outputPart(ctx context.Context, r upstream.OutputRequest) (upstream.OutputPart, error) {
	return withFaults(ctx, w, func() (upstream.OutputPart, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		t := w.tasks[r.Task]
		if t == nil || t.End != upstream.Completed {
			return upstream.OutputPart{}, fault.Newf(fault.NotFound, "run the job again if it is repeatable",
				"worker %s no longer has the answer of task %s", w.Name, r.Task)
		}
		if r.Offset < 0 || r.Offset > t.Size {
			return upstream.OutputPart{}, fault.Newf(fault.Invalid, "start within the answer", "offset %d is outside", r.Offset)
		}
		end := min(r.Offset+upstream.MaxChunk, t.Size)
		return upstream.OutputPart{Data: t.output[r.Offset:end], Size: t.Size}, nil
	})
}

// fence refuses terms below the highest seen. Term 0 is not fenced.
func (w *Worker) checkTerm(term uint64) error {
	if term == 0 {
		return nil
	}
	if term < w.term {
		return refusedError("term %d is over, worker %s follows term %d", term, w.Name, w.term)
	}
	w.term = term
	return nil
}

// same refuses calls that are meant for another incarnation.
func (w *Worker) checkIncarnation(incarnation string) error {
	if incarnation == "" || incarnation == w.Incarnation {
		return nil
	}
	return refusedError("worker %s has restarted", w.Name)
}

// free returns the number of free slots.
func (w *Worker) freeSlots() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (rack.FullMask(w.slotCount()) &^ w.used).Count()
}

// slots returns the number of slots.
func (w *Worker) slotCount() int {
	if w.Slots == 0 {
		return rack.SlotsPerWorker
	}
	return w.Slots
}

// refused returns the error of a call without effect.
func refusedError(format string, args ...any) error {
	return fault.Newf(fault.Refused, "try another worker", format, args...)
}

// lost returns the error of a call whose answer is missing.
func answerLostError() error {
	return fault.New(fault.Unknown, "the worker's answer was lost", "ask for the task's state on a new connection")
}
