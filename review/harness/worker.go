package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The figures of the workers, from the settings of the site bayou-skim.
const (
	maxHoldMs  = 10_000
	gangWaitMs = 3000
	stopTime   = 200 * time.Millisecond
	maxWait    = 2 * time.Second
	tickTime   = 10 * time.Millisecond
	heartbeat  = 1500 * time.Millisecond
	drainTime  = 2500 * time.Millisecond
	gpuPerHost = 8
)

// fleet is all workers and what they run. One lock guards everything.
type fleet struct {
	mu      sync.Mutex
	rec     *record
	jobs    map[string]*jobInfo
	workers []*worker
	// history has every run in the order of the starts.
	history []*run
	// ended is closed, and replaced, when a run ends.
	ended chan struct{}
	// tickets holds the time until which each ticket is valid.
	tickets map[string]time.Time
	// onStart, if set, is called when a start order arrives, before it is executed.
	onStart func(task string)
}

// jobInfo is what the workers must know of a job to run its subtasks.
type jobInfo struct {
	steps []stepInfo
}

// stepInfo describes the subtasks of a step. A step that lasts has no duration.
type stepInfo struct {
	count, gpu int
	gang       bool
	// advised is set if a start needs a ticket.
	advised  bool
	duration time.Duration
}

// worker is one worker. It follows the page "Running subtasks".
type worker struct {
	*fleet
	id, rack string
	address  string
	latency  time.Duration

	bornMs  int64
	bootAt  time.Time
	token   int64
	leaseMs int64
	runs    map[string]*run
	highest map[string]int64
	ends    []*run
	endNo   int64
	// cut is set while nothing reaches the worker, draining once it is about to leave, and
	// gone once it has left.
	cut, draining, gone bool
	sequence            int
	server              *http.Server
}

// run is one run of a subtask.
type run struct {
	w         *worker
	task      string
	number    int64
	token     int64
	step      stepInfo
	startedAt time.Time
	// workingAt is when the work began; zero while a gang is incomplete.
	workingAt time.Time
	endsAt    time.Time
	endsHow   string
	endedAt   time.Time
	how       string
	endNo     int64
}

func (w *worker) clock() int64 { return time.Since(w.bootAt).Milliseconds() }

// boot begins a lifetime that knows nothing of the last one. f.mu must be held.
func (w *worker) boot() {
	for _, r := range w.sortedRuns() {
		w.end(r, "lost")
	}
	now := time.Now()
	w.bornMs, w.bootAt, w.token, w.leaseMs, w.endNo, w.ends = now.UnixMilli(), now, 0, 0, 0, nil
	w.runs, w.highest = make(map[string]*run), make(map[string]int64)
	w.rec.printf("worker %s: born %d", w.id, w.bornMs)
}

func (w *worker) sortedRuns() []*run {
	var rs []*run
	for _, r := range w.runs {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return rs
}

// end ends a run, and with it the other members of its gang.
func (w *worker) end(r *run, how string) {
	if r.how != "" {
		return
	}
	r.how, r.endedAt = how, time.Now()
	delete(w.runs, r.task)
	w.endNo++
	r.endNo = w.endNo
	w.ends = append(w.ends, r)
	w.rec.printf("worker %s: %s run %d ends %s", w.id, r.task, r.number, how)
	if r.step.gang && !r.workingAt.IsZero() {
		for _, m := range w.members(r) {
			if how == "done" {
				m.w.end(m, "done")
			} else {
				m.w.end(m, "broken")
			}
		}
	}
	close(w.ended)
	w.ended = make(chan struct{})
}

// members returns the members of a run's gang that have not ended.
func (f *fleet) members(r *run) []*run {
	prefix := r.task[:strings.LastIndexByte(r.task, '.')+1]
	var out []*run
	for _, m := range f.history {
		if m.how == "" && m.number == r.number && strings.HasPrefix(m.task, prefix) {
			out = append(out, m)
		}
	}
	return out
}

// tick ends the runs whose time has come.
func (f *fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, w := range f.workers {
		lapsed := len(w.runs) > 0 && w.clock() >= w.leaseMs
		for _, r := range w.sortedRuns() {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case r.step.gang && r.workingAt.IsZero() && now.Sub(r.startedAt) > gangWaitMs*time.Millisecond:
				w.end(r, "alone")
			case !r.endsAt.IsZero() && now.After(r.endsAt):
				w.end(r, r.endsHow)
			}
		}
	}
}

