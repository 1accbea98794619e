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

// write adds a line.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
	_ = r.out.Flush()
}

// start adds a start.
func (r *record) start(worker string, o *orderBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, start{at: time.Now(), task: o.task, number: o.run, worker: worker})
	r.line("worker %s: run %d of %s started, spec %q", worker, o.run, o.task, o.spec)
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
