package checker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

var (
	start  = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	bounds = checker.Bounds{
		Settle: 3 * time.Second, Revoke: 5 * time.Second, Config: 2 * time.Second, Regress: 250 * time.Millisecond,
		Drain: 2 * time.Second, HandoverGap: 3 * time.Second, AfterFreeze: 300 * time.Millisecond, Recover: 12 * time.Second,
		Grace: 8 * time.Second, Slack: 200 * time.Millisecond,
	}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// validHistory returns a history without violations: an unsafe request, a stream
// and a request on the moving route, all on one node.
func validHistory() *checker.History {
	h := &checker.History{
		RevokedAt: map[string]time.Time{}, DrainedAt: map[string]time.Time{}, MovingPrefix: "/moving/",
		RouteChanges:  []checker.RouteChange{{At: at(0), Service: "a"}, {At: at(10), Service: "b"}},
		FaultsEndedAt: at(10), EndedAt: at(40),
	}
	for _, r := range []checker.Request{
		{ID: "u", Kind: traffic.Unsafe, MaxAttempts: 1, Target: "/unsafe/u", Method: "POST", WantBody: "answer", Body: "answer"},
		{ID: "s", Kind: traffic.Streaming, Resumable: true, MaxAttempts: 2, Target: "/stream/s", Method: "POST", WantBody: events, Body: events},
		{ID: "m", Kind: traffic.Safe, MaxAttempts: 2, Target: "/moving/m", Method: "GET", WantBody: "answer", Body: "answer"},
	} {
		r.SentAt, r.EndedAt, r.Incarnation, r.Workspace, r.Key, r.Status, r.Complete, r.Stamped, r.ResponseID = at(30), at(30.1), 1, "w", "k", 200, true, true, r.ID
		r.Timeout = 12 * time.Second
		h.Requests = append(h.Requests, r)
		service := "a"
		if r.ID == "m" {
			service = "b"
		}
		h.Runs = append(h.Runs, checker.Run{
			ID: r.ID, Upstream: "up-" + service, Service: service, StartedAt: at(30.05), Workspace: "w", Method: r.Method, Target: r.Target,
			Status: 200, Complete: true, Ended: true, EndedAt: at(30.1),
		})
	}
	return h
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	if v := checker.New(bounds).Check(validHistory()); len(v) != 0 {
		t.Errorf("unexpected violations: %v", v)
	}
}

// Each change must lead to violations of the named rule and of no other one.
func TestFindsEachViolation(t *testing.T) {
	unsafe, stream, moving := 0, 1, 2
	for _, c := range []struct {
		rule, name string
		change     func(h *checker.History)
	}{
		{"twice", "an unsafe request runs at two upstreams", func(h *checker.History) {
			h.Runs = append(h.Runs, h.Runs[unsafe])
		}},
		{"attempts", "a stream runs at three upstreams", func(h *checker.History) {
			h.Runs = append(h.Runs, h.Runs[stream], h.Runs[stream])
		}},
		{"notRun", "status 503 for a request that ran", func(h *checker.History) {
			h.Requests[unsafe].Status, h.Requests[unsafe].Stamped = 503, false
		}},
		{"mixed", "response to another request", func(h *checker.History) { h.Requests[moving].ResponseID = "u" }},
		{"mixed", "wrong body", func(h *checker.History) { h.Requests[moving].Body = "nonsense" }},
		{"mixed", "truncated body of a complete response", func(h *checker.History) { h.Requests[moving].Body = "ans" }},
		{"mixed", "success without a stamp", func(h *checker.History) { h.Requests[moving].Stamped = false }},
		{"mixed", "failure that no upstream returned", func(h *checker.History) { h.Requests[moving].Status = 500 }},
		{"order", "duplicated event in an incomplete stream", func(h *checker.History) {
			h.Requests[stream].Body, h.Requests[stream].Complete = "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", false
		}},
		{"unasked", "run of a request that no caller sent", func(h *checker.History) {
			h.Runs = append(h.Runs, checker.Run{ID: "x", StartedAt: at(30)})
		}},
		{"unasked", "wrong workspace", func(h *checker.History) { h.Runs[unsafe].Workspace = "v" }},
		{"unasked", "wrong path", func(h *checker.History) { h.Runs[unsafe].Target = "/unsafe/v" }},
		{"unasked", "the caller's key is forwarded", func(h *checker.History) { h.Runs[unsafe].Key = "Bearer k" }},
		{"revoked", "key revoked 5.1 s before", func(h *checker.History) { h.RevokedAt["k"] = at(24.9) }},
		{"revoked", "key revoked 5.1 s before, disturbed node", func(h *checker.History) {
			h.RevokedAt["k"] = at(24.9)
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(20), To: at(31)}}
		}},
		{"drain", "run 2.1 s after the drain began", func(h *checker.History) { h.DrainedAt["up-a"] = at(27.95) }},
		{"config", "old service 20 s after the change", func(h *checker.History) { h.Runs[moving].Service = "a" }},
		{"denied", "status 404 for an existing route", func(h *checker.History) {
			h.Requests[unsafe].Status, h.Requests[unsafe].Stamped, h.Runs = 404, false, h.Runs[1:]
		}},
		{"denied", "status 413 for a request within the limits", func(h *checker.History) {
			h.Requests[unsafe].Status, h.Requests[unsafe].Stamped, h.Runs = 413, false, h.Runs[1:]
		}},
		{"one", "two leaders with one fencing token", func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e1", Leader: "x", FencingToken: 4}, {At: at(9), Upstream: "e2", Leader: "y", FencingToken: 4}}
		}},
		{"one", "older fencing token after a newer one", func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e", Leader: "x", FencingToken: 5}, {At: at(9), Upstream: "e", Leader: "y", FencingToken: 4}}
		}},
		{"one", "orders of two leaders within the handover gap", func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e", Leader: "x", FencingToken: 4}, {At: at(3.5), Upstream: "e", Leader: "y", FencingToken: 5}}
		}},
		{"recover", "no request served after the faults", func(h *checker.History) {
			for i := range h.Requests {
				h.Requests[i].Status, h.Requests[i].Stamped, h.Runs[i].Faulty = 502, false, true
			}
		}},
		{"lost", "unsafe request fails at a sound upstream", func(h *checker.History) {
			h.Requests[unsafe].Status, h.Requests[unsafe].Stamped = 502, false
		}},
		{"lost", "stream of a sound upstream is cut off", func(h *checker.History) {
			r := &h.Requests[stream]
			r.Complete, r.ConnectionLost, r.Body = false, true, events[:len(events)/2]
		}},
		{"unanswered", "connection closed without a run, far from a shutdown", func(h *checker.History) {
			h.Requests[unsafe] = unanswered(h.Requests[unsafe])
			h.Runs = h.Runs[1:]
		}},
		{"unanswered", "connection closed without a run while the store is down and an upstream can't be reached", func(h *checker.History) {
			h.Requests[unsafe] = unanswered(h.Requests[unsafe])
			h.Runs = h.Runs[1:]
			h.Disturbances = []checker.Disturbance{{Node: -1, From: at(29), To: at(31), StoreOnly: true}, {Node: -1, From: at(29), To: at(31), UpstreamOnly: true}}
		}},
		{"unanswered", "no response in time", func(h *checker.History) {
			r := &h.Requests[unsafe]
			*r = unanswered(*r)
			r.ConnectionLost, r.TimedOut, r.EndedAt = false, true, r.SentAt.Add(r.Timeout+time.Second)
			h.Runs = h.Runs[1:]
		}},
		{"mixed", "a stream that ends inside an event looks complete", func(h *checker.History) {
			h.Requests[stream].Body = events[:len(events)-1]
			h.Runs[stream].Faulty = true
		}},
		{"lost", "response cut off by a graceful shutdown", func(h *checker.History) {
			h.Requests[unsafe].Complete, h.Requests[unsafe].ConnectionLost, h.Requests[unsafe].Body = false, true, "ans"
			h.Shutdowns = []checker.Shutdown{{Incarnation: 1, From: at(29), To: at(31)}}
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(29), To: at(33), GracefulShutdown: true}}
		}},
	} {
		t.Run(c.rule+": "+c.name, func(t *testing.T) {
			h := validHistory()
			c.change(h)
			v := checker.New(bounds).Check(h)
			if len(v) == 0 {
				t.Fatal("no violation found")
			}
			for _, x := range v {
				if x.Rule != c.rule {
					t.Errorf("unexpected violation: %s", x)
				}
			}
		})
	}
}

