package closer

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Disconnected reports whether the caller of a request, whose context is given, has closed its
// connection or its sending side. The server ends the context for that too, but no sooner than the
// body has been read and a goroutine of the server has run since. A close that stands behind
// further bytes, of a body or a pipelined request, isn't seen.
func Disconnected(ctx context.Context) bool {
	k, _ := ctx.Value(connKey{}).(*conn)
	return k != nil && isEnded(k.socket)
}

// isEnded reports whether a read from the socket would return its end or that of the connection.
func isEnded(socket net.Conn) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // the connection is closed
	}
	ended := false
	// Control doesn't wait for the server's pending read, as Read would.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ETIMEDOUT)
	})
	return err != nil || ended
}

// Expose returns a listener with whose connections Closer reaches the socket even if a wrapper of
// the listener, such as netutil.LimitListener, hides it.
func Expose(l net.Listener) net.Listener { return exposingListener{l} }

type exposingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l exposingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped, since net/http distinguishes kinds of errors
	}
	return exposingConn{c}, nil
}

type exposingConn struct{ net.Conn }

// socketAddr is a remote address that carries the socket.
type socketAddr struct {
	net.Addr
	socket net.Conn
}

// RemoteAddr implements net.Conn.
func (c exposingConn) RemoteAddr() net.Addr { return socketAddr{c.Conn.RemoteAddr(), c.Conn} }

// socketOf returns the socket behind an accepted connection.
func socketOf(c net.Conn) net.Conn {
	if a, ok := c.RemoteAddr().(socketAddr); ok {
		return a.socket
	}
	return c
}
