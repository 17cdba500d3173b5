package closer_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/netutil"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

// Guards against GONE: the end of a caller's connection is known only once a goroutine of the
// server has read it.
func TestDisconnected(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
	for _, c := range []struct {
		name   string
		send   string
		leave  func(c *net.TCPConn) error
		want   bool
		unread bool // the handler doesn't read the body
	}{
		{"stays", request, func(*net.TCPConn) error { return nil }, false, false},
		{"closes", request, (*net.TCPConn).Close, true, false},
		{"closes its sending side", request, (*net.TCPConn).CloseWrite, true, false},
		{"resets", request, func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true, false},
		{"closes within the body, unread", request[:len(request)-1], (*net.TCPConn).Close, true, true},
		{"sends on", request + "GET / HTTP/1.1\r\n", func(*net.TCPConn) error { return nil }, false, false},
	} {
		for name, wrap := range map[string]func(net.Listener) net.Listener{
			"plain":   func(l net.Listener) net.Listener { return l },
			"limited": func(l net.Listener) net.Listener { return netutil.LimitListener(closer.Expose(l), 10) },
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				k := closer.New(systemclock.New())
				begun, left, got := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
				var once sync.Once
				s := &http.Server{ConnState: k.ConnState, ConnContext: k.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					once.Do(func() {
						if !c.unread {
							_, _ = io.ReadAll(r.Body)
						}
						close(begun)
						<-left
						got <- closer.Disconnected(r.Context())
					})
				})}
				var wg sync.WaitGroup
				wg.Go(func() { _ = s.Serve(k.Wrap(wrap(l))) })
				defer wg.Wait()
				defer s.Close()
				conn, err := net.Dial("tcp4", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := io.WriteString(conn, c.send); err != nil {
					t.Fatal(err)
				}
				<-begun
				if err := c.leave(conn.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond) // the end of the connection arrives
				close(left)
				if gone := <-got; gone != c.want {
					t.Errorf("disconnected %t, want %t", gone, c.want)
				}
			})
		}
	}
}

// BenchmarkDisconnected measures the check of a connection that stays, of which a request needs
// two or more.
func BenchmarkDisconnected(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	k := closer.New(systemclock.New())
	s := &http.Server{ConnState: k.ConnState, ConnContext: k.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for b.Loop() {
			if closer.Disconnected(r.Context()) {
				b.Error("disconnected")
				return
			}
		}
	})}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(k.Wrap(l)) })
	defer wg.Wait()
	defer s.Close()
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	resp.Body.Close()
}