// unanswered returns r as a request that was sent whole and whose connection was closed
// without a response.
func unanswered(r checker.Request) checker.Request {
	r.Status, r.Complete, r.Stamped, r.Body, r.ResponseID, r.ConnectionLost, r.SentWhole = 0, false, false, "", "", true, true
	return r
}

// Guards against a node that returns to the old service after it has used the new
// one, within the time in which either service is permitted.
func TestFindsConfigRegression(t *testing.T) {
	h := validHistory()
	regressed := h.Requests[2]
	regressed.ID, regressed.Target, regressed.ResponseID = "back", "/moving/back", "back"
	regressed.SentAt, regressed.EndedAt = at(11), at(11.1)
	h.Requests[2].SentAt, h.Requests[2].EndedAt = at(10.1), at(10.2)
	h.Runs[2].StartedAt = at(10.15)
	h.Requests = append(h.Requests, regressed)
	h.Runs = append(h.Runs, checker.Run{
		ID: "back", Upstream: "up-a", Service: "a", StartedAt: at(11.05), Workspace: "w", Method: "GET", Target: regressed.Target, Status: 200, Complete: true, Ended: true,
	})
	v := checker.New(bounds).Check(h)
	if len(v) != 1 || v[0].Rule != "regress" {
		t.Errorf("unexpected violations: %v", v)
	}
	// Another process may still use the older configuration.
	h.Requests[3].Incarnation = 2
	if v := checker.New(bounds).Check(h); len(v) != 0 {
		t.Errorf("in another process: unexpected violations: %v", v)
	}
}

