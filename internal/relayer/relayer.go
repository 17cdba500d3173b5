package relayer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/estimator"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/hedger"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Settings configures a Relayer.
type Settings struct {
	DataCentre string
	// MaxProofAge is the maximum age of the freshness proof at which requests
	// that need an API key are served.
	MaxProofAge time.Duration
	// VersionCutoff is how long after the announcement of a new version of a
	// model's weights requests may still start on older versions. It counts while the
	// platform's store is in reach, in one stretch.
	VersionCutoff time.Duration
	// RetryBudget is the fleet-wide retry budget of each service.
	RetryBudget budgeter.Limits
	// LearnEngineSpeeds makes the placement learn the speed of each engine.
	LearnEngineSpeeds bool
	// HedgeShare is the largest number of hedged attempts of the fleet as a share of the
	// requests of each service, 0 for none.
	HedgeShare float64
}

// Dependencies are the services that a Relayer uses.
type Dependencies struct {
	Clock     clock.Clock
	Boot      clock.BootClock
	Log       logrus.FieldLogger
	Fleet     Fleet
	Connector *connector.Connector
	Dialect   Dialect
	// Adviser returns placement advice for prompts; nil if this node places
	// them on its own.
	Adviser Adviser
	// Granter asks an aggregator about requests of limited workspaces; nil if this node
	// decides on its own.
	Granter Granter
	// CacheDown reports whether the cache store with the given address is
	// unreachable.
	CacheDown func(address string) bool
	Meter     *meter.Meter
	// Memory bounds what is buffered of all responses.
	Memory *memorykeeper.Keeper
	Rand   *rand.Rand
}

// Relayer proxies requests to upstreams. It is safe for concurrent use.
type Relayer struct {
	settings Settings
	Dependencies

	// finisher is nil until graceful shutdown begins.
	finisher atomic.Pointer[finisher.Finisher]

	mu           sync.Mutex
	placer       *placer.Placer
	detector     *detector.Detector
	estimator    *estimator.Estimator
	hedger       *hedger.Hedger
	retryBudgets map[string]*budgeter.Budgeter // by service
	// lastQuestion is the number of the latest question to the placement
	// coordinator. openQuestions are those whose outcome isn't included in the
	// local loads yet.
	lastQuestion  uint64
	openQuestions map[uint64]struct{}
	leaving       []uint32 // for the next report
	limiter       *limiter.Limiter
	limitedBy     *traffic.Catalog // whose limits the limiter has
	// upstreamRates has the rates that upstreams have named, which upstreamLimiter keeps.
	upstreamRates   *ratetracker.Tracker
	upstreamLimiter *limiter.Limiter
}

// New returns a Relayer without upstreams.
func New(s Settings, deps Dependencies) *Relayer {
	pl := placer.New(placer.DefaultCosts(), deps.Rand)
	if s.LearnEngineSpeeds {
		pl.LearnSpeeds()
	}
	return &Relayer{
		settings: s, Dependencies: deps, placer: pl, detector: detector.New(deps.Rand), estimator: estimator.New(),
		limiter: limiter.New(deps.Clock.Now(), deps.Rand), retryBudgets: map[string]*budgeter.Budgeter{},
		upstreamRates: ratetracker.New(), upstreamLimiter: limiter.New(deps.Clock.Now(), deps.Rand),
		hedger: hedger.New(s.HedgeShare, s.RetryBudget.Window),
		// Question numbers of earlier incarnations of this node are smaller.
		lastQuestion: uint64(deps.Clock.Now().UnixMicro()), openQuestions: map[uint64]struct{}{},
	}
}

// SetUpstreams replaces the upstreams. memory is the KV cache capacity of an
// engine of each service, in tokens.
func (r *Relayer) SetUpstreams(ups []traffic.Upstream, memory map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.SetUpstreams(ups, memory)
}

// PruneConnections closes the idle connections to upstreams that are no longer
// eligible.
func (r *Relayer) PruneConnections() {
	r.Connector.Retain(func(inc string) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.placer.Eligible(inc)
	})
}

