package upstreamer

import (
	"context"
	"io"
	"net"
	"sync"
)

// conn is a connection to an upstream. The kernel reports a reset once. If a write has met
// it, the next read finds an ordinary end of the connection, which may be the end of a
// response.
type conn struct {
	net.Conn

	mu          sync.Mutex // held during a write
	writeFailed bool
}

// dialContext returns the DialContext function of a transport.
func dialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err // unwrapped, since net/http distinguishes kinds of errors
	}
	c.mu.Lock() // waits for the result of a write that has met the reset
	defer c.mu.Unlock()
	if c.writeFailed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
