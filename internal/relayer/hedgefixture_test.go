package relayer_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// hedgeFixture is a fixture with three upstreams, in which the first request after arm is
// answered by the script first, and the further ones by next.
type hedgeFixture struct {
	*fixture
	armed  atomic.Bool
	warmed int
	second chan struct{} // closed when the first request for next arrives
	// closed receives a value when a silent upstream's connection ends.
	closed chan struct{}
}

// hedgeObjective gives a delay of at least 200 ms and, before the first byte, a patience
// of 1 s, so that a loaded machine hedges before it moves a request.
const hedgeObjective = 400 * time.Millisecond

func hedgeCatalog(attempts int) *traffic.Catalog {
	c := catalog(1, "key")
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].LatencyObjective = unlimited, hedgeObjective
		if c.Routes[i].Name != "once" {
			c.Routes[i].MaxAttempts = attempts
		}
	}
	return c
}

func newHedgeFixture(t *testing.T, clk clock.Clock, share float64, path string, attempts int) *hedgeFixture {
	t.Helper()
	b := &hedgeFixture{closed: make(chan struct{}, 8), fixture: newFixtureWithSettings(t, clk, relayer.Settings{
		DataCentre: "a", MaxProofAge: maxProofAge, VersionCutoff: time.Hour, HedgeShare: share,
		RetryBudget: budgeter.Limits{Ratio: 1, Window: 10 * time.Second, Allowance: 100},
	}, responding, responding, responding)}
	b.fleet.set(hedgeCatalog(attempts), b.boot.Elapsed())
	for range 40 { // the delay is learned from 20, and 40 allow for more than one hedged attempt
		if r := b.serveWithin(t.Context(), path, unlimited); r.status != 200 {
			t.Fatalf("status %d, %v before the test", r.status, r.kind)
		}
	}
	b.warmed = b.sent()
	b.hook.Reset()
	return b
}

// responding answers at once.
func responding(conn net.Conn, r testlib.Received) bool {
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/") {
		return streaming(0)(conn, r)
	}
	return ok(conn, r)
}

func (b *hedgeFixture) arm(first, next testlib.Script) {
	second := make(chan struct{})
	var once sync.Once
	b.second = second
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			if b.armed.CompareAndSwap(false, true) {
				return first(conn, r)
			}
			once.Do(func() { close(second) })
			return next(conn, r)
		})
	}
}

// afterSecond responds the given time after the second attempt has arrived.
func afterSecond(d time.Duration, s testlib.Script) func(*hedgeFixture) testlib.Script {
	return func(b *hedgeFixture) testlib.Script {
		return func(conn net.Conn, r testlib.Received) bool {
			<-b.second
			time.Sleep(d)
			return s(conn, r)
		}
	}
}

// silent sends nothing until its connection is closed.
func (b *hedgeFixture) silent(conn net.Conn, _ testlib.Received) bool {
	_, _ = io.Copy(io.Discard, conn)
	b.closed <- struct{}{}
	return false
}

// begun sends the head of a stream, a comment and a part of an event.
func (b *hedgeFixture) begun(conn net.Conn, r testlib.Received) bool {
	streamHead(conn, r)
	fmt.Fprint(conn, "3\r\n:\n\n\r\n8\r\nid: 1\nda\r\n")
	return b.silent(conn, r)
}

func after(d time.Duration, s testlib.Script) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		time.Sleep(d)
		return s(conn, r)
	}
}

func (b *hedgeFixture) check(t *testing.T, sends int, hedge any) {
	t.Helper()
	if n := b.sent() - b.warmed; n != sends {
		t.Errorf("%d sends, want %d", n, sends)
	}
	if got := b.hook.LastEntry().Data["hedge"]; got != hedge {
		t.Errorf("the final entry has hedge=%v, want %v", got, hedge)
	}
	if loads := b.relay.TakeReport().Loads; len(loads) > 0 {
		t.Errorf("loads %v after the request has ended", loads)
	}
}

func (b *hedgeFixture) awaitClosed(t *testing.T, n int) {
	t.Helper()
	for range n {
		select {
		case <-b.closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection of a canceled attempt stays open")
		}
	}
}

func script(s testlib.Script) func(*hedgeFixture) testlib.Script {
	return func(*hedgeFixture) testlib.Script { return s }
}

func (b *hedgeFixture) silence() testlib.Script { return b.silent }

func (b *hedgeFixture) silenceOnce() testlib.Script { return onceThen(b.silent, streaming(0))(b) }

// inPieces sends a stream in pieces that end within events.
func inPieces(conn net.Conn, r testlib.Received) bool {
	streamHead(conn, r)
	for s := wholeStream; len(s) > 0; s = s[min(len(s), 22):] {
		p := s[:min(len(s), 22)] // an event has 16 bytes
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(p), p)
		time.Sleep(time.Millisecond)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	return true
}

// stalling sends three events after the given time and then nothing.
func stalling(d time.Duration) func(*hedgeFixture) testlib.Script {
	return func(b *hedgeFixture) testlib.Script {
		return func(conn net.Conn, r testlib.Received) bool {
			<-b.second
			time.Sleep(d)
			streamHead(conn, r)
			for id := 1; id <= 3; id++ {
				event(conn, id)
			}
			return b.silent(conn, r)
		}
	}
}

// onceThen runs one script for the first request and another one for the further ones.
func onceThen(first, next testlib.Script) func(*hedgeFixture) testlib.Script {
	return func(*hedgeFixture) testlib.Script {
		var asked atomic.Bool
		return func(conn net.Conn, r testlib.Received) bool {
			if asked.CompareAndSwap(false, true) {
				return first(conn, r)
			}
			return next(conn, r)
		}
	}
}