// Runs and orders that the bounds permit must not be reported.
func TestDisturbancesExcuseViolations(t *testing.T) {
	for name, change := range map[string]func(h *checker.History){
		"run at a draining upstream, frozen node": func(h *checker.History) {
			h.DrainedAt["up-a"] = at(27)
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(26), To: at(28)}}
		},
		"old service while the store is unavailable": func(h *checker.History) {
			h.Runs[2].Service = "a"
			h.Disturbances = []checker.Disturbance{{Node: -1, From: at(9), To: at(28)}}
		},
		"stream cut off after its upstream broke it off": func(h *checker.History) {
			r := &h.Requests[1]
			r.Complete, r.ConnectionLost, r.Body, h.Runs[1].Faulty = false, true, events[:len(events)/2], true
		},
		"stream given up at the caller's timeout": func(h *checker.History) {
			r := &h.Requests[1]
			r.Complete, r.ConnectionLost, r.Body, r.EndedAt = false, true, events[:len(events)/2], r.SentAt.Add(r.Timeout)
		},
		"unsafe request fails at a disturbed node": func(h *checker.History) {
			h.Requests[0].Status, h.Requests[0].Stamped = 502, false
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(26), To: at(28)}}
		},
		"request crosses with the closing of its connection": func(h *checker.History) {
			r := &h.Requests[0]
			r.Status, r.Complete, r.Stamped, r.ConnectionLost, r.Body = 0, false, false, true, ""
			h.Runs = h.Runs[1:]
			h.Shutdowns = []checker.Shutdown{{Incarnation: 1, From: at(29), To: at(31)}}
		},
		"connection of a killed node": func(h *checker.History) {
			h.Requests[0] = unanswered(h.Requests[0])
			h.Runs = h.Runs[1:]
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(30.05), To: at(31)}}
		},
		"connection closed before the request was sent whole": func(h *checker.History) {
			h.Requests[0] = unanswered(h.Requests[0])
			h.Requests[0].SentWhole = false
			h.Runs = h.Runs[1:]
		},
		"orders shortly after a freeze": func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e", Leader: "x", FencingToken: 5}, {At: at(5.2), Upstream: "e", Leader: "y", FencingToken: 4}}
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(2), To: at(5)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			change(h)
			if v := checker.New(bounds).Check(h); len(v) != 0 {
				t.Errorf("unexpected violation: %s", strings.Join([]string{v[0].String()}, "; "))
			}
		})
	}
}

