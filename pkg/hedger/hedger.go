// Package hedger decides when a request gets a second attempt at another upstream
// because its first one is slower than nearly all requests of its route, and why such a
// hedged attempt is withheld.
package hedger

import (
	"slices"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// percentile is the share of a route's recent latencies that are shorter than the
	// delay. With the 95th percentile, about 1 in 20 requests would be hedged without
	// further limits.
	percentile = 0.95
	// minSamples is the number of latencies from which on the percentile means anything:
	// one of them may lie above it.
	minSamples = 20
	// samplesPerRoute is the number of latencies kept for each route.
	samplesPerRoute = 128
	// maxSampleAge is how long a latency reflects the load of the upstreams.
	maxSampleAge = 15 * time.Second
	// recomputeInterval is how long a computed delay is used: sorting the samples for
	// each request would cost more than the rest of the decision.
	recomputeInterval = 100 * time.Millisecond
	// maxRoutes and maxServices bound the memory, to about 2 MB for the samples.
	maxRoutes   = 1024
	maxServices = 1024
	// minObjectiveShare is the shortest delay, as a share of the latency objective: a
	// response before that is no gain.
	minObjectiveShare = 0.5
	// maxUsedShare is the share of the slots or of the memory of a service in use above
	// which there is no hedging.
	maxUsedShare = 0.7
	// refusalTime is how long there is no hedging at a service after one of its upstreams
	// refused a request for lack of room.
	refusalTime = time.Second
)

// Verdict is whether a hedged attempt may start, or why not.
type Verdict string

// The verdicts.
const (
	Allowed Verdict = "allowed"
	// NotRepeatable: the route's requests may run only once.
	NotRepeatable Verdict = "notRepeatable"
	// NoAttempts: the route's limit of attempts is reached.
	NoAttempts Verdict = "noAttempts"
	// FewSamples: the route has too few recent latencies.
	FewSamples Verdict = "fewSamples"
	// Stopping: the node shuts down.
	Stopping Verdict = "stopping"
	// Suspected: the request may have crashed upstreams.
	Suspected Verdict = "suspected"
	// Deadline: the request could not finish in time.
	Deadline Verdict = "deadline"
	// RecentRefusal: an upstream of the service has just refused a request for lack of
	// room.
	RecentRefusal Verdict = "recentRefusal"
	// Slots and Memory: too much of the service's slots or memory is in use.
	Slots  Verdict = "slots"
	Memory Verdict = "memory"
	// NotPermitted: the request may no longer be sent, for example since its key was
	// revoked.
	NotPermitted Verdict = "notPermitted"
	// NoCapacity: the placement coordinator says that no upstream can take the request.
	NoCapacity Verdict = "noCapacity"
	// NoUpstream: no other upstream takes the request.
	NoUpstream Verdict = "noUpstream"
	// ShareSpent: the service's share of hedged attempts is used up.
	ShareSpent Verdict = "shareSpent"
	// RetryBudgetSpent: the service's retry budget is used up.
	RetryBudgetSpent Verdict = "retryBudgetSpent"
)

// Request describes a request whose first attempt is slow.
type Request struct {
	Route   *traffic.Route
	Service string
	// Runs is the number of attempts so far, with the one in flight.
	Runs int
	// Remaining is the time to the deadline. Expected is how long the request is expected
	// to take, 0 if unknown.
	Remaining, Expected time.Duration
	Suspected, Stopping bool
	// UsedSlots and UsedMemory are the shares of the service's slots and usable memory in
	// use, 0 if unknown.
	UsedSlots, UsedMemory float64
	// Retries is the retry budget of the service, and Nodes the number of nodes that share
	// the budgets.
	Retries *budgeter.Budgeter
	Nodes   int
}

type sample struct {
	at      time.Time
	latency time.Duration
}

type route struct {
	samples    [samplesPerRoute]sample
	next       int
	recordedAt time.Time
	// delay is the percentile at computedAt; 0 if there were too few samples.
	delay      time.Duration
	computedAt time.Time
}

type service struct {
	budget      *budgeter.Budgeter
	requestedAt time.Time
	refusedAt   time.Time
}

// Hedger is one node's state of the decision. It is not safe for concurrent use.
type Hedger struct {
	limits   budgeter.Limits
	routes   map[string]*route
	services map[string]*service
	sweptAt  time.Time
	scratch  []time.Duration
}

// New returns a Hedger without samples. In a sliding window, the fleet starts hedged
// attempts for at most the given share of the requests of each service.
func New(share float64, window time.Duration) *Hedger {
	return &Hedger{
		limits: budgeter.Limits{Ratio: share, Window: window},
		routes: map[string]*route{}, services: map[string]*service{},
	}
}

