package pacer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/headerreader"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

const (
	// arbiterTimeout allows for a round trip between regions.
	arbiterTimeout = 400 * time.Millisecond
	// maxTurnAway limits what a faulty Retry-After does. Nodes come back up to a tenth of the time
	// later, maxReturnDelay at most, so that they don't do so together.
	maxTurnAway, maxReturnDelay = 5 * time.Minute, 500 * time.Millisecond
	// unansweredCost is what a request counts for without an answer of the arbiter, which may still
	// answer others and give out the whole rate to them. All nodes together then send a third more at most.
	unansweredCost = 3
)

// Exchanger sends a message to a peer and returns the peer's reply.
type Exchanger interface {
	ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, limit time.Duration) (*peerlink.Message, error)
}

// Members provides the live members, the number of those heard of, dead ones included, and the
// description of this node.
type Members interface {
	Live() []member.Info
	Known() int
	Self() member.Info
}

// Pacer has the rates of upstreams and when they want no requests. It is safe for concurrent use.
type Pacer struct {
	clk     clock.Clock
	log     logrus.FieldLogger
	peers   Exchanger
	members Members

	mu      sync.Mutex
	rates   *ratetracker.Tracker
	limiter *limiter.Limiter
	rnd     *rand.Rand
	// full and turnedAway have when an upstream has room again for this node, and when it wants
	// requests of this node again.
	full, turnedAway map[string]time.Time
}

// New returns a Pacer that knows no rates.
func New(clk clock.Clock, log logrus.FieldLogger, rnd *rand.Rand, peers Exchanger, members Members) *Pacer {
	return &Pacer{
		clk: clk, log: log, peers: peers, members: members, rnd: rnd,
		rates: ratetracker.New(), limiter: limiter.New(clk.Now(), rnd), full: map[string]time.Time{}, turnedAway: map[string]time.Time{},
	}
}

// Record records what an upstream says of itself in a response: the rate that it names, or that it
// names none, and how long it wants no request of this node.
func (p *Pacer) Record(upstream string, status int, h http.Header) {
	rate, limited := headerreader.Rate(h, wire.HeaderRate)
	if !limited {
		rate = ratetracker.Unlimited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	if status == http.StatusServiceUnavailable {
		p.recordTurnAway(now, upstream, headerreader.RetryAfter(h))
	}
	if !p.rates.Record(now, key(upstream), rate) {
		return
	}
	delete(p.full, upstream)
	p.limiter.SetLimits(now, p.rates.Limits(now))
	p.log.WithFields(logrus.Fields{"event": "upstreamRate", "upstream": upstream, "limited": limited, "rate": rate}).
		Info("upstream has changed the rate of requests that it takes from all nodes")
}

// recordTurnAway records that an upstream wants no request of this node for a time. mu must be held.
func (p *Pacer) recordTurnAway(now time.Time, upstream string, d time.Duration) {
	if d <= 0 {
		return
	}
	d = min(d, maxTurnAway)
	d += time.Duration(p.rnd.Float64() * float64(min(maxReturnDelay, d/10)))
	if until := now.Add(d); until.After(p.turnedAway[upstream]) {
		p.turnedAway[upstream] = until
		p.log.WithFields(logrus.Fields{"event": "upstreamTurnedAway", "upstream": upstream, "pauseMs": d.Milliseconds()}).
			Info("upstream wants no request of this node for a time")
	}
}

// Allow reports whether an upstream takes another request of this node. If not, it is one of
// Unavailable for a while.
func (p *Pacer) Allow(ctx context.Context, upstream string) bool {
	p.mu.Lock()
	now := p.clk.Now()
	away := now.Before(p.turnedAway[upstream])
	s, limited := p.rates.Find(now, key(upstream))
	p.mu.Unlock()
	if away || !limited {
		return !away
	}
	d, ok := p.ask(ctx, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	now = p.clk.Now()
	if !ok {
		p.setFleet(now)
		d = p.limiter.TakeShare(now, ratetracker.LimitName(s.Upstream), unansweredCost)
	}
	if !d.OK {
		p.full[upstream] = now.Add(d.RetryAfter)
	}
	return d.OK
}

// ask asks the arbiter of an upstream. ok is false if it doesn't decide.
func (p *Pacer) ask(ctx context.Context, s ratetracker.Statement) (d limiter.Decision, ok bool) {
	self := p.members.Self()
	arbiter := member.Arbiter(p.members.Live(), self, uint64(s.Upstream))
	if arbiter.Name == self.Name {
		return p.grant(s)
	}
	m, err := p.peers.ExchangeWithin(ctx, arbiter.Address, &peerlink.Message{Pace: &s}, arbiterTimeout)
	if err != nil || m.Paced == nil {
		return limiter.Decision{}, false
	}
	return *m.Paced, true
}

// HandleMessage processes a message on rates from a peer and returns the reply. It returns nil for
// messages of other services. A reply without a decision means that this node can't decide.
func (p *Pacer) HandleMessage(m *peerlink.Message) *peerlink.Message {
	if m.Pace == nil {
		return nil
	}
	d, ok := p.grant(*m.Pace)
	if !ok {
		return &peerlink.Message{OK: true}
	}
	return &peerlink.Message{Paced: &d}
}

// grant decides as the arbiter about a request to an upstream that has said s.
func (p *Pacer) grant(s ratetracker.Statement) (d limiter.Decision, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	if p.rates.Merge(now, []ratetracker.Statement{s}) {
		p.limiter.SetLimits(now, p.rates.Limits(now))
	}
	if _, limited := p.rates.Find(now, s.Upstream); !limited {
		return limiter.Decision{OK: true, Fraction: 1}, true // the peer doesn't know yet
	}
	p.setFleet(now)
	return p.limiter.Grant(now, ratetracker.LimitName(s.Upstream), 1)
}

// setFleet tells the limiter which nodes are alive. mu must be held.
func (p *Pacer) setFleet(now time.Time) {
	for _, m := range p.members.Live() {
		if m.Name != p.members.Self().Name {
			p.limiter.MergeUsage(now, m.Name, m.BootID, limiter.Report{})
		}
	}
	p.limiter.SetFleet(now, limiter.Fleet{Nodes: p.members.Known(), ReceivesAll: true})
}

// Unavailable returns the upstreams that take no request of this node now.
func (p *Pacer) Unavailable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, until := range []map[string]time.Time{p.full, p.turnedAway} {
		maps.DeleteFunc(until, func(_ string, until time.Time) bool { return !p.clk.Now().Before(until) })
		out = slices.AppendSeq(out, maps.Keys(until))
	}
	return out
}

func key(upstream string) uint32 { return uint32(xxhash.Sum64String(upstream)) }
