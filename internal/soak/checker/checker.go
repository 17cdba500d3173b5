package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Bounds are the time limits of the guarantees, as documented for users.
type Bounds struct {
	Settle      time.Duration // a bound applies only after a node was undisturbed for this long
	Revoke      time.Duration // until a revoked key is rejected
	Config      time.Duration // until a configuration is in force
	Regress     time.Duration // after a node used a configuration, until it must not use an older one
	Drain       time.Duration // until no request is sent to a draining upstream
	HandoverGap time.Duration // minimum time between orders of two leaders
	AfterFreeze time.Duration // after a node's disturbance, in which orders aren't checked
	Recover     time.Duration // from the last fault until requests are served again
	Grace       time.Duration // from SIGTERM to the end of the process
	Slack       time.Duration // in which a request may cross with the closing of its connection
}

// Violation is a violated guarantee.
type Violation struct {
	Rule    string
	Request string // request ID; empty for a violation by the whole fleet
	Detail  string
}

// String formats the violation for the report.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Request, v.Detail) }

// Checker checks histories against bounds.
type Checker struct{ bounds Bounds }

// New returns a Checker for the given bounds.
func New(b Bounds) *Checker { return &Checker{bounds: b} }

// validation is the state of one call of Check.
type validation struct {
	bounds     Bounds
	history    *History
	requests   map[string]*Request
	runs       map[string][]Run
	violations []Violation
}

// Check returns all violations in a history.
func (c *Checker) Check(h *History) []Violation {
	v := &validation{bounds: c.bounds, history: h, requests: map[string]*Request{}, runs: map[string][]Run{}}
	for _, r := range h.Runs {
		v.runs[r.ID] = append(v.runs[r.ID], r)
	}
	for i := range h.Requests {
		r := &h.Requests[i]
		v.requests[r.ID] = r
		v.checkRequest(r, v.runs[r.ID])
	}
	left := h.hasLeft()
	for _, run := range h.Runs {
		if r := v.requests[run.ID]; left[run.ID] {
			continue
		} else if r == nil {
			v.add("unasked", run.ID, "an upstream ran a request that no caller sent")
		} else {
			v.checkRun(r, &run)
		}
	}
	v.checkConfigOrder()
	v.checkOrders()
	v.checkWalls()
	v.checkLimits()
	v.checkNotices()
	v.checkRates()
	v.checkLeft()
	for _, p := range h.Poisons {
		v.checkPoison(p)
	}
	v.checkRecovery()
	return v.violations
}

func (v *validation) add(rule, id, format string, args ...any) {
	v.violations = append(v.violations, Violation{Rule: rule, Request: id, Detail: fmt.Sprintf(format, args...)})
}

// undisturbed reports whether a node had no disturbance between from, less the
// settle time, and to. The node's own graceful shutdown counts as a disturbance.
func (v *validation) undisturbed(node int, from, to time.Time) bool {
	from = from.Add(-v.bounds.Settle)
	for _, d := range v.history.Disturbances {
		if (d.Node == node || d.Node < 0) && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return true
}

func (v *validation) checkRequest(r *Request, runs []Run) {
	if !r.Retryable() && len(runs) > 1 {
		v.add("twice", r.ID, "%s ran %d times, at %s", r.Target, len(runs), upstreamNames(runs))
	}
	if r.Retryable() && len(runs) > r.MaxAttempts {
		v.add("attempts", r.ID, "%s ran %d times, %d allowed", r.Target, len(runs), r.MaxAttempts)
	}
	if r.guaranteesNotRun() && len(runs) > 0 {
		v.add("notRun", r.ID, "got status %d, but ran at %s", r.Status, upstreamNames(runs))
	}
	if r.Status != 0 && r.ResponseID != "" && r.ResponseID != r.ID {
		v.add("mixed", r.ID, "got the response to request %s", r.ResponseID)
	}
	v.checkResponse(r, runs)
	v.checkShutdown(r, runs)
	v.checkDelivery(r, runs)
	v.checkAnswered(r)
	if r.Status/100 == 4 && !r.guaranteesNotRun() && v.undisturbed(r.Node, r.SentAt, r.EndedAt) && v.keyInForce(r) {
		v.add("denied", r.ID, "got status %d, although the route of %s and the key are in force and the request is within the limits", r.Status, r.Target)
	}
}

func upstreamNames(runs []Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.Upstream)
	}
	return strings.Join(out, ", ")
}

