package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/adviser"
	"github.com/auburnnotch/auburnnotch/internal/boottime"
	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/feeder"
	"github.com/auburnnotch/auburnnotch/internal/granter"
	"github.com/auburnnotch/auburnnotch/internal/isolationkeeper"
	"github.com/auburnnotch/auburnnotch/internal/linewriter"
	"github.com/auburnnotch/auburnnotch/internal/logger"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/orderer"
	"github.com/auburnnotch/auburnnotch/internal/prober"
	"github.com/auburnnotch/auburnnotch/internal/registrar"
	"github.com/auburnnotch/auburnnotch/internal/rejectionkeeper"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/reloader"
	"github.com/auburnnotch/auburnnotch/internal/supervisor"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/ingress"
	"github.com/auburnnotch/auburnnotch/platform/orders"
	"github.com/auburnnotch/auburnnotch/platform/store"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

const (
	// memoryLimitShare is the share of the process's memory that the garbage
	// collector is limited to. Stacks, the runtime and socket buffers take the
	// rest.
	memoryLimitShare = 0.6
	// gcPercent trades some memory for processor time, within memoryLimitShare.
	gcPercent = 200
	// proofAgeShare is the share of the time to revoke a key up to which a
	// freshness proof is valid. The rest covers clock differences between
	// nodes.
	proofAgeShare = 0.9
	milliPerCore  = 1000
	// writeTimeout bounds each write to a caller. A caller on a congested link takes
	// some seconds for one.
	writeTimeout = 10 * time.Second
	// maxExitReserve is the part of the grace period that is left to the process to exit
	// once it has abandoned a service that didn't stop. exitShare divides a short grace
	// period, so that interrupted requests have ended by then.
	maxExitReserve = 300 * time.Millisecond
	exitShare      = 20
)

// Entry is an entry node.
type Entry struct {
	supervisor *supervisor.Supervisor
	// beginShutdown is called at the signal to stop, before the services end
	// one after the other.
	beginShutdown func()
	meter         *meter.Meter
	log           logrus.FieldLogger
}

