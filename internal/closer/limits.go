package closer

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// headerSlack is what may be read beyond a header in one piece.
	headerSlack = 4 << 10
	// emptyLineBytes is how many line ends the server skips before a request.
	emptyLineBytes = 4
	// arrivedTimeout bounds the reading of bytes that have arrived, on a busy machine.
	arrivedTimeout = 100 * time.Millisecond
	// lingerTimeout bounds the sending of a refusal and what is read after it.
	lingerTimeout = 500 * time.Millisecond
)

// Why a header wasn't read to its end.
const (
	ErrHeaderLate    = errors.ConstError("the request's header didn't arrive in time")
	ErrHeaderTooLong = errors.ConstError("the request's header exceeds the size limit")
)

// Bounds limits what callers may do until the header of a request is complete.
type Bounds struct {
	// Idle is how long a connection may wait for the first byte of a request, be it the
	// first one or a later one. The server must have no such limits of its own: net/http
	// counts the time limit of the first header from the opening of the connection.
	Idle time.Duration
	// Header is the time from the first byte of a request to the end of its header.
	Header time.Duration
	// HeaderBytes is the maximum size of a header; 0 for none.
	HeaderBytes int
}

func (b Bounds) timeout(p phase) time.Duration {
	if p == idle {
		return b.Idle
	}
	return b.Header
}

// Limits limits what callers may do until the header of a request is complete.
type Limits struct {
	// Bounds returns the bounds that are in force. They also apply to connections that are
	// already open.
	Bounds func() Bounds
	// Unread is told of each request whose header wasn't read to its end. The response that
	// it returns is sent if Closer ends the reading.
	Unread func(UnreadHeader) *http.Response
}

// UnreadHeader is a header that wasn't read to its end.
type UnreadHeader struct {
	// Err is ErrHeaderLate, ErrHeaderTooLong, or the error of the connection.
	Err    error
	Remote net.Addr
	Bytes  int
	Waited time.Duration
}

// WithLimits sets the limits and returns c. It must be called before Wrap.
func (c *Closer) WithLimits(l Limits) *Closer {
	c.limits = l
	return c
}

func writeResponse(conn net.Conn, resp *http.Response) error {
	var b bytes.Buffer
	if err := resp.Write(&b); err != nil {
		return errors.Trace(err)
	}
	_, err := conn.Write(b.Bytes())
	return errors.Trace(err)
}
