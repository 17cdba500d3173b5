package connector

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/auburnnotch/auburnnotch/internal/limitreader"
)

// bufferBytes holds the usual answer of a plain service or some events.
const bufferBytes = 4 << 10

// errHeadTooLong marks bytes that don't end as a head within limitreader.HeadBytes.
const errHeadTooLong = errors.ConstError("the answer's head has no end in time")

// source is what a connection's buffer is filled from.
type source struct {
	net.Conn
	// left is how many bytes may still be read for a head; negative while no
	// head is read.
	left int
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left < 0 {
		return s.Conn.Read(p)
	}
	if s.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := s.Conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// conn is one connection, used by one exchange at a time.
type conn struct {
	net.Conn
	incarnation string
	in          source
	br          *bufio.Reader
	idleSince   time.Time
	// expires is when the upstream may close the idle connection.
	expires time.Time
}

func newConn(nc net.Conn, incarnation string, expires time.Time) *conn {
	c := &conn{Conn: nc, incarnation: incarnation, in: source{Conn: nc, left: -1}, expires: expires}
	c.br = bufio.NewReaderSize(&c.in, bufferBytes)
	return c
}

// readResponse reads the head of an answer.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.in.left = limitreader.MaxHeaderBytes
	defer func() { c.in.left = -1 }()
	return http.ReadResponse(c.br, req)
}

// close ends the connection. Its error says nothing that a caller could use:
// the exchange has ended, or its own error is reported.
func (c *conn) close() { _ = c.Conn.Close() }

// quiet reports whether nothing has arrived on an idle connection: neither
// its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// setUserTimeout lets the kernel end a connection whose bytes aren't
// acknowledged.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(failed)
}
