package relayer_test

import (
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// restartTime is how long an upstream of a smallService is down after a crash.
const restartTime = 3 * time.Second

// smallService is a service of few upstreams that end when they run a deadly request, and come
// back under another address.
type smallService struct {
	t       *testing.T
	nodes   []*fixture
	crashed []*atomic.Bool // for each upstream
	downAt  []time.Time    // zero while the upstream is up
	ups     []traffic.Upstream
	starts  int64
	crashes atomic.Int32
}

func newSmallService(t *testing.T, nodes, upstreams int) *smallService {
	t.Helper()
	s := &smallService{t: t, crashed: make([]*atomic.Bool, upstreams), downAt: make([]time.Time, upstreams), ups: make([]traffic.Upstream, upstreams)}
	for range nodes {
		f := newFixture(t)
		f.relay.SetJudge(true)
		s.nodes = append(s.nodes, f)
	}
	for i := range s.ups {
		s.start(i)
	}
	s.announce()
	return s
}

func (s *smallService) start(i int) {
	s.starts++
	crashed := &atomic.Bool{}
	var self atomic.Pointer[testlib.Upstream]
	u := testlib.NewUpstream(s.t, func(conn net.Conn, r testlib.Received) bool {
		switch {
		case crashed.Load():
		case !strings.Contains(r.URL.Path, "deadly"):
			return ok(conn, r)
		case crashed.CompareAndSwap(false, true):
			s.crashes.Add(1)
			self.Load().Stop()
		}
		testlib.Reset(conn)
		return false
	})
	self.Store(u)
	s.crashed[i], s.downAt[i] = crashed, time.Time{}
	s.ups[i] = traffic.Upstream{ID: fmt.Sprint("u", s.starts), StartedMS: s.starts, Service: "s", Address: u.Addr, DataCentre: "a", Slots: 8}
}

func (s *smallService) announce() {
	for _, n := range s.nodes {
		n.relay.SetUpstreams(append([]traffic.Upstream(nil), s.ups...), nil)
	}
}

// tick exchanges the nodes' evidence and restarts upstreams.
func (s *smallService) tick() {
	now := time.Now()
	restarted := false
	for i, crashed := range s.crashed {
		switch {
		case !crashed.Load():
		case s.downAt[i].IsZero():
			s.downAt[i] = now
		case now.Sub(s.downAt[i]) >= restartTime:
			s.start(i)
			restarted = true
		}
	}
	if restarted {
		s.announce()
	}
	reports := make([]relayer.TrafficReport, len(s.nodes))
	for i, n := range s.nodes {
		reports[i] = n.relay.TakeReport()
	}
	for i, n := range s.nodes {
		for j, r := range reports {
			if i != j {
				n.relay.MergeReport(fmt.Sprint("n", j), r)
				n.relay.MergeEvidence(r.Evidence)
			}
		}
	}
}

// Guards against BUDGET: all upstreams of a small service end under one plain request before
// anything else succeeds, and end again as soon as they are back.
func TestSmallServiceIsLostOnceToPlainPoisonRequest(t *testing.T) {
	const upstreams, allowed = 4, 3
	for name, c := range map[string]struct {
		nodes      int
		atOnce     bool // the deadly request is sent to all nodes at the same moment
		path       string
		soundEvery int // ticks
	}{
		"one node":                        {nodes: 1, soundEvery: 1},
		"one node, few sound requests":    {nodes: 1, soundEvery: 10},
		"nine nodes":                      {nodes: 9, soundEvery: 1},
		"nine nodes, few sound requests":  {nodes: 9, soundEvery: 10},
		"nine nodes at the same moment":   {nodes: 9, atOnce: true, soundEvery: 1},
		"at the same moment, hardly used": {nodes: 9, atOnce: true, soundEvery: 10},
		"at the same moment, once each":   {nodes: 9, atOnce: true, path: "/unsafe/deadly", soundEvery: 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSmallService(t, c.nodes, upstreams)
			if r := s.nodes[0].send("key", "/safe/sound", "before"); r.status != 200 {
				t.Fatalf("status %d, kind %s", r.status, r.kind)
			}
			rejected := 0
			for i := range 100 { // 10 s
				if i%5 == 0 {
					rejected += s.sendDeadly(i/5, cmp.Or(c.path, "/safe/deadly"), c.atOnce)
				}
				if i%c.soundEvery == 0 {
					if r := s.nodes[i%c.nodes].send("key", "/safe/sound", fmt.Sprint(i)); r.kind == failure.Quarantined {
						t.Error("a sound request was rejected")
					}
				}
				s.tick()
				time.Sleep(100 * time.Millisecond)
			}
			if n := s.crashes.Load(); n > upstreams+allowed || rejected == 0 {
				t.Errorf("%d upstreams ended, %d requests were rejected", n, rejected)
			}
			if r := s.nodes[c.nodes-1].send("key", "/safe/sound", "after"); r.status != 200 {
				t.Errorf("status %d, kind %s after all", r.status, r.kind)
			}
		})
	}
}

// sendDeadly sends the deadly request to a node, or to all, and once more to another if it
// fails. It returns how many were rejected.
func (s *smallService) sendDeadly(i int, path string, atOnce bool) int {
	var rejected atomic.Int32
	send := func(node int) failure.Kind {
		k := s.nodes[node%len(s.nodes)].send("key", path, "body").kind
		if k == failure.Quarantined {
			rejected.Add(1)
		}
		return k
	}
	if !atOnce {
		if send(i) != failure.Quarantined {
			send(i + 1)
		}
		return int(rejected.Load())
	}
	var wg sync.WaitGroup
	for n := range s.nodes {
		wg.Go(func() { send(n) })
	}
	wg.Wait()
	return int(rejected.Load())
}
