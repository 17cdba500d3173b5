// Package closer ends the idle connections of an HTTP server without losing a
// request. net/http's own Shutdown takes a connection for idle until the head of
// a request is parsed: a request that has been read by then is served, and its
// connection is closed under it.
package closer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// sweepEvery is the time between two looks for connections that have become idle
// during a stop.
const sweepEvery = 20 * time.Millisecond

// Closer keeps the connections of one server. It is safe for concurrent use.
type Closer struct {
	clk     clock.Clock
	closing atomic.Bool

	mu        sync.Mutex
	listeners []*listener
	conns     map[string]*conn // by the caller's address
}

// New returns a Closer without connections.
func New(clk clock.Clock) *Closer { return &Closer{clk: clk, conns: map[string]*conn{}} }

// Wrap returns l with the connections that it accepts kept.
func (c *Closer) Wrap(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &listener{Listener: l, closer: c, ended: make(chan struct{})}
	c.listeners = append(c.listeners, w)
	return w
}

// Closing reports whether the server ends: each answer is then the last one on
// its connection, and is to say so.
func (c *Closer) Closing() bool { return c.closing.Load() }

// Shutdown stops listening, waits until every connection is idle or ctx ends, and
// returns how many are left. Something must accept from each listener until then, as
// http.Server does.
func (c *Closer) Shutdown(ctx context.Context) int {
	c.closing.Store(true)
	c.mu.Lock()
	listeners := c.listeners
	c.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // whoever comes now is told so by the port
	}
	for _, l := range listeners {
		select {
		case <-l.ended:
		case <-ctx.Done():
		}
	}
	left := c.CloseIdle()
	for left > 0 && clock.Sleep(ctx, c.clk, sweepEvery) {
		left = c.CloseIdle()
	}
	return left
}

// ConnState is to be the server's hook of that name.
func (c *Closer) ConnState(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	k := c.conns[nc.RemoteAddr().String()]
	c.mu.Unlock()
	if k != nil && s == http.StateIdle {
		k.mu.Lock()
		k.busy = false
		k.mu.Unlock()
	}
}

// CloseIdle closes the connections on which no part of a request has been read,
// and returns how many are left.
func (c *Closer) CloseIdle() int {
	c.mu.Lock()
	conns := make([]*conn, 0, len(c.conns))
	for _, k := range c.conns {
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

type listener struct {
	net.Listener
	closer *Closer
	once   sync.Once
	ended  chan struct{} // closed once nothing more is accepted
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		if l.closer.Closing() {
			l.once.Do(func() { close(l.ended) })
		}
		return nil, err // net/http tells its kinds of errors apart
	}
	k := &conn{Conn: nc, closer: l.closer, key: nc.RemoteAddr().String()}
	l.closer.mu.Lock()
	l.closer.conns[k.key] = k
	l.closer.mu.Unlock()
	return k, nil
}

// conn is busy from the first byte of a request to the end of its answer.
type conn struct {
	net.Conn
	closer *Closer
	key    string

	mu     sync.Mutex
	busy   bool
	closed bool // as idle; what arrives after that is nobody's
}

// Read implements net.Conn.
func (k *conn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n > 0 {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.closed {
			return 0, io.EOF
		}
		k.busy = true
	}
	return n, err
}

func (k *conn) closeIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy {
		return false
	}
	if !k.closed {
		k.closed = true
		_ = k.Conn.Close() // nobody waits on it
	}
	return true
}

// Close implements net.Conn.
func (k *conn) Close() error {
	k.closer.mu.Lock()
	if k.closer.conns[k.key] == k {
		delete(k.closer.conns, k.key)
	}
	k.closer.mu.Unlock()
	return errors.Trace(k.Conn.Close())
}
