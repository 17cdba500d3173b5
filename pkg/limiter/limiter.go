package limiter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// summaryTTL is how long a node follows the last summary. Two aggregators send one every
	// 500 ms, so that four have to be lost.
	summaryTTL = 1.2
	// heardTTL is how long a node counts as heard after its last report. Reports come every
	// 100 ms; with a tenth of them lost, five in a row are lost once in 100,000.
	heardTTL = 0.5
	// nodeTTL is how long the counters of a silent node are kept.
	nodeTTL = 30.0
	// takeoverTTL is how long the levels of the last summary are good enough for a new
	// aggregator. After that it begins with empty buckets.
	takeoverTTL = 10.0
	// startDebt is how far under zero a new bucket begins, in bursts. The window before a
	// restart of all nodes may have used the burst and some of the tolerance: with levels that
	// began at zero, 3 of 600 simulated windows exceeded it, by up to 30%. A new aggregator sends
	// its first summary half a second later, when ordinary demand is admitted whole again.
	startDebt = 0.5
	// takeoverShare is the share of the burst that a new aggregator assumes for workspaces
	// that were not in shortage.
	takeoverShare = 0.5

	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	// learningTime is how long a node has to receive the reports of most nodes until it relies
	// on them, in seconds: it takes two reports, while the average of what is asked follows
	// them. Before, it would find no shortage, or one of everything. It follows another node's
	// summary meanwhile, if there is one.
	learningTime = 0.5
	// hearingTime is how long most nodes may be silent to a node that has just begun to receive
	// all reports, in seconds. They send to it once they have read its registration.
	hearingTime = 2.0
	// newPeerTime is how long after a peer was first heard it may need a summary, in seconds.
	newPeerTime = 1.5
)

// Limit is the limit of a workspace over all nodes: Rate in units per second and Burst in units.
type Limit struct {
	Workspace   string
	Rate, Burst float64
}

// Fleet describes the fleet as a node sees it.
type Fleet struct {
	// Nodes is the number of registered nodes.
	Nodes int
	// ReceivesAll is true if the reports of all nodes reach this node.
	ReceivesAll bool
	// Summarized is true if the aggregators send summaries. Earlier releases don't; until
	// they are replaced, the other nodes admit without limit.
	Summarized bool
}

// Decision is the outcome of Allow.
type Decision struct {
	OK bool
	// RetryAfter is when there is room again. It has random jitter, so that refused callers
	// don't return together.
	RetryAfter time.Duration
	// Level is what is left of the burst, and Fraction the share of requests that is admitted.
	Level, Fraction float64
}

// Limiter is one node's part of the limits. It is not safe for concurrent use.
type Limiter struct {
	rnd    *rand.Rand
	start  time.Time
	fleet  Fleet
	byName map[string]*bucket
	byID   map[uint32]*bucket

	// share is the part of the rate that this node may give out in its view of the fleet:
	// the share of the nodes that it hears. refill is the integral of share over time up to
	// refillAt, in seconds.
	share, refill, refillAt float64
	// receivesSince is when this node began to receive all reports, hearsMostSince since when
	// it has heard more than half of the nodes.
	receivesSince, hearsMostSince float64
	// tookOver is set once this node has taken over the levels of a summary.
	tookOver bool
	// newPeerAt is when a peer was heard for the first time.
	newPeerAt float64

	peers  map[string]*peer
	active []*bucket // with a level under the burst, or asked for recently

	// heard is set once there was a summary, at summaryAt. summaries counts them.
	heard     bool
	summaryAt float64
	summaries uint64

	used    []*bucket // with usage to report
	periods uint32
	changes []Change
}

// New returns a Limiter without limits, for a node on its own.
func New(now time.Time, rnd *rand.Rand) *Limiter {
	return &Limiter{
		rnd: rnd, start: now, fleet: Fleet{Nodes: 1, ReceivesAll: true, Summarized: true}, share: 1,
		byName: map[string]*bucket{}, byID: map[uint32]*bucket{}, peers: map[string]*peer{},
	}
}

// seconds returns the time since the limiter was created.
func (l *Limiter) seconds(now time.Time) float64 { return now.Sub(l.start).Seconds() }

// refilled returns the integral of share up to t.
func (l *Limiter) refilled(t float64) float64 { return l.refill + l.share*max(0, t-l.refillAt) }

// SetLimits replaces the limits. A workspace that had no limit begins without a burst: the window
// before may have used it already.
func (l *Limiter) SetLimits(now time.Time, limits []Limit) {
	t := l.seconds(now)
	// The IDs depend on the order only if two hashes are equal. Sorting makes all nodes agree.
	limits = slices.SortedFunc(slices.Values(limits), func(a, b Limit) int { return cmp.Compare(a.Workspace, b.Workspace) })
	old := l.byName
	l.byName, l.byID = make(map[string]*bucket, len(limits)), make(map[uint32]*bucket, len(limits))
	for _, limit := range limits {
		if limit.Rate <= 0 || l.byName[limit.Workspace] != nil {
			continue
		}
		b := old[limit.Workspace]
		if b == nil {
			b = &bucket{name: limit.Workspace, level: -startDebt * limit.Burst, since: t, refilled: l.refilled(t), askedAt: t, shareAt: t, sentFraction: 1}
		} else {
			b.advance(l, t)
		}
		b.rate, b.burst = limit.Rate, max(0, limit.Burst)
		b.level = min(b.level, b.burst*l.share)
		for b.id = uint32(xxhash.Sum64String(b.name)); l.byID[b.id] != nil; b.id++ {
		}
		l.byName[b.name], l.byID[b.id] = b, b
	}
	removed := func(b *bucket) bool { return l.byName[b.name] != b }
	l.active, l.used = slices.DeleteFunc(l.active, removed), slices.DeleteFunc(l.used, removed)
}

