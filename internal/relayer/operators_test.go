package relayer_test

import (
	"context"
	"fmt"
	"io"
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

// Guards against a late copy of an earlier refusal that is taken for the response to a
// request without an ID: nothing in it tells whose response it is.
func TestLateCopyOfRefusalWithoutID(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/once/", "/safe/"} {
		var mu sync.Mutex
		requests, ran := map[net.Conn]int{}, 0
		b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
			mu.Lock()
			defer mu.Unlock()
			if requests[conn]++; requests[conn] > 1 {
				_ = refusing(conn, r)
			}
			ran++
			return ok(conn, r)
		})
		for i := range 3 {
			r := &reply{}
			b.relay.Serve(t.Context(), &relayer.Request{Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Timeout: 2 * time.Second, Arrived: time.Now()}, r)
			if mu.Lock(); r.status != 200 || r.body.String() != "ok" || ran != i+1 {
				t.Errorf("%s, request %d: status %d, kind %s, run %d times in all", path, i, r.status, r.kind, ran)
			}
			mu.Unlock()
		}
	}
}

// Guards against copies of earlier refusals, in any form and at any moment, that report a
// request as not run which the upstream runs, or that send it to a second one.
func TestCopiesOfEarlierRefusalsBelongToNoRequest(t *testing.T) {
	const refusal = "Not-Run: 1\r\n"
	for name, copies := range map[string]string{
		"refused":                "HTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "Content-Length: 2\r\n\r\nno",
		"other upstream":         "HTTP/1.1 421 Other\r\nId: first\r\n" + refusal + "By: u9\r\nContent-Length: 0\r\n\r\n",
		"bad request, no ID":     "HTTP/1.1 400 Bad\r\n" + refusal + "Content-Length: 0\r\n\r\n",
		"chunked":                "HTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"closing":                "HTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "Connection: close\r\nContent-Length: 0\r\n\r\n",
		"without length":         "HTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "\r\n",
		"longer than its length": "HTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "Content-Length: 2\r\n\r\nnothing",
		"shorter":                "HTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "Content-Length: 40\r\n\r\nno",
		"half a header":          "HTTP/1.1 503 Full\r\nId: first\r\nNot-Run: ",
		"interim first":          "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 503 Full\r\nId: first\r\n" + refusal + "Content-Length: 0\r\n\r\n",
		"five of them":           strings.Repeat("HTTP/1.1 503 Full\r\nId: first\r\n"+refusal+"Content-Length: 0\r\n\r\n", 5),
	} {
		for _, moment := range []string{"before the request", "before the response", "after the response"} {
			for _, path := range []string{"/unsafe/", "/once/", "/safe/"} {
				t.Run(strings.Join([]string{name, moment, path}, " "), func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					ran := map[string]int{}
					b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
						id := r.Header.Get("Id")
						mu.Lock()
						ran[id]++
						mu.Unlock()
						switch {
						case id == "first":
							_ = refusing(conn, r)
						case moment == "before the response":
							_, _ = io.WriteString(conn, copies)
							_ = ok(conn, r)
						default:
							_ = ok(conn, r)
						}
						if id == "first" && moment == "before the request" || id == "second" && moment == "after the response" {
							_, _ = io.WriteString(conn, copies)
						}
						return true
					})
					serve := func(id string) *reply {
						r := &reply{}
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						defer cancel()
						b.relay.Serve(ctx, &relayer.Request{ID: id, Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Timeout: 700 * time.Millisecond, Arrived: time.Now()}, r)
						return r
					}
					if r := serve("first"); r.kind != failure.NoUpstream {
						t.Fatalf("first request: status %d, kind %s", r.status, r.kind)
					}
					time.Sleep(200 * time.Millisecond) // the upstream is suspended after the refusal
					for _, id := range []string{"second", "third"} {
						r := serve(id)
						mu.Lock()
						n := ran[id]
						mu.Unlock()
						notRun := r.kind != failure.None && r.kind.Response().Verdict == failure.NotRun
						if r.status != 0 && (r.status != 200 || r.body.String() != "ok") || notRun && n > 0 || n > 1 && path != "/safe/" {
							t.Errorf("request %s: status %d, %q, kind %s, run %d times", id, r.status, r.body.String(), r.kind, n)
						}
					}
				})
			}
		}
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
