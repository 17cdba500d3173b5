// Package closer closes the idle connections of an HTTP server without losing a
// request. The Shutdown method of net/http treats a connection as idle until a
// request header has been parsed: a request whose bytes have been read by then is
// still served, but its connection is closed before the response is written.
//
// It also limits how long a connection may wait for a request and a header may take, and
// answers a header that comes late, which net/http doesn't.
package closer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// idleCheckInterval is the time between two checks for idle connections during
// Shutdown.
const idleCheckInterval = 20 * time.Millisecond

// Closer tracks the connections of one server. It is safe for concurrent use.
type Closer struct {
	clk     clock.Clock
	limits  Limits
	closing atomic.Bool

	mu        sync.Mutex
	listeners []*listener
	conns     map[*conn]struct{}
}

// New returns a Closer without connections.
func New(clk clock.Clock) *Closer { return &Closer{clk: clk, conns: map[*conn]struct{}{}} }

// Wrap returns a listener that tracks the connections accepted from l.
func (c *Closer) Wrap(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &listener{Listener: l, closer: c, stopped: make(chan struct{})}
	c.listeners = append(c.listeners, w)
	return w
}

// Closing reports whether Shutdown was called. Each response is then the last one on
// its connection, which its header must announce.
func (c *Closer) Closing() bool { return c.closing.Load() }

// Shutdown closes the listeners, waits until every connection is idle and closed or
// ctx is done, and returns how many connections are left. Until then Accept must be
// called on each listener, as http.Server does.
func (c *Closer) Shutdown(ctx context.Context) int {
	c.closing.Store(true)
	c.mu.Lock()
	listeners := c.listeners
	c.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // new callers get a connection refused error
	}
	for _, l := range listeners {
		select {
		case <-l.stopped:
		case <-ctx.Done():
		}
	}
	left := c.CloseIdle()
	for left > 0 && clock.Sleep(ctx, c.clk, idleCheckInterval) {
		left = c.CloseIdle()
	}
	return left
}

// ConnState must be set as the server's ConnState hook.
func (c *Closer) ConnState(nc net.Conn, s http.ConnState) {
	k := tracked(nc)
	if k == nil || s != http.StateIdle && s != http.StateActive {
		return
	}
	// The bytes of a pipelined request may have been read with the request before, so
	// that no Read tells of it.
	if s == http.StateActive {
		k.enter(handling)
	} else {
		k.enter(idle)
	}
}

// CloseIdle closes the connections on which no byte of a pending request has been
// read, and returns how many are left.
func (c *Closer) CloseIdle() int {
	c.mu.Lock()
	conns := make([]*conn, 0, len(c.conns))
	for k := range c.conns {
		conns = append(conns, k)
	}
	c.mu.Unlock()
	left := 0
	for _, k := range conns {
		if !k.closeIdle() {
			left++
		}
	}
	return left
}

type connKey struct{}

// ConnContext must be set as the server's ConnContext hook if ResetOnClose or Connection is used.
func (c *Closer) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, tracked(nc))
}

// Connection returns the tracked connection of a request, whose context is given, nil if there
// is none. Once the body of the request can't be read any more, its handler may read the
// bytes that follow from there.
func Connection(ctx context.Context) io.Reader {
	if k, _ := ctx.Value(connKey{}).(*conn); k != nil {
		return k
	}
	return nil
}

// ResetOnClose makes the end of the connection of a request, whose context is given, a
// reset, so that it isn't taken for the end of a response. Bytes that the caller hasn't
// received by then may be lost.
func (c *Closer) ResetOnClose(ctx context.Context) {
	k, _ := ctx.Value(connKey{}).(*conn)
	if k == nil {
		return
	}
	if tcp, ok := k.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

type listener struct {
	net.Listener
	closer  *Closer
	once    sync.Once
	stopped chan struct{} // closed once nothing more is accepted
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		if l.closer.Closing() {
			l.once.Do(func() { close(l.stopped) })
		}
		return nil, err // unwrapped, since net/http distinguishes kinds of errors
	}
	k := &conn{Conn: nc, socket: socketOf(nc), closer: l.closer, since: l.closer.clk.Now()}
	l.closer.mu.Lock()
	l.closer.conns[k] = struct{}{}
	l.closer.mu.Unlock()
	return k, nil
}
