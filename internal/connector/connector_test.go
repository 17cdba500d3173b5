package connector_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

func call(u *testlib.Upstream, id string) *connector.Call {
	return &connector.Call{
		Address: u.Addr, Incarnation: "u@1", Method: "POST", Target: "/p", Host: "h", Head: []byte("Id: " + id + "\r\n"),
		Body: []byte("body " + id), FirstByteTimeout: 2 * time.Second,
		Matches: func(h connector.Header) bool { return h.Get("Id") == id },
	}
}

// answer writes a whole answer to the request called id.
func answer(conn net.Conn, id, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

// do carries out a call and returns the body, the outcome and the error of
// opening or reading.
func do(c *connector.Connector, k *connector.Call) (string, connector.Outcome, error) {
	x, outcome, err := c.Open(context.Background(), k)
	if err != nil {
		return "", outcome, err
	}
	defer x.Close()
	b, err := io.ReadAll(x)
	return string(b), outcome, err
}

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		script  testlib.Script
		body    string
		outcome connector.Outcome
		failed  bool
		again   int // connections after a second call
	}{
		"whole": {
			script: func(conn net.Conn, r testlib.Received) bool { return answer(conn, r.Header.Get("Id"), "ok") },
			body:   "ok", outcome: connector.Opened, again: 1,
		},
		"second answer at once": {
			script: func(conn net.Conn, r testlib.Received) bool {
				id := r.Header.Get("Id")
				answer(conn, id, "ok")
				return answer(conn, id, "ok")
			},
			body: "ok", outcome: connector.Opened, again: 2,
		},
		"an earlier request's answer first": {
			script: func(conn net.Conn, r testlib.Received) bool {
				return answer(conn, "before", "no") && answer(conn, r.Header.Get("Id"), "ok")
			},
			body: "ok", outcome: connector.Opened, again: 1,
		},
		"only an earlier request's answer": {
			script:  func(conn net.Conn, _ testlib.Received) bool { answer(conn, "before", "no"); return false },
			outcome: connector.Broken, failed: true, again: 2,
		},
		"no length, ends with the connection": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
				return false
			},
			body: "ok", outcome: connector.Opened, again: 2,
		},
		"no length, reset": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
				time.Sleep(20 * time.Millisecond)
				testlib.Reset(conn)
				return false
			},
			body: "ok", outcome: connector.Opened, failed: true, again: 2,
		},
		"short of its length": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", r.Header.Get("Id"))
				return false
			},
			body: "ok", outcome: connector.Opened, failed: true, again: 2,
		},
		"chunked without its end": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", r.Header.Get("Id"))
				return false
			},
			body: "ok", outcome: connector.Opened, failed: true, again: 2,
		},
		"bytes that are no answer": {
			script:  func(conn net.Conn, _ testlib.Received) bool { fmt.Fprint(conn, "what\r\n\r\n"); return false },
			outcome: connector.Broken, failed: true, again: 2,
		},
		"reset without answer": {
			script:  func(conn net.Conn, _ testlib.Received) bool { testlib.Reset(conn); return false },
			outcome: connector.Broken, failed: true, again: 2,
		},
		"told to close": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
				return true
			},
			body: "ok", outcome: connector.Opened, again: 2,
		},
		"kept for no time": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
				return true
			},
			body: "ok", outcome: connector.Opened, again: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := testlib.NewUpstream(t, c.script)
			conns := connector.New(systemclock.New())
			defer conns.Retain(func(string) bool { return false })
			body, outcome, err := do(conns, call(u, "1"))
			if body != c.body || outcome != c.outcome || (err != nil) != c.failed {
				t.Fatalf("got %q, outcome %d, error %v", body, outcome, err)
			}
			time.Sleep(10 * time.Millisecond) // a second answer must arrive before the next call
			_, _, _ = do(conns, call(u, "2"))
			if n := u.Connections(); n != c.again {
				t.Errorf("two calls used %d connections, want %d", n, c.again)
			}
			if n := len(u.Received()); n > 2 {
				t.Errorf("two calls sent %d requests", n)
			}
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	u := testlib.NewUpstream(t, nil)
	u.Stop()
	if _, outcome, err := do(connector.New(systemclock.New()), call(u, "1")); outcome != connector.NotSent || err == nil {
		t.Fatalf("outcome %d, error %v", outcome, err)
	}
}

