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

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/proxier"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

// Names in the configuration of the fleet.
const (
	host         = "soak.example"
	model        = "assistant"
	dataCentre   = "dc-1"
	plainService = "ledger"
	otherService = "ledger-next"
	engines      = "engines"
	prefixMoving = "/moving/"
	prefixLong   = "/long/"
	// KeyCount is the number of workspaces, each of which has one key.
	KeyCount = 6
	// PlainRoutes and StreamRoutes are the numbers of routes to plain services and of
	// routes for short streams.
	PlainRoutes, StreamRoutes = 3, 2
)

const (
	plainResponseTime = 15 * time.Millisecond
	eventInterval     = 12 * time.Millisecond
	weightsLoadTime   = 400 * time.Millisecond
	plainSlots        = 16
	engineSlots       = 64
	// heartbeatInterval is the time between an upstream's heartbeats on the platform,
	// heartbeatExpiry the time without one after which it is removed.
	heartbeatInterval = time.Second
	heartbeatExpiry   = 3 * time.Second
	routeTimeout      = 4 * time.Second
	// Timeout and objectives of the route for long streams.
	longRouteTimeout     = 12 * time.Second
	longLatencyObjective = 2 * time.Second
	longPauseObjective   = time.Second
)

// route is a route of the configuration and the method of its requests.
type route struct {
	traffic.Route
	method string
}

// routes returns all routes. The moving route's service depends on moved.
func routes(moved bool) []route {
	target := func(service string) []traffic.Target { return []traffic.Target{{Service: service, Weight: 1}} }
	moving := plainService
	if moved {
		moving = otherService
	}
	base := traffic.Route{Host: host, Timeout: routeTimeout, LatencyObjective: 200 * time.Millisecond, PauseObjective: 500 * time.Millisecond}
	newRoute := func(prefix string, k traffic.Kind, attempts int, targets []traffic.Target) traffic.Route {
		r := base
		r.Name, r.Prefix, r.Kind, r.MaxAttempts, r.Targets = prefix[1:len(prefix)-1], prefix, k, attempts, targets
		return r
	}
	stream := newRoute("/stream/", traffic.Streaming, 2, target(engines))
	stream.Resumable, stream.CacheAffinity = true, true
	once := newRoute("/once/", traffic.Streaming, 1, target(engines))
	once.CacheAffinity = true
	long := newRoute(prefixLong, traffic.Streaming, 2, target(engines))
	long.Resumable, long.CacheAffinity, long.Timeout, long.LatencyObjective, long.PauseObjective = true, true, longRouteTimeout, longLatencyObjective, longPauseObjective
	return []route{
		{newRoute("/safe/", traffic.Safe, 2, target(plainService)), http.MethodGet},
		{newRoute("/unsafe/", traffic.Unsafe, 1, target(plainService)), http.MethodPost},
		{newRoute(prefixMoving, traffic.Safe, 2, target(moving)), http.MethodGet},
		{stream, http.MethodPost},
		{once, http.MethodPost},
		{long, http.MethodPost}, // callers expect the route for long streams to be the last
	}
}

func key(i int) string       { return fmt.Sprint("key-", i) }
func workspace(i int) string { return fmt.Sprint("workspace-", i) }

// configure writes a new configuration with the current keys and routes.
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
		Limits: s.declared.limits,
	}
	for _, r := range routes(s.routeMoved) {
		r.Timeout = time.Duration(float64(r.Timeout) * s.declared.factor())
		c.Routes = append(c.Routes, r.Route)
	}
	c.Routes = append(c.Routes, s.declared.routes()...)
	for i := range KeyCount {
		if s.removed[i] {
			continue
		}
		w := s.declared.workspace(i)
		w.Isolated = (i%2 == 0) != s.wallChanged[i]
		if _, revoked := s.history.RevokedAt[key(i)]; revoked {
			w.Keys = []string{}
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	c.Workspaces = append(c.Workspaces, s.limitedWorkspaces()...)
	service := plainService
	if s.routeMoved {
		service = otherService
	}
	s.history.RouteChanges = append(s.history.RouteChanges, checker.RouteChange{At: s.clk.Now(), Service: service})
	s.mu.Unlock()
	if err := s.ops.Configure(c); err != nil {
		return errors.Trace(err)
	}
	s.recordWalls(c.Workspaces)
	return nil
}

// recordWalls records which workspaces a configuration has isolated, or no longer does.
func (s *Soaker) recordWalls(workspaces []traffic.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]bool{}
	for _, w := range s.history.Walls {
		last[w.Workspace] = w.Isolated
	}
	for _, w := range workspaces {
		if last[w.Name] != w.Isolated {
			s.history.Walls = append(s.history.Walls, checker.Wall{At: s.clk.Now(), Workspace: w.Name, Isolated: w.Isolated})
		}
	}
}

// incarnation is the state of an upstream from one start to the next.
type incarnation struct {
	registration traffic.Upstream
	server       *upstream.Upstream
	heartbeats   int
	stopped      bool // no longer sends heartbeats
}

// endpoint is an address that successive upstreams use.
type endpoint struct {
	index   int
	service string
	proxy   *proxier.Proxier
	current atomic.Pointer[incarnation]
}

