// Package roller brings engines to new weights, a few at a time. It decides
// which engine gets an order when, and what an answer or its absence means;
// orders may be carried out late, and answers may be lost. It does no I/O.
package roller

import (
	"sort"
	"time"
)

// Engine is an engine as the registry has it.
type Engine struct {
	Incarnation string
	Service     string
	// Models maps a model to the version of its weights.
	Models map[string]int
	// Running is how many requests run there; Fixed is how many of these can't go
	// on at another engine.
	Running, Fixed int
	// Reachable is false for an engine that didn't answer lately.
	Reachable bool
}

// Report is what an engine says of itself when asked.
type Report struct {
	Models map[string]int
	Orders int
	// Busy says that an order is being carried out.
	Busy bool
}

// Result is how an order was answered.
type Result uint8

// The results.
const (
	// Accepted means that the order is being carried out.
	Accepted Result = iota + 1
	// Holds means that the engine has the version already.
	Holds
	// Conflicting means that another order is being carried out or was since
	// the count that the order names.
	Conflicting
	// Unanswered means that the order may have been accepted, or may yet be.
	Unanswered
	// Failed means that the engine took no notice of the order.
	Failed
)

// Action is something to be done.
type Action interface{ action() }

// Order is an order to load weights.
type Order struct {
	Incarnation string
	Model       string
	Version     int
	// Expected is the number of orders that the engine must have accepted
	// before.
	Expected int
	// Cut lets the engine break off what it runs; else the runs end first.
	Cut bool
}

// Drain wants no new work to be sent to an engine.
type Drain struct{ Incarnation string }

// Ask wants a Report of an engine.
type Ask struct{ Incarnation string }

// Done says that an engine has reached a version.
type Done struct {
	Incarnation string
	Model       string
	Version     int
}

func (Drain) action() {}
func (Order) action() {}
func (Ask) action()   {}
func (Done) action()  {}

const (
	// widthShare is the part of a service's engines that load at once: the
	// weight store slows down beyond a sixth of them.
	widthShare = 6
	leastWidth = 2
	// firstAsk is when the first report after an order is worth its price: a
	// load takes 1.2 s.
	firstAsk = 1200 * time.Millisecond
	askEvery = 200 * time.Millisecond
	// doubtAsk is the pause before an engine is asked what became of an order
	// without answer.
	doubtAsk = 150 * time.Millisecond
	// drainTime bounds the wait for runs that can't go on elsewhere.
	drainTime = 1500 * time.Millisecond
	// leastDrain lets peers hear of it, and what they have sent arrive.
	leastDrain = 60 * time.Millisecond
	// slotTime is how long an order takes a place of the weight store: what
	// lasts longer waits for runs to end, or for a report.
	slotTime = 1250 * time.Millisecond
	// giveUpAsking is the wait for the count of orders of an engine.
	giveUpAsking = 700 * time.Millisecond
	// giveUp frees the place of an engine that doesn't come to an end.
	giveUp = 10 * time.Second
	// pauseAfterFailure keeps an engine that can't be reached from being tried
	// all the time.
	pauseAfterFailure = time.Second
)

type phase uint8

const (
	idle     phase = iota
	draining       // gets no new work before its order
	sending        // an order is on its way
	loading        // an order was accepted
	doubt          // an order may have been accepted
)

type state struct {
	engine  Engine
	seen    bool
	phase   phase
	order   Order
	since   time.Time
	next    time.Time
	asking  bool
	models  map[string]int // told by reports
	orders  int            // told by reports, -1 if none
	restful time.Time      // no order before
}

func (s *state) version(model string) int { return max(s.engine.Models[model], s.models[model]) }

// Roller is the machine of the node that issues the orders. It is not safe for
// concurrent use.
type Roller struct {
	states map[string]*state
}

// New returns a Roller that knows no engine.
func New() *Roller { return &Roller{states: map[string]*state{}} }

// Reset forgets what was sent, for a node that has only now become the issuer.
func (r *Roller) Reset() { clear(r.states) }

// Plan takes the registry and the newest versions, and returns what is due at
// now.
func (r *Roller) Plan(now time.Time, engines []Engine, newest map[string]int) []Action {
	r.update(engines)
	var out []Action
	loads := map[string]int{} // places of the weight store that are taken
	away := map[string]int{}  // engines without work
	size := map[string]int{}
	for _, s := range r.states {
		if s.engine.Reachable {
			size[s.engine.Service]++
		}
		out = r.advance(now, s, out)
		if s.phase != idle {
			away[s.engine.Service]++
		}
		if s.phase > draining && (s.phase != loading || now.Sub(s.since) < slotTime) {
			loads[s.engine.Service]++
		}
	}
	for _, s := range r.drained(now) {
		if service := s.engine.Service; loads[service] < width(size[service]) {
			loads[service]++
			out = append(out, r.start(now, s, newest))
		}
	}
	for _, s := range r.waiting(now, newest) {
		service := s.engine.Service
		if away[service] > width(size[service]) { // one more drains meanwhile
			continue
		}
		away[service]++
		s.phase, s.since = draining, now
		out = append(out, Drain{Incarnation: s.engine.Incarnation})
		if s.orders < 0 { // an order must name their count
			s.asking = true
			out = append(out, Ask{Incarnation: s.engine.Incarnation})
		}
	}
	return out
}

