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

// sound is a history without a broken promise: an unsafe request, a stream, and
// one on the moving route, on one node.
func sound() *checker.History {
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

func TestSoundHistoryBreaksNothing(t *testing.T) {
	if v := checker.New(bounds).Check(sound()); len(v) != 0 {
		t.Errorf("found %v", v)
	}
}

// Each change breaks the promise that it is named after, and no other one.
func TestEachBrokenPromiseIsFound(t *testing.T) {
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
		{"notRun", "a 503 for what has run", func(h *checker.History) {
			h.Requests[unsafe].Status, h.Requests[unsafe].Stamped = 503, false
		}},
		{"mixed", "another request's answer", func(h *checker.History) { h.Requests[moving].ResponseID = "u" }},
		{"mixed", "a wrong body", func(h *checker.History) { h.Requests[moving].Body = "nonsense" }},
		{"mixed", "half an answer that looks whole", func(h *checker.History) { h.Requests[moving].Body = "ans" }},
		{"mixed", "a success without mark", func(h *checker.History) { h.Requests[moving].Stamped = false }},
		{"mixed", "a failure that no upstream gave", func(h *checker.History) { h.Requests[moving].Status = 500 }},
		{"order", "an event twice in a broken stream", func(h *checker.History) {
			h.Requests[stream].Body, h.Requests[stream].Complete = "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", false
		}},
		{"unasked", "a run that nobody sent", func(h *checker.History) {
			h.Runs = append(h.Runs, checker.Run{ID: "x", StartedAt: at(30)})
		}},
		{"unasked", "another workspace", func(h *checker.History) { h.Runs[unsafe].Workspace = "v" }},
		{"unasked", "another path", func(h *checker.History) { h.Runs[unsafe].Target = "/unsafe/v" }},
		{"unasked", "the key is passed on", func(h *checker.History) { h.Runs[unsafe].Key = "Bearer k" }},
		{"revoked", "a key that was taken back 5.1 s before", func(h *checker.History) { h.RevokedAt["k"] = at(24.9) }},
		{"revoked", "the same on a node that was disturbed", func(h *checker.History) {
			h.RevokedAt["k"] = at(24.9)
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(20), To: at(31)}}
		}},
		{"drain", "an upstream that left 2.1 s before", func(h *checker.History) { h.DrainedAt["up-a"] = at(27.95) }},
		{"config", "the old service 20 s after the change", func(h *checker.History) { h.Runs[moving].Service = "a" }},
		{"denied", "a route that is there", func(h *checker.History) {
			h.Requests[unsafe].Status, h.Requests[unsafe].Stamped, h.Runs = 404, false, h.Runs[1:]
		}},
		{"one", "two holders with one token", func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e1", Leader: "x", FencingToken: 4}, {At: at(9), Upstream: "e2", Leader: "y", FencingToken: 4}}
		}},
		{"one", "an older token after a newer one", func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e", Leader: "x", FencingToken: 5}, {At: at(9), Upstream: "e", Leader: "y", FencingToken: 4}}
		}},
		{"one", "holders that take turns within the lease", func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e", Leader: "x", FencingToken: 4}, {At: at(3.5), Upstream: "e", Leader: "y", FencingToken: 5}}
		}},
		{"recover", "nothing is served after the faults", func(h *checker.History) {
			for i := range h.Requests {
				h.Requests[i].Status, h.Requests[i].Stamped = 502, false
			}
		}},
		{"lost", "an answer that a graceful stop has cut", func(h *checker.History) {
			h.Requests[unsafe].Complete, h.Requests[unsafe].ConnectionLost, h.Requests[unsafe].Body = false, true, "ans"
			h.Shutdowns = []checker.Shutdown{{Incarnation: 1, From: at(29), To: at(31)}}
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(29), To: at(33), GracefulShutdown: true}}
		}},
	} {
		t.Run(c.rule+": "+c.name, func(t *testing.T) {
			h := sound()
			c.change(h)
			v := checker.New(bounds).Check(h)
			if len(v) == 0 {
				t.Fatal("not found")
			}
			for _, x := range v {
				if x.Rule != c.rule {
					t.Errorf("found %s", x)
				}
			}
		})
	}
}

// A node goes back to the service that it had left, where the route has moved
// away and the bound for the change isn't over yet.
func TestGoingBackIsFound(t *testing.T) {
	h := sound()
	back := h.Requests[2]
	back.ID, back.Target, back.ResponseID = "back", "/moving/back", "back"
	back.SentAt, back.EndedAt = at(11), at(11.1)
	h.Requests[2].SentAt, h.Requests[2].EndedAt = at(10.1), at(10.2)
	h.Runs[2].StartedAt = at(10.15)
	h.Requests = append(h.Requests, back)
	h.Runs = append(h.Runs, checker.Run{
		ID: "back", Upstream: "up-a", Service: "a", StartedAt: at(11.05), Workspace: "w", Method: "GET", Target: back.Target, Status: 200, Complete: true, Ended: true,
	})
	v := checker.New(bounds).Check(h)
	if len(v) != 1 || v[0].Rule != "regress" {
		t.Errorf("found %v", v)
	}
	// Another process may be slower.
	h.Requests[3].Incarnation = 2
	if v := checker.New(bounds).Check(h); len(v) != 0 {
		t.Errorf("in another process: found %v", v)
	}
}

