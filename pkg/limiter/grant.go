package limiter

import "time"

// NeedsGrant reports whether the node that receives all reports should decide about a request of
// a workspace: this node only knows which fraction to admit. A fraction is right on average, but
// it refuses requests that the bucket has room for, and admits others in their place.
func (l *Limiter) NeedsGrant(now time.Time, workspace string) bool {
	b := l.byName[workspace]
	t := l.seconds(now)
	if b == nil || l.fleet.ReceivesAll || !l.follows(t) || b.listedIn != l.summaries {
		return false
	}
	return fraction(b.rate+b.heardLevelAt(t-l.summaryAt)/relaxation, b.heardAsked) < 1
}

// Grant decides about a request of another node, and charges it to this one if it is admitted. ok
// is false if this node can't decide since it doesn't know the use of the limit.
func (l *Limiter) Grant(now time.Time, workspace string, cost float64) (d Decision, ok bool) {
	b := l.byName[workspace]
	t := l.seconds(now)
	if b == nil || !l.fleet.ReceivesAll || !l.knows(t) {
		return Decision{}, false
	}
	cost = b.charged(cost)
	b.advance(l, t)
	l.activate(b)
	b.ask(t, 1, cost)
	return l.decide(b, t, cost), true
}

// TakeShare decides about a request by this node's part of the rate alone, for a node that no
// aggregator answers. The parts of all registered nodes add up to the rate.
func (l *Limiter) TakeShare(now time.Time, workspace string, cost float64) Decision {
	b := l.byName[workspace]
	if b == nil {
		return Decision{OK: true, Fraction: 1}
	}
	t, nodes := l.seconds(now), float64(l.fleet.Nodes)
	cost = b.charged(cost)
	d := Decision{Fraction: 1, Level: b.takeShare(t, cost, nodes)}
	if cost > d.Level {
		d.Fraction = d.Level / cost
	}
	d.OK = d.Fraction >= 1 || l.rnd.Float64() < d.Fraction
	l.recordUse(b, t, cost, d.OK)
	if !d.OK {
		d.RetryAfter = l.retryAfter((cost - d.Level) * nodes / b.rate)
	}
	return d
}

// decide admits a request if the bucket has room for it. Requests larger than the burst need a full
// bucket.
func (l *Limiter) decide(b *bucket, t, cost float64) Decision {
	d := Decision{Level: b.level, Fraction: b.fraction(l.share)}
	missing := min(cost, b.burst*l.share) - b.level - b.allowance()*l.share
	d.OK = missing <= 0
	l.recordUse(b, t, cost, d.OK)
	if d.OK {
		b.level -= cost
		return d
	}
	d.RetryAfter = l.retryAfter(missing / b.rate)
	return d
}

// retryAfter returns a time to return after a number of seconds, with jitter.
func (l *Limiter) retryAfter(seconds float64) time.Duration {
	wait := time.Duration(min(max(0, seconds), maxRetryAfter.Seconds()) * float64(time.Second))
	return time.Duration(float64(max(minRetryAfter, wait)) * (1 + l.rnd.Float64()))
}
