package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Bounds are the times of the promises, as in the users' sheets.
type Bounds struct {
	Settle      time.Duration // a node is undisturbed for so long before a bound holds
	Revoke      time.Duration // until a key that was taken back doesn't work any more
	Config      time.Duration // until a configuration is in force
	Regress     time.Duration // in which a node may still use the one before
	Drain       time.Duration // until nothing is sent to a leaving upstream
	HandoverGap time.Duration // between orders of two holders
	AfterFreeze time.Duration // after a freeze in which orders don't count
	Recover     time.Duration // until requests are served again
	Grace       time.Duration // from the signal to stop to the end
	Slack       time.Duration // in which a request may cross a closing connection
}

// Violation is a broken promise.
type Violation struct {
	Rule    string
	Request string // its id, if it is about one
	Detail  string
}

// String returns the violation for a report.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Request, v.Detail) }

// Checker checks histories.
type Checker struct{ b Bounds }

// New returns a Checker.
func New(b Bounds) *Checker { return &Checker{b: b} }

// trial is one history being checked.
type trial struct {
	b     Bounds
	h     *History
	runs  map[string][]Run
	found []Violation
}

// Check returns all broken promises.
func (c *Checker) Check(h *History) []Violation {
	t := &trial{b: c.b, h: h, runs: map[string][]Run{}}
	asked := make(map[string]*Request, len(h.Requests))
	for _, r := range h.Runs {
		t.runs[r.ID] = append(t.runs[r.ID], r)
	}
	for i := range h.Requests {
		r := &h.Requests[i]
		asked[r.ID] = r
		t.request(r, t.runs[r.ID])
	}
	for _, run := range h.Runs {
		if r := asked[run.ID]; r == nil {
			t.add("unasked", run.ID, "an upstream ran a request that nobody sent")
		} else {
			t.run(r, &run)
		}
	}
	t.regress()
	t.orders()
	t.recovery()
	return t.found
}

func (t *trial) add(rule, id, format string, args ...any) {
	t.found = append(t.found, Violation{Rule: rule, Request: id, Detail: fmt.Sprintf(format, args...)})
}

// calm reports whether nothing disturbed a node from a while before from until
// to. Its own graceful stop counts as a disturbance.
func (t *trial) calm(node int, from, to time.Time) bool {
	from = from.Add(-t.b.Settle)
	for _, d := range t.h.Disturbances {
		if (d.Node == node || d.Node < 0) && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return true
}

func (t *trial) request(r *Request, runs []Run) {
	if !r.Retryable() && len(runs) > 1 {
		t.add("twice", r.ID, "%s ran %d times, at %s", r.Target, len(runs), upstreams(runs))
	}
	if r.Retryable() && len(runs) > r.MaxAttempts {
		t.add("attempts", r.ID, "%s ran %d times, %d allowed", r.Target, len(runs), r.MaxAttempts)
	}
	if r.notRun() && len(runs) > 0 {
		t.add("notRun", r.ID, "answered with %d, but ran at %s", r.Status, upstreams(runs))
	}
	if r.Status != 0 && r.ResponseID != "" && r.ResponseID != r.ID {
		t.add("mixed", r.ID, "got the answer to %s", r.ResponseID)
	}
	t.answer(r, runs)
	t.cut(r, runs)
	if (r.Status == 401 || r.Status == 404) && t.calm(r.Node, r.SentAt, r.EndedAt) && t.allowed(r) {
		t.add("denied", r.ID, "answered with %d, though %s and its key are in force", r.Status, r.Target)
	}
}

func upstreams(runs []Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.Upstream)
	}
	return strings.Join(out, ", ")
}

func (t *trial) allowed(r *Request) bool {
	_, taken := t.h.RevokedAt[r.Key]
	return !taken
}

// answer checks what a successful answer is made of.
func (t *trial) answer(r *Request, runs []Run) {
	if r.Status != 200 {
		if r.Stamped && r.Complete && !t.gave(runs, r.Status) {
			t.add("mixed", r.ID, "a %d bears an upstream's mark, but none gave it", r.Status)
		}
		return
	}
	want := r.WantBody
	switch {
	case !r.Stamped:
		t.add("mixed", r.ID, "a success without an upstream's mark")
	case r.Complete && r.Body != want:
		t.add("mixed", r.ID, "the whole answer has %d bytes of another kind than the %d expected", len(r.Body), len(want))
	case !r.Complete && !strings.HasPrefix(want, r.Body) && r.Kind != traffic.Streaming:
		t.add("mixed", r.ID, "what arrived of the answer isn't its beginning")
	case !r.Complete && !strings.HasPrefix(want, wholeEvents(r.Body)) && r.Kind == traffic.Streaming:
		t.add("order", r.ID, "events are missing, double or out of order")
	}
}

