package upstreamer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Spec describes the HTTP request of an attempt.
type Spec struct {
	Method      string
	URL         string
	ContentType string
	Body        []byte
	Header      http.Header
	// NewConnection sends the request on a new connection, with a body that
	// net/http can't send a second time.
	NewConnection bool
	// ResumeFrom resumes an attempt from this offset; -1 starts a new one.
	ResumeFrom int
	// FirstByteTimeout bounds the time until the response begins, ChunkTimeout
	// the time between its chunks.
	FirstByteTimeout, ChunkTimeout time.Duration
	// OnHeader, if set, is called with the status and the header of each response to this attempt.
	OnHeader func(status int, h http.Header)
}

// Outcome is the result of opening an attempt.
type Outcome uint8

// The outcomes.
const (
	// Opened means that the response has begun.
	Opened Outcome = iota + 1
	// Refused means that the upstream did not run the request.
	Refused
	// Broken means that the upstream may have run the request.
	Broken
)

// ErrSilent marks an attempt that was aborted because no response began in time.
const ErrSilent = errors.ConstError("upstream sent no response in time")

// errOtherAttempt reports a response that belongs to another attempt.
const errOtherAttempt = errors.ConstError("response belongs to another attempt")

// Upstreamer holds the HTTP clients and connections for upstreams. It is safe for
// concurrent use.
type Upstreamer struct {
	clk    clock.Clock
	pooled *http.Client
	fresh  *http.Client
}

const (
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = 15 * time.Second
	maxIdlePerUpstream = 256
	bufferBytes        = 4 << 10
	// maxReportBytes bounds a load report, which usually has a few hundred bytes.
	maxReportBytes = 64 << 10
)

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// New returns an Upstreamer without connections.
func New(clk clock.Clock) *Upstreamer {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleConnTimeout}
	transport := &http.Transport{
		DialContext: dialContext(dialer), MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleConnTimeout,
		DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		MaxResponseHeaderBytes: limitreader.MaxHeaderBytes,
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Upstreamer{
		clk:    clk,
		pooled: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

// Attempt is an attempt whose response has begun. Close must be called.
type Attempt struct {
	Response *http.Response
	// BeforeRead, if set, is called before each read of the response.
	BeforeRead func()
	// IsStream keeps bytes from extending the timeout; only Extend does. An engine
	// that has stalled may go on sending comments.
	IsStream     bool
	body         io.Reader
	cancel       context.CancelFunc
	timer        clock.Timer
	chunkTimeout time.Duration
	timedOut     atomic.Bool
}

// Open sends the request and waits for the response header. The Attempt is nil
// unless the Outcome is Opened; the caller must then read and close it.
func (u *Upstreamer) Open(ctx context.Context, s *Spec) (*Attempt, Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	a := &Attempt{cancel: cancel, chunkTimeout: s.ChunkTimeout}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := u.newRequest(httptrace.WithClientTrace(ctx, trace), s)
	if err != nil {
		cancel()
		return nil, Refused, errors.Trace(err)
	}
	a.timer = u.clk.AfterFunc(s.FirstByteTimeout, a.timeOut)
	client := u.pooled
	if s.NewConnection {
		client = u.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		a.timer.Stop()
		cancel()
		if a.timedOut.Load() {
			u.pooled.CloseIdleConnections()
			err = errors.WithType(err, ErrSilent)
		}
		if connected.Load() {
			return nil, Broken, err
		}
		return nil, Refused, err
	}
	a.Response = resp
	if id := resp.Header.Get(wire.HeaderAttempt); id != "" && id != s.Header.Get(wire.HeaderAttempt) {
		a.Close()
		u.pooled.CloseIdleConnections() // the response to this attempt may still arrive
		return nil, Broken, errOtherAttempt
	}
	if resp.StatusCode < http.StatusOK { // the transport skips interim responses, but for 101
		a.Close()
		return nil, Broken, errors.Errorf("upstream responded with status %d", resp.StatusCode)
	}
	if s.OnHeader != nil {
		s.OnHeader(resp.StatusCode, resp.Header)
	}
	a.Extend()
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(wire.HeaderNotRun) == "true" {
		a.Close()
		return nil, Refused, errors.Errorf("upstream refused the request with status %d and did not run it", resp.StatusCode)
	}
	a.body = resp.Body
	return a, Opened, nil
}

type nonRewindableReader struct{ io.Reader }

func (u *Upstreamer) newRequest(ctx context.Context, s *Spec) (*http.Request, error) {
	req, err := sling.New().Post(s.URL).Request()
	if err != nil {
		return nil, errors.Trace(err)
	}
	req = req.WithContext(ctx)
	req.Method = s.Method
	if s.NewConnection {
		// Without GetBody the transport can't rewind the body, so it never sends
		// the request twice.
		req.Body = io.NopCloser(nonRewindableReader{bytes.NewReader(s.Body)})
	} else {
		req.Body = io.NopCloser(bytes.NewReader(s.Body))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(s.Body)), nil }
	}
	req.ContentLength = int64(len(s.Body))
	if s.Header != nil {
		req.Header = s.Header
	}
	req.Header.Set("Content-Type", s.ContentType)
	if s.ResumeFrom >= 0 {
		req.Header.Set(wire.HeaderResumeFrom, strconv.Itoa(s.ResumeFrom))
	}
	return req, nil
}

func (a *Attempt) timeOut() {
	a.timedOut.Store(true)
	a.cancel()
}

// Read implements io.Reader. It fails if no byte arrives within the timeout, and for a
// stream if Extend isn't called within it.
func (a *Attempt) Read(p []byte) (int, error) {
	if a.BeforeRead != nil {
		a.BeforeRead()
	}
	n, err := a.body.Read(p)
	if !a.IsStream {
		a.Extend()
	}
	return n, err
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that the
// end of a broken connection may look like its end.
func (a *Attempt) EndsWithConnection() bool {
	return a.Response.ContentLength < 0 && len(a.Response.TransferEncoding) == 0
}

// Extend starts the timeout between chunks anew.
func (a *Attempt) Extend() { a.timer.Reset(a.chunkTimeout) }

// TimedOut reports whether the attempt was aborted because nothing arrived within
// the timeout.
func (a *Attempt) TimedOut() bool { return a.timedOut.Load() }

// Close releases the connection if the response was read to its end, and aborts
// the attempt otherwise.
func (a *Attempt) Close() {
	a.timer.Stop()
	_ = a.Response.Body.Close()
	a.cancel()
}

// FetchLoad requests the load report of the engine at the URL base.
func (u *Upstreamer) FetchLoad(ctx context.Context, base string) (wire.Load, error) {
	var l wire.Load
	req, err := sling.New().Get(base + "/load").Request()
	if err != nil {
		return l, errors.Trace(err)
	}
	resp, err := u.pooled.Do(req.WithContext(ctx))
	if err != nil {
		return l, errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := limitreader.ReadAll(resp.Body, maxReportBytes)
	if err != nil {
		return l, errors.Annotate(err, "read the load report")
	}
	if resp.StatusCode != http.StatusOK {
		return l, errors.Errorf("load report request failed with status %d", resp.StatusCode)
	}
	return l, errors.Trace(json.Unmarshal(body, &l))
}

// SendOrder sends an order to the engine at the URL base. It returns an error
// unless the engine accepted the order.
func (u *Upstreamer) SendOrder(ctx context.Context, base string, o wire.Order) error {
	req, err := sling.New().Post(base + "/orders").BodyJSON(o).Request()
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := u.fresh.Do(req.WithContext(ctx))
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("engine rejected the order with status %d", resp.StatusCode)
	}
	return nil
}
