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

// hooks lets a test act between the arrival of bytes and their reader's hearing
// of them.
type hooks struct {
	net.Listener
	after *atomic.Pointer[func()]
}

func (h hooks) Accept() (net.Conn, error) {
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

// A stop that falls between the reading of a request and its handling. Read by
// the server, it gets its answer; not yet read, it is never run.
func TestStopWhileARequestIsRead(t *testing.T) {
	for _, c := range []struct {
		name string
		wrap func(c *closer.Closer, l net.Listener, after *atomic.Pointer[func()]) net.Listener
		run  bool
	}{
		{"the server has the bytes", func(c *closer.Closer, l net.Listener, after *atomic.Pointer[func()]) net.Listener {
			return hooks{c.Wrap(l), after}
		}, true},
		{"the bytes have only arrived", func(c *closer.Closer, l net.Listener, after *atomic.Pointer[func()]) net.Listener {
			return c.Wrap(hooks{l, after})
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
			<-idle // the answer may arrive before its end is noticed here
			stop := func() { k.CloseIdle() }
			after.Store(&stop)
			err = ask()
			if answered := err == nil; answered != c.run || runs.Load() == 2 != c.run {
				t.Errorf("%d requests ran; the second one's answer: %v", runs.Load(), err)
			}
			if c.run {
				for k.CloseIdle() > 0 { // until its answer's end is noticed
				}
				if err := ask(); err == nil {
					t.Error("a connection that was closed as idle answers")
				}
			}
		})
	}
}

// late gives out a connection that was accepted just before the listener's end.
type late struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
	given  atomic.Bool
}

func (l *late) Accept() (net.Conn, error) {
	if l.given.Swap(true) {
		<-l.closed
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	<-l.closed // the goroutine has to wait for a processor
	time.Sleep(5 * time.Millisecond)
	return c, err
}

func (l *late) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Guards against LOST: a connection that was accepted while the server stopped listening
// was served, and the process ended under it.
func TestFinishWaitsForWhatWasAccepted(t *testing.T) {
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
	go func() { _ = s.Serve(k.Wrap(&late{Listener: inner, closed: make(chan struct{})})) }()
	defer s.Close()
	conn, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // Accept has it
	finished := make(chan int, 1)
	go func() { finished <- k.Shutdown(t.Context()) }()
	select {
	case <-begun:
	case <-time.After(2 * time.Second):
		return // turned away, which is no loss
	}
	select {
	case left := <-finished:
		t.Errorf("Finish says that %d are left while a request runs", left)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
}
