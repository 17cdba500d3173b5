package checker

import "time"

const (
	// turnAwayDelay is how long after an upstream has asked for no more requests they may
	// still reach it, and maxTurnedAway how many may after that.
	turnAwayDelay = 500 * time.Millisecond
	maxTurnedAway = 2
)

// process is a node from one start to the next.
type process struct{ node, incarnation int }

// arrival is a request of a process that reached an upstream.
type arrival struct {
	at     time.Time
	sentAt time.Time // by the caller
	by     process
	id     string
}

// checkNotices checks that nodes heed what upstreams say of themselves in their responses.
func (v *validation) checkNotices() {
	arrivals := map[string][]arrival{} // by upstream
	add := func(id, up string, at time.Time) {
		if r := v.requests[id]; r != nil {
			arrivals[up] = append(arrivals[up], arrival{at: at, sentAt: r.SentAt, by: process{r.Node, r.Incarnation}, id: id})
		}
	}
	for _, run := range v.history.Runs {
		add(run.ID, run.Upstream, run.StartedAt)
	}
	for _, t := range v.history.TurnAways {
		add(t.ID, t.Upstream, t.At)
	}
	v.checkLeaving(arrivals)
	v.checkTurnAways(arrivals)
}

// checkLeaving checks that no request reaches an upstream from a process that has passed on a
// response in which it said that it is leaving.
func (v *validation) checkLeaving(arrivals map[string][]arrival) {
	type notice struct {
		upstream string
		by       process
	}
	noticed := map[notice]time.Time{}
	for _, run := range v.history.Runs {
		r := v.requests[run.ID]
		if r == nil || !run.Leaving || !run.Complete || r.Status != 200 || !r.Complete {
			continue
		}
		n := notice{run.Upstream, process{r.Node, r.Incarnation}}
		if at, ok := noticed[n]; !ok || r.EndedAt.Before(at) {
			noticed[n] = r.EndedAt
		}
	}
	for n, at := range noticed {
		for _, a := range arrivals[n.upstream] {
			if a.by == n.by && a.sentAt.After(at.Add(v.bounds.Drain)) && v.undisturbed(a.by.node, at, a.at) {
				v.add("drain", a.id, "reached %s from node %d %v after its response said that it is leaving", n.upstream, a.by.node, a.at.Sub(at))
			}
		}
	}
}

// checkTurnAways checks that upstreams get hardly a request from a process that they have asked
// for none.
func (v *validation) checkTurnAways(arrivals map[string][]arrival) {
	for _, t := range v.history.TurnAways {
		r := v.requests[t.ID]
		if r == nil || !v.undisturbed(r.Node, t.At, t.At.Add(t.For)) {
			continue
		}
		n := 0
		for _, a := range arrivals[t.Upstream] {
			if a.by == (process{r.Node, r.Incarnation}) && a.at.After(t.At.Add(turnAwayDelay)) && a.at.Before(t.At.Add(t.For)) {
				n++
			}
		}
		if n > maxTurnedAway {
			v.add("budget", t.ID, "%d requests of node %d reached %s, which had asked for none for %v", n, r.Node, t.Upstream, t.For)
		}
	}
}
