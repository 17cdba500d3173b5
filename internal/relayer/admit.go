package relayer

import (
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// admit determines the route, workspace, deadline and service of the request.
func (u *relay) admit() failure.Kind {
	if k := u.authorize(); k != failure.None {
		return k
	}
	timeout := u.route.Timeout
	if u.req.Timeout > 0 && (timeout <= 0 || u.req.Timeout < timeout) {
		timeout = u.req.Timeout
	}
	u.deadline = u.req.Arrived.Add(timeout)
	u.service = u.pickService()
	return failure.None
}

// authorize checks the request against the newest configuration. It is called
// again before each send, since the configuration may have changed meanwhile.
func (u *relay) authorize() failure.Kind {
	proof := u.r.Fleet.Proof() // read before the view, which is then at least as new
	u.view = u.r.Fleet.View()
	if u.view == nil {
		return failure.ConfigStale
	}
	now := u.r.Boot.Elapsed()
	m := u.view.Matcher
	route := m.Route(u.req.Host, u.req.Path)
	if route == nil { // a request that has been admitted keeps the properties of its route
		if !proof.Fresh(now, maxDenialProofAge) {
			return failure.ConfigStale
		}
		return failure.UnknownRoute
	}
	u.route = route
	if u.route.Public || !m.RequiresKey() {
		return failure.None
	}
	u.workspace = m.Workspace(u.req.Key)
	switch {
	case u.workspace == nil && proof.Fresh(now, maxDenialProofAge):
		return failure.Unauthorized
	case u.workspace == nil, !proof.Fresh(now, u.r.settings.MaxProofAge):
		return failure.ConfigStale
	}
	return failure.None
}

// pickService selects one of the route's services at random by their traffic
// shares.
func (u *relay) pickService() string {
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
	n := u.r.randomBelow(sum)
	for _, t := range targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Service
		}
	}
	return ""
}

func (r *Relayer) randomBelow(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Rand.IntN(n)
}

// serviceRouted reports whether the route still includes the request's service.
func (u *relay) serviceRouted() bool {
	for _, t := range u.route.Targets {
		if t.Service == u.service && (t.Weight > 0 || len(u.route.Targets) == 1) {
			return true
		}
	}
	return false
}
