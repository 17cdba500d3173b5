package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/judge"
	"github.com/auburnnotch/auburnnotch/internal/soak/proxier"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

// What the fleet is configured to.
const (
	host         = "soak.example"
	model        = "assistant"
	dataCentre   = "dc-1"
	plainService = "ledger"
	otherService = "ledger-next"
	engines      = "engines"
	prefixMoving = "/moving/"
	prefixLong   = "/long/"
	// Keys is the number of workspaces, with a key each.
	Keys = 6
)

const (
	plainWork   = 15 * time.Millisecond
	eventWork   = 12 * time.Millisecond
	loadTime    = 400 * time.Millisecond
	plainSlots  = 16
	engineSlots = 64
	// beatEvery and lapse are the times of upstreams' heartbeats on the platform.
	beatEvery = time.Second
	lapse     = 3 * time.Second
	timeout   = 4 * time.Second
	// longTimeout, longObjective and longPause are those of the long streams.
	longTimeout   = 12 * time.Second
	longObjective = 2 * time.Second
	longPause     = time.Second
)

// route describes a kind of request of the soak.
type route struct {
	traffic.Route
	method string
}

func routes(moved bool) []route {
	to := func(service string) []traffic.Target { return []traffic.Target{{Service: service, Weight: 1}} }
	moving := plainService
	if moved {
		moving = otherService
	}
	base := traffic.Route{Host: host, Timeout: timeout, LatencyObjective: 200 * time.Millisecond, PauseObjective: 500 * time.Millisecond}
	with := func(prefix string, k traffic.Kind, attempts int, targets []traffic.Target) traffic.Route {
		r := base
		r.Name, r.Prefix, r.Kind, r.MaxAttempts, r.Targets = prefix[1:len(prefix)-1], prefix, k, attempts, targets
		return r
	}
	stream := with("/stream/", traffic.Streaming, 2, to(engines))
	stream.Resumable, stream.CacheAffinity = true, true
	once := with("/once/", traffic.Streaming, 1, to(engines))
	once.CacheAffinity = true
	long := with(prefixLong, traffic.Streaming, 2, to(engines))
	long.Resumable, long.CacheAffinity, long.Timeout, long.LatencyObjective, long.PauseObjective = true, true, longTimeout, longObjective, longPause
	return []route{
		{with("/safe/", traffic.Safe, 2, to(plainService)), http.MethodGet},
		{with("/unsafe/", traffic.Unsafe, 1, to(plainService)), http.MethodPost},
		{with(prefixMoving, traffic.Safe, 2, to(moving)), http.MethodGet},
		{stream, http.MethodPost},
		{once, http.MethodPost},
		{long, http.MethodPost}, // the last
	}
}

func key(i int) string       { return fmt.Sprint("key-", i) }
func workspace(i int) string { return fmt.Sprint("workspace-", i) }

// configure puts the present state in force.
func (s *Soaker) configure() error {
	s.mu.Lock()
	s.version++
	c := &traffic.Catalog{
		Version: s.version,
		Services: []traffic.Service{
			{Name: plainService, HealthPath: "/health", MaxConnections: 400},
			{Name: otherService, HealthPath: "/health", MaxConnections: 400},
			{Name: engines, HealthPath: "/health", MaxConnections: 400, Engine: &traffic.EngineSpec{Slots: engineSlots, MemoryTokens: 90_000, TokenBytes: 18_432}},
		},
		Limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second},
	}
	for _, r := range routes(s.moved) {
		c.Routes = append(c.Routes, r.Route)
	}
	for i := range Keys {
		w := traffic.Workspace{Name: workspace(i), Keys: []string{key(i)}, Isolated: i%2 == 0}
		if _, taken := s.history.Taken[key(i)]; taken {
			w.Keys = []string{}
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	service := plainService
	if s.moved {
		service = otherService
	}
	s.history.Moves = append(s.history.Moves, judge.Move{At: s.clk.Now(), Service: service})
	s.mu.Unlock()
	return errors.Trace(s.ops.Configure(c))
}

// life is one upstream at an address.
type life struct {
	up      traffic.Upstream
	program *upstream.Upstream
	beats   int
	gone    bool // it gives no heartbeats any more
}

// slot is an address at which upstreams live, one after the other.
type slot struct {
	index   int
	service string
	proxy   *proxier.Proxier
	life    atomic.Pointer[life]
}

func (s *Soaker) newSlot(ctx context.Context, g *errgroup.Group, i int) (*slot, error) {
	sl := &slot{index: i, service: plainService}
	switch {
	case i >= 2*s.set.Plain:
		sl.service = engines
	case i >= s.set.Plain:
		sl.service = otherService
	}
	addr, err := serve(ctx, g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sl.life.Load().program.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	if sl.proxy, err = proxier.New(s.clk, "127.0.0.1:0", addr); err != nil {
		return nil, errors.Trace(err)
	}
	g.Go(func() error { return sl.proxy.Run(ctx) })
	s.live(sl)
	return sl, nil
}

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, g *errgroup.Group, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	g.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}
		return nil
	})
	return l.Addr().String(), nil
}