// keyInForce reports whether the request's key wasn't revoked during the soak.
func (v *validation) keyInForce(r *Request) bool {
	_, revoked := v.history.RevokedAt[r.Key]
	return !revoked
}

// checkResponse checks that a successful response has an upstream's stamp and the
// expected body, and that a stamped failure was returned by an upstream.
func (v *validation) checkResponse(r *Request, runs []Run) {
	if r.Status != 200 {
		if r.Stamped && r.Complete && !v.returnedByUpstream(runs, r.Status) {
			v.add("mixed", r.ID, "response with status %d has an upstream's stamp, but no upstream returned it", r.Status)
		}
		return
	}
	want := r.WantBody
	switch {
	case !r.Stamped:
		v.add("mixed", r.ID, "successful response without an upstream's stamp")
	case r.Complete && r.Body != want:
		v.add("mixed", r.ID, "complete response body of %d bytes differs from the expected %d bytes", len(r.Body), len(want))
	case !r.Complete && !strings.HasPrefix(want, r.Body) && r.Kind != traffic.Streaming:
		v.add("mixed", r.ID, "partial response body isn't a prefix of the expected one")
	case !r.Complete && !strings.HasPrefix(want, completeEvents(r.Body)) && r.Kind == traffic.Streaming:
		v.add("order", r.ID, "events are missing, duplicated or out of order")
	}
}

// completeEvents returns the part of a stream up to the end of the last complete
// event.
func completeEvents(s string) string {
	if i := strings.LastIndex(s, "\n\n"); i >= 0 {
		return s[:i+len("\n\n")]
	}
	return ""
}

func (v *validation) returnedByUpstream(runs []Run, status int) bool {
	for _, r := range runs {
		if r.Status == status {
			return true
		}
	}
	return false
}

const (
	// acceptAfterSignal is how long after SIGTERM callers may still send requests to
	// a node. Long work sent by then may be cut off at the end of the grace period.
	acceptAfterSignal = 3 * time.Second
	// graceMargin is how long after the grace period the end of a connection is
	// still attributed to the shutdown.
	graceMargin = time.Second
	// closeDetectionDelay is the time that a caller takes to detect the end of its
	// connection.
	closeDetectionDelay = 50 * time.Millisecond
)

// onlyPlannedDisturbances reports whether a request's node had no disturbance
// other than planned work. A fault of the store counts as planned except for
// streams: it excuses no lost safe or unsafe request.
func (v *validation) onlyPlannedDisturbances(r *Request) bool {
	from := r.SentAt.Add(-v.bounds.Settle)
	for _, d := range v.history.Disturbances {
		planned := d.GracefulShutdown || d.StoreOnly && r.Kind != traffic.Streaming
		if (d.Node == r.Node || d.Node < 0) && !planned && d.From.Before(r.EndedAt) && d.To.After(from) {
			return false
		}
	}
	return true
}

// checkShutdown checks that a graceful shutdown lost no response.
func (v *validation) checkShutdown(r *Request, runs []Run) {
	elapsed := r.EndedAt.Sub(r.SentAt)
	if r.Complete || !r.ConnectionLost || elapsed+closeDetectionDelay >= r.Timeout {
		return
	}
	for _, s := range v.history.Shutdowns {
		if s.Node != r.Node || s.Incarnation != r.Incarnation || r.EndedAt.Before(s.From) || r.EndedAt.After(s.From.Add(v.bounds.Grace+graceMargin)) ||
			!v.onlyPlannedDisturbances(r) {
			continue
		}
		if len(runs) == 0 {
			if elapsed > v.bounds.Slack {
				v.add("lost", r.ID, "the node closed the connection during its shutdown, without a response, %v after %s was sent", elapsed, r.Target)
			}
			continue
		}
		last := runs[len(runs)-1]
		runningLate := !last.Ended || last.EndedAt.After(s.From.Add(v.bounds.Grace*5/6)) // in the last sixth of the grace period
		if last.Aborted || runningLate && !r.SentAt.After(s.From.Add(acceptAfterSignal)) {
			continue
		}
		v.add("lost", r.ID, "the node closed the connection before the end of the response, %v after SIGTERM; %s was sent %v after SIGTERM, run complete: %t",
			r.EndedAt.Sub(s.From), r.Target, r.SentAt.Sub(s.From), last.Complete)
	}
}