// newEndpoint listens on a new address and starts an upstream there.
func (s *Soaker) newEndpoint(ctx context.Context, g *errgroup.Group, i int) (*endpoint, error) {
	ep := &endpoint{index: i, service: plainService}
	switch {
	case i >= 2*s.settings.PlainBackEnds:
		ep.service = engines
	case i >= s.settings.PlainBackEnds:
		ep.service = otherService
	}
	addr, err := serve(ctx, g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ep.current.Load().server.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	if ep.proxy, err = proxier.New(s.clk, "127.0.0.1:0", addr); err != nil {
		return nil, errors.Trace(err)
	}
	g.Go(func() error { return ep.proxy.Run(ctx) })
	s.startUpstream(ctx, ep)
	return ep, nil
}

// serve runs an HTTP server until ctx ends, and returns its address.
func serve(ctx context.Context, g *errgroup.Group, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "listen for stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: upstream.ConnContext}
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

// startUpstream starts an upstream with a new ID at an endpoint.
func (s *Soaker) startUpstream(ctx context.Context, ep *endpoint) {
	s.mu.Lock()
	s.upstreamsStarted++
	id, version := fmt.Sprint("up-", s.upstreamsStarted), s.weightsVersion
	s.mu.Unlock()
	s.startIncarnation(ctx, ep, id, version)
}

// startIncarnation replaces the upstream at an endpoint by a new incarnation with
// the given ID and version of the weights.
func (s *Soaker) startIncarnation(ctx context.Context, ep *endpoint, id string, version int) {
	o := upstream.Options{ID: id, Slots: plainSlots, WorkTime: plainResponseTime}
	up := traffic.Upstream{
		ID: id, StartedMS: s.clk.Now().UnixMilli(), Service: ep.service, Address: ep.proxy.Addr(), DataCentre: dataCentre, Slots: o.Slots,
	}
	if ep.service == engines {
		o = upstream.Options{ID: id, Slots: engineSlots, WorkTime: eventInterval, LongPrefix: prefixLong, Model: model, Version: version, LoadTime: weightsLoadTime}
		up.Slots = o.Slots
	}
	inc := &incarnation{registration: up}
	o.Crash = func(requestID string) { s.crashUpstream(ctx, ep, inc, poisonRestartTime, requestID) }
	seed := s.settings.Seed ^ uint64(ep.index)<<32
	inc.server = upstream.New(o, s.clk, recorder{s: s, service: ep.service, inc: inc}, rand.New(rand.NewPCG(seed, uint64(len(id)))))
	ep.current.Store(inc)
}

// sendHeartbeats registers the running upstreams periodically and removes those
// whose heartbeats have expired.
func (s *Soaker) sendHeartbeats(ctx context.Context) {
	lastSent := map[string]time.Time{}
	for ctx.Err() == nil {
		for _, ep := range s.endpoints {
			inc := ep.current.Load()
			if !s.isStopped(inc) {
				lastSent[inc.registration.ID] = s.clk.Now()
				s.register(inc)
			}
		}
		for id, at := range lastSent {
			if s.clk.Now().Sub(at) > heartbeatExpiry {
				s.ops.Remove(id)
				delete(lastSent, id)
			}
		}
		clock.Sleep(ctx, s.clk, heartbeatInterval)
	}
}

func (s *Soaker) isStopped(inc *incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return inc.stopped
}

func (s *Soaker) register(inc *incarnation) {
	s.mu.Lock()
	inc.heartbeats++
	u, n := inc.registration, inc.heartbeats
	s.mu.Unlock()
	if u.Service == engines {
		u.Models = map[string]int{model: inc.server.Version()}
	}
	if err := s.ops.Register(&u, n); err != nil {
		s.log.WithError(err).WithField("event", "registerFailed").Error("failed to register upstream")
	}
}

// recorder implements upstream.Recorder for the upstreams of a service. It adds runs
// and orders to the history.
type recorder struct {
	s       *Soaker
	service string
	inc     *incarnation
}

func (r recorder) RecordRun(run upstream.Run) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.runs[runKey{run.ID, run.Upstream}] = len(r.s.history.Runs)
	r.s.history.Runs = append(r.s.history.Runs, checker.Run{
		ID: run.ID, Upstream: run.Upstream, Service: r.service, StartedAt: run.At, Workspace: run.Workspace, Method: run.Method, Target: run.Target,
		BodyHash: run.BodyHash, Key: run.APIKey, CacheSalt: run.CacheSalt, ResumedAfter: run.LastEventID,
		Leaving: run.Leaving, Rate: run.Rate, Faulty: run.Faulty, Aborted: r.inc.stopped,
	})
}

func (r recorder) RecordEnd(id, up string, status int, outcome upstream.Outcome) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if i, ok := r.s.runs[runKey{id, up}]; ok {
		run := &r.s.history.Runs[i]
		run.Status, run.Complete, run.Ended, run.EndedAt = status, outcome == upstream.Completed, true, r.s.clk.Now()
		run.Aborted = run.Aborted || outcome == upstream.BrokenByUpstream
	}
}

func (r recorder) RecordTurnAway(t upstream.TurnAway) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.history.TurnAways = append(r.s.history.TurnAways, checker.TurnAway{At: t.At, ID: t.ID, Upstream: t.Upstream, For: t.For})
}

func (r recorder) RecordOrder(o upstream.Order) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.history.Orders = append(r.s.history.Orders, checker.Order{At: o.At, Upstream: o.Upstream, Leader: o.Leader, FencingToken: o.FencingToken})
}
