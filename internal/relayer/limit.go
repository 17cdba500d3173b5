package relayer

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// charge is what a request was charged to the limit of its workspace.
type charge struct {
	workspace string
	cost      float64
}

// refusal is why the limit of a workspace refuses a request.
type refusal struct {
	limiter.Decision
	cost float64
}

// admitLimited charges the request to the limit of its workspace, if it has one, and returns
// failure.RateLimited if that is used up. A request that Examine has charged isn't charged again.
func (u *relay) admitLimited() failure.Kind {
	if u.workspace == nil || u.workspace.Limit.Rate <= 0 || u.req.charge != nil {
		return failure.None
	}
	name, cost := u.workspace.Name, u.workspace.Limit.Cost(u.req.Tokens)
	if cost <= 0 {
		return failure.None
	}
	d := u.r.allow(u.ctx, u.view.Matcher.Catalog(), name, cost)
	u.r.Meter.RecordLimit(name, cost, d.OK, d.Fraction)
	if !d.OK {
		u.limited = refusal{Decision: d, cost: cost}
		u.reason = "the workspace has used its limit"
		return failure.RateLimited
	}
	u.req.charge = &charge{workspace: name, cost: cost}
	return failure.None
}

// refund returns the charge of a request that has ended without a run.
func (u *relay) refund() {
	c := u.req.charge
	if c == nil || u.runs > 0 {
		return
	}
	u.req.charge = nil
	u.r.Meter.RecordRefund(c.workspace, c.cost)
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.limiter.Refund(u.r.Clock.Now(), c.workspace, c.cost)
}

// allow decides about a request of a limited workspace. An aggregator decides while the workspace
// asks for more than its limit; without its answer, this node does.
func (r *Relayer) allow(ctx context.Context, c *traffic.Catalog, workspace string, cost float64) limiter.Decision {
	if r.Granter != nil && r.needsGrant(c, workspace) {
		if d, ok := r.Granter.Ask(ctx, workspace, cost); ok {
			return d
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c != r.limitedBy {
		r.updateLimits()
	}
	return r.limiter.Allow(r.Clock.Now(), workspace, cost)
}

func (r *Relayer) needsGrant(c *traffic.Catalog, workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c != r.limitedBy {
		r.updateLimits()
	}
	return r.limiter.NeedsGrant(r.Clock.Now(), workspace)
}

// Grant decides about a request of another node. ok is false if this node can't.
func (r *Relayer) Grant(workspace string, cost float64) (d limiter.Decision, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateLimits()
	return r.limiter.Grant(r.Clock.Now(), workspace, cost)
}

// updateLimits applies the limits of the newest configuration. The relayer's lock must be held.
func (r *Relayer) updateLimits() {
	v := r.Fleet.View()
	if v == nil || v.Matcher.Catalog() == r.limitedBy {
		return
	}
	r.limitedBy = v.Matcher.Catalog()
	var limits []limiter.Limit
	for i := range r.limitedBy.Workspaces {
		if w := &r.limitedBy.Workspaces[i]; w.Limit.Rate > 0 {
			limits = append(limits, limiter.Limit{Workspace: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst})
		}
	}
	r.limiter.SetLimits(r.Clock.Now(), limits)
}

// SetFleet sets what the limits of workspaces and upstreams need to know of the fleet. It must be called before
// each TakeReport.
func (r *Relayer) SetFleet(f limiter.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.SetFleet(r.Clock.Now(), f)
	r.upstreamLimiter.SetFleet(r.Clock.Now(), f)
}

// takeUsage returns what this node tells the others about the limits of workspaces. The relayer's
// lock must be held.
func (r *Relayer) takeUsage(now time.Time) (usage limiter.Report, s limiter.Summary, summarized bool) {
	r.updateLimits()
	usage = r.limiter.TakeUsage(now)
	s, summarized = r.limiter.Summary(now)
	for _, c := range r.limiter.TakeChanges() {
		e := r.Log.WithFields(logrus.Fields{
			"workspace": c.Workspace, "level": math.Round(c.Level), "asked": math.Round(c.Asked), "fraction": c.Fraction,
		})
		if c.Short {
			e.WithField("event", "limitReached").Info("the workspace asks for more than its limit; refusing some of its requests")
		} else {
			e.WithField("event", "limitCleared").Info("the workspace asks for less than its limit again")
		}
	}
	return usage, s, summarized
}

// MergeUsage merges what a peer has used of the limits of workspaces, on a node that receives the
// reports of all nodes.
func (r *Relayer) MergeUsage(peer string, bootID uint64, usage limiter.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.MergeUsage(r.Clock.Now(), peer, bootID, usage)
}

// FollowLimits applies the summary of a node that receives the reports of all nodes.
func (r *Relayer) FollowLimits(shortages []limiter.Shortage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Follow(r.Clock.Now(), shortages)
}
