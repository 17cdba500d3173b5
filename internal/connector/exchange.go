package connector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Header is a response header.
type Header = http.Header

// Exchange is a response whose body is being read. The caller must call Close.
type Exchange struct {
	Status int
	Header Header
	// Length is the length of the body; -1 if unknown.
	Length int64
	// EndsWithConnection is set if the body has neither a length nor chunks.
	EndsWithConnection bool

	connector  *Connector
	conn       *conn
	body       io.ReadCloser
	closeAfter bool
	complete   bool
	stop       func() bool
	unread     []byte // to be read again before the rest of the body
}

const (
	// maxStrayResponses limits how many responses are read in search of the
	// call's own, including interim responses and responses to earlier calls.
	maxStrayResponses = 3
	// maxStrayBytes is the maximum body size of a response to an earlier call that
	// is skipped.
	maxStrayBytes = 1 << 20
	// maxDrainBytes and drainTimeout limit how much is read, and for how long, to
	// reuse the connection of a response that isn't needed: a new connection takes
	// some ms.
	maxDrainBytes = 16 << 10
	drainTimeout  = 100 * time.Millisecond
	// writeTimeout is the timeout for sending a request.
	writeTimeout = 5 * time.Second
)

// errStrayResponse reports a response that belongs to another request.
const errStrayResponse = errors.ConstError("response belongs to another request")

// ClosedByUpstream reports whether an exchange failed because the upstream, or the VM it runs
// on, ended the connection.
func ClosedByUpstream(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Open sends a call and waits for the header of its response. It returns an
// Exchange only with Opened. The connection is closed when ctx is done.
func (c *Connector) Open(ctx context.Context, call *Call) (*Exchange, Outcome, error) {
	var cn *conn
	if !call.New {
		cn = c.takeIdle(call.Incarnation, call.Fresh)
	}
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, call); err != nil {
			return nil, NotSent, errors.Annotate(err, "connect")
		}
	}
	stop := context.AfterFunc(ctx, cn.close)
	x, wrote, err := c.exchange(cn, call)
	if err != nil {
		stop()
		cn.close()
		if !wrote {
			return nil, NotSent, errors.Annotate(err, "send")
		}
		return nil, Broken, err
	}
	x.stop = stop
	return x, Opened, nil
}

// exchange writes the request and reads the header of the response.
func (c *Connector) exchange(cn *conn, call *Call) (x *Exchange, wrote bool, err error) {
	if call.Permit != nil {
		if err := call.Permit(); err != nil {
			return nil, false, errors.Trace(err)
		}
	}
	now := c.clk.Now()
	if err := cn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return nil, false, errors.Trace(err)
	}
	parts := net.Buffers{call.header(), call.Body}
	if len(call.Body) == 0 {
		parts = parts[:1]
	}
	n, writeErr := parts.WriteTo(cn.Conn)
	if n == 0 && writeErr != nil {
		return nil, false, errors.Trace(writeErr)
	}
	// The upstream may have responded even if the write failed.
	if err := cn.SetReadDeadline(now.Add(call.FirstByteTimeout)); err != nil {
		return nil, true, errors.Trace(err)
	}
	resp, err := readResponseHeader(cn, call)
	if err != nil {
		return nil, true, errors.Annotate(firstError(writeErr, err), "read response header")
	}
	endsWithConnection := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if writeErr != nil && endsWithConnection {
		// The kernel reports a reset once. The write has met it, so that the end of the
		// body couldn't be told from an ordinary one.
		return nil, true, errors.Annotate(writeErr, "send request")
	}
	return &Exchange{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		EndsWithConnection: endsWithConnection, connector: c, conn: cn,
		body: resp.Body, closeAfter: resp.Close || writeErr != nil,
	}, true, nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (c *Call) header() []byte {
	var b bytes.Buffer
	b.Grow(len(c.Head) + len(c.Target) + len(c.Host) + 80)
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(c.Host)
	b.WriteString("\r\n")
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(c.Body)))
		b.WriteString("\r\n")
	}
	b.Write(c.Head)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponseHeader reads the header of the response to this call. It skips interim
// responses and complete responses to earlier calls.
func readResponseHeader(cn *conn, call *Call) (*http.Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxStrayResponses {
		resp, err := cn.readResponse(req)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response
		}
		if call.Matches(resp.Header) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStrayResponse
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
		if err != nil {
			return nil, errors.Trace(err)
		}
		if n > maxStrayBytes { // the next byte belongs to that body, not to a header
			return nil, errStrayResponse
		}
	}
	return nil, errStrayResponse
}

// SetReadTimeout sets the timeout for all reads from now on, until the next call.
// Arriving bytes don't extend it.
func (x *Exchange) SetReadTimeout(d time.Duration) error {
	return errors.Trace(x.conn.SetReadDeadline(x.connector.clk.Now().Add(d)))
}

// Read reads the body. io.EOF means that the body is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	if len(x.unread) > 0 {
		n := copy(p, x.unread)
		x.unread = x.unread[n:]
		return n, nil
	}
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.complete = true
	}
	return n, err
}

// Unread makes the next calls of Read return p, which was read before, and then the rest
// of the body.
func (x *Exchange) Unread(p []byte) { x.unread = p }

// Drain reads the rest of a response that isn't needed, so that the connection can
// be reused. If the rest is too long or too slow, Close closes the connection.
func (x *Exchange) Drain() error {
	if err := x.SetReadTimeout(drainTimeout); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x, maxDrainBytes)); err != nil {
		return errors.Trace(err)
	}
	if !x.complete {
		return errors.NotValidf("rest of more than %d bytes", maxDrainBytes)
	}
	return nil
}

// Close ends the exchange. The connection is reused if the response was read to its
// end, and closed otherwise.
func (x *Exchange) Close() {
	if !x.stop() || !x.complete || x.closeAfter || x.conn.br.Buffered() > 0 {
		x.conn.close()
		return
	}
	// A read deadline that passes while the connection is idle would make it unusable.
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		x.conn.close()
		return
	}
	x.conn.expires = idleExpiry(x.connector.clk, x.Header)
	x.connector.putIdle(x.conn)
}

// idleExpiry returns until when an idle connection may be reused, as the upstream
// announces in Keep-Alive, less a margin for data in transit.
func idleExpiry(clk clock.Clock, h Header) time.Time {
	const margin = 500 * time.Millisecond
	limit := maxIdleTime
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			limit = min(limit, time.Duration(s)*time.Second-margin)
		}
	}
	return clk.Now().Add(limit)
}
