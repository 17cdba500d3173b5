package linewriter_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/linewriter"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

func TestDuringWritesAllLines(t *testing.T) {
	// In real time, a stalled flush exceeds its timeout and During returns before it.
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := linewriter.New(systemclock.New(), &out)
		failed := errors.New("failed")
		err := w.During(func() error {
			for i := range 100 {
				fmt.Fprintf(w, "line %d\n", i)
			}
			return failed
		})
		if !errors.Is(err, failed) {
			t.Errorf("error %v, want that of the function", err)
		}
		if n := strings.Count(out.String(), "\n"); n != 100 || !strings.HasSuffix(out.String(), "line 99\n") {
			t.Errorf("%d lines were written, want 100 in order", n)
		}
	})
}

// Guards against the loss of lines that were queued before During, if the function ends
// before the first of them is read.
func TestDuringWritesLinesQueuedBefore(t *testing.T) {
	const repetitions = 100 // Run chooses at random between the end and the first line
	synctest.Test(t, func(t *testing.T) {
		for range repetitions {
			var out bytes.Buffer
			w := linewriter.New(systemclock.New(), &out)
			if _, err := fmt.Fprintln(w, "line"); err != nil {
				t.Fatal(err)
			}
			if err := w.During(func() error { return nil }); err != nil {
				t.Fatal(err)
			}
			if out.String() != "line\n" {
				t.Fatalf("%q was written, want the line", out.String())
			}
		}
	})
}

// blockedOutput accepts nothing until it is released.
type blockedOutput struct{ released chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

// Guards against a process that can't end, since nobody reads its last lines.
func TestDuringEndsIfOutputIsBlocked(t *testing.T) {
	out := blockedOutput{released: make(chan struct{})}
	defer close(out.released)
	w := linewriter.New(systemclock.New(), out)
	ended := make(chan error, 1)
	go func() {
		ended <- w.During(func() error {
			_, err := fmt.Fprintln(w, "line")
			return err
		})
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the function has returned, but not During")
	}
}

// Guards against queued lines that take a large part of a node's memory while the output is
// blocked: a line may hold the request ID that a caller sent, as long as its header may be.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	const (
		lines = 4000
		most  = 8 << 20
	)
	w := linewriter.New(systemclock.New(), io.Discard)
	line := bytes.Repeat([]byte("x"), 30<<10)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range lines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > most {
		t.Errorf("%d queued lines hold %d bytes, want at most %d", lines, held, most)
	}
	runtime.KeepAlive(w)
}

// Guards against lines that stay dropped once the output accepts them again, and against
// drops that are reported twice or not at all.
func TestLinesAreQueuedAgainAfterDrops(t *testing.T) {
	const lines = 10000
	bursts := []struct {
		length int
		queued int // lines that fit into the queue
	}{
		{length: 500, queued: 4096}, // bounded by their number
		{length: 30 << 10, queued: 4 << 20 / (30 << 10)},
	}
	// In real time, a stalled flush exceeds its timeout and During returns before it.
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := linewriter.New(systemclock.New(), &out)
		err := w.During(func() error {
			for range 3 {
				for _, b := range bursts {
					out.Reset()
					line := append(bytes.Repeat([]byte("x"), b.length-1), '\n')
					for range lines {
						_, _ = w.Write(line) // never fails
					}
					time.Sleep(time.Second) // longer than the interval of flushes
					synctest.Wait()
					written, dropped := strings.Count(out.String(), string(line)), reportedDrops(t, out.String())
					if written < b.queued || dropped == 0 || written+dropped != lines {
						t.Errorf("%d lines of %d bytes written and %d reported as dropped, want %d in sum, at least %d written and some dropped",
							written, b.length, dropped, lines, b.queued)
					}
				}
			}
			out.Reset()
			_, err := fmt.Fprintln(w, "last")
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if out.String() != "last\n" {
			t.Errorf("%d bytes written after the drops, want the last line only", out.Len())
		}
	})
}

// reportedDrops returns the sum of the drops that lines of out report.
func reportedDrops(t *testing.T, out string) int {
	t.Helper()
	sum := 0
	for line := range strings.Lines(out) {
		_, number, ok := strings.Cut(line, "event=linesDropped lines=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil {
			t.Errorf("report of drops: %v", err)
		}
		sum += n
	}
	return sum
}