// A connection that the upstream closed while it was idle must not be used: a
// request sent on it couldn't be told from one that was run.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		answer(conn, r.Header.Get("Id"), "ok")
		return false
	})
	conns := connector.New(systemclock.New())
	for i := range 5 {
		if body, _, err := do(conns, call(u, fmt.Sprint(i))); body != "ok" || err != nil {
			t.Fatalf("call %d: %q, %v", i, body, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestSilentUpstreamIsGivenUp(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	u := testlib.NewUpstream(t, func(net.Conn, testlib.Received) bool { <-hold; return false })
	k := call(u, "1")
	k.FirstByteTimeout = 30 * time.Millisecond
	if _, outcome, err := do(connector.New(systemclock.New()), k); outcome != connector.Broken || err == nil {
		t.Fatalf("outcome %d, error %v", outcome, err)
	}
}

func TestEndOfContextEndsTheExchange(t *testing.T) {
	gone := make(chan error, 1)
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nok")
		_, err := conn.Read(make([]byte, 1))
		gone <- err
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	x, _, err := connector.New(systemclock.New()).Open(ctx, call(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(x); err == nil {
		t.Error("the body was read to its end")
	}
	x.Close()
	if err := <-gone; err == nil {
		t.Error("the upstream wasn't told that nobody waits")
	}
}

func TestRequestIsFramedOnce(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool { return answer(conn, r.Header.Get("Id"), "ok") })
	conns := connector.New(systemclock.New())
	k := call(u, "1")
	k.Body = []byte(strings.Repeat("POST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 100))
	if _, _, err := do(conns, k); err != nil {
		t.Fatal(err)
	}
	empty := call(u, "2")
	empty.Method, empty.Body = "GET", nil
	if _, _, err := do(conns, empty); err != nil {
		t.Fatal(err)
	}
	got := u.Received()
	if len(got) != 2 || got[0].URL.Path != "/p" || string(got[0].Bytes) != string(k.Body) || got[1].ContentLength != 0 {
		t.Fatalf("the upstream read %d requests", len(got))
	}
}

// Guards against a node that gathers a head for as long as its upstream sends:
// some hundred megabytes within a caller's time limit.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ start, piece string }{
		"no line":         {piece: "x"},
		"status line":     {start: "HTTP/1.1 200 ", piece: "OK"},
		"one field":       {start: "HTTP/1.1 200 OK\r\nField: ", piece: "x"},
		"many fields":     {start: "HTTP/1.1 200 OK\r\n", piece: "Field: x\r\n"},
		"interim answers": {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"after an earlier request's answer": {
			start: "HTTP/1.1 200 OK\r\nId: before\r\nContent-Length: 2\r\n\r\nno", piece: "x",
		},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			u := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
				fmt.Fprint(conn, c.start)
				taken <- testlib.Pour(conn, c.piece, testlib.Endless)
				return false
			})
			k := call(u, "1")
			k.FirstByteTimeout = time.Second
			_, outcome, err := do(connector.New(systemclock.New()), k)
			if outcome != connector.Broken || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("outcome %d, error %v", outcome, err)
			}
			if n := <-taken; n >= testlib.Endless {
				t.Errorf("all %d bytes were read", n)
			}
		})
	}
}

// Guards against a bound that counts bodies, or the heads of earlier exchanges.
func TestLongBodiesAreNoHeads(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		return answer(conn, "before", long[:100<<10]) && answer(conn, r.Header.Get("Id"), long)
	})
	conns := connector.New(systemclock.New())
	for range 3 {
		if body, _, err := do(conns, call(u, "1")); body != long || err != nil {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
	if n := u.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against an answer that is found inside of another request's body, once
// that body is longer than what is passed over.
func TestNoAnswerIsFoundInsideAnotherBody(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	body := strings.Repeat("x", 1<<20) + inner
	for name, write := range map[string]func(net.Conn){
		"length": func(conn net.Conn) { answer(conn, "before", body) },
		"chunk": func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: before\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool { write(conn); return true })
			k := call(u, "1")
			k.FirstByteTimeout = time.Second
			got, outcome, err := do(connector.New(systemclock.New()), k)
			if outcome != connector.Broken || err == nil {
				t.Errorf("outcome %d, error %v, body %q", outcome, err, got)
			}
		})
	}
}

// Guards against framing without end: a chunk's header, chunks of next to
// nothing, or a trailer, which net/http bounds. Nothing of it may look complete.
func TestFramingWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ start, piece string }{
		"chunk header":    {piece: "1"},
		"chunk extension": {start: "2;", piece: "x"},
		"empty extension": {piece: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer line":    {start: "2\r\nok\r\n0\r\n", piece: "x"},
		"trailer fields":  {start: "2\r\nok\r\n0\r\n", piece: "Field: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			u := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%s", c.start)
				taken <- testlib.Pour(conn, c.piece, testlib.Endless)
				return false
			})
			k := call(u, "1")
			k.FirstByteTimeout = time.Second
			if body, outcome, err := do(connector.New(systemclock.New()), k); outcome != connector.Opened || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("outcome %d, error %v after %d bytes", outcome, err, len(body))
			}
			if n := <-taken; n >= testlib.Endless {
				t.Errorf("all %d bytes were read", n)
			}
		})
	}
}

// Guards against new connections after short answers that nobody needed.
func TestDrainedConnectionIsUsedAgain(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool { return answer(conn, r.Header.Get("Id"), "no room") })
	conns := connector.New(systemclock.New())
	for range 3 {
		x, _, err := conns.Open(t.Context(), call(u, "1"))
		if err != nil {
			t.Fatal(err)
		}
		if err := x.Drain(); err != nil {
			t.Error(err)
		}
		x.Close()
		time.Sleep(120 * time.Millisecond) // the bound of draining has passed
	}
	if n := u.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
