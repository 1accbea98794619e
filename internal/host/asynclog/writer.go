// Package asynclog writes log lines without ever blocking the writer.
//
// Lines go through a bounded queue to one goroutine. When the queue is full a line
// is dropped and counted, and the next line that fits is preceded by one that tells
// how many are missing.
package asynclog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// DefaultQueueLength is the default of Writer.QueueLength.
const DefaultQueueLength = 1024

// Writer is an io.Writer whose Write never blocks. Each Write is one line.
type Writer struct {
	// Out takes the lines.
	Out io.Writer
	// QueueLength is the length of the queue; 0 means DefaultQueueLength. It is set before Run.
	QueueLength int

	queue   chan []byte
	dropped atomic.Int64
}

// New returns a writer to out. Its Run must be called for lines to come out.
func New(out io.Writer, queueLength int) *Writer {
	if queueLength <= 0 {
		queueLength = DefaultQueueLength
	}
	return &Writer{Out: out, QueueLength: queueLength, queue: make(chan []byte, queueLength)}
}

// Write queues a line, or drops it. It always reports success.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.queue <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped and not yet told.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends and the queue is empty.
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
