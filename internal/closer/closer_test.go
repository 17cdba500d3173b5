package closer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

// hookedListener lets a test act between the arrival of bytes and the return of the
// Read that receives them.
type hookedListener struct {
	net.Listener
	after *atomic.Pointer[func()]
}

func (h hookedListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hookedConn{c, h.after}, nil
}

type hookedConn struct {
	net.Conn
	after *atomic.Pointer[func()]
}

func (h hookedConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		if f := h.after.Swap(nil); f != nil {
			(*f)()
		}
	}
	return n, err
}

// CloseIdle may run between the arrival of a request and its handling. A request that
// the server has read gets its response; one that it has not read is never run.
func TestCloseIdleWhileRequestIsRead(t *testing.T) {
	for _, c := range []struct {
		name string
		wrap func(c *closer.Closer, l net.Listener, after *atomic.Pointer[func()]) net.Listener
		run  bool
	}{
		{"the server has read the bytes", func(c *closer.Closer, l net.Listener, after *atomic.Pointer[func()]) net.Listener {
			return hookedListener{c.Wrap(l), after}
		}, true},
		{"the bytes have only arrived", func(c *closer.Closer, l net.Listener, after *atomic.Pointer[func()]) net.Listener {
			return c.Wrap(hookedListener{l, after})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var after atomic.Pointer[func()]
			var runs atomic.Int32
			k := closer.New(systemclock.New())
			idle := make(chan struct{}, 8)
			state := func(c net.Conn, s http.ConnState) {
				k.ConnState(c, s)
				if s == http.StateIdle {
					idle <- struct{}{}
				}
			}
			s := &http.Server{ConnState: state, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = io.WriteString(w, "answer")
			})}
			go func() { _ = s.Serve(c.wrap(k, l, &after)) }()
			defer s.Close()
			conn, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			ask := func() error {
				if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return err
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					return err
				}
				_, err = io.ReadAll(resp.Body)
				return err
			}
			if err := ask(); err != nil {
				t.Fatal(err)
			}
			<-idle // the response may arrive before the idle state is recorded
			stop := func() { k.CloseIdle() }
			after.Store(&stop)
			err = ask()
			if answered := err == nil; answered != c.run || runs.Load() == 2 != c.run {
				t.Errorf("%d requests ran; error of the second one: %v", runs.Load(), err)
			}
			if c.run {
				for k.CloseIdle() > 0 { // until the end of the response is recorded
				}
				if err := ask(); err == nil {
					t.Error("a connection that was closed as idle still serves requests")
				}
			}
		})
	}
}

// lateListener returns a connection that was accepted just before the listener was
// closed.
type lateListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
	given  atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	if l.given.Swap(true) {
		<-l.closed
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	<-l.closed // simulates a goroutine that waits for a processor
	time.Sleep(5 * time.Millisecond)
	return c, err
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Guards against LOST: a connection that was accepted while the listener closed was
// served, but the process ended before the response was complete.
func TestShutdownWaitsForAcceptedConnections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := closer.New(systemclock.New())
	begun, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{ConnState: k.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = s.Serve(k.Wrap(&lateListener{Listener: inner, closed: make(chan struct{})})) }()
	defer s.Close()
	conn, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the connection has been accepted
	finished := make(chan int, 1)
	go func() { finished <- k.Shutdown(t.Context()) }()
	select {
	case <-begun:
	case <-time.After(2 * time.Second):
		return // the connection was refused, which loses no request
	}
	select {
	case left := <-finished:
		t.Errorf("Shutdown returned %d connections left while a request is running", left)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
}

// Guards against LOST: a pipelined request, whose bytes were read together with the
// one before it, counted as idle, and its connection was closed without an answer.
func TestCloseIdleKeepsPipelinedRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := closer.New(systemclock.New())
	second, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{ConnState: k.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			close(second)
			<-release
		}
		_, _ = io.WriteString(w, "answer")
	})}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(k.Wrap(l)) })
	defer wg.Wait()
	defer s.Close()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-second
	if left := k.CloseIdle(); left != 1 {
		t.Errorf("%d connections are left, want 1", left)
	}
	close(release)
	in := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("connection ended without a response: %v", err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// recordingConn is a connection with a given remote address that records its end.
type recordingConn struct {
	net.Conn
	remote net.Addr
	closed atomic.Bool
}

func (c *recordingConn) RemoteAddr() net.Addr       { return c.remote }
func (c *recordingConn) Read(p []byte) (int, error) { p[0] = 'G'; return 1, nil }
func (c *recordingConn) Close() error               { c.closed.Store(true); return nil }

// queueListener accepts the given connections.
type queueListener struct {
	net.Listener
	conns []net.Conn
}

func (l *queueListener) Accept() (net.Conn, error) {
	c := l.conns[0]
	l.conns = l.conns[1:]
	return c, nil
}

// Guards against LOST: a caller resets its connection and uses the port again before the
// server has noticed; the end of the earlier request marked the new connection as idle.
func TestConnectionsFromOneAddressAreKeptApart(t *testing.T) {
	remote := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 4711}
	first, second := &recordingConn{remote: remote}, &recordingConn{remote: remote}
	k := closer.New(systemclock.New())
	l := k.Wrap(&queueListener{conns: []net.Conn{first, second}})
	var accepted []net.Conn
	for range 2 {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, c)
	}
	if left := k.CloseIdle(); left != 2 {
		t.Errorf("%d connections are left, want 2", left)
	}
	k.ConnState(accepted[0], http.StateIdle)
	if left := k.CloseIdle(); left != 1 || second.closed.Load() || !first.closed.Load() {
		t.Errorf("%d connections are left; closed: %t, %t", left, first.closed.Load(), second.closed.Load())
	}
}
