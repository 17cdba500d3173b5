package memorykeeper_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

const memory = 15 << 19 // 3 MB for requests and responses, 1.95 MB for large bodies

func newKeeper() *memorykeeper.Keeper {
	return memorykeeper.New(systemclock.New(), tally.NoopScope, memory)
}

func TestReadBody(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	broken := errors.New("broken")
	for _, c := range []struct {
		name   string
		source memorykeeper.Source
		want   string
		err    error
	}{
		{"of known length", memorykeeper.Source{Reader: strings.NewReader(long), Length: 100_000, Limit: 200_000}, long, nil},
		{"byte by byte", memorykeeper.Source{Reader: iotest.OneByteReader(strings.NewReader(long)), Length: 100_000, Limit: 200_000}, long, nil},
		{"of unknown length", memorykeeper.Source{Reader: strings.NewReader(long), Length: -1, Limit: 200_000}, long, nil},
		{"as long as the limit", memorykeeper.Source{Reader: strings.NewReader(long), Length: -1, Limit: 100_000}, long, nil},
		{"empty", memorykeeper.Source{Reader: strings.NewReader(""), Length: 0, Limit: 100}, "", nil},
		{"empty, of unknown length", memorykeeper.Source{Reader: strings.NewReader(""), Length: -1, Limit: 100}, "", nil},
		{"with its end beside the last byte", memorykeeper.Source{Reader: iotest.DataErrReader(strings.NewReader(long)), Length: 100_000, Limit: 200_000}, long, nil},
		{"longer than the limit", memorykeeper.Source{Reader: strings.NewReader(long), Length: -1, Limit: 99_999}, "", limitreader.ErrTooLong},
		{"claimed longer than the limit", memorykeeper.Source{Reader: strings.NewReader(long), Length: 100_000, Limit: 99_999}, "", limitreader.ErrTooLong},
		{"shorter than claimed", memorykeeper.Source{Reader: strings.NewReader(long), Length: 100_001, Limit: 200_000}, "", io.ErrUnexpectedEOF},
		{"broken", memorykeeper.Source{Reader: iotest.ErrReader(broken), Length: 5, Limit: 200_000}, "", broken},
		{"larger than the memory", memorykeeper.Source{Reader: strings.NewReader(strings.Repeat("x", 2<<20)), Length: -1, Limit: 8 << 20, Patience: time.Hour}, "", memorykeeper.ErrFull},
	} {
		k := newKeeper()
		for range 100 { // what isn't released would fill the memory
			if r, ok := c.source.Reader.(io.Seeker); ok {
				_, _ = r.Seek(0, io.SeekStart) // of a strings.Reader, which can't fail
			}
			b, err := k.ReadBody(t.Context(), c.source)
			if !errors.Is(err, c.err) || err == nil && string(b.Bytes) != c.want {
				t.Errorf("%s: error %v, want %v", c.name, err, c.err)
			}
			if err == nil {
				b.Release()
			}
			if _, ok := c.source.Reader.(io.Seeker); !ok {
				break
			}
		}
	}
}

// Guards against claimed lengths that hold memory though nothing has arrived.
func TestClaimedLengthsHoldLittle(t *testing.T) {
	k := newKeeper()
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 200 {
		r, w := io.Pipe()
		defer w.Close()
		wg.Go(func() {
			if b, err := k.ReadBody(t.Context(), memorykeeper.Source{Reader: r, Length: 1 << 20, Limit: 1 << 20}); err == nil {
				b.Release()
			}
		})
		if _, err := w.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	body := bytes.Repeat([]byte("x"), 200<<10)
	b, err := k.ReadBody(t.Context(), memorykeeper.Source{Reader: bytes.NewReader(body), Length: int64(len(body)), Limit: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	b.Release()
}

// Guards against a body that is refused though memory becomes free while it waits, and
// against one that waits for ever.
func TestBodyWaitsForMemory(t *testing.T) {
	k := newKeeper()
	body := bytes.Repeat([]byte("x"), 1<<20)
	read := func(patience time.Duration) (*memorykeeper.Body, error) {
		return k.ReadBody(t.Context(), memorykeeper.Source{Reader: bytes.NewReader(body), Length: int64(len(body)), Limit: 1 << 20, Patience: patience})
	}
	first, err := read(0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := read(10 * time.Millisecond); !errors.Is(err, memorykeeper.ErrFull) {
		t.Errorf("second body: %v, want %v", err, memorykeeper.ErrFull)
	}
	ended := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		b, err := read(time.Minute)
		if err == nil {
			if b.Waited <= 0 {
				t.Error("the time of the wait isn't known")
			}
			b.Release()
		}
		ended <- err
	})
	time.Sleep(20 * time.Millisecond)
	first.Release()
	if err := <-ended; err != nil {
		t.Errorf("body that waited: %v", err)
	}
	wg.Wait()
}
