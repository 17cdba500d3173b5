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

func newCall(u *testlib.Upstream, id string) *connector.Call {
	return &connector.Call{
		Address: u.Addr, Incarnation: "u@1", Method: "POST", Target: "/p", Host: "h", Head: []byte("Id: " + id + "\r\n"),
		Body: []byte("body " + id), FirstByteTimeout: 2 * time.Second,
		Matches: func(h connector.Header) bool { return h.Get("Id") == id },
	}
}

// writeResponse writes a complete response to the request with the given ID.
func writeResponse(conn net.Conn, id, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

// do performs a call and returns the body, the outcome and the error of opening or
// reading.
func do(c *connector.Connector, k *connector.Call) (string, connector.Outcome, error) {
	x, outcome, err := c.Open(context.Background(), k)
	if err != nil {
		return "", outcome, err
	}
	defer x.Close()
	b, err := io.ReadAll(x)
	return string(b), outcome, err
}

func TestExchangeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		script      testlib.Script
		body        string
		outcome     connector.Outcome
		failed      bool
		connections int // connections used after a second call
	}{
		"whole": {
			script: func(conn net.Conn, r testlib.Received) bool { return writeResponse(conn, r.Header.Get("Id"), "ok") },
			body:   "ok", outcome: connector.Opened, connections: 1,
		},
		"second response at once": {
			script: func(conn net.Conn, r testlib.Received) bool {
				id := r.Header.Get("Id")
				writeResponse(conn, id, "ok")
				return writeResponse(conn, id, "ok")
			},
			body: "ok", outcome: connector.Opened, connections: 2,
		},
		"an earlier request's response first": {
			script: func(conn net.Conn, r testlib.Received) bool {
				return writeResponse(conn, "before", "no") && writeResponse(conn, r.Header.Get("Id"), "ok")
			},
			body: "ok", outcome: connector.Opened, connections: 1,
		},
		"only an earlier request's response": {
			script:  func(conn net.Conn, _ testlib.Received) bool { writeResponse(conn, "before", "no"); return false },
			outcome: connector.Broken, failed: true, connections: 2,
		},
		"no length, ends at connection close": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
				return false
			},
			body: "ok", outcome: connector.Opened, connections: 2,
		},
		"no length, reset": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
				time.Sleep(20 * time.Millisecond)
				testlib.Reset(conn)
				return false
			},
			body: "ok", outcome: connector.Opened, failed: true, connections: 2,
		},
		"shorter than its length": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", r.Header.Get("Id"))
				return false
			},
			body: "ok", outcome: connector.Opened, failed: true, connections: 2,
		},
		"chunked without last chunk": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", r.Header.Get("Id"))
				return false
			},
			body: "ok", outcome: connector.Opened, failed: true, connections: 2,
		},
		"bytes that are not HTTP": {
			script:  func(conn net.Conn, _ testlib.Received) bool { fmt.Fprint(conn, "what\r\n\r\n"); return false },
			outcome: connector.Broken, failed: true, connections: 2,
		},
		"reset without response": {
			script:  func(conn net.Conn, _ testlib.Received) bool { testlib.Reset(conn); return false },
			outcome: connector.Broken, failed: true, connections: 2,
		},
		"Connection: close": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
				return true
			},
			body: "ok", outcome: connector.Opened, connections: 2,
		},
		"keep-alive timeout of zero": {
			script: func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
				return true
			},
			body: "ok", outcome: connector.Opened, connections: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := testlib.NewUpstream(t, c.script)
			conns := connector.New(systemclock.New())
			defer conns.Retain(func(string) bool { return false })
			body, outcome, err := do(conns, newCall(u, "1"))
			if body != c.body || outcome != c.outcome || (err != nil) != c.failed {
				t.Fatalf("got %q, outcome %d, error %v", body, outcome, err)
			}
			time.Sleep(10 * time.Millisecond) // a second response must arrive before the next call
			_, _, _ = do(conns, newCall(u, "2"))
			if n := u.Connections(); n != c.connections {
				t.Errorf("two calls used %d connections, want %d", n, c.connections)
			}
			if n := len(u.Received()); n > 2 {
				t.Errorf("two calls sent %d requests", n)
			}
		})
	}
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	u := testlib.NewUpstream(t, nil)
	u.Stop()
	if _, outcome, err := do(connector.New(systemclock.New()), newCall(u, "1")); outcome != connector.NotSent || err == nil {
		t.Fatalf("outcome %d, error %v", outcome, err)
	}
}

