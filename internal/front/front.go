package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/configkeeper"
	"github.com/auburnnotch/auburnnotch/internal/drainer"
	"github.com/auburnnotch/auburnnotch/internal/gossiper"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/isolator"
	"github.com/auburnnotch/auburnnotch/internal/ledger"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/pacer"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/selector"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Dependencies holds the services that a Front uses.
type Dependencies struct {
	Clock     clock.Clock
	Log       logrus.FieldLogger
	Meter     *meter.Meter
	Memory    *memorykeeper.Keeper
	Config    *configkeeper.Keeper
	Members   *gossiper.Gossiper
	Scheduler *scheduler.Scheduler
	Isolator  *isolator.Isolator
	Ledger    *ledger.Ledger
	Upstreams *upstreamer.Upstreamer
	Pacer     *pacer.Pacer
	Hinter    *hinter.Hinter
	Selector  selector.Selector
	Drainer   *drainer.Drainer
}

// Front is the HTTP server of a node. It implements supervisor.Service.
type Front struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	meter     *meter.Meter
	memory    *memorykeeper.Keeper
	config    *configkeeper.Keeper
	members   *gossiper.Gossiper
	sched     *scheduler.Scheduler
	isolator  *isolator.Isolator
	ledger    *ledger.Ledger
	upstreams *upstreamer.Upstreamer
	pacer     *pacer.Pacer
	hinter    *hinter.Hinter
	selector  selector.Selector
	drainer   *drainer.Drainer
	settings  config.Settings
	limits    config.Limits
	signer    token.Signer
	listener  net.Listener
	tickets   atomic.Uint64
	draining  atomic.Bool
}

// New returns a Front that listens on the address in the settings. It listens
// before Run is called, so that an unusable address is reported at startup.
func New(s config.Settings, deps Dependencies) (*Front, error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on the configured address; choose a free one in the settings")
	}
	return &Front{
		clk: deps.Clock, log: deps.Log, meter: deps.Meter, memory: deps.Memory, config: deps.Config, members: deps.Members, sched: deps.Scheduler, isolator: deps.Isolator,
		ledger: deps.Ledger, upstreams: deps.Upstreams, pacer: deps.Pacer, hinter: deps.Hinter, selector: deps.Selector, drainer: deps.Drainer, settings: s, limits: s.Limits, signer: token.New(s.PeerSecret),
		listener: netutil.LimitListener(closer.Expose(ln), s.Limits.Connections),
	}, nil
}

// Name implements supervisor.Service.
func (f *Front) Name() string { return "front" }

// Addr returns the address that f listens on.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Run serves until ctx ends and then shuts down gracefully. It leaves the list of
// entry nodes, keeps serving for as long as callers may cache an old list, stops
// accepting connections, and returns when every accepted request has its
// response.
func (f *Front) Run(ctx context.Context) error {
	conns := closer.New(f.clk).WithLimits(closer.Limits{Bounds: f.bounds, Unread: f.headerUnread})
	routes := f.recoverer(f.routes())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conns.Closing() {
			w.Header().Set("Connection", "close")
		}
		routes.ServeHTTP(w, r)
	})
	srv := &http.Server{ConnState: conns.ConnState, ConnContext: conns.ConnContext, Handler: handler, MaxHeaderBytes: f.limits.HeaderBytes}
	g, serveCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	g.Go(func() error {
		if err := srv.Serve(conns.Wrap(f.listener)); !conns.Closing() {
			return errors.Trace(err)
		}
		return nil
	})
	select {
	case <-ctx.Done():
	case <-serveCtx.Done():
		return g.Wait()
	}
	f.log.WithField("event", "draining").Info("draining: leaving the list of entry nodes")
	f.draining.Store(true)
	f.members.Leave()
	<-f.clk.After(config.Seconds(f.limits.EntrySeconds))
	conns.Shutdown(context.WithoutCancel(ctx))
	_ = srv.Close() // no connection is open at this point
	err := g.Wait()
	f.awaitLedger()
	f.log.WithField("event", "drained").Info("drained: every accepted request has its response")
	return err
}

// awaitLedger waits for the ledger to commit its pending claims and responses. It
// gives up after maxPolls checks.
func (f *Front) awaitLedger() {
	const (
		pollInterval = 100 * time.Millisecond
		maxPolls     = 30
	)
	for range maxPolls {
		if f.ledger.Pending() == 0 {
			return
		}
		<-f.clk.After(pollInterval)
	}
}

func (f *Front) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", f.handleCall)
	mux.HandleFunc("POST /v1/completions", f.handleCall)
	mux.HandleFunc("/v1/services/", f.handleCall)
	mux.HandleFunc("GET /v1/entries", f.entries)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", f.ready)
	mux.HandleFunc("GET /v1/status", f.requireOperator(f.status))
	mux.HandleFunc("GET /v1/declaration", f.requireOperator(f.declaration))
	mux.HandleFunc("GET /v1/plan", f.requireOperator(f.plan))
	mux.HandleFunc("PUT /v1/declaration", f.requireOperator(f.submit))
	mux.Handle("GET /metrics", f.requireOperator(f.meter.Handler().ServeHTTP))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f.refuseUnread(w, r, failure.UnknownRoute, "no such path: "+r.URL.Path)
	})
	return mux
}

// handleCall serves a completion request or a service call.
func (f *Front) handleCall(w http.ResponseWriter, r *http.Request) {
	if err := f.members.AwaitPeers(r.Context()); err != nil {
		f.refuseUnread(w, r, failure.CallerGone, failureMessage(failure.CallerGone)) // it may have closed its sending side only
		return
	}
	f.awaitConfig(r.Context())
	j, err := f.receive(w, r)
	if err != nil {
		k, msg := asFailure(err)
		f.refuseUnread(w, r, k, msg)
		return
	}
	defer j.release()
	if err := f.parse(r, j); err != nil {
		k, msg := asFailure(err)
		f.refuse(w, j.id, k, msg)
		return
	}
	call := f.newRunner(w, r, j)
	call.serve()
	if call.cut {
		// A return would end the stream as if it were complete. A caller that has closed its
		// sending side only would take that for the upstream's response.
		panic(http.ErrAbortHandler)
	}
}

// awaitConfig waits briefly for a node that has just started to receive the
// configuration from a peer, so that its first requests are not rejected.
func (f *Front) awaitConfig(ctx context.Context) {
	const (
		maxPolls     = 30
		pollInterval = 10 * time.Millisecond
	)
	for range maxPolls {
		if f.config.Current() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.clk.After(pollInterval):
		}
	}
}

// ready responds to the readiness check. A node that is draining or has no
// configuration is not ready.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.config.Current() == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