// wholeEvents returns the events of a stream that have arrived to their ends.
func wholeEvents(s string) string {
	if i := strings.LastIndex(s, "\n\n"); i >= 0 {
		return s[:i+len("\n\n")]
	}
	return ""
}

func (t *trial) gave(runs []Run, status int) bool {
	for _, r := range runs {
		if r.Status == status {
			return true
		}
	}
	return false
}

const (
	// held is how long after the signal a caller may send to a node, and long
	// work that it sent so early may be cut.
	held = 3 * time.Second
	// afterGrace is how long after the grace an end still counts as the stop's.
	afterGrace = time.Second
	// sight is the time in which a caller sees the end of its connection.
	sight = 50 * time.Millisecond
)

// unexcused reports whether only planned work disturbed a request's node. The
// store's disruption excuses no safe or unsafe request.
func (t *trial) unexcused(r *Request) bool {
	from := r.SentAt.Add(-t.b.Settle)
	for _, d := range t.h.Disturbances {
		planned := d.GracefulShutdown || d.StoreOnly && r.Kind != traffic.Streaming
		if (d.Node == r.Node || d.Node < 0) && !planned && d.From.Before(r.EndedAt) && d.To.After(from) {
			return false
		}
	}
	return true
}

// cut checks that a graceful stop has cost nobody an answer.
func (t *trial) cut(r *Request, runs []Run) {
	took := r.EndedAt.Sub(r.SentAt)
	if r.Complete || !r.ConnectionLost || took+sight >= r.Timeout {
		return
	}
	for _, s := range t.h.Shutdowns {
		if s.Node != r.Node || s.Incarnation != r.Incarnation || r.EndedAt.Before(s.From) || r.EndedAt.After(s.From.Add(t.b.Grace+afterGrace)) ||
			!t.unexcused(r) {
			continue
		}
		if len(runs) == 0 {
			if took > t.b.Slack {
				t.add("lost", r.ID, "the stopping node closed the connection %v after %s was sent, without an answer", took, r.Target)
			}
			continue
		}
		last := runs[len(runs)-1]
		long := !last.Ended || last.EndedAt.After(s.From.Add(t.b.Grace*5/6)) // at work in the last sixth of the grace
		if last.Aborted || long && !r.SentAt.After(s.From.Add(held)) {
			continue
		}
		t.add("lost", r.ID, "the stopping node closed the connection without the whole answer %v after its signal; %s was sent at %v, its run whole: %t",
			r.EndedAt.Sub(s.From), r.Target, r.SentAt.Sub(s.From), last.Complete)
	}
}

// run checks what an upstream was given.
func (t *trial) run(r *Request, run *Run) {
	switch {
	case run.Key != "":
		t.add("unasked", r.ID, "the key was passed on to %s", run.Upstream)
	case run.Workspace != r.Workspace:
		t.add("unasked", r.ID, "%s was told workspace %q instead of %q", run.Upstream, run.Workspace, r.Workspace)
	case run.Method != r.Method || run.Target != r.Target || run.BodyHash != r.BodyHash:
		t.add("unasked", r.ID, "%s was given another request", run.Upstream)
	}
	if taken, ok := t.h.RevokedAt[r.Key]; ok && r.SentAt.After(taken.Add(t.b.Revoke)) {
		t.add("revoked", r.ID, "ran at %s with a key that was taken back %v before it was sent", run.Upstream, r.SentAt.Sub(taken))
	}
	if left, ok := t.h.DrainedAt[run.Upstream]; ok && run.StartedAt.After(left.Add(t.b.Drain)) && t.calm(r.Node, run.StartedAt, run.StartedAt) {
		t.add("drain", r.ID, "reached %s %v after it was declared leaving", run.Upstream, run.StartedAt.Sub(left))
	}
	if strings.HasPrefix(r.Target, t.h.MovingPrefix) && !t.serves(run.Service, r.SentAt.Add(-t.b.Config), run.StartedAt) && t.calm(r.Node, r.SentAt, run.StartedAt) {
		t.add("config", r.ID, "ran at the service %s, to which no configuration of its time sends it", run.Service)
	}
}