// begin lets a run work once all members of its gang are present.
func (w *worker) begin(r *run) {
	now := time.Now()
	rs := []*run{r}
	if r.step.gang {
		if rs = w.members(r); len(rs) < r.step.count {
			return
		}
	}
	for _, m := range rs {
		m.workingAt = now
		if m.step.duration > 0 {
			m.endsAt, m.endsHow = now.Add(m.step.duration), "done"
		}
	}
}

// percent returns the progress of a run.
func (r *run) percent() int {
	switch {
	case r.workingAt.IsZero():
		return 0
	case r.step.duration == 0:
		return 100
	}
	return min(99, int(100*time.Since(r.workingAt)/r.step.duration))
}

// usedGPU returns the number of accelerators in use.
func (w *worker) usedGPU() int {
	n := 0
	for _, r := range w.runs {
		n += r.step.gpu
	}
	return n
}

// extendLease extends the lease to a time on the worker's clock. It never shortens.
func (w *worker) extendLease(until int64) {
	w.leaseMs = max(w.leaseMs, min(until, w.clock()+maxHoldMs))
}

// order is the body of a call.
type order map[string]any

func (o order) number(name string) int64 {
	v, ok := o[name].(float64)
	if !ok {
		return 0
	}
	return int64(v)
}

func (o order) text(name string) string {
	v, ok := o[name].(string)
	if !ok {
		return ""
	}
	return v
}

// reply is the status and the body of an answer.
type reply struct {
	status int
	body   map[string]any
}

func (w *worker) accept() reply {
	return reply{http.StatusOK, map[string]any{"timestamp_ms": w.clock()}}
}

func (w *worker) reject(reason string) reply {
	return reply{http.StatusConflict, map[string]any{"timestamp_ms": w.clock(), "reason": reason}}
}

// start executes a start order.
func (w *worker) start(o order) reply {
	task, number, token := o.text("task"), o.number("run"), o.number("fencing_token")
	if token < w.token {
		w.rec.printf("worker %s: start of %s run %d with generation %d is rejected: fence", w.id, task, number, token)
		return w.reject("fence")
	}
	w.token = token
	w.extendLease(o.number("deadline_ms"))
	step, known := w.step(task)
	r := w.runs[task]
	switch {
	case !known:
		return reply{http.StatusBadRequest, nil}
	case r != nil && r.number == number:
		return w.accept()
	case r != nil || number <= w.highest[task]:
		return w.reject("old")
	case o.number("deadline_ms") <= w.clock():
		return w.reject("late")
	case step.advised && (time.Now().After(w.tickets[o.text("ticket")]) || !strings.HasPrefix(o.text("ticket"), w.id)):
		return w.reject("ticket")
	case w.usedGPU()+step.gpu > gpuPerHost:
		return w.reject("room")
	}
	r = &run{w: w, task: task, number: number, token: token, step: step, startedAt: time.Now()}
	w.runs[task], w.highest[task] = r, number
	w.history = append(w.history, r)
	w.rec.printf("worker %s: %s run %d starts, generation %d", w.id, task, number, token)
	w.begin(r)
	return w.accept()
}

// step returns the step of a subtask ID.K.STEP.INDEX.
func (f *fleet) step(task string) (stepInfo, bool) {
	var occurrence, step, index int
	id, rest, _ := strings.Cut(task, ".")
	if n, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); n != 3 || err != nil {
		return stepInfo{}, false
	}
	j := f.jobs[id]
	if j == nil || step >= len(j.steps) {
		return stepInfo{}, false
	}
	return j.steps[step], true
}

// stop executes a stop order.
func (w *worker) stop(o order) reply {
	task, number, token := o.text("task"), o.number("run"), o.number("fencing_token")
	if token < w.token {
		return w.reject("fence")
	}
	w.token = token
	w.highest[task] = max(w.highest[task], number)
	if r := w.runs[task]; r != nil && r.number <= number {
		r.endsAt, r.endsHow = time.Now().Add(stopTime), "stopped"
	}
	return w.accept()
}

