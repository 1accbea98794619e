package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/upstream"
)

// TaskSpec describes a simulated task. In JSON, it is the job payload that a
// Worker interprets.
type TaskSpec struct {
	// RunTime is how long the task runs, in milliseconds.
	RunTime int64 `json:"run"`
	// OutputSize is the length of the output, in bytes. Echo is never cut, so the
	// output is at least as long as Echo.
	OutputSize int `json:"output,omitempty"`
	// Echo is the beginning of the output.
	Echo string `json:"echo,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Oversize makes the worker stop the task after half of its remaining run
	// time, as it stops tasks that exceed their declared size.
	Oversize bool `json:"oversize,omitempty"`
}

// Payload returns s as a job payload, or nil when it cannot be encoded.
func (s TaskSpec) Payload() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return b
}

// parseTaskSpec decodes a payload. An empty payload is a task without run time
// or output.
func parseTaskSpec(payload []byte) (TaskSpec, error) {
	var s TaskSpec
	if len(payload) == 0 {
		return s, nil
	}
	err := json.Unmarshal(payload, &s)
	return s, errors.Wrap(err, "parse the task spec")
}

// Interval is one run of a task on a worker.
type Interval struct {
	Task string
	Job  string
	// Echo is the Echo of the task's payload.
	Echo  string
	Start time.Time
	// End is zero while the task runs.
	End time.Time
	How upstream.Outcome
}

// task is one task of a Worker.
type task struct {
	upstream.TaskReport
	// order is empty for a tombstone.
	order upstream.Order
	// revision is the revision of the worker at the last change of the task.
	revision uint64
	// forgettable is set once a placer has listed the task in Heartbeat.Forget,
	// that is when the log has the outcome.
	forgettable bool
	// historyIndex is the index of the task's run in Worker.history.
	historyIndex int
	// initialProgress is the saved progress from which the task started, in
	// milliseconds.
	initialProgress int64
	startedAt       time.Time
	// ended is closed when the task ends.
	ended      chan struct{}
	leaseTimer *time.Timer
	runTimer   *time.Timer
	output     []byte
}

// startTask starts a reserved task. The caller holds mu.
func (w *Worker) startTask(t *task) {
	t.State, t.startedAt = upstream.Running, time.Now()
	w.markChanged(t)
	spec, err := parseTaskSpec(t.order.Payload)
	t.historyIndex = len(w.history)
	w.history = append(w.history, Interval{Task: t.Task, Job: t.order.Job, Echo: spec.Echo, Start: t.startedAt})
	w.renewLease(t)
	if err != nil {
		w.endTask(t, upstream.Failed, fmt.Sprintf("malformed payload: %v", err), false)
		return
	}
	if w.faults.FailAll {
		w.endTask(t, upstream.Failed, "the worker is set to fail every task", false)
		return
	}
	remaining := spec.RunTime
	if t.order.Resume {
		t.initialProgress = w.checkpointStore().Progress(t.order.Job)
		remaining = max(0, remaining-t.initialProgress)
	}
	if spec.Oversize {
		remaining /= 2
	}
	// A timer that expires at once crashes the race detector in a synctest bubble
	// (seen with go1.26.8), so a task runs for at least one millisecond.
	t.runTimer = time.AfterFunc(time.Duration(max(1, remaining))*time.Millisecond, func() { w.finish(t, spec) })
}

// finish ends t after its run time.
func (w *Worker) finish(t *task, spec TaskSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case spec.Oversize:
		w.endTask(t, upstream.Failed, "the worker stopped the task because it exceeded its declared size", false)
	case spec.Fail:
		w.endTask(t, upstream.Failed, "the task exited with an error", false)
	default:
		t.output = makeOutput(spec, t.Task)
		h := sha256.Sum256(t.output)
		t.Size, t.Sum = int64(len(t.output)), hex.EncodeToString(h[:])
		w.endTask(t, upstream.Completed, "", false)
	}
}

// tombstone returns the task called id. For an unknown task, it adds one that ended
// as NeverStarted, so that a late order cannot run it. The caller holds mu.
func (w *Worker) tombstone(id string, small bool) *task {
	if t := w.tasks[id]; t != nil {
		return t
	}
	t := &task{ended: make(chan struct{})}
	t.TaskReport = upstream.TaskReport{Task: id, State: upstream.Ended, Outcome: upstream.NeverStarted, Small: small}
	close(t.ended)
	w.addTask(t)
	return t
}

// expireLease ends t because its lease was not renewed. It saves the progress of a
// running task.
func (w *Worker) expireLease(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endTask(t, upstream.LeaseExpired, "", true)
}

// endTask ends t with outcome unless it has ended already; a reserved task ends as
// NeverStarted. saveProgress makes it save the progress of a running task. The
// caller holds mu.
func (w *Worker) endTask(t *task, outcome upstream.Outcome, message string, saveProgress bool) {
	if t.State == upstream.Ended {
		return
	}
	if t.State == upstream.Reserved {
		outcome = upstream.NeverStarted
	} else {
		t.RunTime = time.Since(t.startedAt).Milliseconds()
		w.history[t.historyIndex].End, w.history[t.historyIndex].How = time.Now(), outcome
		if saveProgress {
			t.Checkpointed = true
			w.checkpointStore().Save(t.order.Job, t.initialProgress+t.RunTime)
		}
	}
	t.State, t.Outcome, t.Message, t.Mask = upstream.Ended, outcome, message, 0
	w.used &^= t.order.Mask
	for _, timer := range []*time.Timer{t.leaseTimer, t.runTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	w.markChanged(t)
	close(t.ended)
	if w.reportDue != nil && !t.Small {
		close(w.reportDue)
		w.reportDue = nil
	}
}

// renewLease restarts the lease of t.
func (w *Worker) renewLease(t *task) {
	t.leaseTimer.Reset(time.Duration(max(t.order.Lease, minLeaseMS)) * time.Millisecond)
}

// markChanged gives t the next revision, so that the next report has it.
func (w *Worker) markChanged(t *task) {
	w.revision++
	t.revision = w.revision
}

// addTask stores t and drops ended tasks beyond MaxTasks.
func (w *Worker) addTask(t *task) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[t.Task] = t
	w.markChanged(t)
	w.trimTasks()
}

// trimTasks drops ended tasks until at most MaxTasks are left or none of the rest
// may be dropped.
func (w *Worker) trimTasks() {
	limit := w.MaxTasks
	if limit == 0 {
		limit = defaultMaxTasks
	}
	for len(w.tasks) > limit && w.dropOldest() {
	}
}

// dropOldest drops the least recently changed task among the ended ones that are
// small or forgettable. It reports whether there was one.
func (w *Worker) dropOldest() bool {
	var oldest *task
	for _, t := range w.tasks {
		if t.State == upstream.Ended && (t.Small || t.forgettable) && (oldest == nil || t.revision < oldest.revision) {
			oldest = t
		}
	}
	if oldest == nil {
		return false
	}
	delete(w.tasks, oldest.Task)
	return true
}

// makeOutput returns the output of a task: its echo, filled up to the size of spec
// with numbered lines.
func makeOutput(spec TaskSpec, id string) []byte {
	out := []byte(spec.Echo)
	for i := 0; len(out) < spec.OutputSize; i++ {
		out = fmt.Appendf(out, "%s:%d\n", id, i)
	}
	if spec.OutputSize > 0 && len(out) > spec.OutputSize {
		out = out[:max(spec.OutputSize, len(spec.Echo))]
	}
	return out
}

// sortedTaskIDs returns the keys of m in ascending order.
func sortedTaskIDs(m map[string]*task) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
