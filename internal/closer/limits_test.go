package closer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// limited is a server whose limits may change.
type limited struct {
	addr   string
	bounds atomic.Pointer[closer.Bounds]
	unread chan error
}

func newLimited(t *testing.T, b closer.Bounds, wrap func(net.Listener) net.Listener) *limited {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limited{addr: l.Addr().String(), unread: make(chan error, 1)}
	s.bounds.Store(&b)
	k := closer.New(systemclock.New()).WithLimits(closer.Limits{
		Bounds: func() closer.Bounds { return *s.bounds.Load() },
		Unread: func(h closer.UnreadHeader) *http.Response {
			s.unread <- h.Err
			body := "unread"
			return &http.Response{
				StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true,
				ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
			}
		},
	})
	server := &http.Server{ConnState: k.ConnState, MaxHeaderBytes: 1 << 30, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%d %v", len(b), err)
	})}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(k.Wrap(wrap(l))) })
	t.Cleanup(func() { _ = server.Close(); wg.Wait() })
	return s
}

func unwrapped(l net.Listener) net.Listener { return l }

// stallingListener delays the nth read of each connection, as a suspension of the process does,
// and the next one for a while, as a busy machine does.
type stallingListener struct {
	net.Listener
	nth int32
}

func (l stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &stallingConn{Conn: c, nth: l.nth}, err
}

type stallingConn struct {
	net.Conn
	nth   int32
	reads atomic.Int32
}

func (c *stallingConn) Read(p []byte) (int, error) {
	switch c.reads.Add(1) {
	case c.nth:
		time.Sleep(300 * time.Millisecond)
	case c.nth + 1:
		time.Sleep(20 * time.Millisecond)
	}
	return c.Conn.Read(p)
}

// Guards against LOST: a connection was closed without a word while its caller kept within the
// limits that were in force, or sent within them to a process that was suspended.
func TestCallersWithinLimitsAreAnswered(t *testing.T) {
	const (
		short = 100 * time.Millisecond
		long  = 10 * time.Second
		head  = "POST / HTTP/1.1\r\nHost: h\r\n"
		rest  = "Content-Length: 3\r\n\r\nabc"
	)
	stalls := func(nth int32) func(net.Listener) net.Listener {
		return func(l net.Listener) net.Listener { return stallingListener{l, nth} }
	}
	for _, c := range []struct {
		name   string
		bounds closer.Bounds
		raised closer.Bounds // if set, in force after 50 ms
		wrap   func(net.Listener) net.Listener
		parts  []string
	}{
		{"unused connection", closer.Bounds{Idle: long, Header: short}, closer.Bounds{}, unwrapped, []string{"", head + rest}},
		{"slow body", closer.Bounds{Idle: short, Header: short}, closer.Bounds{}, unwrapped, []string{head + rest[:len(rest)-2], "bc"}},
		{"slow header", closer.Bounds{Idle: short, Header: long}, closer.Bounds{}, unwrapped, []string{head, rest}},
		{"time limit of idle connections raised meanwhile", closer.Bounds{Idle: short, Header: short}, closer.Bounds{Idle: long, Header: short}, unwrapped, []string{"", head + rest}},
		{"time limit of headers raised meanwhile", closer.Bounds{Idle: short, Header: short}, closer.Bounds{Idle: short, Header: long}, unwrapped, []string{head, rest}},
		{"size limit raised meanwhile", closer.Bounds{Idle: long, Header: long, HeaderBytes: 10}, closer.Bounds{Idle: long, Header: long, HeaderBytes: 1 << 16}, unwrapped, []string{head, "A: " + strings.Repeat("a", 1<<15) + "\r\n" + rest}},
		{"process suspended within a header", closer.Bounds{Idle: long, Header: 2 * short}, closer.Bounds{}, stalls(2), []string{head, rest}},
		{"process suspended before a header", closer.Bounds{Idle: 2 * short, Header: short}, closer.Bounds{}, stalls(1), []string{head + rest}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newLimited(t, c.bounds, c.wrap)
			pause := 3 * short
			if c.bounds.Idle == 2*short || c.bounds.Header == 2*short {
				pause = short / 2 // within the limit; the server reads later
			}
			if c.raised != (closer.Bounds{}) {
				time.AfterFunc(50*time.Millisecond, func() { s.bounds.Store(&c.raised) })
			}
			resp, body := testlib.SendParts(t, s.addr, pause, c.parts...)
			if resp == nil || resp.StatusCode != http.StatusOK || body != "3 <nil>" {
				t.Errorf("response %v, %q", resp, body)
			}
		})
	}
}

