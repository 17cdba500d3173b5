package relayer_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// The tests of this file provoke what operators of similar systems have reported.

// A late copy of a refusal arrives when the same request is sent again. Taken for the
// response to that attempt, it would report a request as not run that has run.
func TestLateCopyOfRefusalIsNotTakenForNextAttempt(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			var mu sync.Mutex
			requests := map[net.Conn]int{}
			total, ran := 0, 0
			b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
				mu.Lock()
				defer mu.Unlock()
				requests[conn]++
				total++
				if requests[conn] > 1 { // the copy arrives first
					_ = refusing(conn, r)
				}
				if total == 1 {
					return refusing(conn, r)
				}
				ran++
				return ok(conn, r)
			})
			c := catalog(2, "key")
			for i := range c.Routes { // the wait for an upstream is longer than its suspension
				c.Routes[i].LatencyObjective = 8 * time.Second
			}
			b.fleet.set(c, b.boot.Elapsed())
			r := b.serveWithin(t.Context(), path, 2*time.Second)
			if r.status != 200 || r.body.String() != "ok" {
				t.Errorf("status %d, kind %s; the upstream ran the request %d times", r.status, r.kind, ran)
			}
			if ran != 1 {
				t.Errorf("the upstream ran the request %d times", ran)
			}
		})
	}
}

func serveStream(t *testing.T, b *fixture, path string, timeout time.Duration) *reply {
	t.Helper()
	r := &reply{}
	b.relay.Serve(t.Context(), &relayer.Request{
		ID: "id", Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"), Timeout: timeout, Arrived: time.Now(),
	}, r)
	return r
}

// An engine that has stalled sends a comment now and then: its stream must resume at
// another engine, not end at the caller's deadline.
func TestStalledStreamOfCommentsIsResumedElsewhere(t *testing.T) {
	var mu sync.Mutex
	calls := 0
	script := func(conn net.Conn, r testlib.Received) bool {
		mu.Lock()
		calls++
		first := calls == 1
		mu.Unlock()
		if !first {
			return streaming(0)(conn, r)
		}
		streamHead(conn, r)
		event(conn, 1)
		for {
			if _, err := fmt.Fprint(conn, "8\r\n: wait\n\n\r\n"); err != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b := newFixture(t, script, script)
	r := serveStream(t, b, "/stream/", 2800*time.Millisecond)
	if got := strings.ReplaceAll(r.body.String(), ": wait\n\n", ""); got != wholeStream || r.aborted {
		t.Errorf("aborted %t after %q", r.aborted, got)
	}
}

// A slow engine that goes on sending events isn't given up.
func TestSlowButSoundStreamLivesOn(t *testing.T) {
	script := func(conn net.Conn, r testlib.Received) bool {
		streamHead(conn, r)
		for id := 1; id <= 6; id++ {
			time.Sleep(400 * time.Millisecond)
			event(conn, id)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
	b := newFixture(t, script, script)
	r := serveStream(t, b, "/stream/", 2900*time.Millisecond)
	if r.body.String() != wholeStream || r.aborted {
		t.Errorf("aborted %t after %q", r.aborted, r.body.String())
	}
	if n := b.sent(); n != 1 {
		t.Errorf("the request was sent %d times", n)
	}
}

// A process that is suspended between the check of a permission and the send finds out
// before the send that the permission has expired.
func TestSuspendedProcessSendsNothingOnExpiredPermission(t *testing.T) {
	pause := 10 * time.Second
	for name, during := range map[string]func(b *fixture){
		"proof of the configuration": func(b *fixture) { b.boot.Step(pause) },
		"key": func(b *fixture) {
			b.boot.Step(pause)
			b.fleet.set(catalog(2, "another key"), b.boot.Elapsed())
		},
		"route": func(b *fixture) {
			c := catalog(2, "key")
			c.Routes = c.Routes[1:]
			b.fleet.set(c, b.boot.Elapsed())
		},
		"upstream": func(b *fixture) { b.relay.SetUpstreams(nil, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, ok)
			b.relay.Adviser = &fakeAdviser{verdict: placer.Unanswered, onAsk: func() { during(b) }}
			r := servePrompt(b)
			if n := b.sent(); n != 0 || r.status != 0 {
				t.Errorf("%d requests were sent, status %d", n, r.status)
			}
			if r.kind == failure.None || r.kind.Response().Verdict != failure.NotRun && r.kind != failure.Unauthorized && r.kind != failure.UnknownRoute {
				t.Errorf("kind %s for a request that wasn't sent", r.kind)
			}
		})
	}
}
