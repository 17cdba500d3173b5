// Package upstreamer sends one attempt to an upstream and says how it ended.
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

	"github.com/auburnnotch/auburnnotch/internal/bounded"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Spec describes an attempt.
type Spec struct {
	Method      string
	URL         string
	ContentType string
	Body        []byte
	Header      http.Header
	// FreshConnection sends on a new connection, with a body that nothing
	// below can send again.
	FreshConnection bool
	// ResumeFrom asks for an attempt from an offset; -1 for a new one.
	ResumeFrom int
	// FirstByteTimeout bounds the wait for the answer's start, Between that for each
	// further piece of it.
	FirstByteTimeout, ChunkTimeout time.Duration
}

// Outcome is how the opening of an attempt went.
type Outcome uint8

// The outcomes.
const (
	// Opened means that the answer has begun.
	Opened Outcome = iota + 1
	// Refused means that the upstream did not run the request.
	Refused
	// Broken means that the request may have been run.
	Broken
)

// ErrSilent marks an attempt that was given up because nothing arrived in time.
const ErrSilent = errors.ConstError("upstream is silent")

// Upstreamer holds the connections to upstreams. It is safe for concurrent
// use.
type Upstreamer struct {
	clk    clock.Clock
	pooled *http.Client
	fresh  *http.Client
}

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 15 * time.Second
	idlePerUpstream = 256
	bufferBytes     = 4 << 10
	// reportBytes bounds a load report, which has some hundred bytes.
	reportBytes = 64 << 10
)

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// New returns an Upstreamer without connections.
func New(clk clock.Clock) *Upstreamer {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerUpstream, IdleConnTimeout: idleTimeout,
		DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		MaxResponseHeaderBytes: bounded.HeadBytes,
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Upstreamer{
		clk:    clk,
		pooled: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

// Attempt is an open answer. Close must be called.
type Attempt struct {
	Response *http.Response
	// OnWait, if set, is called before each wait for further bytes.
	BeforeRead func()
	body       io.Reader
	cancel     context.CancelFunc
	timer      clock.Timer
	between    time.Duration
	expired    atomic.Bool
}

// Open sends the request. With Opened the Attempt is to be read and closed.
func (u *Upstreamer) Open(ctx context.Context, s *Spec) (*Attempt, Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	a := &Attempt{cancel: cancel, between: s.ChunkTimeout}
	var touched atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { touched.Store(true) }}
	req, err := u.request(httptrace.WithClientTrace(ctx, trace), s)
	if err != nil {
		cancel()
		return nil, Refused, errors.Trace(err)
	}
	a.timer = u.clk.AfterFunc(s.FirstByteTimeout, a.expire)
	client := u.pooled
	if s.FreshConnection {
		client = u.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		a.timer.Stop()
		cancel()
		if a.expired.Load() {
			u.pooled.CloseIdleConnections()
			err = errors.WithType(err, ErrSilent)
		}
		if touched.Load() {
			return nil, Broken, err
		}
		return nil, Refused, err
	}
	a.timer.Reset(s.ChunkTimeout)
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(wire.HeaderNotRun) == "true" {
		a.Response = resp
		a.Close()
		return nil, Refused, errors.Errorf("upstream answered %d and did not run it", resp.StatusCode)
	}
	a.Response = resp
	a.body = resp.Body
	return a, Opened, nil
}

type onceReader struct{ io.Reader }

func (u *Upstreamer) request(ctx context.Context, s *Spec) (*http.Request, error) {
	req, err := sling.New().Post(s.URL).Request()
	if err != nil {
		return nil, errors.Trace(err)
	}
	req = req.WithContext(ctx)
	req.Method = s.Method
	if s.FreshConnection {
		// The transport can't rewind this reader, so it never sends it twice.
		req.Body = io.NopCloser(onceReader{bytes.NewReader(s.Body)})
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

func (a *Attempt) expire() {
	a.expired.Store(true)
	a.cancel()
}

// Read implements io.Reader. It fails when no byte arrives in time.
func (a *Attempt) Read(p []byte) (int, error) {
	if a.BeforeRead != nil {
		a.BeforeRead()
	}
	n, err := a.body.Read(p)
	a.timer.Reset(a.between)
	return n, err
}

// TimedOut reports whether the attempt ended because it made no progress.
func (a *Attempt) TimedOut() bool { return a.expired.Load() }

// Close gives the attempt up or, once it was read to its end, returns its
// connection.
func (a *Attempt) Close() {
	a.timer.Stop()
	_ = a.Response.Body.Close()
	a.cancel()
}

// FetchLoad asks an engine for its load report.
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
	body, err := bounded.ReadAll(resp.Body, reportBytes)
	if err != nil {
		return l, errors.Annotate(err, "load report")
	}
	if resp.StatusCode != http.StatusOK {
		return l, errors.Errorf("load report: status %d", resp.StatusCode)
	}
	return l, errors.Trace(json.Unmarshal(body, &l))
}

// SendOrder sends an order; it reports whether the engine took it.
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
		return errors.Errorf("order refused with status %d", resp.StatusCode)
	}
	return nil
}