// A node may close a connection during its shutdown only if long work was sent
// early, the upstream aborted the run or the request reached its timeout. Guards
// against a checker that also accepts responses to requests sent late which the
// node itself cut off.
func TestResponsesCutByShutdown(t *testing.T) {
	const signal = 20.0
	for _, c := range []struct {
		name                 string
		sent, run, end       float64 // in seconds after the signal; run and end: end of the run and of the connection
		change               func(r *checker.Request, run *checker.Run)
		noRun, lost          bool
		storeDown, notStream bool // the store is unavailable; the request isn't a stream
	}{
		{name: "sent late, cut off by the node at the end of the grace period", sent: 3.349, run: 7.308, end: 7.309, lost: true},
		{name: "sent late, cut off before the last sixth of the grace period", sent: 3.2, run: 5, end: 5, lost: true},
		{name: "sent late, run not ended", sent: 3.2, end: 7.3, lost: true, change: func(_ *checker.Request, run *checker.Run) { run.Ended = false }},
		{name: "sent late, run complete", sent: 3.2, run: 7, end: 7.3, lost: true, change: func(_ *checker.Request, run *checker.Run) { run.Complete = true }},
		{name: "sent late, no run, in the last sixth", sent: 6.9, end: 7.3, noRun: true, lost: true},
		{name: "sent late, crosses with the closing of the connection", sent: 7.2, end: 7.3, noRun: true},
		{name: "sent late, aborted by the upstream", sent: 3.2, run: 5, end: 5, change: func(_ *checker.Request, run *checker.Run) { run.Aborted = true }},
		{name: "sent late, timeout reached", sent: 3.2, run: 7.2, end: 7.2, change: func(r *checker.Request, _ *checker.Run) { r.Timeout = 4 * time.Second }},
		{name: "sent late, ends long after the grace period", sent: 3.2, run: 9.1, end: 9.1},
		{name: "sent late, stream while the store is unavailable", sent: 3.2, run: 7.3, end: 7.3, storeDown: true},
		{name: "sent late, not a stream while the store is unavailable", sent: 3.2, run: 7.3, end: 7.3, storeDown: true, notStream: true, lost: true},
		{name: "sent early, cut off by the node before the last sixth", sent: 1, run: 6.6, end: 6.6, lost: true},
		{name: "sent early, run complete before the last sixth", sent: 1, run: 6.6, end: 7.3, lost: true, change: func(_ *checker.Request, run *checker.Run) { run.Complete = true }},
		{name: "sent early, running in the last sixth", sent: 3, run: 7.3, end: 7.3},
		{name: "sent before the signal, running in the last sixth", sent: -1, run: 7.3, end: 7.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			h.Shutdowns = []checker.Shutdown{{Incarnation: 1, From: at(signal), To: at(signal + 10)}}
			h.Disturbances = []checker.Disturbance{{From: at(signal), To: at(signal + 10), GracefulShutdown: true}}
			if c.storeDown {
				h.Disturbances = append(h.Disturbances, checker.Disturbance{Node: -1, From: at(signal), To: at(signal + 2), StoreOnly: true})
			}
			r, run := &h.Requests[1], &h.Runs[1]
			if c.notStream {
				r.Kind, r.WantBody = traffic.Unsafe, events
			}
			r.SentAt, r.EndedAt, r.Complete, r.ConnectionLost, r.Body = at(signal+c.sent), at(signal+c.end), false, true, events[:len(events)/2]
			run.StartedAt, run.EndedAt, run.Status, run.Complete = at(signal+c.sent+0.01), at(signal+c.run), 0, false
			if c.change != nil {
				c.change(r, run)
			}
			if c.noRun {
				r.Status, r.Stamped, r.Body = 0, false, ""
				h.Runs = append(h.Runs[:1], h.Runs[2:]...)
			}
			v := checker.New(bounds).Check(h)
			if c.lost != (len(v) == 1 && v[0].Rule == "lost") || !c.lost && len(v) != 0 {
				t.Errorf("violations %v, want rule lost: %t", v, c.lost)
			}
		})
	}
}
