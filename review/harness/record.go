package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	if _, err := fmt.Fprintln(r.file, line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.file.Close()
}
