package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxHold is the longest lease that a worker accepts, in milliseconds.
	maxHold = 10_000
	// endsPerList is the most ends in one list of ends.
	endsPerList = 500
	// maxWait is the longest wait of a call to /hold, in milliseconds.
	maxWait = 2000
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
	// heartbeat is the time between two liveness reports of a worker.
	heartbeat = 1500 * time.Millisecond
	// checkInterval is the time between two checks of the runs of a worker.
	checkInterval = 5 * time.Millisecond
)

// resources is an amount of capacity: thousandths of a core, MB and accelerators.
type resources struct{ cpu, mem, gpu int64 }

func (r resources) plus(s resources) resources {
	return resources{r.cpu + s.cpu, r.mem + s.mem, r.gpu + s.gpu}
}

func (r resources) within(s resources) bool {
	return r.cpu <= s.cpu && r.mem <= s.mem && r.gpu <= s.gpu
}

// run is a run of a subtask on a worker.
type run struct {
	task       string
	number     int
	need       resources
	startedAt  time.Time
	duration   time.Duration
	how        string
	persistent bool
	// saves is set if the run saves its progress. resumed is the work that it began with.
	saves   bool
	resumed time.Duration
	// stopAt is when an ordered stop takes effect; zero for none.
	stopAt time.Time
}

// end is the end of a run.
type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
}

// worker is a stand-in for a worker in one lifetime.
type worker struct {
	id, address string
	labels      []string
	capacity    resources
	c           *cluster
	server      *http.Server
	listener    *darkListener
	born        time.Time
	// stopped is closed when the worker crashes or the case ends.
	stopped chan struct{}
	once    sync.Once

	mu       sync.Mutex
	fence    uint64
	lease    int64
	lastSeen int64
	runs     map[string]*run
	// ended holds the highest run of each subtask that was stopped or has ended here.
	ended map[string]int
	ends  []end
	// changed is closed, and replaced, when a run ends.
	changed chan struct{}
}

// newWorker starts a worker and registers it.
func newWorker(c *cluster, id string, capacity resources, labels ...string) (*worker, error) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &darkListener{TCPListener: tcp, dark: make(chan struct{}), closed: make(chan struct{})}
	w := &worker{
		listener: l, id: id, address: l.Addr().String(), labels: labels, capacity: capacity, c: c, born: time.Now(), stopped: make(chan struct{}),
		runs: make(map[string]*run), ended: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.advance()
	return w, nil
}

// darkListener is a listener that stops to accept connections once dark is closed.
type darkListener struct {
	*net.TCPListener
	dark, closed chan struct{}
	once         sync.Once
}

// Accept implements net.Listener.
func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	select {
	case <-l.dark:
		<-l.closed
	default:
	}
	return c, err
}

// Close implements net.Listener.
func (l *darkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// maxQueued bounds the connections that fill the queue of a listener.
const maxQueued = 16

// goDark makes the worker lose power: open connections go silent, and new ones are not established, since
// the listener's queue is full. What runs on it ends.
func (w *worker) goDark() error {
	close(w.listener.dark)
	w.once.Do(func() { close(w.stopped) })
	w.mu.Lock()
	clear(w.runs)
	w.mu.Unlock()
	rc, err := w.listener.SyscallConn()
	if err != nil {
		return err
	}
	// A second call of listen shortens the queue.
	if cerr := rc.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); cerr != nil || err != nil {
		return errors.Join(cerr, err)
	}
	for range maxQueued {
		// The connections stay open until the process ends.
		if _, err := net.DialTimeout("tcp", w.address, 50*time.Millisecond); err != nil {
			return nil
		}
	}
	return errors.New("connections to a dark worker are still established")
}

// crash ends the worker without a word. What runs on it ends.
func (w *worker) crash() {
	_ = w.server.Close()
	w.once.Do(func() {
		close(w.stopped)
		w.mu.Lock()
		defer w.mu.Unlock()
		clear(w.runs)
	})
}

// beat writes the liveness reports, and removes the entry after three were missed.
func (w *worker) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for sequence := 1; ; sequence++ {
		entry, err := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": zone, "version": "v1", "capacity": 8, "state": "ready",
			"cold_left_ms": 0, "sequence": sequence, "labels": w.labels, "born": w.born.UnixMilli(), "timestamp_ms": w.clock(),
			"free_capacity": map[string]int64{"cpu": w.capacity.cpu, "mem_mb": w.capacity.mem, "gpu": w.capacity.gpu},
		})
		if err != nil {
			panic(err)
		}
		w.c.store.Put("keyed.servers", w.id, entry)
		select {
		case <-t.C:
		case <-w.stopped:
			time.AfterFunc(3*heartbeat, func() { w.c.store.Put("keyed.servers", w.id, nil) })
			return
		}
	}
}

// clock returns the time on the worker's steady clock.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// handle decodes an order to the worker, checks its lifetime and its generation number, and
// writes the answer.
func (w *worker) handle(f func(r *http.Request, o order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-w.stopped:
			w.abort(r)
		default:
		}
		if t := r.Header.Get("Target-Instance"); t != "" && t != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		d := json.NewDecoder(r.Body)
		d.UseNumber()
		if err := d.Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if !w.admit(o) {
			respond(rw, http.StatusConflict, w.answer("fence"))
			return
		}
		status, a := f(r, o)
		respond(rw, status, a)
	}
}

// abort ends a request without an answer. If the worker is dark, the connection stays open until the
// caller closes it.
func (w *worker) abort(r *http.Request) {
	select {
	case <-w.listener.dark:
		<-r.Context().Done()
	default:
	}
	panic(http.ErrAbortHandler)
}