// checkDelivery checks that responses of sound upstreams reach the caller.
func (v *validation) checkDelivery(r *Request, runs []Run) {
	failed := r.ConnectionLost || r.Complete && r.Status >= 500 && !r.Stamped && !r.guaranteesNotRun()
	elapsed := r.EndedAt.Sub(r.SentAt)
	if !failed || len(runs) == 0 || elapsed+closeDetectionDelay >= r.Timeout || !v.undisturbed(r.Node, r.SentAt, r.EndedAt) {
		return
	}
	for _, run := range runs {
		if run.Faulty || run.Aborted {
			return
		}
	}
	v.add("lost", r.ID, "status %d after %v, connection lost: %t; %s ran only at sound upstreams, %s", r.Status, elapsed, r.ConnectionLost, r.Target, upstreamNames(runs))
}

// checkAnswered checks that each request that was sent whole gets a response or a refusal,
// whatever happens to upstreams and the store. Whether it ran doesn't matter.
func (v *validation) checkAnswered(r *Request) {
	if r.Status != 0 || !r.SentWhole || !r.ConnectionLost && !r.TimedOut {
		return
	}
	from := r.SentAt.Add(-v.bounds.Settle)
	for _, d := range v.history.Disturbances {
		if (d.Node == r.Node || d.Node < 0) && !d.StoreOnly && !d.UpstreamOnly && d.From.Before(r.EndedAt) && d.To.After(from) {
			return // of the process; checkShutdown checks its graceful shutdown
		}
	}
	v.add("unanswered", r.ID, "neither a response nor a refusal of %s after %v, connection lost: %t", r.Target, r.EndedAt.Sub(r.SentAt), r.ConnectionLost)
}

// checkRun checks the request that an upstream received, and whether the upstream
// was permitted to receive it at that time.
func (v *validation) checkRun(r *Request, run *Run) {
	switch {
	case run.Key != "":
		v.add("unasked", r.ID, "the caller's key was forwarded to %s", run.Upstream)
	case run.Workspace != r.Workspace:
		v.add("unasked", r.ID, "%s received workspace %q instead of %q", run.Upstream, run.Workspace, r.Workspace)
	case run.Method != r.Method || run.Target != r.Target || run.BodyHash != r.BodyHash:
		v.add("unasked", r.ID, "%s received a request that differs from the one sent", run.Upstream)
	}
	if revokedAt, ok := v.history.RevokedAt[r.Key]; ok && r.SentAt.After(revokedAt.Add(v.bounds.Revoke)) {
		v.add("revoked", r.ID, "ran at %s with a key that was revoked %v before the request was sent", run.Upstream, r.SentAt.Sub(revokedAt))
	}
	if drainedAt, ok := v.history.DrainedAt[run.Upstream]; ok && run.StartedAt.After(drainedAt.Add(v.bounds.Drain)) && v.undisturbed(r.Node, run.StartedAt, run.StartedAt) {
		v.add("drain", r.ID, "reached %s %v after its drain began", run.Upstream, run.StartedAt.Sub(drainedAt))
	}
	if strings.HasPrefix(r.Target, v.history.MovingPrefix) && !v.routedTo(run.Service, r.SentAt.Add(-v.bounds.Config), run.StartedAt) && v.undisturbed(r.Node, r.SentAt, run.StartedAt) {
		v.add("config", r.ID, "ran at service %s, to which no configuration in force at that time directs it", run.Service)
	}
}

// routedTo reports whether a configuration that was in force at any moment between
// from and to directs the moving route to a service.
func (v *validation) routedTo(service string, from, to time.Time) bool {
	for i, c := range v.history.RouteChanges {
		superseded := i+1 < len(v.history.RouteChanges) && v.history.RouteChanges[i+1].At.Before(from)
		if c.Service == service && !superseded && c.At.Before(to) {
			return true
		}
	}
	return false
}

