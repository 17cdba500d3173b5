// Package roller implements rolling updates: it replaces the weights of a few
// engines at a time. It decides when an engine is drained, when it gets an order
// to load weights, and what a response or a missing one means. Orders may be
// executed late, and responses may be lost. It does no I/O.
package roller

import (
	"math"
	"sort"
	"time"
)

// Engine is the state of an engine in the registry.
type Engine struct {
	Incarnation string
	Service     string
	// Models maps each model to the version of its weights.
	Models map[string]int
	// Running is the number of requests in flight at the engine. Pinned is how
	// many of them can't move to another engine.
	Running, Pinned int
	// Utilization is the share of the engine's capacity that is in use, from 0 to 1.
	Utilization float64
	// Reachable is false for an engine that has recently failed to respond.
	Reachable bool
}

// Report is the state that an engine returns on request.
type Report struct {
	Models map[string]int
	// Orders is the number of orders that the engine has accepted.
	Orders int
	// Busy reports whether the engine is executing an order.
	Busy bool
}

// Result is the outcome of sending an order.
type Result uint8

// The outcomes of sending an order.
const (
	// Accepted means that the engine is executing the order.
	Accepted Result = iota + 1
	// AlreadyLoaded means that the engine already has the version.
	AlreadyLoaded
	// Conflicting means that the engine is executing another order, or that it
	// has accepted another one since the order count named in the order.
	Conflicting
	// Unanswered means that the engine may have accepted the order or may still
	// do so.
	Unanswered
	// Failed means that the engine did not act on the order: it was not sent, did
	// not arrive or got an unexpected response.
	Failed
)

// Action is an output of Plan.
type Action interface{ action() }

// Order requests an engine to load weights.
type Order struct {
	Incarnation string
	Model       string
	Version     int
	// Expected is the number of orders that the engine must have accepted
	// before this one. The engine rejects the order otherwise.
	Expected int
	// Interrupt allows the engine to abort requests in flight. Otherwise it
	// finishes them before it loads the weights.
	Interrupt bool
}

// Drain requests that no new work is sent to an engine.
type Drain struct{ Incarnation string }

// RequestReport requests a Report of an engine.
type RequestReport struct{ Incarnation string }

// Done reports that an engine has loaded a version.
type Done struct {
	Incarnation string
	Model       string
	Version     int
}

func (Drain) action()         {}
func (Order) action()         {}
func (RequestReport) action() {}
func (Done) action()          {}

const (
	// parallelLoadDivisor limits concurrent loads to a fifth of the engines of a
	// service: the weight store slows down beyond that.
	parallelLoadDivisor = 5
	// maxAwayFactor limits the engines that get no work to a multiple of those that
	// load: the others drain, or have loaded and not reported it yet. More would leave
	// the rest of a small service overloaded.
	maxAwayFactor = 4.0 / 3
	// targetUtilization is the utilization of the remaining engines up to which
	// further engines are taken away.
	targetUtilization = 0.7
	minParallelLoads  = 2
	// firstReportDelay is the time from an accepted order to the first report
	// request. A load takes 1.2 s, so earlier requests would be wasted.
	firstReportDelay = 1200 * time.Millisecond
	reportInterval   = 200 * time.Millisecond
	// uncertainReportDelay is the delay before requesting a report to find out
	// whether an unanswered order was accepted.
	uncertainReportDelay = 150 * time.Millisecond
	// maxDrainTime limits the wait for pinned requests to finish.
	maxDrainTime = 1500 * time.Millisecond
	// minDrainTime lets the drain reach the peers, and the requests that they
	// have already sent arrive at the engine.
	minDrainTime = 60 * time.Millisecond
	// storeSlotTime is how long an accepted order occupies a slot of the weight
	// store. An order that takes longer is waiting for requests to finish or for
	// a report.
	storeSlotTime = 1250 * time.Millisecond
	// orderCountTimeout limits the wait for a report of an engine whose order
	// count is unknown.
	orderCountTimeout = 700 * time.Millisecond
	// orderTimeout releases the slot of an engine that does not complete its
	// order.
	orderTimeout = 10 * time.Second
	// maxPlanInterval is the time between two calls of Plan from which on the leader has been
	// unable to act in between.
	maxPlanInterval = time.Second
	// failureBackoff prevents an unreachable engine from being retried
	// continuously.
	failureBackoff = time.Second
)

type phase uint8

const (
	idle      phase = iota
	draining        // gets no new work, as an order is due
	sending         // an order is in flight
	loading         // an order was accepted
	uncertain       // an order may have been accepted
)

type engineState struct {
	engine           Engine
	registered       bool
	phase            phase
	order            Order
	phaseSince       time.Time
	nextReport       time.Time
	reportPending    bool
	reportedVersions map[string]int // newest version of each model in reports and responses
	orderCount       int            // orders accepted by the engine, -1 if unknown
	notBefore        time.Time      // no order before this time
}

func (s *engineState) version(model string) int {
	return max(s.engine.Models[model], s.reportedVersions[model])
}