// admit checks and keeps the generation number of an order, and extends the lease.
func (w *worker) admit(o order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	token := uint64(o.number("fencing_token"))
	if token < w.fence {
		return false
	}
	w.fence = token
	if d := o.number("deadline_ms"); d > 0 {
		w.lease = max(w.lease, min(d, w.clock()+maxHold))
	}
	return true
}

// answer returns the body of an answer.
func (w *worker) answer(reason string) map[string]any {
	a := map[string]any{"timestamp_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		a["reason"] = reason
	}
	return a
}

// start handles /run-start.
func (w *worker) start(_ *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, number := o.text("task"), int(o.number("run"))
	id, index, ok := splitTask(task)
	part, known := w.c.part(id, index)
	if !ok || !known {
		w.c.notef("start %s run %d on %s: unknown job, 400", task, number, w.id)
		return http.StatusBadRequest, w.answer("")
	}
	old := w.runs[task]
	switch {
	case old != nil && old.number == number:
		return http.StatusOK, w.answer("")
	case number <= w.ended[task] || old != nil && old.number > number:
		w.c.notef("start %s run %d on %s: 409 old", task, number, w.id)
		return http.StatusConflict, w.answer("old")
	case o.number("deadline_ms") <= w.clock():
		w.c.notef("start %s run %d on %s: 409 late", task, number, w.id)
		return http.StatusConflict, w.answer("late")
	}
	used := part.need
	for _, r := range w.runs {
		used = used.plus(r.need)
	}
	if !used.within(w.capacity) {
		w.c.notef("start %s run %d on %s: 409 room", task, number, w.id)
		return http.StatusConflict, w.answer("room")
	}
	r := &run{task: task, number: number, need: part.need, persistent: part.persistent, saves: part.saves, startedAt: time.Now()}
	r.resumed = w.c.savedWork(o.text("last_checkpoint"))
	r.duration, r.how = w.c.plan(task, number)
	w.runs[task] = r
	w.c.started(w, r)
	return http.StatusOK, w.answer("")
}

// stop handles /run-stop.
func (w *worker) stop(_ *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, number := o.text("task"), int(o.number("run"))
	if r := w.runs[task]; r != nil && r.number <= number && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.ended[task] = max(w.ended[task], number)
	return http.StatusOK, w.answer("")
}

// hold handles /hold: it waits for an end and returns both lists.
func (w *worker) hold(r *http.Request, o order) (int, map[string]any) {
	wait := time.NewTimer(time.Duration(min(o.number("wait_ms"), maxWait)) * time.Millisecond)
	defer wait.Stop()
	w.forget(o.number("last_seen"))
	for waiting := true; ; {
		w.mu.Lock()
		if len(w.ends) > 0 || !waiting {
			a := w.lists()
			w.mu.Unlock()
			return http.StatusOK, a
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			waiting = false
		case <-w.stopped:
			w.abort(r)
		case <-r.Context().Done():
			w.abort(r)
		}
	}
}

// forget drops the ends up to lastSeen, which are taken note of.
func (w *worker) forget(lastSeen int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := 0
	for ; i < len(w.ends) && w.ends[i].number <= lastSeen; i++ {
		w.c.noted(w, w.ends[i])
	}
	w.ends = w.ends[i:]
}

// lists returns the answer to /hold. w.mu must be held.
func (w *worker) lists() map[string]any {
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, w.c.checkpoint(r), r.percent(), r.need.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	finished := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), endsPerList)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	a := w.answer("")
	a["running"], a["finished"] = running, finished
	return a
}

// work returns the work that a run has done, with what it resumed from.
func (r *run) work() time.Duration { return r.resumed + time.Since(r.startedAt) }

// percent returns how much of a run is done.
func (r *run) percent() int {
	if r.persistent {
		if time.Since(r.startedAt) > 500*time.Millisecond {
			return 100
		}
		return 0
	}
	return int(min(99, 100*r.work()/max(1, r.duration)))
}

// advance ends runs that are done, stopped or without a lease, until the worker stops.
func (w *worker) advance() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.endRuns(time.Now())
		case <-w.stopped:
			return
		}
	}
}

// endRuns ends the runs that are over at now.
func (w *worker) endRuns(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock() > w.lease
	before := w.lastSeen
	for _, task := range sortedKeys(w.runs) {
		r := w.runs[task]
		var how string
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.duration > 0 && r.work() >= r.duration:
			how = r.how
		default:
			continue
		}
		delete(w.runs, task)
		w.ended[task] = max(w.ended[task], r.number)
		w.lastSeen++
		e := end{number: w.lastSeen, task: task, run: r.number, how: how, saved: w.c.checkpoint(r), at: now}
		w.ends = append(w.ends, e)
		w.c.finished(w, e)
	}
	if w.lastSeen != before {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// order is the body of an order.
type order map[string]any

func (o order) text(key string) string {
	s, ok := o[key].(string)
	if !ok {
		return ""
	}
	return s
}

func (o order) number(key string) int64 {
	n, ok := o[key].(json.Number)
	if !ok {
		return 0
	}
	v, err := n.Int64()
	if err != nil {
		return 0
	}
	return v
}

// splitTask returns the job and the step of a subtask's name.
func splitTask(name string) (id string, step int, ok bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", 0, false
	}
	step, err := strconv.Atoi(p[2])
	return p[0], step, err == nil
}

func respond(rw http.ResponseWriter, status int, body map[string]any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode an answer: %v", err))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// The caller may have left.
	_, _ = rw.Write(b)
}
