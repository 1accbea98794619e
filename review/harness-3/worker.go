package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

const (
	// heartbeatInterval is heartbeat_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// maxLease is bounds.max_hold_ms of the settings.
	maxLease = 10 * time.Second
	// tickInterval is how often a worker looks for runs that end.
	tickInterval = 5 * time.Millisecond
	// longestWait is the longest wait_ms.
	longestWait = 2 * time.Second
)

// run is one run of a subtask on a worker.
type run struct {
	task   string
	number int
	began  time.Time
	takes  time.Duration
}

// end is an ended run that was not acknowledged.
type end struct {
	number int
	run    *run
	how    string
}

// worker is a stand-in for a worker of the platform. It executes subtasks whose spec is
// "run-ms:N", N being how long the subtask takes.
type worker struct {
	id, address, label string
	log                *record

	mu       sync.Mutex
	born     time.Time
	token    uint64
	lease    time.Time
	running  map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  int
	sequence int
	// state is ready or draining.
	state string
}

func newWorker(id, label string, log *record) *worker {
	w := &worker{id: id, label: label, log: log, state: "ready"}
	w.begin()
	return w
}

// begin begins a lifetime that knows nothing of the ones before.
func (w *worker) begin() {
	w.born, w.token, w.lease = time.Now(), 0, time.Time{}
	w.running, w.highest, w.ends, w.lastEnd, w.sequence = map[string]*run{}, map[string]int{}, nil, 0, 0
}

// serve serves orders, and writes the worker's entry to the store, until stop is closed.
func (w *worker) serve(s *emulator.Store, stop <-chan struct{}) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.start))
	mux.HandleFunc("POST /run-stop", w.order(w.stop))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: longestWait}
	go func() { _ = server.Serve(l) }()
	go w.every(heartbeatInterval, stop, func() { w.beat(s) })
	go w.every(tickInterval, stop, w.tick)
	return nil
}

func (w *worker) every(d time.Duration, stop <-chan struct{}, do func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		do()
		select {
		case <-t.C:
		case <-stop:
			return
		}
	}
}

// beat writes the worker's entry.
func (w *worker) beat(s *emulator.Store) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	s.Put(platform.TopicWorkers, w.id, encode(map[string]any{
		"service": "service", "address": w.address, "zone": "zone-a", "version": "v1", "capacity": 8, "state": w.state, "cold_left_ms": 0,
		"free_capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 8}, "labels": []string{"a", w.label},
		"timestamp_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}))
}

// clock returns the time on the worker's clock, in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// tick ends the runs whose time is up, and all once the lease has ended.
func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		switch {
		case time.Now().After(w.lease):
			w.finish(r, "lapsed")
		case time.Since(r.began) >= r.takes:
			w.finish(r, "done")
		}
	}
}

func (w *worker) finish(r *run, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r, how})
	w.log.writef("worker %s: run %d of %s ended: %s", w.id, r.number, r.task, how)
}

// orderBody is an order of any kind.
type orderBody struct {
	task, spec, checkpoint        string
	run, lastSeen, deadline, wait int
	token                         uint64
}

func decodeOrder(r *http.Request) (o orderBody, err error) {
	var m map[string]json.RawMessage
	if err = json.NewDecoder(r.Body).Decode(&m); err != nil {
		return o, err
	}
	for name, target := range map[string]any{
		"task": &o.task, "spec": &o.spec, "last_checkpoint": &o.checkpoint, "run": &o.run, "last_seen": &o.lastSeen,
		"deadline_ms": &o.deadline, "wait_ms": &o.wait, "fencing_token": &o.token,
	} {
		if b, ok := m[name]; ok {
			if err = json.Unmarshal(b, target); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

// order returns the handler of a kind of order. do returns the answer, and the reason of a refusal.
func (w *worker) order(do func(*http.Request, *orderBody) (map[string]any, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if t := r.Header.Get("Target-Instance"); t != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		o, err := decodeOrder(r)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		answer, reason := map[string]any(nil), "fence"
		if o.token >= w.token {
			w.token = o.token
			answer, reason = do(r, &o)
		}
		if answer == nil {
			answer = map[string]any{}
		}
		answer["timestamp_ms"], answer["born"] = w.clock(), w.born.UnixMilli()
		w.mu.Unlock()
		status := http.StatusOK
		if reason != "" {
			answer["reason"], status = reason, http.StatusConflict
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(encode(answer))
	}
}

// extend extends the lease of all that runs.
func (w *worker) extend(deadline int) {
	until := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(maxLease); until.After(longest) {
		until = longest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// start executes a start order. w.mu must be held.
func (w *worker) start(_ *http.Request, o *orderBody) (map[string]any, string) {
	if r := w.running[o.task]; r != nil && r.number == o.run {
		w.extend(o.deadline)
		return nil, ""
	}
	if int64(o.deadline) <= w.clock() {
		return nil, "late"
	}
	w.extend(o.deadline)
	if w.highest[o.task] >= o.run || w.running[o.task] != nil {
		return nil, "old"
	}
	takes := time.Second
	if n, ok := strings.CutPrefix(o.spec, "run-ms:"); ok {
		var ms int
		if _, err := fmt.Sscan(n, &ms); err == nil {
			takes = time.Duration(ms) * time.Millisecond
		}
	}
	w.highest[o.task] = o.run
	w.running[o.task] = &run{task: o.task, number: o.run, began: time.Now(), takes: takes}
	w.log.start(w.id, o)
	return nil, ""
}

// stop executes a stop order. w.mu must be held.
func (w *worker) stop(_ *http.Request, o *orderBody) (map[string]any, string) {
	w.log.writef("worker %s: stop of run %d of %s ordered", w.id, o.run, o.task)
	w.highest[o.task] = max(w.highest[o.task], o.run)
	if r := w.running[o.task]; r != nil && r.number <= o.run {
		w.finish(r, "stopped")
	}
	return nil, ""
}

// hold executes a poll. w.mu must be held; it is released while the poll waits for an end.
func (w *worker) hold(r *http.Request, o *orderBody) (map[string]any, string) {
	if o.deadline > 0 {
		w.extend(o.deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.lastSeen {
		w.ends = w.ends[1:]
	}
	until := time.Now().Add(min(longestWait, time.Duration(o.wait)*time.Millisecond))
	for len(w.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(tickInterval)
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.running {
		running = append(running, []any{x.task, x.number, "", min(99, int(100*time.Since(x.began)/x.takes)), 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	return map[string]any{"running": running, "finished": finished}, ""
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