// Roller is the state machine of the leader, which issues the orders. It is not
// safe for concurrent use.
type Roller struct {
	engines   map[string]*engineState
	plannedAt time.Time // of the last call of Plan
}

// New returns a Roller without engines.
func New() *Roller { return &Roller{engines: map[string]*engineState{}} }

// Reset drops the state of all engines and orders. A new leader calls it.
func (r *Roller) Reset() { clear(r.engines) }

// Settled reports whether no order is in progress or due, given the newest version of each model.
func (r *Roller) Settled(newest map[string]int) bool {
	for _, s := range r.engines {
		if s.phase != idle || s.engine.Reachable && s.outdatedModel(newest) != "" {
			return false
		}
	}
	return true
}

// Plan takes the engines in the registry and the newest version of each model,
// and returns the actions that are due at now.
func (r *Roller) Plan(now time.Time, engines []Engine, newest map[string]int) []Action {
	if !r.plannedAt.IsZero() && now.Sub(r.plannedAt) > maxPlanInterval {
		r.resume(now)
	}
	r.plannedAt = now
	r.syncEngines(engines)
	var out []Action
	slotsTaken := map[string]int{}  // slots of the weight store in use, by service
	unavailable := map[string]int{} // engines that get no work, by service
	reachable := map[string]int{}
	busy := map[string]float64{} // sum of the utilizations of reachable engines
	for _, s := range r.engines {
		if s.engine.Reachable {
			reachable[s.engine.Service]++
			busy[s.engine.Service] += s.engine.Utilization
		}
		out = r.advance(now, s, newest, out)
		if s.phase != idle {
			unavailable[s.engine.Service]++
		}
		if s.phase > draining && (s.phase != loading || now.Sub(s.phaseSince) < storeSlotTime) {
			slotsTaken[s.engine.Service]++
		}
	}
	for _, s := range r.drainedEngines(now) {
		if service := s.engine.Service; slotsTaken[service] < maxParallelLoads(reachable[service]) {
			slotsTaken[service]++
			out = append(out, r.startOrder(now, s, newest))
		}
	}
	for _, s := range r.outdatedEngines(now, newest) {
		service := s.engine.Service
		if unavailable[service] >= maxAway(reachable[service], busy[service]) {
			continue
		}
		unavailable[service]++
		s.phase, s.phaseSince = draining, now
		out = append(out, Drain{Incarnation: s.engine.Incarnation})
		if s.orderCount < 0 { // an order must state the expected count
			s.reportPending = true
			out = append(out, RequestReport{Incarnation: s.engine.Incarnation})
		}
	}
	return out
}

// resume continues after a time in which the leader couldn't act. Engines that were drained
// have got work again since. An order in progress has a report due before its time limit.
func (r *Roller) resume(now time.Time) {
	for _, s := range r.engines {
		switch s.phase {
		case draining:
			s.phase = idle
		case loading, uncertain:
			s.nextReport = now
			if from := now.Add(-storeSlotTime); from.After(s.phaseSince) {
				s.phaseSince = from
			}
		case idle, sending:
		}
	}
}

// maxParallelLoads returns how many of a service's engines may load at once.
func maxParallelLoads(engines int) int { return max(minParallelLoads, engines/parallelLoadDivisor) }

// maxAway returns how many of a service's engines may be without work at once, given the
// sum of their utilizations. It is one more than may load, so that the next one is
// drained in advance, and more if the remaining engines have room for the requests.
func maxAway(engines int, busy float64) int {
	loads := maxParallelLoads(engines)
	spare := engines - int(math.Ceil(busy/targetUtilization))
	return max(loads+1, min(int(maxAwayFactor*float64(loads)), spare))
}

// drainedEngines returns the engines that are ready for their order, those that
// have drained the longest first.
func (r *Roller) drainedEngines(now time.Time) []*engineState {
	var out []*engineState
	for _, s := range r.engines {
		passed := now.Sub(s.phaseSince)
		if s.phase == draining && s.orderCount >= 0 && passed >= minDrainTime && (s.engine.Pinned == 0 || passed >= maxDrainTime) {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].phaseSince.Equal(out[j].phaseSince) {
			return out[i].phaseSince.Before(out[j].phaseSince)
		}
		return out[i].engine.Incarnation < out[j].engine.Incarnation
	})
	return out
}

// syncEngines adds new engines, updates known ones and drops those that are no
// longer in the registry.
func (r *Roller) syncEngines(engines []Engine) {
	for _, s := range r.engines {
		s.registered = false
	}
	for _, e := range engines {
		s, ok := r.engines[e.Incarnation]
		if !ok {
			s = &engineState{reportedVersions: map[string]int{}, orderCount: -1}
			r.engines[e.Incarnation] = s
		}
		s.engine, s.registered = e, true
	}
	for inc, s := range r.engines {
		if !s.registered {
			delete(r.engines, inc)
		}
	}
}