// Enabled reports whether requests of the route may be hedged at all. It is safe for
// concurrent use.
func (h *Hedger) Enabled(r *traffic.Route) bool {
	return h.limits.Ratio > 0 && r.Repeatable() && r.MaxAttempts > 1
}

// RecordRequest counts a request for the share of hedged attempts of its service.
func (h *Hedger) RecordRequest(now time.Time, name string) {
	if h.limits.Ratio <= 0 {
		return
	}
	h.sweep(now)
	s, ok := h.services[name]
	if !ok {
		if len(h.services) >= maxServices {
			return
		}
		s = &service{budget: budgeter.New(h.limits)}
		h.services[name] = s
	}
	s.requestedAt = now
	s.budget.RecordRequest(now)
}

// RecordRefusal records that an upstream of a service refused a request for lack of room.
func (h *Hedger) RecordRefusal(now time.Time, name string) {
	if s, ok := h.services[name]; ok {
		s.refusedAt = now
	}
}

// Record adds a latency of a route: the time from the send of an attempt to its response
// or first event.
func (h *Hedger) Record(now time.Time, routeName string, latency time.Duration) {
	r, ok := h.routes[routeName]
	if !ok {
		if len(h.routes) >= maxRoutes {
			return
		}
		r = &route{}
		h.routes[routeName] = r
	}
	r.samples[r.next] = sample{at: now, latency: latency}
	r.next = (r.next + 1) % samplesPerRoute
	r.recordedAt = now
}

// Delay returns how long after its send the first attempt of a request may be without a
// response before a second one starts. It returns false if the route's requests are not
// hedged, or too few latencies are known.
func (h *Hedger) Delay(now time.Time, r *traffic.Route) (time.Duration, bool) {
	if !h.Enabled(r) {
		return 0, false
	}
	l, ok := h.routes[r.Name]
	if !ok {
		return 0, false
	}
	if l.delay <= 0 || now.Sub(l.computedAt) >= recomputeInterval {
		l.delay, l.computedAt = h.percentile(now, l), now
	}
	if l.delay <= 0 {
		return 0, false
	}
	return max(l.delay, time.Duration(minObjectiveShare*float64(r.LatencyObjective))), true
}

// percentile returns the percentile of the recent samples, 0 if they are too few.
func (h *Hedger) percentile(now time.Time, l *route) time.Duration {
	h.scratch = h.scratch[:0]
	for _, s := range l.samples {
		if !s.at.IsZero() && now.Sub(s.at) <= maxSampleAge {
			h.scratch = append(h.scratch, s.latency)
		}
	}
	if len(h.scratch) < minSamples {
		return 0
	}
	slices.Sort(h.scratch)
	return h.scratch[min(len(h.scratch)-1, int(percentile*float64(len(h.scratch))))]
}

// Check returns whether a hedged attempt may start now. It spends nothing.
func (h *Hedger) Check(now time.Time, q *Request) Verdict {
	switch {
	case !q.Route.Repeatable():
		return NotRepeatable
	case q.Runs >= max(1, q.Route.MaxAttempts):
		return NoAttempts
	case q.Stopping:
		return Stopping
	case q.Suspected:
		return Suspected
	case q.Remaining < max(q.Expected, q.Route.LatencyObjective/2):
		return Deadline
	case q.UsedSlots > maxUsedShare:
		return Slots
	case q.UsedMemory > maxUsedShare:
		return Memory
	}
	s, ok := h.services[q.Service]
	switch {
	case ok && !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalTime:
		return RecentRefusal
	case !ok || !s.budget.Available(now, q.Nodes):
		return ShareSpent
	case !q.Retries.Available(now, q.Nodes):
		return RetryBudgetSpent
	}
	return Allowed
}

// Allow is Check, and spends the share of hedged attempts and the retry budget if it
// returns Allowed.
func (h *Hedger) Allow(now time.Time, q *Request) Verdict {
	v := h.Check(now, q)
	if v == Allowed {
		h.services[q.Service].budget.Allow(now, q.Nodes)
		q.Retries.Allow(now, q.Nodes)
	}
	return v
}

// sweep removes the routes without recent samples and the services without recent
// requests.
func (h *Hedger) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < maxSampleAge {
		return
	}
	h.sweptAt = now
	for name, r := range h.routes {
		if now.Sub(r.recordedAt) > maxSampleAge {
			delete(h.routes, name)
		}
	}
	for name, s := range h.services {
		if now.Sub(s.requestedAt) > max(maxSampleAge, 2*h.limits.Window) {
			delete(h.services, name)
		}
	}
}