// live lets a new upstream begin at a slot's address.
func (s *Soaker) live(sl *slot) {
	s.mu.Lock()
	s.names++
	id, version := fmt.Sprint("up-", s.names), s.weights
	s.mu.Unlock()
	s.begin(sl, id, version)
}

func (s *Soaker) begin(sl *slot, id string, version int) {
	o := upstream.Options{ID: id, Slots: plainSlots, WorkTime: plainWork}
	up := traffic.Upstream{
		ID: id, StartedMS: s.clk.Now().UnixMilli(), Service: sl.service, Address: sl.proxy.Addr(), DataCentre: dataCentre, Slots: o.Slots,
	}
	if sl.service == engines {
		o = upstream.Options{ID: id, Slots: engineSlots, WorkTime: eventWork, LongPrefix: prefixLong, Model: model, Version: version, LoadTime: loadTime}
		up.Slots = o.Slots
	}
	seed := s.set.Seed ^ uint64(sl.index)<<32
	sl.life.Store(&life{up: up, program: upstream.New(o, s.clk, recorder{s: s, service: sl.service}, rand.New(rand.NewPCG(seed, uint64(len(id)))))})
}

// beat registers the upstreams again and again, and drops those that are gone.
func (s *Soaker) beat(ctx context.Context) {
	last := map[string]time.Time{}
	for ctx.Err() == nil {
		for _, sl := range s.slots {
			l := sl.life.Load()
			if !s.isGone(l) {
				last[l.up.ID] = s.clk.Now()
				s.register(l)
			}
		}
		for id, at := range last {
			if s.clk.Now().Sub(at) > lapse {
				s.ops.Remove(id)
				delete(last, id)
			}
		}
		clock.Sleep(ctx, s.clk, beatEvery)
	}
}

func (s *Soaker) isGone(l *life) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.gone
}

func (s *Soaker) register(l *life) {
	s.mu.Lock()
	l.beats++
	u, n := l.up, l.beats
	s.mu.Unlock()
	if u.Service == engines {
		u.Models = map[string]int{model: l.program.Version()}
	}
	if err := s.ops.Register(&u, n); err != nil {
		s.log.WithError(err).WithField("event", "registerFailed").Error("an upstream isn't registered")
	}
}

// recorder implements upstream.Recorder for the upstreams of a service.
type recorder struct {
	s       *Soaker
	service string
}

func (r recorder) RecordRun(x upstream.Run) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.runs[runKey{x.ID, x.Upstream}] = len(r.s.history.Runs)
	r.s.history.Runs = append(r.s.history.Runs, judge.Run{
		ID: x.ID, Upstream: x.Upstream, Service: r.service, At: x.At, Tenant: x.Workspace, Method: x.Method, Target: x.Target,
		BodyHash: x.BodyHash, Key: x.APIKey, After: x.LastEventID,
	})
}

func (r recorder) RecordEnd(id, up string, status int, end upstream.Outcome) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if i, ok := r.s.runs[runKey{id, up}]; ok {
		run := &r.s.history.Runs[i]
		run.Status, run.Whole, run.Ended, run.EndedAt = status, end == upstream.Completed, true, r.s.clk.Now()
		run.Broke = run.Broke || end == upstream.BrokenByUpstream
	}
}

func (r recorder) RecordOrder(o upstream.Order) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.history.Orders = append(r.s.history.Orders, judge.Order{At: o.At, Upstream: o.Upstream, Holder: o.Leader, Fence: o.FencingToken})
}
