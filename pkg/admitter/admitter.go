// Package admitter is the admission control of a node. It queues requests and
// decides which one is admitted next: classes share a pool by weight, the
// workspaces within a class by weighted fair queueing. Token buckets limit the
// rate of a workspace, and requests that can't start in time are rejected
// before they use an engine. The package does no I/O.
package admitter

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Request is a request to be admitted. Ticket identifies it in events and
// actions; Weight is the weight of its workspace.
type Request struct {
	Ticket    uint64
	Workspace string
	Weight    float64
	Class     config.Class
	Pool      string
	// Tokens is the expected cost: the tokens of the prompt and of the response.
	Tokens   int
	Deadline time.Time
	// Rate and Burst are the token bucket of the workspace, in tokens per second
	// and tokens. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Event is an input of the Admitter.
type Event interface{ event() }

// Arrived adds a request.
type Arrived struct{ Request Request }

// Ended reports that an admitted request no longer holds its slot.
type Ended struct{ Pool string }

// Abandoned reports that the caller of a queued request has disconnected.
type Abandoned struct{ Ticket uint64 }

// Capacity reports the capacity and load of a pool: its slots and how many of
// them the requests of all nodes occupy, its engines and how many pieces wait
// for prefill at them.
type Capacity struct {
	Pool             string
	Slots, Occupied  int
	Engines, Pending int
}

// Tick rejects expired requests and admits those that have become eligible.
type Tick struct{}

func (Arrived) event()   {}
func (Ended) event()     {}
func (Abandoned) event() {}
func (Capacity) event()  {}
func (Tick) event()      {}

// Action is an output of the Admitter.
type Action interface{ action() }

// Admit admits a request.
type Admit struct{ Ticket uint64 }

// Reject ends a request that was not run. Kind is the reason.
type Reject struct {
	Ticket uint64
	Kind   failure.Kind
}

func (Admit) action()  {}
func (Reject) action() {}

// ClassPolicy holds the admission limits of a class.
type ClassPolicy struct {
	// Weight is the class's share while all classes have queued requests.
	Weight float64
	// MaxSlotShare is the share of occupied slots from which on requests of the
	// class stay queued here. It may exceed 1.
	MaxSlotShare float64
	// MaxBacklog is how many pieces may wait per engine on average before
	// requests of the class stay queued here; 0 means no limit.
	MaxBacklog float64
	// MaxWait is the longest time in the queue; 0 means until the deadline.
	MaxWait time.Duration
}

// Policy returns the policy of a class.
func Policy(c config.Class) ClassPolicy {
	switch c {
	case config.Interactive:
		return ClassPolicy{Weight: 16, MaxSlotShare: 1.25, MaxWait: 2 * time.Second}
	case config.Batch:
		return ClassPolicy{Weight: 1, MaxSlotShare: 0.85, MaxBacklog: 8}
	default:
		return ClassPolicy{Weight: 4, MaxSlotShare: 1, MaxBacklog: 12, MaxWait: 30 * time.Second}
	}
}

var classes = [...]config.Class{config.Interactive, config.Standard, config.Batch}

// queuedRequest is a request in a queue. A removed one stays there until it is
// first, and is then discarded.
type queuedRequest struct {
	Request
	arrivedAt time.Time
	removed   bool
}

// bucket is the token bucket of a workspace.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

type poolState struct {
	slots, occupied int
	engines         int
	pending         float64 // pieces; an estimate between two Capacity events
	queues          [len(classes)]*fairQueue[*queuedRequest]
	classFinish     [len(classes)]float64 // virtual finish time of each class
	virtualTime     float64
}

// Admitter is the admission control of one node. It is not safe for concurrent
// use.
type Admitter struct {
	maxWaiting int
	pools      map[string]*poolState
	byTicket   map[uint64]*queuedRequest
	buckets    map[string]bucket
	actions    []Action
}

// New returns an Admitter that queues up to maxWaiting requests.
func New(maxWaiting int) *Admitter {
	return &Admitter{maxWaiting: maxWaiting, pools: map[string]*poolState{}, byTicket: map[uint64]*queuedRequest{}, buckets: map[string]bucket{}}
}

// Waiting returns the number of queued requests.
func (a *Admitter) Waiting() int { return len(a.byTicket) }

// Handle processes an event at now and returns the actions to carry out. The
// slice is valid until the next call.
func (a *Admitter) Handle(now time.Time, e Event) []Action {
	a.actions = a.actions[:0]
	switch e := e.(type) {
	case Arrived:
		a.arrive(now, e.Request)
	case Ended:
		p := a.pool(e.Pool)
		p.occupied = max(0, p.occupied-1)
		a.admitQueued(now, p)
	case Abandoned:
		if r, ok := a.byTicket[e.Ticket]; ok {
			r.removed = true
			delete(a.byTicket, e.Ticket)
		}
	case Capacity:
		p := a.pool(e.Pool)
		p.slots, p.occupied = e.Slots, e.Occupied
		p.engines, p.pending = e.Engines, float64(e.Pending)
		a.admitQueued(now, p)
	case Tick:
		for _, p := range a.pools {
			a.rejectExpired(now, p)
			a.admitQueued(now, p)
		}
	}
	return a.actions
}

func (a *Admitter) pool(name string) *poolState {
	p, ok := a.pools[name]
	if !ok {
		p = &poolState{}
		for i := range p.queues {
			p.queues[i] = newFairQueue[*queuedRequest]()
		}
		a.pools[name] = p
	}
	return p
}

// Rank returns the rank of a class, 0 for the one that engines serve first.
func Rank(c config.Class) int {
	for i, k := range classes {
		if k == c {
			return i
		}
	}
	return 1
}

func (a *Admitter) reject(ticket uint64, k failure.Kind) {
	a.actions = append(a.actions, Reject{Ticket: ticket, Kind: k})
}

func (a *Admitter) arrive(now time.Time, r Request) {
	switch {
	case !now.Before(r.Deadline):
		a.reject(r.Ticket, failure.DeadlinePassed)
		return
	case len(a.byTicket) >= a.maxWaiting:
		a.reject(r.Ticket, failure.Overloaded)
		return
	case !a.takeTokens(now, r):
		a.reject(r.Ticket, failure.RateLimited)
		return
	}
	p := a.pool(r.Pool)
	i := Rank(r.Class)
	queued := &queuedRequest{Request: r, arrivedAt: now}
	a.byTicket[r.Ticket] = queued
	if p.queues[i].length == 0 {
		p.classFinish[i] = max(p.classFinish[i], p.virtualTime)
	}
	p.queues[i].push(r.Workspace, r.Weight, queued, float64(max(1, r.Tokens)))
	a.admitQueued(now, p)
}

// takeTokens takes the tokens of r from the bucket of its workspace and reports
// whether r is within the rate limit. One request may overdraw the bucket, so
// that a request larger than the bucket can be admitted.
func (a *Admitter) takeTokens(now time.Time, r Request) bool {
	if r.Rate <= 0 {
		return true
	}
	b, ok := a.buckets[r.Workspace]
	if !ok {
		b = bucket{tokens: r.Burst, updatedAt: now}
	}
	b.tokens = min(r.Burst, b.tokens+now.Sub(b.updatedAt).Seconds()*r.Rate)
	b.updatedAt = now
	allowed := b.tokens > 0
	if allowed {
		b.tokens -= float64(r.Tokens)
	}
	a.buckets[r.Workspace] = b
	return allowed
}

// admitQueued admits queued requests of p while there is capacity.
func (a *Admitter) admitQueued(now time.Time, p *poolState) {
	for {
		i := a.nextClass(now, p)
		if i < 0 {
			return
		}
		r := p.queues[i].pop()
		p.virtualTime = max(p.virtualTime, p.classFinish[i])
		p.classFinish[i] += float64(max(1, r.Tokens)) / Policy(classes[i]).Weight
		p.occupied++
		p.pending += piecesPerRequest
		delete(a.byTicket, r.Ticket)
		a.actions = append(a.actions, Admit{Ticket: r.Ticket})
	}
}

// nextClass returns the index of the class to serve next, or -1 for none. Among
// the classes with queued requests and capacity it is the one furthest behind
// its share.
func (a *Admitter) nextClass(now time.Time, p *poolState) int {
	best := -1
	for i, q := range p.queues {
		a.discardExpired(now, q)
		if q.length == 0 || !a.hasCapacity(now, p, i) {
			continue
		}
		if best < 0 || p.classFinish[i] < p.classFinish[best] {
			best = i
		}
	}
	return best
}

const (
	// batchPromotionAge is how long a batch request waits before the limits of
	// the standard class apply to it, so that it is admitted eventually.
	batchPromotionAge = 10 * time.Second
	// piecesPerRequest is the estimated number of pending pieces that an
	// admitted request adds until the next Capacity event.
	piecesPerRequest = 2
)

// hasCapacity reports whether p has capacity for a request of class i.
func (a *Admitter) hasCapacity(now time.Time, p *poolState, i int) bool {
	class := Policy(classes[i])
	if r, ok := p.queues[i].peek(); ok && classes[i] == config.Batch && now.Sub(r.arrivedAt) >= batchPromotionAge {
		class = Policy(config.Standard)
	}
	if class.MaxBacklog > 0 && p.pending > class.MaxBacklog*float64(p.engines) {
		return false
	}
	return float64(p.occupied) < max(1, class.MaxSlotShare*float64(p.slots))
}

// discardExpired drops removed requests from the front of q and rejects expired
// ones there.
func (a *Admitter) discardExpired(now time.Time, q *fairQueue[*queuedRequest]) {
	for {
		r, ok := q.peek()
		switch {
		case !ok:
			return
		case r.removed:
		case expired(now, r):
			delete(a.byTicket, r.Ticket)
			a.reject(r.Ticket, expiryKind(now, r))
		default:
			return
		}
		q.drop()
	}
}

func expired(now time.Time, r *queuedRequest) bool { return expiryKind(now, r) != failure.None }

// expiryKind returns why r can no longer be admitted, or failure.None if it
// can.
func expiryKind(now time.Time, r *queuedRequest) failure.Kind {
	limit := Policy(r.Class).MaxWait
	switch {
	case !now.Before(r.Deadline):
		return failure.DeadlinePassed
	case limit > 0 && now.Sub(r.arrivedAt) > limit:
		return failure.Overloaded
	default:
		return failure.None
	}
}

// rejectExpired rejects expired requests anywhere in the queues of p.
func (a *Admitter) rejectExpired(now time.Time, p *poolState) {
	for _, q := range p.queues {
		for _, f := range q.active {
			for _, it := range f.items {
				if r := it.value; !r.removed && expired(now, r) {
					r.removed = true
					delete(a.byTicket, r.Ticket)
					a.reject(r.Ticket, expiryKind(now, r))
				}
			}
		}
	}
}
