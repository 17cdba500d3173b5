// Package admitter decides which waiting request goes next: classes by weight,
// workspaces within a class by fair queueing, workspaces bounded by token
// buckets, and work that can't be in time refused before it costs anything. It
// does no I/O.
package admitter

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Request is a waiting request.
type Request struct {
	Ticket    uint64
	Workspace string
	Weight    float64
	Class     config.Class
	Pool      string
	// Tokens is the expected cost: those of the prompt and of the answer.
	Tokens   int
	Deadline time.Time
	// Rate and Burst bound the workspace in tokens a second; 0 is no bound.
	Rate, Burst float64
}

// Event is an input of the machine.
type Event interface{ event() }

// Arrived brings a request.
type Arrived struct{ Request Request }

// Ended says that an admitted request no longer holds its slot.
type Ended struct{ Pool string }

// Abandoned says that the caller of a waiting request has gone.
type Abandoned struct{ Ticket uint64 }

// Capacity tells what a pool can take: its slots and how many of them all nodes
// occupy, its engines and how many pieces wait at them.
type Capacity struct {
	Pool             string
	Slots, Occupied  int
	Engines, Pending int
}

// Tick lets time pass.
type Tick struct{}

func (Arrived) event()   {}
func (Ended) event()     {}
func (Abandoned) event() {}
func (Capacity) event()  {}
func (Tick) event()      {}

// Action is an output of the machine.
type Action interface{ action() }

// Admit lets a request pass.
type Admit struct{ Ticket uint64 }

// Reject ends a request that was not run.
type Reject struct {
	Ticket uint64
	Kind   failure.Kind
}

func (Admit) action()  {}
func (Reject) action() {}

