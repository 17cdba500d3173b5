package linewriter_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/linewriter"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

func TestDuringWritesAllLines(t *testing.T) {
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

// Guards against lines that stay dropped once the output accepts them again.
func TestLinesAreQueuedAgainAfterDrops(t *testing.T) {
	var out bytes.Buffer
	w := linewriter.New(systemclock.New(), &out)
	long := append(bytes.Repeat([]byte("x"), 30<<10), '\n')
	for range 3 {
		err := w.During(func() error {
			for range 4000 {
				_, _ = w.Write(long) // never fails
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := fmt.Fprintln(w, "last"); err != nil {
		t.Fatal(err)
	}
	if err := w.During(func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "linesDropped") || !strings.HasSuffix(out.String(), "last\n") {
		t.Error("no line reports the drops, or the last line is missing")
	}
}
