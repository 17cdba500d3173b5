// Package platform contains the client of the platform's key-value service, and the
// interface Store of a key-value store with transactions and leases.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/limitreader"
)

// Errors of a call. After Uncertain, a write may or may not have taken effect.
const (
	Conflict    = errors.ConstError("version conflict")
	Unavailable = errors.ConstError("platform unavailable")
	Uncertain   = errors.ConstError("platform reply lost")
)

// Entry is the state of one key. Version 0 means that the key is absent.
type Entry struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Lease is a lease that the platform granted.
type Lease struct {
	ID         string `json:"id"`
	TTLSeconds int    `json:"ttlSeconds"`
}

// Line is the budget line of a call: platform calls are counted by purpose.
type Line string

// The budget lines.
const (
	LineConfig Line = "config"
	LineLedger Line = "ledger"
	LineOrders Line = "orders"
	LineVMs    Line = "vms"
)

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	base  *sling.Sling
	http  *http.Client
	scope tally.Scope
}

const maxValueBytes = 1 << 20

// New returns a Client of the service at url. It counts each call in scope, by
// budget line.
func New(url string, hc *http.Client, scope tally.Scope) *Client {
	return &Client{base: sling.New().Base(url).Client(hc), http: hc, scope: scope}
}

// NewHTTPClient returns an HTTP client for New, with a limit on the headers of responses.
func NewHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = limitreader.MaxHeaderBytes
	return &http.Client{Transport: t}
}

// Get returns the state of key.
func (c *Client) Get(ctx context.Context, line Line, key string) (Entry, error) {
	return c.read(ctx, line, c.base.New().Get("/v1/kv/"+key))
}

type watchParams struct {
	After       uint64 `url:"after"`
	WaitSeconds int    `url:"waitSeconds"`
}

// Watch waits until key has a version other than after, but at most for wait, and
// returns the state of key at that time.
func (c *Client) Watch(ctx context.Context, line Line, key string, after uint64, wait time.Duration) (Entry, error) {
	q := &watchParams{After: after, WaitSeconds: int(wait / time.Second)}
	return c.read(ctx, line, c.base.New().Get("/v1/kv/"+key).QueryStruct(q))
}

func (c *Client) read(ctx context.Context, line Line, s *sling.Sling) (Entry, error) {
	var e Entry
	status, err := c.do(ctx, line, s, &e)
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return Entry{}, Unavailable
	case status == http.StatusNotFound:
		return Entry{}, nil
	case status != http.StatusOK:
		return Entry{}, errors.Errorf("platform answered %d", status)
	}
	return e, nil
}

type casParams struct {
	Version uint64 `url:"version"`
	Lease   string `url:"lease,omitempty"`
}

// CompareAndSwap writes value if key still has the given version, where 0 means
// that it is absent, and returns the new version. If lease is not empty, the key
// is removed when that lease ends.
func (c *Client) CompareAndSwap(ctx context.Context, line Line, key string, value []byte, version uint64, lease string) (uint64, error) {
	s := c.base.New().Put("/v1/kv/" + key).QueryStruct(&casParams{Version: version, Lease: lease}).
		BodyJSON(&Entry{Value: value})
	var e Entry
	status, err := c.do(ctx, line, s, &e)
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return 0, Uncertain
	case status == http.StatusConflict:
		return 0, Conflict
	case status != http.StatusOK:
		return 0, errors.Errorf("platform answered %d", status)
	}
	return e.Version, nil
}

// GrantLease requests a new lease of ttl.
func (c *Client) GrantLease(ctx context.Context, line Line, ttl time.Duration) (Lease, error) {
	var l Lease
	s := c.base.New().Post("/v1/leases").BodyJSON(&Lease{TTLSeconds: int(ttl / time.Second)})
	status, err := c.do(ctx, line, s, &l)
	if err != nil || status != http.StatusOK {
		return Lease{}, Unavailable
	}
	return l, nil
}

// RenewLease extends a lease. The error is NotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, line Line, id string) error {
	status, err := c.do(ctx, line, c.base.New().Put("/v1/leases/"+id), nil)
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return Unavailable
	case status == http.StatusNotFound:
		return errors.NotFoundf("lease")
	}
	return nil
}

// EndLease ends a lease.
func (c *Client) EndLease(ctx context.Context, line Line, id string) error {
	_, err := c.do(ctx, line, c.base.New().Delete("/v1/leases/"+id), nil)
	return errors.Trace(err)
}

// do counts and sends a request and decodes the body of a 200 response into dst.
// It returns the status code.
func (c *Client) do(ctx context.Context, line Line, s *sling.Sling, dst any) (int, error) {
	c.scope.Tagged(map[string]string{"line": string(line)}).Counter("platform_calls").Inc(1)
	req, err := s.Request()
	if err != nil {
		return 0, errors.Trace(err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := limitreader.ReadAll(resp.Body, 2*maxValueBytes)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if resp.StatusCode == http.StatusOK && dst != nil {
		return resp.StatusCode, errors.Trace(json.Unmarshal(body, dst))
	}
	return resp.StatusCode, nil
}

// ParseVersion parses a version in decimal notation.
func ParseVersion(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) }
