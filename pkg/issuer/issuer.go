// Package issuer is the state machine that sends orders to engines. One node
// at a time holds the lease for it; intents are written by compare-and-swap
// before the orders are sent, so that the next issuer knows what may still be
// on its way; an engine with such an intent is left alone until the order has
// certainly ended. That holds for engines that ignore fencing tokens too. It
// does no I/O.
package issuer

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Timing sets the limits of orders and leases.
type Timing struct {
	// Order is the longest time that an order may be on its way.
	Order time.Duration
	// Load is the longest time that a load of weights takes.
	Load time.Duration
	// Lease is the time of a lease.
	Lease time.Duration
}

// DefaultTiming leaves an issuer two thirds of its lease for sending.
func DefaultTiming() Timing {
	return Timing{Order: 2 * time.Second, Load: 30 * time.Second, Lease: 10 * time.Second}
}

type pageState uint8

const (
	unread pageState = iota
	reading
	idle
	writing
)

// Issuer is the machine of one node. It is not safe for concurrent use.
type Issuer struct {
	timing   Timing
	goals    map[string]Goal
	loads    int
	observed map[string]Observed
	leader   bool
	token    uint64
	until    time.Time
	state    pageState
	page     Page
	version  uint64
	next     Page
	fresh    []Intent // of next, to be sent once it is written
	orders   uint64
	out      []Action
}

// New returns an Issuer without goals.
func New(t Timing) *Issuer {
	return &Issuer{timing: t, goals: map[string]Goal{}, observed: map[string]Observed{}}
}

// IsLeader reports whether this issuer believes to hold the lease at now.
func (s *Issuer) IsLeader(now time.Time) bool { return s.leader && now.Before(s.until) }

// Handle takes an event at now and returns the actions to carry out in order.
func (s *Issuer) Handle(now time.Time, e Event) []Action {
	s.out = s.out[:0]
	switch e := e.(type) {
	case Goals:
		s.setGoals(e)
	case Observed:
		s.observed[e.Engine] = e
	case Elected:
		s.leader, s.token, s.until, s.state = true, e.Token, e.Until, unread
	case Renewed:
		s.until = e.Until
	case LeadershipLost:
		s.leader, s.state = false, unread
	case PageRead:
		s.pageRead(e)
	case PageWritten:
		s.pageWritten(now, e)
	case Ticked:
		s.tick(now)
	}
	return s.out
}

func (s *Issuer) setGoals(g Goals) {
	clear(s.goals)
	for _, x := range g.Goals {
		s.goals[x.Engine] = x
	}
	s.loads = g.MaxLoads
}

func (s *Issuer) tick(now time.Time) {
	if !s.IsLeader(now) {
		s.leader, s.state = false, unread
		if len(s.goals) > 0 {
			s.out = append(s.out, Campaign{})
		}
		return
	}
	if s.until.Sub(now) < s.timing.Lease*2/3 {
		s.out = append(s.out, Renew{})
	}
	switch s.state {
	case unread:
		s.state = reading
		s.out = append(s.out, ReadPage{})
	case idle:
		s.reconcile(now)
	}
}

func (s *Issuer) pageRead(e PageRead) {
	if s.state != reading {
		return
	}
	if e.Failed {
		s.state = unread
		return
	}
	s.page, s.version, s.state = e.Page, e.Version, idle
}

// reconcile writes the intents of the orders that are due.
func (s *Issuer) reconcile(now time.Time) {
	s.next, s.fresh = Page{}, s.fresh[:0]
	busy := map[string]bool{}
	loading := 0
	for _, i := range s.page.Intents {
		if !now.Before(i.Until) || s.reached(i) {
			continue
		}
		s.next.Intents = append(s.next.Intents, i)
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
		o, due := s.due(now, g)
		if !due || o.Kind == wire.OrderLoad && loading >= s.loads {
			continue
		}
		if o.Kind == wire.OrderLoad {
			loading++
		}
		i := Intent{Engine: name, Order: o, Until: now.Add(s.timing.Order + s.timing.Load)}
		s.next.Intents = append(s.next.Intents, i)
		s.fresh = append(s.fresh, i)
	}
	if len(s.fresh) > 0 {
		s.state = writing
		s.out = append(s.out, WritePage{Page: s.next, Version: s.version})
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

// reached reports whether the engine says that the order's end state holds.
func (s *Issuer) reached(i Intent) bool {
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

// due returns the order that brings an engine nearer to its goal.
func (s *Issuer) due(now time.Time, g Goal) (wire.Order, bool) {
	o, ok := s.observed[g.Engine]
	if !ok {
		return wire.Order{}, false // nothing is known of it yet
	}
	s.orders++
	order := wire.Order{ID: fmt.Sprintf("%d-%d", s.token, s.orders), FencingToken: s.token, IssuedAt: now}
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

func (s *Issuer) pageWritten(now time.Time, e PageWritten) {
	if s.state != writing {
		return
	}
	if e.Failed {
		s.state = unread // the intents may stand; they are honoured then
		return
	}
	s.page, s.version, s.state = s.next, e.Version, idle
	for _, i := range s.fresh {
		// An order that may arrive after the lease has lapsed isn't sent.
		if now.Add(s.timing.Order).Before(s.until) {
			s.out = append(s.out, Send{Engine: i.Engine, Order: i.Order, NotAfter: now.Add(s.timing.Order)})
		}
	}
}