// width is how many engines of a service may load at once.
func width(engines int) int { return max(leastWidth, engines/widthShare) }

// drained returns the engines that are ready for their order, the longest
// drained first.
func (r *Roller) drained(now time.Time) []*state {
	var out []*state
	for _, s := range r.states {
		passed := now.Sub(s.since)
		if s.phase == draining && s.orders >= 0 && passed >= leastDrain && (s.engine.Fixed == 0 || passed >= drainTime) {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].since.Equal(out[j].since) {
			return out[i].since.Before(out[j].since)
		}
		return out[i].engine.Incarnation < out[j].engine.Incarnation
	})
	return out
}

func (r *Roller) update(engines []Engine) {
	for _, s := range r.states {
		s.seen = false
	}
	for _, e := range engines {
		s, ok := r.states[e.Incarnation]
		if !ok {
			s = &state{models: map[string]int{}, orders: -1}
			r.states[e.Incarnation] = s
		}
		s.engine, s.seen = e, true
	}
	for inc, s := range r.states {
		if !s.seen {
			delete(r.states, inc)
		}
	}
}

// advance looks after an engine with an order.
func (r *Roller) advance(now time.Time, s *state, out []Action) []Action {
	if s.phase == idle {
		return out
	}
	if s.phase == draining {
		if !s.asking && s.orders < 0 && now.Sub(s.since) > giveUpAsking {
			s.phase, s.restful = idle, now.Add(pauseAfterFailure)
		}
		return out
	}
	if s.version(s.order.Model) >= s.order.Version {
		s.phase = idle
		return append(out, Done{Incarnation: s.engine.Incarnation, Model: s.order.Model, Version: s.version(s.order.Model)})
	}
	if now.Sub(s.since) > giveUp {
		s.phase, s.restful = idle, now.Add(pauseAfterFailure)
		return out
	}
	if s.phase != sending && !s.asking && !now.Before(s.next) {
		s.asking = true
		out = append(out, Ask{Incarnation: s.engine.Incarnation})
	}
	return out
}

// waiting returns the engines that need an order: those with the oldest weights
// first, of these the emptiest.
func (r *Roller) waiting(now time.Time, newest map[string]int) []*state {
	var out []*state
	for _, s := range r.states {
		if s.phase == idle && !now.Before(s.restful) && s.engine.Reachable && s.behind(newest) != "" {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].lag(newest), out[j].lag(newest); a != b {
			return a > b
		}
		if out[i].engine.Running != out[j].engine.Running {
			return out[i].engine.Running < out[j].engine.Running
		}
		return out[i].engine.Incarnation < out[j].engine.Incarnation
	})
	return out
}

// behind returns a model of the engine that has newer weights.
func (s *state) behind(newest map[string]int) string {
	found := ""
	for model := range s.engine.Models {
		if s.version(model) < newest[model] && (found == "" || model < found) {
			found = model
		}
	}
	return found
}

// lag returns how many versions the engine is behind.
func (s *state) lag(newest map[string]int) int {
	model := s.behind(newest)
	return newest[model] - s.version(model)
}

func (r *Roller) start(now time.Time, s *state, newest map[string]int) Order {
	model := s.behind(newest)
	s.order = Order{
		Incarnation: s.engine.Incarnation, Model: model, Version: newest[model], Expected: s.orders,
		Cut: s.engine.Fixed == 0,
	}
	s.phase, s.since = sending, now
	return s.order
}

// RecordResult takes the answer to an order.
func (r *Roller) RecordResult(now time.Time, o Order, res Result) {
	s, ok := r.states[o.Incarnation]
	if !ok || s.phase != sending || s.order != o {
		return
	}
	switch res {
	case Accepted:
		s.orders = o.Expected + 1
		s.phase, s.next = loading, now.Add(firstAsk)
	case Holds:
		s.models[o.Model] = max(s.models[o.Model], o.Version)
		s.phase, s.next = loading, now
	case Conflicting:
		s.phase, s.next = doubt, now
	case Unanswered:
		s.phase, s.next = doubt, now.Add(doubtAsk)
	case Failed:
		s.phase, s.restful = idle, now.Add(pauseAfterFailure)
	}
}

// ReceiveReport takes an engine's report. ok is false if there was no answer. What
// is to be done next comes out of the next Plan.
func (r *Roller) ReceiveReport(now time.Time, incarnation string, rep Report, ok bool) {
	s, known := r.states[incarnation]
	if !known {
		return
	}
	s.asking = false
	s.next = now.Add(askEvery)
	if !ok {
		return
	}
	for model, v := range rep.Models {
		s.models[model] = max(s.models[model], v)
	}
	s.orders = max(s.orders, rep.Orders)
	if s.phase == idle || s.phase == draining || rep.Busy || s.version(s.order.Model) >= s.order.Version {
		return
	}
	// Reports are some hundred ms old: an accepted order may not show yet.
	if s.phase == loading && now.Sub(s.since) < firstAsk+reportLag {
		return
	}
	// No order is being carried out: it was lost, or is yet to come. The same
	// count makes a second one harmless.
	s.phase, s.restful = idle, now
}

// reportLag is how old a report may be.
const reportLag = 500 * time.Millisecond
