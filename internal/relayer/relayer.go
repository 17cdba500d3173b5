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
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/pacer"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Settings bounds what the relayer may do.
type Settings struct {
	DataCentre string
	// ProofLimit is the age of the proof up to which keyed requests are served.
	ProofLimit time.Duration
	// OldWeights is the time after the naming of new weights in which requests
	// may begin on older ones.
	OldWeights time.Duration
	// Budget is the fleet's budget of repeats for each service.
	Budget budgeter.Limits
}

// Parts are the services that the relayer works with.
type Parts struct {
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
	Parts
	room room

	// finisher is nil until the node is told to stop.
	finisher atomic.Pointer[finisher.Finisher]

	mu      sync.Mutex
	placer  *placer.Placer
	pacer   *pacer.Pacer
	budgets map[string]*budgeter.Budgeter // by service
	// questions counts the questions to the node in charge; open are those
	// whose outcome the loads don't show yet.
	questions uint64
	open      map[uint64]struct{}
}

// New returns a Relayer that knows no upstream.
func New(s Settings, p Parts) *Relayer {
	return &Relayer{
		set: s, Parts: p, placer: placer.New(placer.DefaultWeights(), p.Rand), pacer: pacer.New(), budgets: map[string]*budgeter.Budgeter{},
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

// Retain drops the connections to upstreams that are gone.
func (r *Relayer) Retain() {
	r.Connector.Retain(func(inc string) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.placer.Present(inc)
	})
}

// Told is what a node tells its peers of its traffic.
type Told struct {
	placer.Report
	Sent []placer.Placement
}

// Tell returns what this node has sent to upstreams and not seen end, and where
// it has sent prompts since the last call.
func (r *Relayer) Tell() Told {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	settled := r.questions
	for id := range r.open {
		settled = min(settled, id-1)
	}
	return Told{
		Report: placer.Report{Loads: r.placer.Mine(now), Settled: settled, Broken: r.placer.Broken(now)},
		Sent:   r.placer.Placements(),
	}
}

// Heard takes what a peer tells.
func (r *Relayer) Heard(peer string, t Told) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Heard(now, peer, t.Report)
	for _, pl := range t.Sent {
		r.placer.Learned(now, pl)
	}
}

// Advise answers the question of a peer where to send a prompt.
func (r *Relayer) Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Advise(r.Clock.Now(), peer, question, q)
}

// SetFleet is that of the placer.
func (r *Relayer) SetFleet(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.SetFleet(nodes)
}

// Incarnation returns the incarnation behind a placer.Key, empty if there is
// none.
func (r *Relayer) Incarnation(key uint32) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Incarnation(key)
}

// Look returns what is known of an upstream.
func (r *Relayer) Look(incarnation string) placer.Look {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.Look(r.Clock.Now(), incarnation)
}

// Close keeps work away from an incarnation until a time.
func (r *Relayer) Close(incarnation string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Close(incarnation, until)
}

// Upgraded says that an engine has the version of a model now.
func (r *Relayer) Upgraded(incarnation, model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Observed(incarnation, model, version)
	r.placer.Open(incarnation)
}

// Stop says that the node was told to stop, and by which timetable it does.
func (r *Relayer) Stop(f finisher.Finisher) { r.finisher.Store(&f) }

// Serve runs req to its end. It gives up when ctx ends, since then nobody
// waits for the answer.
func (r *Relayer) Serve(ctx context.Context, req *Request, w Reply) {
	(&run{r: r, ctx: ctx, req: req, w: w}).serve()
}

func (r *Relayer) budget(service string) *budgeter.Budgeter {
	b, ok := r.budgets[service]
	if !ok {
		b = budgeter.New(r.set.Budget)
		r.budgets[service] = b
	}
	return b
}