// What the bounds excuse isn't found.
func TestDisturbancesExcuseWhatTheyMay(t *testing.T) {
	for name, change := range map[string]func(h *checker.History){
		"drain of a node that was frozen": func(h *checker.History) {
			h.DrainedAt["up-a"] = at(27)
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(26), To: at(28)}}
		},
		"the old service while the store was away": func(h *checker.History) {
			h.Runs[2].Service = "a"
			h.Disturbances = []checker.Disturbance{{Node: -1, From: at(9), To: at(28)}}
		},
		"a request that crosses the closing connection": func(h *checker.History) {
			r := &h.Requests[0]
			r.Status, r.Complete, r.Stamped, r.ConnectionLost, r.Body = 0, false, false, true, ""
			h.Runs = h.Runs[1:]
			h.Shutdowns = []checker.Shutdown{{Incarnation: 1, From: at(29), To: at(31)}}
		},
		"orders within the thaw": func(h *checker.History) {
			h.Orders = []checker.Order{{At: at(1), Upstream: "e", Leader: "x", FencingToken: 5}, {At: at(5.2), Upstream: "e", Leader: "y", FencingToken: 4}}
			h.Disturbances = []checker.Disturbance{{Node: 0, From: at(2), To: at(5)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := sound()
			change(h)
			if v := checker.New(bounds).Check(h); len(v) != 0 {
				t.Errorf("found %s", strings.Join([]string{v[0].String()}, "; "))
			}
		})
	}
}

// A stopping node is excused from long work that was sent to it early, from what
// an upstream ended and from what has reached its limit, and from nothing else:
// answers that it had begun late and cut itself were once taken for excused.
func TestWhatAStopMayCut(t *testing.T) {
	const signal = 20.0
	for _, c := range []struct {
		name           string
		sent, run, end float64 // after the signal; the run's end and the connection's
		change         func(r *checker.Request, run *checker.Run)
		noRun, lost    bool
		store, plain   bool // the store is away; the request is no stream
	}{
		{name: "sent late, cut by the node at the end of the grace", sent: 3.349, run: 7.308, end: 7.309, lost: true},
		{name: "sent late, cut before the last sixth", sent: 3.2, run: 5, end: 5, lost: true},
		{name: "sent late, the run went on unnoticed", sent: 3.2, end: 7.3, lost: true, change: func(_ *checker.Request, run *checker.Run) { run.Ended = false }},
		{name: "sent late, ran to its end", sent: 3.2, run: 7, end: 7.3, lost: true, change: func(_ *checker.Request, run *checker.Run) { run.Complete = true }},
		{name: "sent late, no run, in the last sixth", sent: 6.9, end: 7.3, noRun: true, lost: true},
		{name: "sent late, crosses the closing connection", sent: 7.2, end: 7.3, noRun: true},
		{name: "sent late, the upstream broke off", sent: 3.2, run: 5, end: 5, change: func(_ *checker.Request, run *checker.Run) { run.Aborted = true }},
		{name: "sent late, its limit reached", sent: 3.2, run: 7.2, end: 7.2, change: func(r *checker.Request, _ *checker.Run) { r.Timeout = 4 * time.Second }},
		{name: "sent late, ends long after the grace", sent: 3.2, run: 9.1, end: 9.1},
		{name: "sent late, a stream while the store is away", sent: 3.2, run: 7.3, end: 7.3, store: true},
		{name: "sent late, no stream while the store is away", sent: 3.2, run: 7.3, end: 7.3, store: true, plain: true, lost: true},
		{name: "sent early, cut by the node before the last sixth", sent: 1, run: 6.6, end: 6.6, lost: true},
		{name: "sent early, its run ended before the last sixth", sent: 1, run: 6.6, end: 7.3, lost: true, change: func(_ *checker.Request, run *checker.Run) { run.Complete = true }},
		{name: "sent early, at work in the last sixth", sent: 3, run: 7.3, end: 7.3},
		{name: "sent before the signal, at work in the last sixth", sent: -1, run: 7.3, end: 7.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := sound()
			h.Shutdowns = []checker.Shutdown{{Incarnation: 1, From: at(signal), To: at(signal + 10)}}
			h.Disturbances = []checker.Disturbance{{From: at(signal), To: at(signal + 10), GracefulShutdown: true}}
			if c.store {
				h.Disturbances = append(h.Disturbances, checker.Disturbance{Node: -1, From: at(signal), To: at(signal + 2), StoreOnly: true})
			}
			r, run := &h.Requests[1], &h.Runs[1]
			if c.plain {
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
				t.Errorf("found %v, want it lost: %t", v, c.lost)
			}
		})
	}
}
