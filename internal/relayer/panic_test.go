package relayer_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// panickingClock is a system clock whose Now panics once, after left further calls.
type panickingClock struct {
	systemclock.SystemClock
	left atomic.Int64
}

// Now implements clock.Clock.
func (c *panickingClock) Now() time.Time {
	if c.left.Add(-1) == 0 {
		panic("broken clock")
	}
	return time.Now()
}

// Guards against a panic of one request that blocks the node, since a lock stays held, or
// after which the request counts as running at its upstream for good. The clock is read at
// all steps of a request, with the lock held and without; it panics at each of them once.
func TestPanicOfOneRequestHarmsNoOther(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script testlib.Script
		stops  bool
	}{
		"answer":         {path: "/safe/", script: ok},
		"stream":         {path: "/once/", script: streaming(0)},
		"broken stream":  {path: "/stream/", script: streaming(1)},
		"refusal":        {path: "/safe/", script: refusing},
		"failure":        {path: "/safe/", script: failing},
		"reset":          {path: "/safe/", script: resetting},
		"leaving":        {path: "/safe/", script: withHeader("Leaving: 1")},
		"in a shutdown":  {path: "/safe/", script: ok, stops: true},
		"not authorized": {path: "/none/", script: ok},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			panics := 0
			for n := int64(1); ; n++ {
				clk := &panickingClock{}
				b := newFixtureWith(t, clk, budgeter.Limits{Ratio: 1, Window: 10 * time.Second, Allowance: 100}, c.script, c.script)
				if c.stops {
					b.relay.BeginShutdown(finisher.New(time.Now(), time.Now().Add(time.Second), time.Now().Add(time.Minute)))
				}
				clk.left.Store(n)
				panicked := b.servePanicking(t, c.path)
				clk.left.Store(0)
				ended := make(chan int)
				go func() {
					loads := b.relay.TakeReport().Loads
					b.relay.Status("u0@1")
					ended <- len(loads)
				}()
				select {
				case loads := <-ended:
					if loads != 0 {
						t.Errorf("panic %d: the request still counts as running", n)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("panic %d: the relayer is blocked", n)
				}
				if !panicked {
					break
				}
				panics++
			}
			if panics == 0 {
				t.Error("the clock never panicked")
			}
		})
	}
}

// servePanicking serves a request with a prompt and reports whether that panicked.
func (b *fixture) servePanicking(t *testing.T, path string) (panicked bool) {
	t.Helper()
	defer func() { panicked = recover() != nil }()
	b.relay.Serve(t.Context(), &relayer.Request{
		ID: "id", Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"), Timeout: time.Second, Arrived: time.Now(),
		Prompt: &traffic.Prompt{Model: "", Tokens: 100, MaxOutput: 10, Parts: []traffic.Part{{ID: "a", Tokens: 90}, {ID: "b", Tokens: 10}}},
	}, &reply{})
	return false
}

func withHeader(line string) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: x\r\n%s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), line)
		return err == nil
	}
}
