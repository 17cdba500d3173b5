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

// readBufferBytes fits the usual response of a plain service, or several events.
const readBufferBytes = 4 << 10

// maxHeaderLines is the maximum number of lines of a response header. A short field takes
// some hundred bytes once it is parsed.
const maxHeaderLines = 256

// errHeaderTooLong reports a header that doesn't end within limitreader.MaxHeaderBytes and
// maxHeaderLines.
const errHeaderTooLong = errors.ConstError("response header exceeds the size limit")

// headerLimitReader reads from a connection and limits the size of response headers.
type headerLimitReader struct {
	net.Conn
	// remaining is how many more bytes may be read for a header; negative while
	// no header is being read.
	remaining int
	// lines is how many more lines the header may have, negative once its end was read. What
	// follows in the same read is no longer counted.
	lines     int
	lineBegun bool
}

// startHeader starts to count the bytes of a header.
func (r *headerLimitReader) startHeader() {
	r.remaining, r.lines, r.lineBegun = limitreader.MaxHeaderBytes, maxHeaderLines, false
}

// Read implements io.Reader.
func (r *headerLimitReader) Read(p []byte) (int, error) {
	if r.remaining < 0 {
		return r.Conn.Read(p)
	}
	if r.remaining == 0 {
		return 0, errHeaderTooLong
	}
	n, err := r.Conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if !r.countLines(p[:n]) {
		r.remaining = 0 // net/http ignores an error within a line
		return 0, errHeaderTooLong
	}
	return n, err
}

// countLines counts the lines of the header that end in b, and reports whether it may have
// so many.
func (r *headerLimitReader) countLines(b []byte) bool {
	for _, c := range b {
		switch {
		case r.lines < 0:
			return true
		case c == '\n' && !r.lineBegun:
			r.lines = -1
		case c == '\n':
			if r.lines--; r.lines < 0 {
				return false
			}
			r.lineBegun = false
		case c != '\r':
			r.lineBegun = true
		}
	}
	return true
}

// conn is a connection to an upstream, used by one exchange at a time.
type conn struct {
	net.Conn
	incarnation string
	limited     headerLimitReader
	br          *bufio.Reader
	idleSince   time.Time
	// expires is the earliest time at which the upstream may close the idle
	// connection.
	expires time.Time
}

func newConn(nc net.Conn, incarnation string, expires time.Time) *conn {
	c := &conn{Conn: nc, incarnation: incarnation, limited: headerLimitReader{Conn: nc, remaining: -1}, expires: expires}
	c.br = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c
}

// readResponse reads the header of a response.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.limited.startHeader()
	defer func() { c.limited.remaining = -1 }()
	return http.ReadResponse(c.br, req)
}

// close closes the connection. The error is of no use to callers: the exchange has
// ended, or its own error is returned.
func (c *conn) close() { _ = c.Conn.Close() }

// isQuiet reports whether nothing has arrived on an idle connection: neither EOF
// nor bytes that belong to no request.
func (c *conn) isQuiet() bool {
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

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose
// data is not acknowledged.
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