// A connection that the upstream closed while it was idle must not be used: a
// request sent on it couldn't be distinguished from one that was run.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		writeResponse(conn, r.Header.Get("Id"), "ok")
		return false
	})
	conns := connector.New(systemclock.New())
	for i := range 5 {
		if body, _, err := do(conns, newCall(u, fmt.Sprint(i))); body != "ok" || err != nil {
			t.Fatalf("call %d: %q, %v", i, body, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestSilentUpstreamTimesOut(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	u := testlib.NewUpstream(t, func(net.Conn, testlib.Received) bool { <-hold; return false })
	k := newCall(u, "1")
	k.FirstByteTimeout = 30 * time.Millisecond
	if _, outcome, err := do(connector.New(systemclock.New()), k); outcome != connector.Broken || err == nil {
		t.Fatalf("outcome %d, error %v", outcome, err)
	}
}

func TestContextCancellationClosesConnection(t *testing.T) {
	gone := make(chan error, 1)
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nok")
		_, err := conn.Read(make([]byte, 1))
		gone <- err
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	x, _, err := connector.New(systemclock.New()).Open(ctx, newCall(u, "1"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(x); err == nil {
		t.Error("the body was read to its end")
	}
	x.Close()
	if err := <-gone; err == nil {
		t.Error("the connection to the upstream wasn't closed")
	}
}

func TestRequestIsFramedOnce(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool { return writeResponse(conn, r.Header.Get("Id"), "ok") })
	conns := connector.New(systemclock.New())
	k := newCall(u, "1")
	k.Body = []byte(strings.Repeat("POST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 100))
	if _, _, err := do(conns, k); err != nil {
		t.Fatal(err)
	}
	empty := newCall(u, "2")
	empty.Method, empty.Body = "GET", nil
	if _, _, err := do(conns, empty); err != nil {
		t.Fatal(err)
	}
	got := u.Received()
	if len(got) != 2 || got[0].URL.Path != "/p" || string(got[0].Bytes) != string(k.Body) || got[1].ContentLength != 0 {
		t.Fatalf("the upstream read %d requests", len(got))
	}
}

// Guards against a node that buffers a response header for as long as the upstream
// sends: some hundred megabytes within a caller's deadline.
func TestEndlessHeaderIsRejected(t *testing.T) {
	for name, c := range map[string]struct{ start, piece string }{
		"no line":                {piece: "x"},
		"status line":            {start: "HTTP/1.1 200 ", piece: "OK"},
		"one field":              {start: "HTTP/1.1 200 OK\r\nField: ", piece: "x"},
		"many fields":            {start: "HTTP/1.1 200 OK\r\n", piece: "Field: x\r\n"},
		"many short fields":      {start: "HTTP/1.1 200 OK\r\n", piece: "a:\n"},
		"interim responses":      {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"long interim responses": {piece: "HTTP/1.1 103 Early Hints\r\nField: " + strings.Repeat("x", 10<<10) + "\r\n\r\n"},
		"blank lines":            {piece: "\r\n"},
		"after an earlier request's response": {
			start: "HTTP/1.1 200 OK\r\nId: before\r\nContent-Length: 2\r\n\r\nno", piece: "x",
		},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			u := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
				fmt.Fprint(conn, c.start)
				taken <- testlib.Flood(conn, c.piece, testlib.FloodBytes)
				return false
			})
			k := newCall(u, "1")
			k.FirstByteTimeout = time.Second
			_, outcome, err := do(connector.New(systemclock.New()), k)
			if outcome != connector.Broken || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("outcome %d, error %v", outcome, err)
			}
			if n := <-taken; n >= testlib.FloodBytes {
				t.Errorf("all %d bytes were read", n)
			}
		})
	}
}

// Guards against a header limit that counts bodies, or the headers of earlier
// exchanges.
func TestHeaderLimitDoesNotCountBodies(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		return writeResponse(conn, "before", long[:100<<10]) && writeResponse(conn, r.Header.Get("Id"), long)
	})
	conns := connector.New(systemclock.New())
	for range 3 {
		if body, _, err := do(conns, newCall(u, "1")); body != long || err != nil {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
	if n := u.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against a limit on the lines of headers that counts those of bodies, which arrive
// with the header.
func TestHeaderLinesDoNotIncludeBodies(t *testing.T) {
	fields := strings.Repeat("Field: x\r\n", 250)
	lines := strings.Repeat("\n", 3000)
	for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n"} {
		u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
			_, err := fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", interim, r.Header.Get("Id"), fields, len(lines), lines)
			return err == nil
		})
		conns := connector.New(systemclock.New())
		for range 3 {
			if body, _, err := do(conns, newCall(u, "1")); body != lines || err != nil {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		}
	}
}

// Guards against accepting a response that is embedded in the body of a response to
// another request, if that body is longer than what is skipped.
func TestResponseInsideStrayBodyIsNotAccepted(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	body := strings.Repeat("x", 1<<20) + inner
	for name, write := range map[string]func(net.Conn){
		"length": func(conn net.Conn) { writeResponse(conn, "before", body) },
		"chunk": func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: before\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool { write(conn); return true })
			k := newCall(u, "1")
			k.FirstByteTimeout = time.Second
			got, outcome, err := do(connector.New(systemclock.New()), k)
			if outcome != connector.Broken || err == nil {
				t.Errorf("outcome %d, error %v, body %q", outcome, err, got)
			}
		})
	}
}