// TrafficReport is the periodic report of a node to its peers: its in-flight
// requests and where it sent prompts.
type TrafficReport struct {
	placer.Report
	Placements []placer.Placement
	// Samples tell how fast engines are, from the responses since the last report.
	Samples placer.Samples
	// Evidence is what the node knows of requests that crash upstreams.
	Evidence detector.Evidence
	// Leaving has the keys of the upstreams that have said since the last report that they
	// are leaving.
	Leaving []uint32
	// Usage is what this node has used of the limits of workspaces.
	Usage limiter.Report
	// UpstreamRates are changes of the rates that upstreams have named, and UpstreamUsage what
	// this node has used of them.
	UpstreamRates []ratetracker.Statement
	UpstreamUsage limiter.Report
	// Summary has the workspaces in shortage. It is valid if Summarized is set, on nodes that
	// receive all reports.
	Summary    limiter.Summary
	Summarized bool
}

// TakeReport returns the load that this node has in flight at upstreams and the
// placements since the last call.
func (r *Relayer) TakeReport() TrafficReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	settled := r.lastQuestion
	for id := range r.openQuestions {
		settled = min(settled, id-1)
	}
	leaving := r.leaving
	r.leaving = nil
	r.logSpeeds()
	usage, summary, summarized := r.takeUsage(now)
	return TrafficReport{
		Usage: usage, Summary: summary, Summarized: summarized,
		Leaving:       leaving,
		UpstreamRates: r.upstreamRates.Changes(now), UpstreamUsage: r.upstreamLimiter.TakeUsage(now),
		Report:     placer.Report{Loads: r.placer.LocalLoads(now), Settled: settled, Tripped: r.placer.Tripped(now)},
		Placements: r.placer.TakePlacements(),
		Samples:    r.placer.TakeSamples(),
		Evidence:   r.evidence(now),
	}
}

// logSpeeds logs which engines count as faster or slower than before.
func (r *Relayer) logSpeeds() {
	for _, c := range r.placer.TakeSpeedChanges() {
		r.Log.WithFields(logrus.Fields{"event": "engineSpeed", "upstream": c.Incarnation, "speed": math.Round(c.Speed*100) / 100}).
			Info("speed of the engine relative to its pool has changed")
	}
}

// MergeReport merges the traffic report of a peer.
func (r *Relayer) MergeReport(peer string, t TrafficReport) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.MergeReport(now, peer, t.Report)
	r.placer.MergeSamples(now, t.Samples)
	for _, pl := range t.Placements {
		r.placer.AddPlacement(now, pl)
	}
}

// Advise returns placement advice for a peer's question about a prompt. This node may
// know that the prompt's cache store is down when the peer doesn't.
func (r *Relayer) Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	if q.CacheAddress != "" && r.CacheDown(q.CacheAddress) {
		withoutCache := *q
		withoutCache.CacheAddress, withoutCache.CacheTokens = "", 0
		q = &withoutCache
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Advise(r.Clock.Now(), peer, question, q)
}

// SetPlacingNodes sets the number of nodes that place prompts without
// coordination, each about as many as this one. It is 1 for the placement
// coordinator.
func (r *Relayer) SetPlacingNodes(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.SetPlacingNodes(nodes)
}

// Incarnation returns the upstream incarnation of a placer.Key, or an empty
// string if there is none.
func (r *Relayer) Incarnation(key uint32) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Incarnation(key)
}

// Status returns the status of an upstream incarnation.
func (r *Relayer) Status(incarnation string) placer.UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Status(r.Clock.Now(), incarnation)
}

// Suspend sends no new work to an incarnation until the given time.
func (r *Relayer) Suspend(incarnation string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Suspend(incarnation, until)
}

// RecordUpgrade records that an engine has loaded a version of a model and
// resumes the engine.
func (r *Relayer) RecordUpgrade(incarnation, model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.RecordVersion(incarnation, model, version)
	r.placer.Resume(incarnation)
}

// BeginShutdown starts graceful shutdown; f decides which requests may still
// start.
func (r *Relayer) BeginShutdown(f finisher.Finisher) { r.finisher.Store(&f) }

// Serve handles req until its response is complete. It stops when ctx is done,
// since the caller no longer waits for the response.
func (r *Relayer) Serve(ctx context.Context, req *Request, w ResponseWriter) {
	(&relay{r: r, ctx: ctx, req: req, w: w}).serve()
}

func (r *Relayer) retryBudget(service string) *budgeter.Budgeter {
	b, ok := r.retryBudgets[service]
	if !ok {
		b = budgeter.New(r.settings.RetryBudget)
		r.retryBudgets[service] = b
	}
	return b
}