// Guards against callers beyond the limits that hold their connections, and against a header
// that gets no answer.
func TestCallersBeyondLimitsAreRefused(t *testing.T) {
	const long = 10 * time.Second
	for _, c := range []struct {
		name   string
		bounds closer.Bounds
		parts  []string
		err    error // nil if the connection is closed without a response
	}{
		{"late header", closer.Bounds{Idle: long, Header: 100 * time.Millisecond}, []string{"GET / HTTP/1.1\r\nHos"}, closer.ErrHeaderLate},
		{"late header of a later request", closer.Bounds{Idle: long, Header: 100 * time.Millisecond}, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "G"}, closer.ErrHeaderLate},
		{"long header", closer.Bounds{Idle: long, Header: long, HeaderBytes: 1000}, []string{"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 1<<20)}, closer.ErrHeaderTooLong},
		{"no request", closer.Bounds{Idle: 100 * time.Millisecond, Header: long}, []string{""}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newLimited(t, c.bounds, unwrapped)
			conn, err := net.Dial("tcp4", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			in := bufio.NewReader(conn)
			for _, p := range c.parts {
				if _, err := io.WriteString(conn, p); err != nil {
					t.Fatal(err)
				}
				if !strings.HasSuffix(p, "\r\n\r\n") {
					break
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(resp.Body); err != nil {
					t.Fatal(err)
				}
			}
			rest, err := io.ReadAll(in)
			if err != nil {
				t.Errorf("the connection ended with %v", err)
			}
			if c.err == nil {
				if len(rest) > 0 {
					t.Errorf("%q on a connection without a request", rest)
				}
				return
			}
			if !strings.HasPrefix(string(rest), "HTTP/1.1 408 ") || !strings.HasSuffix(string(rest), "\r\n\r\nunread") {
				t.Errorf("response %q", rest)
			}
			if err := <-s.unread; err != c.err {
				t.Errorf("error %v, want %v", err, c.err)
			}
		})
	}
}

// Guards against LOST: an empty line after a body, which some callers send, was taken for the
// beginning of a late header, and its connection was closed beside the next request.
func TestEmptyLineAfterBodyBeginsNoHeader(t *testing.T) {
	s := newLimited(t, closer.Bounds{Idle: 10 * time.Second, Header: 50 * time.Millisecond}, unwrapped)
	conn, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	for range 3 {
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d, %v", resp.StatusCode, err)
		}
		_, _ = io.WriteString(conn, "\r\n")
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against memory that one caller fills without a limit: what consists of line ends
// began no header, and the server keeps a line until its end.
func TestEndlessLineEndsAreRefused(t *testing.T) {
	const long = 10 * time.Second
	for _, begin := range []string{"", "POST / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		s := newLimited(t, closer.Bounds{Idle: long, Header: long, HeaderBytes: 1000}, unwrapped)
		conn, err := net.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if begin != "" {
			_, _ = io.WriteString(conn, begin)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
		for range 64 {
			if _, err := io.WriteString(conn, strings.Repeat("\r", 16<<10)); err != nil {
				break // refused
			}
		}
		select {
		case err := <-s.unread:
			if err != closer.ErrHeaderTooLong {
				t.Errorf("error %v", err)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("1 MB of line ends after %q was accepted", begin)
		}
	}
}
