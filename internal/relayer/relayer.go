package relayer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/estimator"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Settings bounds what the relayer may do.
type Settings struct {
	DataCentre string
	// MaxProofAge is the age of the proof up to which keyed requests are served.
	MaxProofAge time.Duration
	// OldVersionGrace is the time after the naming of new weights in which requests
	// may begin on older ones.
	OldVersionGrace time.Duration
	// RetryBudget is the fleet's budget of repeats for each service.
	RetryBudget budgeter.Limits
}

// Dependencies are the services that the relayer works with.
type Dependencies struct {
	Clock     clock.Clock
	Boot      clock.Boot
	Log       logrus.FieldLogger
	Fleet     Fleet
	Connector *connector.Connector
	Dialect   Dialect
	// Adviser is asked where prompts go; nil for a node that decides alone.
	Adviser Adviser
	// CacheDown reports whether the store of cached parts gives no answer.
	CacheDown func() bool
	Meter     *meter.Meter
	Rand      *rand.Rand
}

// Relayer runs requests. It is safe for concurrent use.
type Relayer struct {
	set Settings
	Dependencies
	room room

	// finisher is nil until the node is told to stop.
	finisher atomic.Pointer[finisher.Finisher]

	mu        sync.Mutex
	placer    *placer.Placer
	estimator *estimator.Estimator
	budgets   map[string]*budgeter.Budgeter // by service
	// questions counts the questions to the node in charge; open are those
	// whose outcome the loads don't show yet.
	questions uint64
	open      map[uint64]struct{}
}

// New returns a Relayer that knows no upstream.
func New(s Settings, p Dependencies) *Relayer {
	return &Relayer{
		set: s, Dependencies: p, placer: placer.New(placer.DefaultCosts(), p.Rand), estimator: estimator.New(), budgets: map[string]*budgeter.Budgeter{},
		// Numbers of an earlier life of this node are smaller.
		questions: uint64(p.Clock.Now().UnixMicro()), open: map[uint64]struct{}{},
	}
}

// SetUpstreams replaces the upstreams; memory is the room of an engine of each
// service, in tokens.
func (r *Relayer) SetUpstreams(ups []traffic.Upstream, memory map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.SetUpstreams(ups, memory)
}

// PruneConnections drops the connections to upstreams that are gone.
func (r *Relayer) PruneConnections() {
	r.Connector.Retain(func(inc string) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.placer.Eligible(inc)
	})
}

// TrafficReport is what a node tells its peers of its traffic.
type TrafficReport struct {
	placer.Report
	Placements []placer.Placement
}

// TakeReport returns what this node has sent to upstreams and not seen end, and where
// it has sent prompts since the last call.
func (r *Relayer) TakeReport() TrafficReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	settled := r.questions
	for id := range r.open {
		settled = min(settled, id-1)
	}
	return TrafficReport{
		Report:     placer.Report{Loads: r.placer.LocalLoads(now), Settled: settled, Tripped: r.placer.Tripped(now)},
		Placements: r.placer.TakePlacements(),
	}
}

// MergeReport takes what a peer tells.
func (r *Relayer) MergeReport(peer string, t TrafficReport) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.MergeReport(now, peer, t.Report)
	for _, pl := range t.Placements {
		r.placer.AddPlacement(now, pl)
	}
}

// Advise answers the question of a peer where to send a prompt.
func (r *Relayer) Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Advise(r.Clock.Now(), peer, question, q)
}

// SetPlacingNodes is that of the placer.
func (r *Relayer) SetPlacingNodes(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.SetPlacingNodes(nodes)
}

// Incarnation returns the incarnation behind a placer.Key, empty if there is
// none.
func (r *Relayer) Incarnation(key uint32) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Incarnation(key)
}

// Status returns what is known of an upstream.
func (r *Relayer) Status(incarnation string) placer.UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Status(r.Clock.Now(), incarnation)
}

// Suspend keeps work away from an incarnation until a time.
func (r *Relayer) Suspend(incarnation string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Suspend(incarnation, until)
}

// RecordUpgrade says that an engine has the version of a model now.
func (r *Relayer) RecordUpgrade(incarnation, model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.RecordVersion(incarnation, model, version)
	r.placer.Resume(incarnation)
}

// BeginShutdown says that the node was told to stop, and by which timetable it does.
func (r *Relayer) BeginShutdown(f finisher.Finisher) { r.finisher.Store(&f) }

// Serve runs req to its end. It gives up when ctx ends, since then nobody
// waits for the answer.
func (r *Relayer) Serve(ctx context.Context, req *Request, w ResponseWriter) {
	(&run{r: r, ctx: ctx, req: req, w: w}).serve()
}

func (r *Relayer) budget(service string) *budgeter.Budgeter {
	b, ok := r.budgets[service]
	if !ok {
		b = budgeter.New(r.set.RetryBudget)
		r.budgets[service] = b
	}
	return b
}