// New opens the listeners of a node. The settings must have their defaults and
// must have been validated. Log lines go to out.
func New(s config.EntrySettings, out io.Writer) (*Entry, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * s.MemoryMB * (1 << 20)))
	clk := systemclock.New()
	boot, err := boottime.New()
	if err != nil {
		return nil, errors.Trace(err)
	}
	lines := linewriter.New(clk, out)
	l, err := logger.New(lines, s.LogLevel)
	if err != nil {
		return nil, errors.Trace(err)
	}
	started := clk.Now()
	log := l.WithField("node", s.Name)
	seed := uint64(started.UnixNano())
	rnd := rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.Name)))
	metrics := meter.New()
	memory := memorykeeper.New(clk, metrics.Scope(), int64(s.MemoryMB*(1<<20)))
	st := store.New(s.Store, metrics.Scope())
	self := traffic.Node{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, Entry: s.CallerListen, Peer: s.PeerListen,
		MilliCores: int(s.ProcessorShare * milliPerCore), BootID: seed, StartedAt: started, Protocol: traffic.CurrentProtocol,
	}
	obs := observer.New(clk, boot, log, st, translate.Layout())
	maxProofAge := config.Milliseconds(proofAgeShare * s.RevokeMS)
	conns := connector.New(clk)
	ups := orders.New(conns)
	state := &localState{self: s.Name, startedAt: started, clk: clk, boot: boot, obs: obs, leaving: map[string]leavingPeer{}, storeReaders: map[string]time.Time{}}
	isAggregator := func() bool { return state.roster().IsAggregator(s.Name) }
	cache := prober.New(clk, log, ups, func() []string {
		if v := obs.View(); v != nil {
			return v.Matcher.CacheStores().Addresses()
		}
		return nil
	}, isAggregator)
	adv := adviser.New(clk, log, s.Name, state.roster)
	grants := granter.New(clk, s.Name, state.roster)
	relay := relayer.New(relayer.Settings{
		DataCentre: s.DataCentre, MaxProofAge: maxProofAge, VersionCutoff: config.Milliseconds(s.WeightsMS),
		RetryBudget: budgeter.Limits{
			Ratio: s.RetryRatio, Window: config.Seconds(s.RetryWindowSeconds), Allowance: s.RetryAllowance,
		},
		HedgeShare:        s.HedgeShare,
		LearnEngineSpeeds: s.LearnEngineSpeeds,
	}, relayer.Dependencies{
		Clock: clk, Boot: boot, Log: log, Fleet: obs, Connector: conns, Dialect: translate.Dialect{},
		Adviser: adv, Granter: grants, CacheDown: cache.Down, Meter: metrics, Memory: memory, Rand: rnd,
	})
	obs.SetListener(relay)
	state.relay, state.cache = relay, cache
	bcast, err := broadcaster.New(clk, boot, log, self, state.roster, state, metrics.Scope())
	if err != nil {
		return nil, errors.Trace(err)
	}
	state.broadcaster = bcast
	adv.Attach(bcast, state)
	grants.Attach(bcast, relay)
	obs.SetStoreReader(state.readsForOthers)
	obs.SetPace(state.pace)
	obs.SetChangeSource(feeder.New(log, s.Name, state.roster, bcast, obs).Request)
	obs.SetAnnouncer(bcast.Announce)
	ord := orderer.New(orderer.Settings{
		Node: s.Name, Machine: s.Name + "@" + s.PeerListen, HandoverGap: config.Milliseconds(s.OrderGapMS),
	}, clk, boot, log, st, obs, ups, state)
	dir := newDirectory(self, obs, state, s.EntrySeconds)
	in, err := ingress.New(ingress.Addresses{
		Callers: s.CallerListen, Ready: s.ReadyListen, Directory: s.DirectoryListen, Metrics: s.MetricsListen,
	}, ingress.Dependencies{
		Clock: clk, Boot: boot, Log: log, Relayer: relay, Directory: dir, Metrics: metrics.Handler(), Scope: metrics.Scope(),
		Memory: memory, GracePeriod: config.Seconds(s.GraceSeconds), WriteTimeout: writeTimeout, OnShutdown: func() { dir.startLeaving(); bcast.AnnounceLeaving() },
		Ready: func() bool { return obs.View() != nil && obs.Proof().Fresh(boot.Elapsed(), maxProofAge) },
		Limits: func() traffic.Limits {
			if v := obs.View(); v != nil {
				return v.Matcher.Catalog().Limits
			}
			return traffic.Limits{}
		},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	kept := rejectionkeeper.New(clk, log, st, obs, relay, isAggregator)
	isolations := isolationkeeper.New(clk, log, st, obs, func() (int, bool) { return state.roster().Rank(s.Name), isAggregator() })
	sup, err := supervisor.New(lines, reloader.New(log), obs, bcast, cache, ord, kept, isolations, in, registrar.New(clk, log, st, obs, self))
	if err != nil {
		return nil, errors.Trace(err)
	}
	grace := config.Seconds(s.GraceSeconds)
	sup = sup.WithStopTimeout(clk, grace-min(maxExitReserve, grace/exitShare), func(service string) {
		log.WithFields(logrus.Fields{"event": "serviceAbandoned", "service": service}).Error("service didn't stop within the grace period; ending the process without it")
	})
	return &Entry{supervisor: sup, beginShutdown: func() { ord.StopCampaigning(); in.BeginShutdown() }, meter: metrics, log: log}, nil
}

// Run serves until ctx ends and every accepted request has its response. It returns
// within the grace period, even if a service doesn't stop.
func (e *Entry) Run(ctx context.Context) error {
	defer e.meter.Close()
	e.log.WithField("event", "started").Info("node started")
	stop := context.AfterFunc(ctx, e.beginShutdown)
	defer stop()
	err := e.supervisor.Run(ctx)
	if errors.Is(err, errors.Timeout) {
		return nil // logged already; writing it to standard error may block too
	}
	return errors.Trace(err)
}
