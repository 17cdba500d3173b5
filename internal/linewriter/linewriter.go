// Package linewriter writes log lines asynchronously, so that logging never blocks.
// If the queue is full, lines are dropped and counted.
package linewriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/queue"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// queueLength and maxQueuedBytes bound the queued lines.
	queueLength    = 4096
	maxQueuedBytes = 4 << 20
	// flushInterval is the time in which lines are collected into one write.
	flushInterval = 50 * time.Millisecond
	maxBatchBytes = 32 << 10
	// flushTimeout bounds the writing of the last lines.
	flushTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer for whole lines. It implements supervisor.Service.
type Writer struct {
	clk           clock.Clock
	out           io.Writer
	queue         *queue.Queue[[]byte]
	queuedBytes   atomic.Int64
	tooLong       atomic.Int64 // lines dropped for maxQueuedBytes
	reportedDrops int64
}

// New returns a Writer that writes to out.
func New(clk clock.Clock, out io.Writer) *Writer {
	return &Writer{clk: clk, out: out, queue: queue.New[[]byte](queueLength)}
}

// Name implements supervisor.Service.
func (w *Writer) Name() string { return "linewriter" }

// Write queues a line. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	n := int64(len(p))
	if w.queuedBytes.Add(n) > maxQueuedBytes {
		w.tooLong.Add(1)
		w.queuedBytes.Add(-n)
		return len(p), nil
	}
	if !w.queue.Offer(append([]byte(nil), p...)) {
		w.queuedBytes.Add(-n)
	}
	return len(p), nil
}

// appendLine appends a line that was taken out of the queue.
func (w *Writer) appendLine(buf, line []byte) []byte {
	w.queuedBytes.Add(-int64(len(line)))
	return append(buf, line...)
}

// Run writes the queued lines until ctx is canceled and the queue is empty. At most one
// Run of a Writer may be active.
func (w *Writer) Run(ctx context.Context) error {
	buf := make([]byte, 0, maxBatchBytes)
	for {
		select {
		case <-ctx.Done():
			w.flush(w.appendQueued(buf[:0]))
			return nil
		case line := <-w.queue.Items():
			buf = w.appendLine(buf[:0], line)
		}
		select {
		case <-ctx.Done():
		case <-w.clk.After(flushInterval):
		}
		w.flush(w.appendQueued(buf))
	}
}

// During writes the queued lines while f runs, and those that are left when it returns.
// It doesn't wait for an output that has stopped accepting them: after flushTimeout it
// returns while Run is still active. It must therefore be called only once.
func (w *Writer) During(f func() error) error {
	ctx, cancel := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(flushed)
		return w.Run(ctx)
	})
	err := f()
	cancel()
	select {
	case <-flushed:
	case <-w.clk.After(flushTimeout):
	}
	return err
}

// appendQueued appends the queued lines to buf. It writes buf whenever it exceeds
// maxBatchBytes.
func (w *Writer) appendQueued(buf []byte) []byte {
	for {
		select {
		case line := <-w.queue.Items():
			buf = w.appendLine(buf, line)
			if len(buf) > maxBatchBytes {
				w.flush(buf)
				buf = buf[:0]
			}
		default:
			return buf
		}
	}
}

// flush writes buf and the number of newly dropped lines. Write errors are ignored,
// since they can't be logged either.
func (w *Writer) flush(buf []byte) {
	if n := w.queue.Dropped() + w.tooLong.Load(); n > w.reportedDrops {
		buf = fmt.Appendf(buf, "level=warning event=linesDropped lines=%d\n", n-w.reportedDrops)
		w.reportedDrops = n
	}
	if len(buf) > 0 {
		_, _ = w.out.Write(buf)
	}
}
