package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run in a case.
type record struct {
	mu     sync.Mutex
	began  time.Time
	out    *bufio.Writer
	file   *os.File
	starts []start
}

// start is a run that a worker has begun.
type start struct {
	at     time.Time
	task   string
	number int
	worker string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// writef adds a line.
func (r *record) writef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linef(format, args...)
}

func (r *record) linef(format string, args ...any) {
	text := fmt.Sprintf("%9.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = r.out.WriteString(text + "\n")
	_ = r.out.Flush()
}

// start adds a start.
func (r *record) start(worker string, o *orderBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, start{at: time.Now(), task: o.task, number: o.run, worker: worker})
	r.linef("worker %s: run %d of %s started, spec %q", worker, o.run, o.task, o.spec)
}

// startsOf returns the starts of a job's subtasks.
func (r *record) startsOf(job string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			out = append(out, s)
		}
	}
	return out
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