// advance checks an engine that is not idle for completion, timeouts and due
// report requests.
func (r *Roller) advance(now time.Time, s *engineState, newest map[string]int, out []Action) []Action {
	if s.phase == idle {
		return out
	}
	if s.phase == draining {
		if s.outdatedModel(newest) == "" { // by a report, or an order of an earlier leader
			s.phase = idle
			for model := range s.engine.Models {
				out = append(out, Done{Incarnation: s.engine.Incarnation, Model: model, Version: s.version(model)})
			}
			return out
		}
		if !s.reportPending && s.orderCount < 0 && now.Sub(s.phaseSince) > orderCountTimeout {
			s.phase, s.notBefore = idle, now.Add(failureBackoff)
		}
		return out
	}
	if s.version(s.order.Model) >= s.order.Version {
		s.phase = idle
		return append(out, Done{Incarnation: s.engine.Incarnation, Model: s.order.Model, Version: s.version(s.order.Model)})
	}
	if now.Sub(s.phaseSince) > orderTimeout {
		s.phase, s.notBefore = idle, now.Add(failureBackoff)
		return out
	}
	if s.phase != sending && !s.reportPending && !now.Before(s.nextReport) {
		s.reportPending = true
		out = append(out, RequestReport{Incarnation: s.engine.Incarnation})
	}
	return out
}

// outdatedEngines returns the engines that need an order: those with the oldest
// weights first, and among these the ones with the fewest requests.
func (r *Roller) outdatedEngines(now time.Time, newest map[string]int) []*engineState {
	var out []*engineState
	for _, s := range r.engines {
		if s.phase == idle && !now.Before(s.notBefore) && s.engine.Reachable && s.outdatedModel(newest) != "" {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].versionLag(newest), out[j].versionLag(newest); a != b {
			return a > b
		}
		if out[i].engine.Running != out[j].engine.Running {
			return out[i].engine.Running < out[j].engine.Running
		}
		return out[i].engine.Incarnation < out[j].engine.Incarnation
	})
	return out
}

// outdatedModel returns the first model, by name, for which the engine lacks the
// newest weights. It returns an empty string if there is none.
func (s *engineState) outdatedModel(newest map[string]int) string {
	found := ""
	for model := range s.engine.Models {
		if s.version(model) < newest[model] && (found == "" || model < found) {
			found = model
		}
	}
	return found
}

// versionLag returns how many versions the engine's outdated model is behind.
func (s *engineState) versionLag(newest map[string]int) int {
	model := s.outdatedModel(newest)
	return newest[model] - s.version(model)
}

func (r *Roller) startOrder(now time.Time, s *engineState, newest map[string]int) Order {
	model := s.outdatedModel(newest)
	s.order = Order{
		Incarnation: s.engine.Incarnation, Model: model, Version: newest[model], Expected: s.orderCount,
		Interrupt: s.engine.Pinned == 0,
	}
	s.phase, s.phaseSince = sending, now
	return s.order
}

// RecordResult records the outcome of sending an order.
func (r *Roller) RecordResult(now time.Time, o Order, res Result) {
	s, ok := r.engines[o.Incarnation]
	if !ok || s.phase != sending || s.order != o {
		return
	}
	switch res {
	case Accepted:
		s.orderCount = o.Expected + 1
		s.phase, s.nextReport = loading, now.Add(firstReportDelay)
	case AlreadyLoaded:
		s.reportedVersions[o.Model] = max(s.reportedVersions[o.Model], o.Version)
		s.phase, s.nextReport = loading, now
	case Conflicting:
		s.phase, s.nextReport = uncertain, now
	case Unanswered:
		s.phase, s.nextReport = uncertain, now.Add(uncertainReportDelay)
	case Failed:
		s.phase, s.notBefore = idle, now.Add(failureBackoff)
	}
}

// ReceiveReport processes the report of an engine. ok is false if the engine did
// not respond. The next call of Plan returns the resulting actions.
func (r *Roller) ReceiveReport(now time.Time, incarnation string, rep Report, ok bool) {
	s, known := r.engines[incarnation]
	if !known {
		return
	}
	s.reportPending = false
	s.nextReport = now.Add(reportInterval)
	if !ok {
		return
	}
	for model, v := range rep.Models {
		s.reportedVersions[model] = max(s.reportedVersions[model], v)
	}
	s.orderCount = max(s.orderCount, rep.Orders)
	if s.phase == idle || s.phase == draining || rep.Busy || s.version(s.order.Model) >= s.order.Version {
		return
	}
	// Reports are several hundred milliseconds old, so an accepted order may not
	// be visible yet.
	if s.phase == loading && now.Sub(s.phaseSince) < firstReportDelay+maxReportAge {
		return
	}
	// The engine is not executing an order: the order was lost or has yet to
	// arrive. Sending a second order is harmless, as it expects the same order
	// count and the engine accepts only one of the two.
	s.phase, s.notBefore = idle, now
}

// maxReportAge is the maximum age of a report on arrival.
const maxReportAge = 500 * time.Millisecond
