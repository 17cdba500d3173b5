package closer

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// phase is what a connection waits for.
type phase uint8

const (
	idle     phase = iota // the first byte of a request
	header                // the rest of its header
	handling              // its response
)

// conn is a tracked connection.
type conn struct {
	net.Conn
	socket net.Conn // Conn, or what it wraps
	closer *Closer

	mu     sync.Mutex
	phase  phase
	since  time.Time // when the phase began
	read   int       // bytes read in the phases idle and header
	closed bool      // by closeIdle; later bytes are discarded
}

// remoteAddr is the remote address of a tracked connection. Two connections may have the
// same one: a caller may use its port again before the server has closed the first.
type remoteAddr struct {
	net.Addr
	conn *conn
}

// RemoteAddr implements net.Conn.
func (k *conn) RemoteAddr() net.Addr { return remoteAddr{k.Conn.RemoteAddr(), k} }

// tracked returns the tracked connection behind nc, which may be wrapped; nil if there is
// none.
func tracked(nc net.Conn) *conn {
	a, _ := nc.RemoteAddr().(remoteAddr)
	return a.conn
}

// enter begins a phase.
func (k *conn) enter(p phase) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.phase, k.since, k.read = p, k.closer.clk.Now(), 0
}

// Read implements net.Conn.
func (k *conn) Read(p []byte) (int, error) {
	k.mu.Lock()
	w := wait{phase: k.phase, since: k.since, read: k.read}
	k.mu.Unlock()
	n, err := k.readWithin(p, w)
	if n > 0 {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.closed {
			return 0, io.EOF
		}
		k.read += n
		// Some callers send an empty line after a body.
		if k.phase == idle && (len(bytes.Trim(p[:n], "\r\n")) > 0 || k.read > emptyLineBytes) {
			k.phase, k.since, k.read = header, k.closer.clk.Now(), n
		}
	}
	return n, err
}

// wait is how far a connection is.
type wait struct {
	phase phase
	since time.Time
	read  int
}

// readWithin reads within the limits of the phase. Outside of phase handling, nothing else sets
// the read deadline, and the server removes it once it has read a header.
func (k *conn) readWithin(p []byte, w wait) (int, error) {
	limits := k.closer.limits
	if w.phase == handling || limits.Bounds == nil {
		return k.Conn.Read(p)
	}
	for {
		b := limits.Bounds()
		if w.phase == header && b.HeaderBytes > 0 && w.read >= b.HeaderBytes+headerSlack {
			return 0, k.refuse(ErrHeaderTooLong, w)
		}
		due := w.since.Add(b.timeout(w.phase))
		if err := k.Conn.SetReadDeadline(due); err != nil {
			return 0, errors.Trace(err)
		}
		n, err := k.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if k.closer.clk.Now().Before(w.since.Add(limits.Bounds().timeout(w.phase))) {
				continue // the limit has been raised meanwhile
			}
			n, err = k.readArrived(p)
		}
		switch {
		case n > 0 || err == nil || w.phase == idle:
		case errors.Is(err, os.ErrDeadlineExceeded):
			return 0, k.refuse(ErrHeaderLate, w)
		default:
			limits.Unread(k.unread(err, w))
		}
		return n, err // unwrapped, since net/http distinguishes kinds of errors
	}
}

// readArrived reads what arrived while the process was suspended.
func (k *conn) readArrived(p []byte) (int, error) {
	if err := k.Conn.SetReadDeadline(k.closer.clk.Now().Add(arrivedTimeout)); err != nil {
		return 0, errors.Trace(err)
	}
	return k.Conn.Read(p)
}

func (k *conn) unread(err error, w wait) UnreadHeader {
	return UnreadHeader{Err: err, Remote: k.Conn.RemoteAddr(), Bytes: w.read, Waited: k.closer.clk.Now().Sub(w.since)}
}

// refuse answers a request whose header won't be read to its end. It reads on for a moment,
// since a connection that is closed with bytes unread is reset, which may cost the caller the
// refusal. It returns the error for the server, which then closes the connection.
func (k *conn) refuse(err error, w wait) error {
	resp := k.closer.limits.Unread(k.unread(err, w))
	if k.Conn.SetDeadline(k.closer.clk.Now().Add(lingerTimeout)) == nil && writeResponse(k.Conn, resp) == nil {
		_ = k.CloseWrite()
		_, _ = io.Copy(io.Discard, k.Conn) // the connection is closed in any case
	}
	return os.ErrDeadlineExceeded
}

// CloseWrite closes the sending side, as net/http does before it closes a connection of which
// it hasn't read everything.
func (k *conn) CloseWrite() error {
	if c, ok := k.socket.(interface{ CloseWrite() error }); ok {
		return errors.Trace(c.CloseWrite())
	}
	return nil
}

func (k *conn) closeIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.phase != idle {
		return false
	}
	if !k.closed {
		k.closed = true
		_ = k.Conn.Close() // no caller waits for a response on it
	}
	return true
}

// Close implements net.Conn.
func (k *conn) Close() error {
	k.closer.mu.Lock()
	delete(k.closer.conns, k)
	k.closer.mu.Unlock()
	return errors.Trace(k.Conn.Close())
}