// Guards against endless framing: a chunk header, chunks of almost no data, or a
// trailer, which net/http limits. Such a response must not look complete.
func TestEndlessFramingIsRejected(t *testing.T) {
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
				taken <- testlib.Flood(conn, c.piece, testlib.FloodBytes)
				return false
			})
			k := newCall(u, "1")
			k.FirstByteTimeout = time.Second
			if body, outcome, err := do(connector.New(systemclock.New()), k); outcome != connector.Opened || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("outcome %d, error %v after %d bytes", outcome, err, len(body))
			}
			if n := <-taken; n >= testlib.FloodBytes {
				t.Errorf("all %d bytes were read", n)
			}
		})
	}
}

// Guards against opening new connections after short responses that weren't needed.
func TestDrainedConnectionIsReused(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		return writeResponse(conn, r.Header.Get("Id"), "no room")
	})
	conns := connector.New(systemclock.New())
	for range 3 {
		x, _, err := conns.Open(t.Context(), newCall(u, "1"))
		if err != nil {
			t.Fatal(err)
		}
		if err := x.Drain(); err != nil {
			t.Error(err)
		}
		x.Close()
		time.Sleep(120 * time.Millisecond) // the drain timeout has passed
	}
	if n := u.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against an idle connection that the read deadline of its last response has made
// unusable.
func TestConnectionOutlivesReadTimeoutOfItsLastResponse(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		return writeResponse(conn, r.Header.Get("Id"), "ok")
	})
	conns := connector.New(systemclock.New())
	for range 3 {
		call := newCall(u, "1")
		call.FirstByteTimeout = 100 * time.Millisecond
		x, _, err := conns.Open(t.Context(), call)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(x); err != nil {
			t.Error(err)
		}
		x.Close()
		time.Sleep(150 * time.Millisecond)
	}
	if n := u.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

func TestCallWithoutPermitIsNotSent(t *testing.T) {
	u := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		return writeResponse(conn, r.Header.Get("Id"), "ok")
	})
	call := newCall(u, "1")
	refused := errors.New("permission has expired")
	call.Permit = func() error { return refused }
	_, outcome, err := connector.New(systemclock.New()).Open(t.Context(), call)
	if outcome != connector.NotSent || !errors.Is(err, refused) {
		t.Errorf("outcome %d, error %v", outcome, err)
	}
	time.Sleep(20 * time.Millisecond)
	if n := len(u.Received()); n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}
