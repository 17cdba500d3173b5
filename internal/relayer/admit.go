package relayer

import (
	"cmp"
	"context"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Arrival is a request of which only the header has been read.
type Arrival struct {
	u    *relay
	kind failure.Kind
}

// Examine checks a request before its body is read, so that no memory is spent on one that
// can't be served.
func (r *Relayer) Examine(ctx context.Context, req *Request, w ResponseWriter) *Arrival {
	u := &relay{r: r, ctx: ctx, req: req, w: w}
	k := u.admitHeader()
	if k == failure.None && !u.mayStart(r.Clock.Now()) {
		k, u.reason = failure.Draining, unstartedReason
	}
	if k == failure.None {
		k = u.admitLimited()
	}
	return &Arrival{u: u, kind: k}
}

// Kind returns why the request can't be served; failure.None if it can as far as its header
// tells.
func (a *Arrival) Kind() failure.Kind { return a.kind }

// Workspace returns the name of the workspace that the request's key belongs to, or an
// empty string if the request needs no key.
func (a *Arrival) Workspace() string {
	if a.u.workspace == nil {
		return ""
	}
	return a.u.workspace.Name
}

// Deadline returns the time until which the caller waits for the response.
func (a *Arrival) Deadline() time.Time { return a.u.deadline }

// Refuse ends the request, of which nothing was sent. An empty reason stands for the one that
// Examine found.
func (a *Arrival) Refuse(k failure.Kind, reason string) {
	a.u.reason = cmp.Or(reason, a.u.reason)
	a.u.refund()
	a.u.refuse(k, a.u.retryAfter(k))
}

// Drop ends a request whose body couldn't be read. Its caller has been told already.
func (a *Arrival) Drop() { a.u.refund() }

// admit determines the route, workspace, deadline and service of the request.
func (u *relay) admit() failure.Kind {
	if k := u.admitHeader(); k != failure.None {
		return k
	}
	u.service = u.pickService()
	return failure.None
}

func (u *relay) admitHeader() failure.Kind {
	if k := u.authorize(); k != failure.None {
		return k
	}
	timeout := u.route.Timeout
	if u.req.Timeout > 0 && (timeout <= 0 || u.req.Timeout < timeout) {
		timeout = u.req.Timeout
	}
	u.deadline = u.req.Arrived.Add(timeout)
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
	u.route, u.workspace, u.proven = route, nil, proof.Fresh(now, u.r.settings.MaxProofAge)
	if u.route.Public || !m.RequiresKey() {
		return failure.None
	}
	u.workspace = m.Workspace(u.req.Key)
	switch {
	case u.workspace == nil && proof.Fresh(now, maxDenialProofAge):
		return failure.Unauthorized
	case u.workspace == nil, !u.proven:
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
