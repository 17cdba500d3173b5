package connector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Header is the header of an answer.
type Header = http.Header

// Exchange is an answer that is being read. Close must be called.
type Exchange struct {
	Status int
	Header Header
	// Length is the length of the body, -1 if the answer doesn't tell.
	Length int64

	owner  *Connector
	conn   *conn
	body   io.ReadCloser
	closes bool
	ended  bool
	stop   func() bool
}

const (
	// strayAnswers bounds the answers to earlier calls that are passed over.
	strayAnswers = 3
	// strayBytes bounds the size of such an answer.
	strayBytes = 1 << 20
	// drainBytes and drainTimeout bound what is read and waited for to keep the
	// connection of an answer that nobody needs: a new one takes some ms.
	drainBytes   = 16 << 10
	drainTimeout = 100 * time.Millisecond
	// writeTimeout bounds the sending of a request.
	writeTimeout = 5 * time.Second
)

// errStray marks an answer that belongs to another request.
const errStray = errors.ConstError("the answer belongs to another request")

// Open sends a call and waits for the start of its answer. Only with Opened is
// there an Exchange. The exchange ends with ctx.
func (c *Connector) Open(ctx context.Context, call *Call) (*Exchange, Outcome, error) {
	cn := c.take(call.Incarnation, call.Fresh)
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

// exchange writes the call and reads the head of the answer.
func (c *Connector) exchange(cn *conn, call *Call) (x *Exchange, wrote bool, err error) {
	now := c.clk.Now()
	if err := cn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return nil, false, errors.Trace(err)
	}
	parts := net.Buffers{call.head(), call.Body}
	if len(call.Body) == 0 {
		parts = parts[:1]
	}
	n, writeErr := parts.WriteTo(cn.Conn)
	if n == 0 && writeErr != nil {
		return nil, false, errors.Trace(writeErr)
	}
	// Even after a failed write the upstream may have answered.
	if err := cn.SetReadDeadline(now.Add(call.FirstByteTimeout)); err != nil {
		return nil, true, errors.Trace(err)
	}
	resp, err := readHead(cn, call)
	if err != nil {
		return nil, true, errors.Annotate(firstOf(writeErr, err), "read the answer's head")
	}
	return &Exchange{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, owner: c, conn: cn,
		body: resp.Body, closes: resp.Close || writeErr != nil,
	}, true, nil
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (c *Call) head() []byte {
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

// readHead reads the head of the call's own answer and passes over whole
// answers to earlier calls.
func readHead(cn *conn, call *Call) (*http.Response, error) {
	req := &http.Request{Method: call.Method}
	for range strayAnswers {
		resp, err := cn.readResponse(req)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if call.Matches(resp.Header) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStray
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes+1))
		if err != nil {
			return nil, errors.Trace(err)
		}
		if n > strayBytes { // the next byte belongs to its body, not to a head
			return nil, errStray
		}
	}
	return nil, errStray
}

// SetReadTimeout bounds the wait for all that is read from now on; the next call takes
// its place. Bytes that arrive don't prolong it.
func (x *Exchange) SetReadTimeout(d time.Duration) error {
	return errors.Trace(x.conn.SetReadDeadline(x.owner.clk.Now().Add(d)))
}

// Read reads the body. io.EOF means that it is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.ended = true
	}
	return n, err
}

// Drain reads the rest of an answer that nobody needs, so that the connection
// can be used again. Close ends that of an answer that is too long or slow.
func (x *Exchange) Drain() error {
	if err := x.SetReadTimeout(drainTimeout); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x, drainBytes)); err != nil {
		return errors.Trace(err)
	}
	if !x.ended {
		return errors.NotValidf("rest of over %d bytes", drainBytes)
	}
	return errors.Trace(x.conn.SetReadDeadline(time.Time{}))
}

// Close ends the exchange. A connection whose answer was read to its end
// serves the next one.
func (x *Exchange) Close() {
	if !x.stop() || !x.ended || x.closes || x.conn.br.Buffered() > 0 {
		x.conn.close()
		return
	}
	x.conn.expires = keepUntil(x.owner.clk, x.Header)
	x.owner.give(x.conn)
}

// keepUntil reads how long the upstream keeps an idle connection, less a
// margin for what is on its way.
func keepUntil(clk clock.Clock, h Header) time.Time {
	const margin = 500 * time.Millisecond
	limit := idleLimit
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
