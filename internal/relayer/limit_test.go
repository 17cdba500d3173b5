package relayer_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// ample admits all requests of a test. scarce admits none, since a new bucket begins empty.
var (
	ample  = traffic.RateLimit{Rate: 1e7, Burst: 1e7, Tokens: true, PlainTokens: 40}
	scarce = traffic.RateLimit{Rate: 1000, Burst: 1e6, Tokens: true, PlainTokens: 40}
)

const limitedTokens = 900

// newLimitedFixture returns a fixture whose workspace has a limit.
func newLimitedFixture(t *testing.T, l traffic.RateLimit, scripts ...testlib.Script) *fixture {
	t.Helper()
	b := newFixture(t, scripts...)
	b.setLimit(2, "key", l)
	return b
}

func (b *fixture) setLimit(version uint64, key string, l traffic.RateLimit) {
	c := catalog(version, key)
	c.Workspaces[0].Limit = l
	b.fleet.set(c, b.boot.Elapsed())
}

// limitedRequest returns an attempt of a caller to send a request with a body.
func limitedRequest(path string) *relayer.Request {
	return &relayer.Request{
		ID: "id", Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"), Tokens: limitedTokens,
		Timeout: 2 * time.Second, Arrived: time.Now(),
	}
}

// serveLimited examines a request and then serves it, like the ingress.
func (b *fixture) serveLimited(t *testing.T, path string) *reply {
	t.Helper()
	r, req := &reply{}, limitedRequest(path)
	if a := b.relay.Examine(t.Context(), req, r); a.Kind() != failure.None {
		a.Refuse(a.Kind(), "")
		return r
	}
	b.relay.Serve(t.Context(), req, r)
	return r
}

func (b *fixture) checkUsage(t *testing.T, admitted int64, asked uint64) {
	t.Helper()
	var u limiter.Usage
	if usage := b.relay.TakeReport().Usage.Usage; len(usage) == 1 {
		u = usage[0]
	}
	if u.Admitted != admitted || u.Asked != asked {
		t.Errorf("reported usage %+v, want %d admitted and %d asked", u, admitted, asked)
	}
}

// Guards against work for a workspace that has used its limit, before and after its body is read.
func TestRequestOverTheLimitReachesNoUpstream(t *testing.T) {
	b := newLimitedFixture(t, scarce, ok)
	r := &reply{}
	b.relay.Serve(t.Context(), limitedRequest("/safe/"), r)
	for _, r := range []*reply{r, b.serveLimited(t, "/safe/")} {
		if r.kind != failure.RateLimited || r.kind.Response().Status != 429 || r.after < 250*time.Millisecond || r.after > 10*time.Second {
			t.Errorf("kind %s, retry after %s", r.kind, r.after)
		}
	}
	if b.sent() != 0 {
		t.Error("the upstream received a request")
	}
	e := b.hook.LastEntry()
	b.checkUsage(t, 0, 2*limitedTokens)
	if e.Data["event"] != "refused" || e.Data["kind"] != "rateLimited" || e.Data["cost"] != float64(limitedTokens) || e.Data["fraction"] != 0.0 {
		t.Errorf("last log entry %v", e.Data)
	}
}

// Guards against charges for each check, send or run of one attempt of a caller.
func TestRequestIsChargedOnce(t *testing.T) {
	for name, scripts := range map[string][]testlib.Script{"run once": {ok}, "retried": {failing, failing}, "run and reset": {resetting, resetting}} {
		t.Run(name, func(t *testing.T) {
			b := newLimitedFixture(t, ample, scripts...)
			if r := b.serveLimited(t, "/safe/"); r.starts != 1 || r.kind == failure.RateLimited || b.sent() != len(scripts) {
				t.Fatalf("%d responses, kind %s, sent %d times", r.starts, r.kind, b.sent())
			}
			b.checkUsage(t, limitedTokens, limitedTokens)
		})
	}
}

// Guards against charges for requests that no upstream has run.
func TestRequestThatDoesNotRunIsRefunded(t *testing.T) {
	for name, scripts := range map[string][]testlib.Script{"no upstream": nil, "refused by all": {refusing, refusing}} {
		t.Run(name, func(t *testing.T) {
			b := newLimitedFixture(t, ample, scripts...)
			if r := b.serveLimited(t, "/safe/"); r.kind != failure.NoUpstream {
				t.Fatalf("kind %s", r.kind)
			}
			b.checkUsage(t, 0, limitedTokens)
		})
	}
	for name, end := range map[string]func(*relayer.Arrival){
		"no memory":   func(a *relayer.Arrival) { a.Refuse(failure.Overloaded, "no memory") },
		"body unread": func(a *relayer.Arrival) { a.Drop() },
		"key revoked": nil,
	} {
		t.Run(name, func(t *testing.T) {
			b := newLimitedFixture(t, ample, ok)
			req := limitedRequest("/safe/")
			a := b.relay.Examine(t.Context(), req, &reply{})
			b.checkUsage(t, limitedTokens, limitedTokens)
			if end != nil {
				end(a)
			} else {
				b.setLimit(3, "other", ample)
				b.relay.Serve(t.Context(), req, &reply{})
			}
			b.checkUsage(t, 0, limitedTokens)
		})
	}
}

// Guards against limits for requests that have none, which would report usage.
func TestRequestWithoutLimitIsNotCharged(t *testing.T) {
	b := newLimitedFixture(t, traffic.RateLimit{}, ok)
	if r := b.serveLimited(t, "/safe/"); r.status != 200 {
		t.Errorf("status %d, kind %s", r.status, r.kind)
	}
	if u := b.relay.TakeReport().Usage.Usage; len(u) > 0 {
		t.Errorf("usage %v", u)
	}
}

// Guards against requests without known tokens that cost nothing.
func TestCostOfRequest(t *testing.T) {
	for _, c := range []struct {
		limit  traffic.RateLimit
		tokens int
		cost   float64
	}{
		{ample, 900, 900},
		{ample, 0, 40},
		{traffic.RateLimit{Rate: 1, Burst: 1, PlainTokens: 40}, 900, 1},
	} {
		if got := c.limit.Cost(c.tokens); got != c.cost {
			t.Errorf("%+v with %d tokens: cost %v, want %v", c.limit, c.tokens, got, c.cost)
		}
	}
}
