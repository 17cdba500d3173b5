// Package linewriter writes log lines without ever holding up who logs: lines
// that find the queue full are counted and dropped.
package linewriter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// queueLines bounds the lines that wait, about 1 MB.
	queueLines = 4096
	// flushEvery lets lines be written together.
	flushEvery = 50 * time.Millisecond
	batchBytes = 32 << 10
)

// Writer is an io.Writer for whole lines and a supervisor service.
type Writer struct {
	clk  clock.Clock
	out  io.Writer
	ring *ring.Queue[[]byte]
	told int64
}

// New returns a Writer to out.
func New(clk clock.Clock, out io.Writer) *Writer {
	return &Writer{clk: clk, out: out, ring: ring.New[[]byte](queueLines)}
}

// Name implements supervisor.Service.
func (w *Writer) Name() string { return "linewriter" }

// Write queues a line. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.ring.Offer(append([]byte(nil), p...))
	return len(p), nil
}

// Run writes the lines until ctx ends and the queue is empty.
func (w *Writer) Run(ctx context.Context) error {
	buf := make([]byte, 0, batchBytes)
	for {
		select {
		case <-ctx.Done():
			w.flush(w.gather(buf[:0]))
			return nil
		case line := <-w.ring.Items():
			buf = append(buf[:0], line...)
		}
		select {
		case <-ctx.Done():
		case <-w.clk.After(flushEvery):
		}
		w.flush(w.gather(buf))
	}
}

// gather appends the lines that wait.
func (w *Writer) gather(buf []byte) []byte {
	for {
		select {
		case line := <-w.ring.Items():
			buf = append(buf, line...)
			if len(buf) > batchBytes {
				w.flush(buf)
				buf = buf[:0]
			}
		default:
			return buf
		}
	}
}

// flush writes buf. A log that can't be written can't be logged either.
func (w *Writer) flush(buf []byte) {
	if n := w.ring.Dropped(); n > w.told {
		buf = fmt.Appendf(buf, "level=warning event=linesDropped lines=%d\n", n-w.told)
		w.told = n
	}
	if len(buf) > 0 {
		_, _ = w.out.Write(buf)
	}
}