// SetFleet sets the state of the fleet. It must be called at least every 100 ms or so.
func (l *Limiter) SetFleet(now time.Time, f Fleet) {
	t := l.seconds(now)
	f.Nodes = max(1, f.Nodes)
	takeover := f.ReceivesAll && !l.fleet.ReceivesAll
	l.fleet = f
	l.refill, l.refillAt = l.refilled(t), max(t, l.refillAt)
	if takeover {
		clear(l.peers) // the levels that are taken over include what these have used meanwhile
	}
	heard := 1
	for name, p := range l.peers {
		switch age := t - p.heardAt; {
		case age < heardTTL:
			heard++
		case age > nodeTTL:
			delete(l.peers, name)
		}
	}
	l.share = min(1, float64(heard)/float64(f.Nodes))
	if 2*heard <= f.Nodes {
		l.hearsMostSince = t
	}
	if takeover {
		l.receivesSince, l.hearsMostSince, l.tookOver = t, t, true
		l.takeOver(t)
	}
}

// takeOver fills the buckets of a new aggregator by the last summary.
func (l *Limiter) takeOver(t float64) {
	for _, b := range l.byName {
		// The level of a summary includes the allowance, which is therefore granted anew.
		b.level, b.refilled, b.since = -startDebt*b.burst, l.refilled(t), t
		if !l.heard || t-l.summaryAt > takeoverTTL {
			continue
		}
		b.level = takeoverShare * b.burst
		if b.listedIn == l.summaries {
			b.level = min(b.level, b.heardLevelAt(t-l.summaryAt))
			b.setAsked(t, b.heardAsked)
		}
		l.activate(b)
	}
}

func (l *Limiter) activate(b *bucket) {
	if !b.active {
		b.active = true
		l.active = append(l.active, b)
	}
}

// knows reports whether this node receives all reports, and has for long enough to know the use of
// the limits.
func (l *Limiter) knows(t float64) bool {
	return l.fleet.ReceivesAll && (t-l.hearsMostSince >= learningTime || t-l.receivesSince >= hearingTime)
}

// follows reports whether this node follows a summary of the aggregators.
func (l *Limiter) follows(t float64) bool { return l.heard && t-l.summaryAt < summaryTTL }

// Allow decides about a request of a cost, and charges it if it is admitted. A workspace without
// a limit is always admitted.
func (l *Limiter) Allow(now time.Time, workspace string, cost float64) Decision {
	b := l.byName[workspace]
	if b == nil {
		return Decision{OK: true, Fraction: 1}
	}
	t := l.seconds(now)
	d := Decision{Fraction: 1}
	rate := b.rate
	cost = b.charged(cost)
	if l.fleet.ReceivesAll {
		b.advance(l, t)
		l.activate(b)
		b.ask(t, 1, cost)
		if l.knows(t) && b.fraction(l.share) < 1 {
			return l.decide(b, t, cost)
		}
	}
	switch follows := l.follows(t); {
	case l.fleet.ReceivesAll && (l.knows(t) || !follows):
		d.Level, d.Fraction = b.level, b.fraction(l.share)
	case !l.fleet.Summarized:
		d.Level = b.burst
	case follows:
		d.Level = b.burst
		if b.listedIn == l.summaries {
			d.Level = b.heardLevelAt(t - l.summaryAt)
			d.Fraction = fraction(b.rate+d.Level/relaxation, b.heardAsked)
		}
	default:
		rate /= float64(l.fleet.Nodes)
		d.Level = b.takeShare(t, cost, float64(l.fleet.Nodes))
		if cost > d.Level {
			d.Fraction = d.Level / cost
		}
	}
	d.OK = d.Fraction >= 1 || l.rnd.Float64() < d.Fraction
	l.recordUse(b, t, cost, d.OK)
	if d.OK {
		b.level -= cost
		return d
	}
	d.RetryAfter = l.retryAfter(-d.Level / rate)
	return d
}

// Refund returns the charge of a request that was admitted but didn't run.
func (l *Limiter) Refund(now time.Time, workspace string, cost float64) {
	b := l.byName[workspace]
	if b == nil {
		return
	}
	t := l.seconds(now)
	cost = b.charged(cost)
	l.use(b, t).admitted -= cost
	if l.fleet.ReceivesAll {
		b.advance(l, t)
		b.level = min(b.level+cost, b.burst*l.share)
		return
	}
	b.returnShare(t, cost, float64(l.fleet.Nodes))
}