// checkConfigOrder checks that no process returns to an older configuration after
// it has used a newer one.
func (v *validation) checkConfigOrder() {
	byProcess := map[process][]*Request{}
	for i := range v.history.Requests {
		if r := &v.history.Requests[i]; strings.HasPrefix(r.Target, v.history.MovingPrefix) {
			byProcess[process{r.Node, r.Incarnation}] = append(byProcess[process{r.Node, r.Incarnation}], r)
		}
	}
	for _, requests := range byProcess {
		type observation struct {
			at     time.Time
			change int
		}
		var observed []observation
		for _, r := range requests {
			for _, run := range v.runs[r.ID] {
				if first, last := v.changesTo(run.Service, run.StartedAt); first == last && first >= 0 {
					observed = append(observed, observation{run.StartedAt, first})
				}
			}
		}
		sort.Slice(observed, func(i, j int) bool { return observed[i].at.Before(observed[j].at) })
		for _, r := range requests {
			newest := -1
			for _, o := range observed {
				if o.at.Add(v.bounds.Regress).Before(r.SentAt) {
					newest = max(newest, o.change)
				}
			}
			for _, run := range v.runs[r.ID] {
				if _, last := v.changesTo(run.Service, run.StartedAt); last >= 0 && last < newest {
					v.add("regress", r.ID, "node %d sent it to service %s after using a newer configuration", r.Node, run.Service)
				}
			}
		}
	}
}

// changesTo returns the indexes of the first and last change of the moving route
// to a service before a moment, -1 for none.
func (v *validation) changesTo(service string, before time.Time) (first, last int) {
	first, last = -1, -1
	for i, c := range v.history.RouteChanges {
		if c.Service == service && c.At.Before(before) {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	return first, last
}

// checkOrders checks that only one leader at a time sends orders.
func (v *validation) checkOrders() {
	sort.Slice(v.history.Orders, func(i, j int) bool { return v.history.Orders[i].At.Before(v.history.Orders[j].At) })
	leaders := map[uint64]string{}
	newestToken := map[string]uint64{}
	var last *Order
	for i := range v.history.Orders {
		o := &v.history.Orders[i]
		if v.shortlyAfterFreeze(o.At) {
			continue
		}
		if previous, ok := leaders[o.FencingToken]; ok && previous != o.Leader {
			v.add("one", "", "%s and %s sent orders with fencing token %d", previous, o.Leader, o.FencingToken)
		}
		leaders[o.FencingToken] = o.Leader
		if o.FencingToken < newestToken[o.Upstream] {
			v.add("one", "", "%s sent %s an order with fencing token %d after token %d", o.Leader, o.Upstream, o.FencingToken, newestToken[o.Upstream])
		}
		newestToken[o.Upstream] = max(newestToken[o.Upstream], o.FencingToken)
		if last != nil && last.Leader != o.Leader && o.At.Sub(last.At) < v.bounds.HandoverGap {
			v.add("one", "", "%s sent an order %v after the last order of %s", o.Leader, o.At.Sub(last.At), last.Leader)
		}
		last = o
	}
}

// shortlyAfterFreeze reports whether a moment is within the AfterFreeze bound of
// the end of any single node's disturbance. The bound is meant for the moment in
// which a frozen node resumes.
func (v *validation) shortlyAfterFreeze(at time.Time) bool {
	for _, d := range v.history.Disturbances {
		if d.Node >= 0 && at.After(d.To) && at.Sub(d.To) < v.bounds.AfterFreeze {
			return true
		}
	}
	return false
}

// minRecoveredShare is the minimum share of requests served after the time to
// recover.
const minRecoveredShare = 0.25

// checkRecovery checks that the fleet serves requests again after the last fault.
func (v *validation) checkRecovery() {
	sent, served := 0, 0
	for i := range v.history.Requests {
		r := &v.history.Requests[i]
		if r.SentAt.After(v.history.FaultsEndedAt.Add(v.bounds.Recover)) && v.keyInForce(r) {
			sent++
			if r.Status == 200 && r.Complete {
				served++
			}
		}
	}
	if float64(served) < minRecoveredShare*float64(sent) {
		v.add("recover", "", "only %d of %d requests sent more than %v after the last fault were served", served, sent, v.bounds.Recover)
	}
}
