package hedger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/hedger"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

var (
	start  = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	window = 10 * time.Second
	safe   = &traffic.Route{Name: "safe", Kind: traffic.Safe, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond}
)

// state is the state of a simulated service without a network.
type state struct {
	h       *hedger.Hedger
	retries *budgeter.Budgeter
	rnd     *rand.Rand
	now     time.Time
	// requests counts all requests, due those slower than the delay, and verdicts the
	// decisions on these.
	requests, due int
	verdicts      map[hedger.Verdict]int
	last          []time.Duration // latencies that callers see
}

func newState(share, retryRatio float64) *state {
	return &state{
		h: hedger.New(share, window), rnd: rand.New(rand.NewPCG(7, 1)), now: start, verdicts: map[hedger.Verdict]int{},
		retries: budgeter.New(budgeter.Limits{Ratio: retryRatio, Window: window}),
	}
}

// run sends 100 requests a second for d. latency draws the latency of an attempt; change
// may alter the decision's inputs.
func (s *state) run(d time.Duration, latency func() time.Duration, change func(*hedger.Request)) {
	s.last = nil
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(10 * time.Millisecond) {
		s.requests++
		s.h.RecordRequest(s.now, "s")
		s.retries.RecordRequest(s.now)
		first := latency()
		delay, ok := s.h.Delay(s.now, safe)
		seen := first
		if ok && first > delay {
			s.due++
			q := s.query()
			change(&q)
			v := s.h.Allow(s.now.Add(delay), &q)
			if s.verdicts[v]++; v == hedger.Allowed {
				seen = min(first, delay+latency())
			}
		}
		s.last = append(s.last, seen)
		s.h.Record(s.now, safe.Name, seen)
	}
}

func (s *state) query() hedger.Request {
	return hedger.Request{Route: safe, Service: "s", Runs: 1, Remaining: time.Second, Retries: s.retries, Nodes: 1}
}

func (s *state) slowerThan(d time.Duration) float64 {
	n := 0
	for _, l := range s.last {
		if l > d {
			n++
		}
	}
	return float64(n) / float64(len(s.last))
}

func unchanged(*hedger.Request) {}

// oneSlow is a pool of 25 upstreams of which one answers in 900 ms.
func (s *state) oneSlow() time.Duration {
	if s.rnd.IntN(25) == 0 {
		return 900 * time.Millisecond
	}
	return time.Duration(40+s.rnd.IntN(30)) * time.Millisecond
}

// Guards against a tail that hedging leaves as it is, and against more extra attempts than
// the share: one upstream of 25 is slow, and 4% of the requests meet it.
func TestOneSlowUpstreamOfManyIsHedgedWithinTheShare(t *testing.T) {
	s := newState(0.1, 0.2)
	s.run(5*time.Second, s.oneSlow, unchanged)
	s.run(30*time.Second, s.oneSlow, unchanged)
	if got := s.slowerThan(300 * time.Millisecond); got > 0.005 {
		t.Errorf("%.2f%% of the requests are slow, want at most 0.5%% of 4%% without hedging", 100*got)
	}
	if got := float64(s.verdicts[hedger.Allowed]) / float64(s.requests); got > 0.1 || got == 0 {
		t.Errorf("%.3f hedged attempts per request, want at most 0.1", got)
	}
}

// Guards against hedging every request of a service all of whose upstreams became slow:
// the delay has to follow within seconds.
func TestDelayFollowsWhenAllUpstreamsAreSlow(t *testing.T) {
	s := newState(0.2, 1)
	s.run(10*time.Second, func() time.Duration { return 50 * time.Millisecond }, unchanged)
	slow := func() time.Duration { return time.Duration(400+s.rnd.IntN(100)) * time.Millisecond }
	s.run(2*time.Second, slow, unchanged)
	if d, ok := s.h.Delay(s.now, safe); !ok || d < 400*time.Millisecond {
		t.Fatalf("delay %v, %t two seconds after all upstreams became slow", d, ok)
	}
	s.due, s.requests = 0, 0
	s.run(20*time.Second, slow, unchanged)
	if got := float64(s.due) / float64(s.requests); got > 0.1 {
		t.Errorf("%.2f of the requests exceed the delay, want about 0.05", got)
	}
}

// Guards against spending more than either budget when more requests are slow than they
// cover.
func TestExhaustedBudgetsWithholdHedges(t *testing.T) {
	for _, c := range []struct {
		share, retries float64
		want           hedger.Verdict
	}{{0.01, 1, hedger.ShareSpent}, {0.2, 0.01, hedger.RetryBudgetSpent}} {
		s := newState(c.share, c.retries)
		s.run(20*time.Second, s.oneSlow, unchanged)
		if s.verdicts[c.want] == 0 {
			t.Errorf("share %v, retry ratio %v: no verdict %s in %v", c.share, c.retries, c.want, s.verdicts)
		}
		if got := float64(s.verdicts[hedger.Allowed]) / float64(s.requests); got > 0.01 {
			t.Errorf("share %v, retry ratio %v: %.3f hedged attempts per request", c.share, c.retries, got)
		}
	}
}