// ClassPolicy is how a class is served.
type ClassPolicy struct {
	// Weight is its share while every class waits.
	Weight float64
	// MaxSlotShare is the share of the slots that it may fill.
	MaxSlotShare float64
	// MaxBacklog is how many pieces may wait at each engine on average before the
	// class is held back here; 0 means any.
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

type waiting struct {
	Request
	since time.Time
	gone  bool
}

type bucket struct {
	tokens float64
	at     time.Time
}

type poolState struct {
	slots, occupied int
	engines         int
	pending         float64 // pieces; a guess between two Room events
	queues          [len(classes)]*fairQueue[*waiting]
	served          [len(classes)]float64 // virtual time of each class
	virtual         float64
}

// Admitter is the machine of one node. It is not safe for concurrent use.
type Admitter struct {
	limit   int
	pools   map[string]*poolState
	byID    map[uint64]*waiting
	buckets map[string]bucket
	out     []Action
}

// New returns an Admitter that lets up to limit requests wait.
func New(limit int) *Admitter {
	return &Admitter{limit: limit, pools: map[string]*poolState{}, byID: map[uint64]*waiting{}, buckets: map[string]bucket{}}
}

// Waiting returns how many requests wait.
func (a *Admitter) Waiting() int { return len(a.byID) }

// Handle takes an event at now and returns the actions to carry out.
func (a *Admitter) Handle(now time.Time, e Event) []Action {
	a.out = a.out[:0]
	switch e := e.(type) {
	case Arrived:
		a.arrive(now, e.Request)
	case Ended:
		p := a.pool(e.Pool)
		p.occupied = max(0, p.occupied-1)
		a.serve(now, p)
	case Abandoned:
		if w, ok := a.byID[e.Ticket]; ok {
			w.gone = true
			delete(a.byID, e.Ticket)
		}
	case Capacity:
		p := a.pool(e.Pool)
		p.slots, p.occupied = e.Slots, e.Occupied
		p.engines, p.pending = e.Engines, float64(e.Pending)
		a.serve(now, p)
	case Tick:
		for _, p := range a.pools {
			a.expire(now, p)
			a.serve(now, p)
		}
	}
	return a.out
}

func (a *Admitter) pool(name string) *poolState {
	p, ok := a.pools[name]
	if !ok {
		p = &poolState{}
		for i := range p.queues {
			p.queues[i] = newFairQueue[*waiting]()
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

func (a *Admitter) refuse(ticket uint64, k failure.Kind) {
	a.out = append(a.out, Reject{Ticket: ticket, Kind: k})
}

func (a *Admitter) arrive(now time.Time, w Request) {
	switch {
	case !now.Before(w.Deadline):
		a.refuse(w.Ticket, failure.DeadlinePassed)
		return
	case len(a.byID) >= a.limit:
		a.refuse(w.Ticket, failure.Overloaded)
		return
	case !a.spend(now, w):
		a.refuse(w.Ticket, failure.RateLimited)
		return
	}
	p := a.pool(w.Pool)
	i := Rank(w.Class)
	x := &waiting{Request: w, since: now}
	a.byID[w.Ticket] = x
	if p.queues[i].length == 0 {
		p.served[i] = max(p.served[i], p.virtual)
	}
	p.queues[i].push(w.Workspace, w.Weight, x, float64(max(1, w.Tokens)))
	a.serve(now, p)
}

// spend takes the tokens of w from the bucket of its workspace. A bucket may
// go into debt by one request, so that one larger than the bucket can pass.
func (a *Admitter) spend(now time.Time, w Request) bool {
	if w.Rate <= 0 {
		return true
	}
	b, ok := a.buckets[w.Workspace]
	if !ok {
		b = bucket{tokens: w.Burst, at: now}
	}
	b.tokens = min(w.Burst, b.tokens+now.Sub(b.at).Seconds()*w.Rate)
	b.at = now
	allowed := b.tokens > 0
	if allowed {
		b.tokens -= float64(w.Tokens)
	}
	a.buckets[w.Workspace] = b
	return allowed
}

// serve admits while there is room.
func (a *Admitter) serve(now time.Time, p *poolState) {
	for {
		i := a.nextClass(now, p)
		if i < 0 {
			return
		}
		w := p.queues[i].pop()
		p.virtual = max(p.virtual, p.served[i])
		p.served[i] += float64(max(1, w.Tokens)) / Policy(classes[i]).Weight
		p.occupied++
		p.pending += piecesPerRequest
		delete(a.byID, w.Ticket)
		a.out = append(a.out, Admit{Ticket: w.Ticket})
	}
}

// nextClass returns the class to serve next, -1 for none. Among the classes
// that have room it is the one that is furthest behind its share.
func (a *Admitter) nextClass(now time.Time, p *poolState) int {
	best := -1
	for i, q := range p.queues {
		a.skip(now, q)
		if q.length == 0 || !a.fits(now, p, i) {
			continue
		}
		if best < 0 || p.served[i] < p.served[best] {
			best = i
		}
	}
	return best
}

const (
	// agedAfter is how long a batch request waits before it is served like a
	// standard one, so that it arrives in the end.
	agedAfter = 10 * time.Second
	// piecesPerRequest is the backlog that an admitted request is taken to
	// add until the next Room event.
	piecesPerRequest = 2
)

// fits reports whether there is room for class i in p.
func (a *Admitter) fits(now time.Time, p *poolState, i int) bool {
	class := Policy(classes[i])
	if w, ok := p.queues[i].peek(); ok && classes[i] == config.Batch && now.Sub(w.since) >= agedAfter {
		class = Policy(config.Standard)
	}
	if class.MaxBacklog > 0 && p.pending > class.MaxBacklog*float64(p.engines) {
		return false
	}
	return float64(p.occupied) < max(1, class.MaxSlotShare*float64(p.slots))
}

// skip drops from the front of q what need not be served any more.
func (a *Admitter) skip(now time.Time, q *fairQueue[*waiting]) {
	for {
		w, ok := q.peek()
		switch {
		case !ok:
			return
		case w.gone:
		case late(now, w):
			delete(a.byID, w.Ticket)
			a.refuse(w.Ticket, lateKind(now, w))
		default:
			return
		}
		q.drop()
	}
}

func late(now time.Time, w *waiting) bool { return lateKind(now, w) != failure.None }

func lateKind(now time.Time, w *waiting) failure.Kind {
	limit := Policy(w.Class).MaxWait
	switch {
	case !now.Before(w.Deadline):
		return failure.DeadlinePassed
	case limit > 0 && now.Sub(w.since) > limit:
		return failure.Overloaded
	default:
		return failure.None
	}
}

// expire refuses late requests anywhere in the queues.
func (a *Admitter) expire(now time.Time, p *poolState) {
	for _, q := range p.queues {
		for _, f := range q.active {
			for _, it := range f.items {
				if w := it.value; !w.gone && late(now, w) {
					w.gone = true
					delete(a.byID, w.Ticket)
					a.refuse(w.Ticket, lateKind(now, w))
				}
			}
		}
	}
}
