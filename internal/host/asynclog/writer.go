// Package asynclog writes log lines without blocking the code that logs.
//
// Lines pass through a bounded queue to one goroutine that writes them. When the
// queue is full, a line is dropped and counted. The next line written is preceded
// by one that reports the number of dropped lines.
package asynclog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// DefaultQueueLength is the default capacity of the queue, in lines.
const DefaultQueueLength = 1024

// Writer is an io.Writer whose Write never blocks. Each Write is one line.
type Writer struct {
	// Out is the destination of the lines.
	Out io.Writer
	// QueueLength is the capacity of the queue, in lines. New sets it.
	QueueLength int

	queue   chan []byte
	dropped atomic.Int64
}

// New returns a Writer to out whose queue holds queueLength lines;
// DefaultQueueLength if queueLength is not positive. The lines are written only
// while Run runs.
func New(out io.Writer, queueLength int) *Writer {
	if queueLength <= 0 {
		queueLength = DefaultQueueLength
	}
	return &Writer{Out: out, QueueLength: queueLength, queue: make(chan []byte, queueLength)}
}

// Write queues a copy of b, or drops it if the queue is full. It always reports
// success.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.queue <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped and not yet reported in
// the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx is done and the queue is empty, or until a write
// to Out fails.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case b := <-w.queue:
			if err := w.write(b); err != nil {
				return err
			}
		case <-ctx.Done():
			for {
				select {
				case b := <-w.queue:
					if err := w.write(b); err != nil {
						return err
					}
				default:
					return nil
				}
			}
		}
	}
}

func (w *Writer) write(b []byte) error {
	if n := w.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w.Out, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", n); err != nil {
			return err
		}
	}
	_, err := w.Out.Write(b)
	return err
}