// Guards against extra load on upstreams that have no room, and against hedges of requests
// that must not have a second attempt.
func TestHedgesAreWithheld(t *testing.T) {
	unsafe := &traffic.Route{Name: "u", Kind: traffic.Unsafe, MaxAttempts: 2}
	stream := &traffic.Route{Name: "st", Kind: traffic.Streaming, MaxAttempts: 2}
	once := &traffic.Route{Name: "o", Kind: traffic.Safe, MaxAttempts: 1}
	for want, change := range map[hedger.Verdict]func(*hedger.Request){
		hedger.Allowed:       func(q *hedger.Request) { q.UsedSlots, q.UsedMemory = 0.7, 0.7 },
		hedger.Slots:         func(q *hedger.Request) { q.UsedSlots = 0.71 },
		hedger.Memory:        func(q *hedger.Request) { q.UsedMemory = 0.71 },
		hedger.Suspected:     func(q *hedger.Request) { q.Suspected = true },
		hedger.Stopping:      func(q *hedger.Request) { q.Stopping = true },
		hedger.Deadline:      func(q *hedger.Request) { q.Expected = 2 * time.Second },
		hedger.NotRepeatable: func(q *hedger.Request) { q.Route = unsafe },
		hedger.NoAttempts:    func(q *hedger.Request) { q.Route = once },
		hedger.ShareSpent:    func(q *hedger.Request) { q.Service = "unknown" },
	} {
		s := newState(0.2, 1)
		for range 100 {
			s.h.RecordRequest(s.now, "s")
			s.retries.RecordRequest(s.now)
		}
		q := s.query()
		change(&q)
		if got := s.h.Allow(s.now, &q); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	s := newState(0.2, 1)
	for _, r := range []*traffic.Route{unsafe, stream, once} {
		for range 100 {
			s.h.Record(s.now, r.Name, time.Second)
		}
		if _, ok := s.h.Delay(s.now, r); ok {
			t.Errorf("route %s has a delay", r.Name)
		}
	}
}

// Guards against hedging right after a refusal for lack of room, and for good after one.
func TestRefusalWithholdsHedgesForASecond(t *testing.T) {
	s := newState(0.2, 1)
	s.run(2*time.Second, s.oneSlow, func(*hedger.Request) {})
	s.h.RecordRefusal(s.now, "s")
	q := s.query()
	if v := s.h.Check(s.now.Add(999*time.Millisecond), &q); v != hedger.RecentRefusal {
		t.Errorf("got %s within a second of a refusal", v)
	}
	if v := s.h.Check(s.now.Add(time.Second), &q); v != hedger.Allowed {
		t.Errorf("got %s a second after a refusal", v)
	}
}

// Guards against a delay from a few or from old latencies, against one below half of the
// objective, and against any while hedging is off.
func TestDelayNeedsRecentSamples(t *testing.T) {
	h, off := hedger.New(0.1, window), hedger.New(0, window)
	for range 19 {
		h.Record(start, safe.Name, time.Millisecond)
	}
	if _, ok := h.Delay(start, safe); ok {
		t.Error("a delay from 19 samples")
	}
	for range 40 {
		h.Record(start, safe.Name, time.Millisecond)
		off.Record(start, safe.Name, time.Millisecond)
	}
	now := start.Add(time.Second)
	if d, ok := h.Delay(now, safe); !ok || d != safe.LatencyObjective/2 {
		t.Errorf("delay %v, %t, want half of the objective", d, ok)
	}
	if _, ok := off.Delay(now, safe); ok {
		t.Error("a delay although hedging is off")
	}
	if _, ok := h.Delay(start.Add(16*time.Second), safe); ok {
		t.Error("a delay from samples of 16 s ago")
	}
}

// Guards against memory that grows with the number of routes and services ever seen.
func TestMemoryIsBounded(t *testing.T) {
	h := hedger.New(0.1, window)
	for i := range 5000 {
		h.Record(start, fmt.Sprint(i), time.Millisecond)
		h.RecordRequest(start, fmt.Sprint(i))
	}
	later := start.Add(time.Minute)
	h.RecordRequest(later, "s")
	for range 20 {
		h.Record(later, safe.Name, time.Millisecond)
	}
	if _, ok := h.Delay(later, safe); !ok {
		t.Error("a new route isn't learned after the old ones are outdated")
	}
	allocs := testing.AllocsPerRun(100, func() {
		later = later.Add(time.Second / 5)
		h.Record(later, safe.Name, time.Millisecond)
		h.Delay(later, safe)
	})
	if allocs > 0 {
		t.Errorf("%v allocations for each decision", allocs)
	}
}
