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
func (w TaskSpec) Payload() []byte {
	b, err := json.Marshal(w)
	if err != nil {
		return nil
	}
	return b
}

// parseWork reads a payload. An empty one is no work.
func parseWork(payload []byte) (TaskSpec, error) {
	var w TaskSpec
	if len(payload) == 0 {
		return w, nil
	}
	err := json.Unmarshal(payload, &w)
	return w, errors.Wrap(err, "parse the work")
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
	forgotten bool
	interval  int
	// base is the progress with which the task began, in milliseconds.
	base    int64
	started time.Time
	done    chan struct{}
	lease   *time.Timer
	work    *time.Timer
	output  []byte
}

// begin runs t.
func (w *Worker) begin(t *task) {
	t.State, t.started = upstream.Running, time.Now()
	w.touch(t)
	work, err := parseWork(t.order.Payload)
	t.interval = len(w.history)
	w.history = append(w.history, Interval{Task: t.Task, Job: t.order.Job, Echo: work.Echo, Start: t.started})
	w.renew(t)
	if err != nil {
		w.end(t, upstream.Failed, fmt.Sprintf("malformed payload: %v", err), false)
		return
	}
	if w.faults.FailAll {
		w.end(t, upstream.Failed, "the worker fails everything", false)
		return
	}
	left := work.RunTime
	if t.order.Resume {
		t.base = w.checkpoints().Progress(t.order.Job)
		left = max(0, left-t.base)
	}
	if work.Oversize {
		left /= 2
	}
	// A timer that is due at once crashes the race detector in a synctest bubble
	// (seen with go1.26.8), so a task takes a millisecond at least.
	t.work = time.AfterFunc(time.Duration(max(1, left))*time.Millisecond, func() { w.finish(t, work) })
}

// finish ends t by itself.
func (w *Worker) finish(t *task, work TaskSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case work.Oversize:
		w.end(t, upstream.Failed, "the guard stopped a task over its declared size", false)
	case work.Fail:
		w.end(t, upstream.Failed, "the task exited with an error", false)
	default:
		t.output = makeOutput(work, t.Task)
		h := sha256.Sum256(t.output)
		t.Size, t.Sum = int64(len(t.output)), hex.EncodeToString(h[:])
		w.end(t, upstream.Completed, "", false)
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
	w.keep(t)
	return t
}

// lapse ends t because nobody renewed its lease.
func (w *Worker) lapse(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(t, upstream.Lapsed, "", true)
}

// end ends t unless it has ended. The caller holds mu.
func (w *Worker) end(t *task, how upstream.End, message string, checkpoint bool) {
	if t.State == upstream.Ended {
		return
	}
	if t.State == upstream.Reserved {
		how = upstream.NeverStarted
	} else {
		t.RunTime = time.Since(t.started).Milliseconds()
		w.history[t.interval].End, w.history[t.interval].How = time.Now(), how
		if checkpoint {
			t.Checkpointed = true
			w.checkpoints().Save(t.order.Job, t.base+t.RunTime)
		}
	}
	t.State, t.End, t.Message, t.Mask = upstream.Ended, how, message, 0
	w.used &^= t.order.Mask
	for _, timer := range []*time.Timer{t.lease, t.work} {
		if timer != nil {
			timer.Stop()
		}
	}
	w.touch(t)
	close(t.done)
	if w.news != nil && !t.Small {
		close(w.news)
		w.news = nil
	}
}

// renew starts the lease of t anew.
func (w *Worker) renew(t *task) {
	t.lease.Reset(time.Duration(max(t.order.Lease, smallLease)) * time.Millisecond)
}

// touch marks t as changed.
func (w *Worker) touch(t *task) {
	w.revision++
	t.revision = w.revision
}

// keep remembers t.
func (w *Worker) keep(t *task) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[t.Task] = t
	w.touch(t)
	w.trim()
}

// trim drops tasks that are too many, oldest first.
func (w *Worker) trim() {
	memory := w.MaxTasks
	if memory == 0 {
		memory = defaultMemory
	}
	for len(w.tasks) > memory && w.forgetOldest() {
	}
}

// forgetOldest drops the task that changed first among the ended ones that no
// placer may still ask for. It reports whether there was one.
func (w *Worker) forgetOldest() bool {
	var oldest *task
	for _, t := range w.tasks {
		if t.State == upstream.Ended && (t.Small || t.forgotten) && (oldest == nil || t.revision < oldest.revision) {
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
func makeOutput(work TaskSpec, id string) []byte {
	out := []byte(work.Echo)
	for i := 0; len(out) < work.OutputSize; i++ {
		out = fmt.Appendf(out, "%s:%d\n", id, i)
	}
	if work.OutputSize > 0 && len(out) > work.OutputSize {
		out = out[:max(work.OutputSize, len(work.Echo))]
	}
	return out
}

// sortedTasks returns the keys of m in order.
func sortedTasks(m map[string]*task) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