// serves reports whether a configuration that was in force at some moment of a
// time sends the moving route to a service.
func (t *trial) serves(service string, from, to time.Time) bool {
	for i, m := range t.h.RouteChanges {
		over := i+1 < len(t.h.RouteChanges) && t.h.RouteChanges[i+1].At.Before(from)
		if m.Service == service && !over && m.At.Before(to) {
			return true
		}
	}
	return false
}

// regress checks that no process goes back to a configuration that it has left.
func (t *trial) regress() {
	type life struct{ node, life int }
	byLife := map[life][]*Request{}
	for i := range t.h.Requests {
		if r := &t.h.Requests[i]; strings.HasPrefix(r.Target, t.h.MovingPrefix) {
			byLife[life{r.Node, r.Incarnation}] = append(byLife[life{r.Node, r.Incarnation}], r)
		}
	}
	for _, requests := range byLife {
		type seen struct {
			at   time.Time
			move int
		}
		var effects []seen
		for _, r := range requests {
			for _, run := range t.runs[r.ID] {
				if first, last := t.moves(run.Service, run.StartedAt); first == last && first >= 0 {
					effects = append(effects, seen{run.StartedAt, first})
				}
			}
		}
		sort.Slice(effects, func(i, j int) bool { return effects[i].at.Before(effects[j].at) })
		for _, r := range requests {
			newest := -1
			for _, e := range effects {
				if e.at.Add(t.b.Regress).Before(r.SentAt) {
					newest = max(newest, e.move)
				}
			}
			for _, run := range t.runs[r.ID] {
				if _, last := t.moves(run.Service, run.StartedAt); last >= 0 && last < newest {
					t.add("regress", r.ID, "node %d ran it at %s after it had used a newer configuration", r.Node, run.Service)
				}
			}
		}
	}
}

// moves returns the first and last move to a service before a moment, -1 for
// none.
func (t *trial) moves(service string, before time.Time) (first, last int) {
	first, last = -1, -1
	for i, m := range t.h.RouteChanges {
		if m.Service == service && m.At.Before(before) {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	return first, last
}

// orders checks that one holder at a time gives orders.
func (t *trial) orders() {
	sort.Slice(t.h.Orders, func(i, j int) bool { return t.h.Orders[i].At.Before(t.h.Orders[j].At) })
	owner := map[uint64]string{}
	fences := map[string]uint64{}
	var last *Order
	for i := range t.h.Orders {
		o := &t.h.Orders[i]
		if t.thawed(o.At) {
			continue
		}
		if was, ok := owner[o.FencingToken]; ok && was != o.Leader {
			t.add("one", "", "%s and %s gave orders with the fencing token %d", was, o.Leader, o.FencingToken)
		}
		owner[o.FencingToken] = o.Leader
		if o.FencingToken < fences[o.Upstream] {
			t.add("one", "", "%s gave %s an order with fencing token %d after %d", o.Leader, o.Upstream, o.FencingToken, fences[o.Upstream])
		}
		fences[o.Upstream] = max(fences[o.Upstream], o.FencingToken)
		if last != nil && last.Leader != o.Leader && o.At.Sub(last.At) < t.b.HandoverGap {
			t.add("one", "", "%s gave an order %v after %s", o.Leader, o.At.Sub(last.At), last.Leader)
		}
		last = o
	}
}

func (t *trial) thawed(at time.Time) bool {
	for _, d := range t.h.Disturbances {
		if d.Node >= 0 && at.After(d.To) && at.Sub(d.To) < t.b.AfterFreeze {
			return true
		}
	}
	return false
}

// recoveredShare is the least part of the requests that are served once the
// fleet had its time to recover.
const recoveredShare = 0.25

// recovery checks that the fleet serves again after the last fault.
func (t *trial) recovery() {
	asked, served := 0, 0
	for i := range t.h.Requests {
		r := &t.h.Requests[i]
		if r.SentAt.After(t.h.FaultsEndedAt.Add(t.b.Recover)) && t.allowed(r) {
			asked++
			if r.Status == 200 && r.Complete {
				served++
			}
		}
	}
	if float64(served) < recoveredShare*float64(asked) {
		t.add("recover", "", "%d of %d requests are served %v after the last fault", served, asked, t.b.Recover)
	}
}
