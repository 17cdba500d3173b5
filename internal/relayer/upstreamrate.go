package relayer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
)

// recordRate records the rate that an upstream names in a response, or that it names none.
func (u *relay) recordRate(a ResponseInfo) {
	if !a.Stamped && !a.NotRun || u.isOtherUpstream(a) {
		return // of unknown origin
	}
	rate := ratetracker.Unlimited
	if a.RateLimited {
		rate = a.Rate
	}
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	now := u.r.Clock.Now()
	if !u.r.upstreamRates.Record(now, placer.Key(u.choice.Incarnation()), rate) {
		return
	}
	u.r.updateUpstreamLimits(now)
	u.logEntry("upstreamRate").WithFields(logrus.Fields{"limited": a.RateLimited, "rate": a.Rate}).Info("upstream has changed the rate of requests that it takes from all nodes")
}

// updateUpstreamLimits applies the rates that upstreams have named. The relayer's lock must be held.
func (r *Relayer) updateUpstreamLimits(now time.Time) {
	r.upstreamLimiter.SetLimits(now, r.upstreamRates.Limits(now))
}

// admitUpstream reports whether the chosen upstream takes the request. If it limits its requests and
// has no room, the choice is undone, and this node leaves the upstream out until there is room again.
func (u *relay) admitUpstream() bool {
	d := u.r.allowUpstream(u.ctx, placer.Key(u.choice.Incarnation()))
	if d.OK {
		return true
	}
	pause := max(refusalPause, d.RetryAfter)
	u.endRun()
	u.logEntry("upstreamRateReached").WithFields(logrus.Fields{"level": d.Level, "pauseMs": pause.Milliseconds()}).
		Info("upstream takes no more requests for now; looking for another one")
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordTurnAway(u.r.Clock.Now(), u.choice.Incarnation(), pause)
	return false
}

// allowUpstream decides about a request to an upstream. One aggregator decides for all nodes; a node
// that it doesn't answer uses its own part of the rate.
func (r *Relayer) allowUpstream(ctx context.Context, upstream uint32) limiter.Decision {
	s, limited := r.findRate(upstream)
	if !limited {
		return limiter.Decision{OK: true}
	}
	d, ok := limiter.Decision{}, false
	if r.Granter != nil {
		d, ok = r.Granter.AskUpstream(ctx, s)
	} else {
		d, ok = r.GrantUpstream(s)
	}
	if ok {
		return d
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreamLimiter.TakeShare(r.Clock.Now(), ratetracker.LimitName(upstream), 1)
}

func (r *Relayer) findRate(upstream uint32) (ratetracker.Statement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreamRates.Find(r.Clock.Now(), upstream)
}

// GrantUpstream decides about a request of a node to an upstream that limits its requests, as far as
// that node knows. ok is false if this node can't decide.
func (r *Relayer) GrantUpstream(s ratetracker.Statement) (d limiter.Decision, ok bool) {
	r.MergeUpstreamRates([]ratetracker.Statement{s})
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if _, limited := r.upstreamRates.Find(now, s.Upstream); !limited {
		return limiter.Decision{OK: true, Fraction: 1}, true // that node doesn't know yet
	}
	return r.upstreamLimiter.Grant(now, ratetracker.LimitName(s.Upstream), 1)
}

// MergeUpstreamRates merges what upstreams have said to a peer.
func (r *Relayer) MergeUpstreamRates(statements []ratetracker.Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.Clock.Now(); r.upstreamRates.Merge(now, statements) {
		r.updateUpstreamLimits(now)
	}
}

// MergeUpstreamUsage merges what a peer has used of the rates of upstreams, on a node that receives
// the reports of all nodes.
func (r *Relayer) MergeUpstreamUsage(peer string, bootID uint64, usage limiter.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreamLimiter.MergeUsage(r.Clock.Now(), peer, bootID, usage)
}
