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

// TaskSpec is the payload that the stand-in understands, in JSON.
type TaskSpec struct {
	// RunTime is the run time, in milliseconds.
	RunTime int64 `json:"run"`
	// OutputSize is the length of the answer, in bytes.
	OutputSize int `json:"output,omitempty"`
	// Echo is put at the start of the answer.
	Echo string `json:"echo,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Oversize makes the worker's guard stop the task halfway.
	Oversize bool `json:"oversize,omitempty"`
}

// Payload returns w as a job payload.
func (s TaskSpec) Payload() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return b
}

// parseWork reads a payload. An empty one is no work.
func parseTaskSpec(payload []byte) (TaskSpec, error) {
	var s TaskSpec
	if len(payload) == 0 {
		return s, nil
	}
	err := json.Unmarshal(payload, &s)
	return s, errors.Wrap(err, "parse the work")
}

// Interval is one run of a task.
type Interval struct {
	Task string
	Job  string
	// Echo is the payload's.
	Echo  string
	Start time.Time
	// End is zero while the task runs.
	End time.Time
	How upstream.End
}

// task is one task of a Worker.
type task struct {
	upstream.TaskReport
	order    upstream.Order
	revision uint64
	// forgotten is set once a placer has said that the end is safe in the log.
	forgettable  bool
	historyIndex int
	// base is the progress with which the task began, in milliseconds.
	initialProgress int64
	startedAt       time.Time
	done            chan struct{}
	leaseTimer      *time.Timer
	runTimer        *time.Timer
	output          []byte
}

// begin runs t.
func (w *Worker) execute(t *task) {
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
		w.endTask(t, upstream.Failed, "the worker fails everything", false)
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
	// A timer that is due at once crashes the race detector in a synctest bubble
	// (seen with go1.26.8), so a task takes a millisecond at least.
	t.runTimer = time.AfterFunc(time.Duration(max(1, remaining))*time.Millisecond, func() { w.finish(t, spec) })
}

// finish ends t by itself.
func (w *Worker) finish(t *task, spec TaskSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case spec.Oversize:
		w.endTask(t, upstream.Failed, "the guard stopped a task over its declared size", false)
	case spec.Fail:
		w.endTask(t, upstream.Failed, "the task exited with an error", false)
	default:
		t.output = makeOutput(spec, t.Task)
		h := sha256.Sum256(t.output)
		t.Size, t.Sum = int64(len(t.output)), hex.EncodeToString(h[:])
		w.endTask(t, upstream.Completed, "", false)
	}
}

// tombstone returns the task called id, made as never started when unknown.
func (w *Worker) tombstone(id string, small bool) *task {
	if t := w.tasks[id]; t != nil {
		return t
	}
	t := &task{done: make(chan struct{})}
	t.TaskReport = upstream.TaskReport{Task: id, State: upstream.Ended, End: upstream.NeverStarted, Small: small}
	close(t.done)
	w.addTask(t)
	return t
}

// lapse ends t because nobody renewed its lease.
func (w *Worker) expireLease(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endTask(t, upstream.Lapsed, "", true)
}

// end ends t unless it has ended. The caller holds mu.
func (w *Worker) endTask(t *task, how upstream.End, message string, saveProgress bool) {
	if t.State == upstream.Ended {
		return
	}
	if t.State == upstream.Reserved {
		how = upstream.NeverStarted
	} else {
		t.RunTime = time.Since(t.startedAt).Milliseconds()
		w.history[t.historyIndex].End, w.history[t.historyIndex].How = time.Now(), how
		if saveProgress {
			t.Checkpointed = true
			w.checkpointStore().Save(t.order.Job, t.initialProgress+t.RunTime)
		}
	}
	t.State, t.End, t.Message, t.Mask = upstream.Ended, how, message, 0
	w.used &^= t.order.Mask
	for _, timer := range []*time.Timer{t.leaseTimer, t.runTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	w.markChanged(t)
	close(t.done)
	if w.taskEnded != nil && !t.Small {
		close(w.taskEnded)
		w.taskEnded = nil
	}
}

// renew starts the lease of t anew.
func (w *Worker) renewLease(t *task) {
	t.leaseTimer.Reset(time.Duration(max(t.order.Lease, minLeaseMS)) * time.Millisecond)
}

// touch marks t as changed.
func (w *Worker) markChanged(t *task) {
	w.revision++
	t.revision = w.revision
}

// keep remembers t.
func (w *Worker) addTask(t *task) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[t.Task] = t
	w.markChanged(t)
	w.trimTasks()
}

// trim drops tasks that are too many, oldest first.
func (w *Worker) trimTasks() {
	limit := w.MaxTasks
	if limit == 0 {
		limit = defaultMaxTasks
	}
	for len(w.tasks) > limit && w.dropOldest() {
	}
}

// forgetOldest drops the task that changed first among the ended ones that no
// placer may still ask for. It reports whether there was one.
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

// makeOutput returns the answer of a task.
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

// sortedTasks returns the keys of m in order.
func sortedTaskIDs(m map[string]*task) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
