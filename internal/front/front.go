package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/configkeeper"
	"github.com/auburnnotch/auburnnotch/internal/drainer"
	"github.com/auburnnotch/auburnnotch/internal/gossiper"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/ledger"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/selector"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Dependencies are the services that a Front uses.
type Dependencies struct {
	Clock     clock.Clock
	Log       logrus.FieldLogger
	Meter     *meter.Meter
	Config    *configkeeper.Keeper
	Members   *gossiper.Gossiper
	Scheduler *scheduler.Scheduler
	Ledger    *ledger.Ledger
	Upstreams *upstreamer.Upstreamer
	Hinter    *hinter.Hinter
	Selector  selector.Selector
	Drainer   *drainer.Drainer
}

// Front is a supervisor service.
type Front struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	meter     *meter.Meter
	config    *configkeeper.Keeper
	members   *gossiper.Gossiper
	sched     *scheduler.Scheduler
	ledger    *ledger.Ledger
	upstreams *upstreamer.Upstreamer
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

// New returns a Front that listens already, so that a bad address shows at
// once.
func New(s config.Settings, p Dependencies) (*Front, error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "listen: choose a free address in the settings")
	}
	return &Front{
		clk: p.Clock, log: p.Log, meter: p.Meter, config: p.Config, members: p.Members, sched: p.Scheduler,
		ledger: p.Ledger, upstreams: p.Upstreams, hinter: p.Hinter, selector: p.Selector, drainer: p.Drainer, settings: s, limits: s.Limits, signer: token.New(s.PeerSecret),
		listener: netutil.LimitListener(ln, s.Limits.Connections),
	}, nil
}

// Name implements supervisor.Service.
func (f *Front) Name() string { return "front" }

// Addr returns the address it listens on.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Run serves until ctx ends, and then until every accepted request has its
// answer: it leaves the list of entries, waits as long as callers may keep an
// old list, stops accepting, and finishes what runs.
func (f *Front) Run(ctx context.Context) error {
	conns := closer.New(f.clk)
	routes := f.routes()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conns.Closing() {
			w.Header().Set("Connection", "close")
		}
		routes.ServeHTTP(w, r)
	})
	srv := &http.Server{
		ConnState: conns.ConnState, Handler: handler, ReadHeaderTimeout: config.Seconds(f.limits.HeaderSeconds),
		MaxHeaderBytes: f.limits.HeaderBytes, IdleTimeout: time.Minute,
	}
	g, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	g.Go(func() error {
		if err := srv.Serve(conns.Wrap(f.listener)); !conns.Closing() {
			return errors.Trace(err)
		}
		return nil
	})
	select {
	case <-ctx.Done():
	case <-failed.Done():
		return g.Wait()
	}
	f.log.WithField("event", "draining").Info("leaving the list of entries")
	f.draining.Store(true)
	f.members.Leave()
	<-f.clk.After(config.Seconds(f.limits.EntrySeconds))
	conns.Finish(context.WithoutCancel(ctx))
	_ = srv.Close() // nothing is open any more
	err := g.Wait()
	f.flushLedger()
	f.log.WithField("event", "drained").Info("every accepted request is answered")
	return err
}

// flushLedger waits a while for the answers that are yet to be kept.
func (f *Front) flushLedger() {
	const (
		pause = 100 * time.Millisecond
		tries = 30
	)
	for range tries {
		if f.ledger.Pending() == 0 {
			return
		}
		<-f.clk.After(pause)
	}
}

func (f *Front) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", f.call)
	mux.HandleFunc("POST /v1/completions", f.call)
	mux.HandleFunc("/v1/services/", f.call)
	mux.HandleFunc("GET /v1/entries", f.entries)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", f.ready)
	mux.HandleFunc("GET /v1/status", f.operator(f.status))
	mux.HandleFunc("GET /v1/declaration", f.operator(f.declaration))
	mux.HandleFunc("GET /v1/plan", f.operator(f.plan))
	mux.HandleFunc("PUT /v1/declaration", f.operator(f.submit))
	mux.Handle("GET /metrics", f.operator(f.meter.Handler().ServeHTTP))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f.refuse(w, uuid.NewString(), failure.UnknownRoute, "no such path: "+r.URL.Path)
	})
	return mux
}

// call takes a request of a caller.
func (f *Front) call(w http.ResponseWriter, r *http.Request) {
	if err := f.members.AwaitPeers(r.Context()); err != nil {
		return
	}
	f.awaitConfig(r.Context())
	j, err := f.parse(r)
	if err != nil {
		k, msg := asFailure(err)
		f.refuse(w, uuid.NewString(), k, msg)
		return
	}
	f.newRunner(w, r, j).serve()
}

// awaitConfig gives a node that has just started a moment to get the
// configuration from a peer, so that its first request is not refused.
func (f *Front) awaitConfig(ctx context.Context) {
	const (
		tries = 30
		pause = 10 * time.Millisecond
	)
	for range tries {
		if f.config.Current() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.clk.After(pause):
		}
	}
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.config.Current() == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
