// Package issuer implements the state machine that sends orders to engines,
// without I/O. Only the leader, the node that holds the lease, sends orders.
//
// Before it sends orders, it writes them as intents by compare-and-swap, so that
// the next leader can read which orders may still be in flight. An engine with
// such an intent gets no other order until the first one has certainly ended.
// This also protects engines that do not check fencing tokens.
package issuer

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Timing holds the time limits of orders and leases.
type Timing struct {
	// Order is the longest time an order may be in flight.
	Order time.Duration
	// Load is the longest time an engine takes to load weights.
	Load time.Duration
	// Lease is the duration of a lease.
	Lease time.Duration
}

// DefaultTiming returns the default time limits. A leader renews its lease when
// less than two thirds of it remain, so that normally about two thirds are left for
// sending orders.
func DefaultTiming() Timing {
	return Timing{Order: 2 * time.Second, Load: 30 * time.Second, Lease: 10 * time.Second}
}

type pageState uint8

const (
	unread  pageState = iota // the page must be read
	reading                  // a ReadPage is in flight
	idle                     // the page is known
	writing                  // a WritePage is in flight
)

// Issuer is the state machine of one node. It is not safe for concurrent use.
type Issuer struct {
	timing     Timing
	goals      map[string]Goal
	maxLoads   int
	observed   map[string]Observed
	leader     bool
	token      uint64
	leaseUntil time.Time
	state      pageState
	page       Page
	version    uint64
	nextPage   Page
	newIntents []Intent // added in nextPage; sent once it is written
	orderCount uint64
	actions    []Action
}

// New returns an Issuer without goals.
func New(t Timing) *Issuer {
	return &Issuer{timing: t, goals: map[string]Goal{}, observed: map[string]Observed{}}
}

// IsLeader reports whether this node holds the lease at now, according to the
// events that it has received.
func (s *Issuer) IsLeader(now time.Time) bool { return s.leader && now.Before(s.leaseUntil) }

// Handle processes an event at time now and returns the actions to perform, in
// order. The slice is valid until the next call.
func (s *Issuer) Handle(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case Goals:
		s.setGoals(e)
	case Observed:
		s.observed[e.Engine] = e
	case Elected:
		s.leader, s.token, s.leaseUntil, s.state = true, e.Token, e.Until, unread
	case Renewed:
		s.leaseUntil = e.Until
	case LeadershipLost:
		s.leader, s.state = false, unread
	case PageRead:
		s.handlePageRead(e)
	case PageWritten:
		s.handlePageWritten(now, e)
	case Tick:
		s.tick(now)
	}
	return s.actions
}

func (s *Issuer) setGoals(g Goals) {
	clear(s.goals)
	for _, x := range g.Goals {
		s.goals[x.Engine] = x
	}
	s.maxLoads = g.MaxLoads
}

func (s *Issuer) tick(now time.Time) {
	if !s.IsLeader(now) {
		s.leader, s.state = false, unread
		if len(s.goals) > 0 {
			s.actions = append(s.actions, Campaign{})
		}
		return
	}
	if s.leaseUntil.Sub(now) < s.timing.Lease*2/3 {
		s.actions = append(s.actions, Renew{})
	}
	switch s.state {
	case unread:
		s.state = reading
		s.actions = append(s.actions, ReadPage{})
	case idle:
		s.reconcile(now)
	}
}

func (s *Issuer) handlePageRead(e PageRead) {
	if s.state != reading {
		return
	}
	if e.Failed {
		s.state = unread
		return
	}
	s.page, s.version, s.state = e.Page, e.Version, idle
}

// reconcile requests to write the intents of all orders that are due. It drops
// intents that have expired or whose order is completed.
func (s *Issuer) reconcile(now time.Time) {
	s.nextPage, s.newIntents = Page{}, s.newIntents[:0]
	busy := map[string]bool{}
	loading := 0
	for _, i := range s.page.Intents {
		if !now.Before(i.Until) || s.completed(i) {
			continue
		}
		s.nextPage.Intents = append(s.nextPage.Intents, i)
		busy[i.Engine] = true
		if i.Order.Kind == wire.OrderLoad {
			loading++
		}
	}
	for _, name := range s.sortedGoals() {
		g := s.goals[name]
		if busy[name] {
			continue
		}
		o, due := s.nextOrder(now, g)
		if !due || o.Kind == wire.OrderLoad && loading >= s.maxLoads {
			continue
		}
		if o.Kind == wire.OrderLoad {
			loading++
		}
		i := Intent{Engine: name, Order: o, Until: now.Add(s.timing.Order + s.timing.Load)}
		s.nextPage.Intents = append(s.nextPage.Intents, i)
		s.newIntents = append(s.newIntents, i)
	}
	if len(s.newIntents) > 0 {
		s.state = writing
		s.actions = append(s.actions, WritePage{Page: s.nextPage, Version: s.version})
	}
}

func (s *Issuer) sortedGoals() []string {
	names := make([]string, 0, len(s.goals))
	for name := range s.goals {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// completed reports whether the engine was observed in the state that the order
// leads to.
func (s *Issuer) completed(i Intent) bool {
	o, ok := s.observed[i.Engine]
	switch {
	case !ok:
		return false
	case i.Order.Kind == wire.OrderDrain:
		return o.Leaving
	default:
		return o.Model == i.Order.Model && o.Version == i.Order.Version
	}
}

// nextOrder returns the order that moves an engine towards its goal, and whether
// one is due.
func (s *Issuer) nextOrder(now time.Time, g Goal) (wire.Order, bool) {
	o, ok := s.observed[g.Engine]
	if !ok {
		return wire.Order{}, false // its state is not known yet
	}
	s.orderCount++
	order := wire.Order{ID: fmt.Sprintf("%d-%d", s.token, s.orderCount), FencingToken: s.token, IssuedAt: now}
	switch {
	case !g.DrainFrom.IsZero() && !now.Before(g.DrainFrom):
		order.Kind = wire.OrderDrain
		return order, !o.Leaving
	case o.Model != g.Model || o.Version != g.Version:
		order.Kind, order.Model, order.Version = wire.OrderLoad, g.Model, g.Version
		return order, true
	}
	return wire.Order{}, false
}

func (s *Issuer) handlePageWritten(now time.Time, e PageWritten) {
	if s.state != writing {
		return
	}
	if e.Failed {
		s.state = unread // the intents may have been stored and count if they were
		return
	}
	s.page, s.version, s.state = s.nextPage, e.Version, idle
	for _, i := range s.newIntents {
		// Skip an order that might arrive after the lease has expired.
		if now.Add(s.timing.Order).Before(s.leaseUntil) {
			s.actions = append(s.actions, Send{Engine: i.Engine, Order: i.Order, NotAfter: now.Add(s.timing.Order)})
		}
	}
}