// hold renews the lease and returns both lists, if there is an end to report or final is
// set. Otherwise it returns the channel that is closed at the next end.
func (w *worker) hold(o order, final bool) (reply, chan struct{}) {
	if o.number("fencing_token") < w.token {
		return w.reject("fence"), nil
	}
	w.token = o.number("fencing_token")
	if d := o.number("deadline_ms"); d != 0 {
		w.extendLease(d)
	}
	for len(w.ends) > 0 && w.ends[0].endNo <= o.number("last_seen") {
		w.rec.printf("worker %s: the end of %s run %d (%s) is taken note of", w.id, w.ends[0].task, w.ends[0].number, w.ends[0].how)
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && !final {
		return reply{}, w.ended
	}
	running, finished := make([][]any, 0, len(w.runs)), make([][]any, 0, len(w.ends))
	for _, r := range w.sortedRuns() {
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, r := range w.ends {
		finished = append(finished, []any{r.endNo, r.task, r.number, r.how, ""})
	}
	a := w.accept()
	a.body["born"], a.body["running"], a.body["finished"] = w.bornMs, running, finished
	return a, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	onStart := w.onStart
	w.mu.Unlock()
	if onStart != nil && r.URL.Path == "/run-start" {
		onStart(o.text("task"))
	}
	time.Sleep(w.latency)
	w.mu.Lock()
	born, cut := w.bornMs, w.cut
	w.mu.Unlock()
	if cut || r.Header.Get("Target-Instance") != w.id {
		w.refuse(rw, r, cut)
		return
	}
	a, ok := w.execute(r, o, born)
	time.Sleep(w.latency)
	w.mu.Lock()
	lost := w.cut || w.bornMs != born
	w.mu.Unlock()
	if !ok || lost {
		w.refuse(rw, r, true)
		return
	}
	writeReply(rw, a)
}

// refuse answers a call that names another worker. It never answers a call that was lost
// in a cut or with its lifetime.
func (w *worker) refuse(rw http.ResponseWriter, r *http.Request, lost bool) {
	if lost {
		<-r.Context().Done()
		return
	}
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

// execute executes an order for a lifetime. It returns false if the lifetime is over.
func (w *worker) execute(r *http.Request, o order, born int64) (reply, bool) {
	switch r.URL.Path {
	case "/run-start":
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.start(o), true
	case "/run-stop":
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.stop(o), true
	}
	wait := time.NewTimer(min(maxWait, time.Duration(o.number("wait_ms"))*time.Millisecond))
	defer wait.Stop()
	for final := false; ; {
		w.mu.Lock()
		if w.bornMs != born {
			w.mu.Unlock()
			return reply{}, false
		}
		a, ended := w.hold(o, final)
		w.mu.Unlock()
		if ended == nil {
			return a, true
		}
		select {
		case <-ended:
		case <-wait.C:
			final = true
		case <-r.Context().Done():
			return reply{}, false
		}
	}
}

func writeReply(rw http.ResponseWriter, a reply) {
	b, err := json.Marshal(a.body)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(a.status)
	// A caller that has left is no error of the worker.
	_, _ = rw.Write(b)
}

// entry returns the worker's directory entry, or nil while it writes none.
func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut || w.gone {
		return nil
	}
	w.sequence++
	e := map[string]any{
		"service": serviceName, "address": w.address, "zone": "zone-a", "version": "v1", "capacity": 8, "state": "ready",
		"cold_left_ms": 0, "sequence": w.sequence, "labels": []string{"a", w.rack}, "born": w.bornMs,
		"free_capacity": map[string]int{"cpu": 64_000, "mem_mb": 262_144, "gpu": gpuPerHost},
	}
	if w.draining {
		e["state"], e["remaining_ms"] = "draining", drainTime.Milliseconds()
	}
	b, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	return b
}

// serve serves the worker on a free port of a loopback address.
func (w *worker) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	return nil
}
