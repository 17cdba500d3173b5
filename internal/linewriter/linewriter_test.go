package linewriter_test

import (
	"bytes"
	"fmt"
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
