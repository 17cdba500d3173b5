package relayer

import (
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// admit finds the route, the workspace and the service of the request.
func (u *run) admit() failure.Kind {
	if k := u.authorize(); k != failure.None {
		return k
	}
	limit := u.route.Timeout
	if u.req.Timeout > 0 && (limit <= 0 || u.req.Timeout < limit) {
		limit = u.req.Timeout
	}
	u.deadline = u.req.Arrived.Add(limit)
	u.service = u.pickTarget()
	return failure.None
}

// authorize checks the request against the newest configuration. It is called
// again before each send, since the configuration may have changed meanwhile.
func (u *run) authorize() failure.Kind {
	proof := u.r.Fleet.Proof() // before the view, which is then as new at least
	u.view = u.r.Fleet.View()
	if u.view == nil {
		return failure.ConfigStale
	}
	now := u.r.Boot.Elapsed()
	m := u.view.Matcher
	if u.route = m.Route(u.req.Host, u.req.Path); u.route == nil {
		if !proof.Holds(now, youngProof) {
			return failure.ConfigStale
		}
		return failure.UnknownRoute
	}
	if u.route.Public || !m.Keyed() {
		return failure.None
	}
	u.workspace = m.Workspace(u.req.Key)
	switch {
	case u.workspace == nil && proof.Holds(now, youngProof):
		return failure.Unauthorized
	case u.workspace == nil, !proof.Holds(now, u.r.set.MaxProofAge):
		return failure.ConfigStale
	}
	return failure.None
}

// pickTarget draws one of the route's services by their weights.
func (u *run) pickTarget() string {
	targets := u.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	sum := 0
	for _, t := range targets {
		sum += max(0, t.Weight)
	}
	if sum == 0 {
		return ""
	}
	u.r.mu.Lock()
	n := u.r.Rand.IntN(sum)
	u.r.mu.Unlock()
	for _, t := range targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Service
		}
	}
	return ""
}

// allowed reports whether the route still leads to the request's service.
func (u *run) allowed() bool {
	for _, t := range u.route.Targets {
		if t.Service == u.service && (t.Weight > 0 || len(u.route.Targets) == 1) {
			return true
		}
	}
	return false
}
