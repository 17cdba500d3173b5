package broadcaster_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// recorder is the state of a node that sends one load and records received
// messages.
type recorder struct {
	mu       sync.Mutex
	received map[string]*broadcaster.Message
	total    *broadcaster.Message
	upgraded map[uint32]bool
	evidence detector.Evidence // sent to the peers, like usage
	usage    limiter.Report
}

func (l *recorder) Fill(m *broadcaster.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.Loads = []placer.Load{{Upstream: 7, Running: 1, PrefillTokens: 100}}
	m.ConfigVersion, m.ProofAgeMS = 3, 40
	m.Evidence, m.Usage = l.evidence, l.usage
}

func (l *recorder) Receive(m *broadcaster.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Aggregated {
		l.total = m
	} else {
		l.received[m.From] = m
	}
	for _, u := range m.Upgrades {
		l.upgraded[u.Upstream] = true
	}
}

// start creates n broadcasters that have each other as peers and runs all but
// those in dead.
func start(t *testing.T, n int, dead ...int) ([]*broadcaster.Broadcaster, []*recorder) {
	t.Helper()
	var nodes []traffic.Node
	for i := range n {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: testlib.NewAddress(t), MilliCores: 1})
	}
	log, _ := logtest.NewNullLogger()
	fleet := roster.New(nodes)
	var broadcasters []*broadcaster.Broadcaster
	var locals []*recorder
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	boot := testlib.NewClock(time.Unix(50, 0))
	for i := range nodes {
		l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
		b, err := broadcaster.New(systemclock.New(), boot, log, nodes[i], func() *roster.Roster { return fleet }, l, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(dead, i) {
			wg.Go(func() { _ = b.Run(ctx) })
		}
		broadcasters, locals = append(broadcasters, b), append(locals, l)
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return broadcasters, locals
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s didn't happen", what)
}

func TestSmallFleetSendsToEveryNode(t *testing.T) {
	broadcasters, locals := start(t, 3)
	for i, l := range locals {
		eventually(t, "messages of two peers with an echo", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, m := range l.received {
				if m.Echo == 0 || m.ConfigVersion != 3 || len(m.Loads) != 1 || m.Loads[0].PrefillTokens != 100 {
					return false
				}
			}
			return len(l.received) == 2
		})
		if l.total != nil {
			t.Errorf("node %d of a small fleet received totals", i)
		}
	}
	broadcasters[1].AnnounceUpgrade(broadcaster.Upgrade{Upstream: 7, Model: "m", Version: 2})
	eventually(t, "the announcement of the upgrade", func() bool {
		locals[0].mu.Lock()
		defer locals[0].mu.Unlock()
		return locals[0].upgraded[7]
	})
}

func TestLargeFleetReceivesTotals(t *testing.T) {
	const n = 20 // too many for a full mesh
	_, locals := start(t, n)
	aggregators := 0
	for _, l := range locals {
		eventually(t, "the total over all nodes, or the message of each node", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			if len(l.received) == n-1 { // an aggregator adds them up itself
				aggregators++
				return true
			}
			return l.total != nil && len(l.total.Loads) == 1 && l.total.Loads[0].Running == n && l.total.Loads[0].PrefillTokens == 100*n
		})
	}
	if aggregators != 2 {
		t.Errorf("%d nodes received the messages of all others, want the 2 aggregators", aggregators)
	}
}

// In a large fleet, reports of lost runs reach the aggregators alone, and what these found
// reaches all nodes.
func TestEvidenceReachesNodesOfLargeFleet(t *testing.T) {
	const n = 20 // too many for a full mesh
	_, locals := start(t, n)
	for _, l := range locals {
		l.mu.Lock()
		l.evidence = detector.Evidence{
			LostRuns: []detector.LostRun{{Upstream: 7, Features: []detector.Feature{1}}},
			Poisons:  []detector.Poison{{Features: []detector.Feature{2}, RemainingMS: 1000}},
		}
		l.mu.Unlock()
	}
	told := 0
	for i, l := range locals {
		eventually(t, "a message with poison", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.total != nil && len(l.total.Evidence.Poisons) == 1 || len(l.received) == n-1
		})
		l.mu.Lock()
		if l.total != nil && len(l.total.Evidence.LostRuns) > 0 {
			t.Errorf("node %d received reports of lost runs in the totals", i)
		}
		if l.total != nil {
			told++
		}
		l.mu.Unlock()
	}
	if told < n-2 {
		t.Errorf("%d nodes received totals", told)
	}
}

// Guards against a new aggregator that counts the whole use of limits of another one since its start.
// Until that one knows of it, it is sent messages without the usage, which must tell which of the
// usage is old.
func TestMessagesWithoutUsageTellItsPeriod(t *testing.T) {
	const n, period = 20, 7 // too many for a full mesh
	_, locals := start(t, n)
	usage := limiter.Report{Periods: period, Usage: []limiter.Usage{{Workspace: 1, Period: period, Admitted: 1e9, Asked: 1e9, Requests: 1e5}}}
	for _, l := range locals {
		l.mu.Lock()
		l.usage = usage
		l.mu.Unlock()
	}
	for _, l := range locals {
		eventually(t, "a message with the period, without usage unless to an aggregator", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, m := range l.received {
				if m.Usage.Periods == period && (len(m.Usage.Usage) == 0 || len(l.received) == n-1) {
					return true
				}
			}
			return false
		})
	}
}

// A registered node that sends nothing is reported as silent. A node that
// receives nothing is cut off itself and reports none.
func TestSilentNodesAreReported(t *testing.T) {
	broadcasters, _ := start(t, 4, 3) // n3 never sends
	eventually(t, "the silence of n3 alone", func() bool {
		silent := broadcasters[0].SilentNodes()
		return len(silent) == 1 && silent[0] == "n3"
	})
	if silent := broadcasters[3].SilentNodes(); len(silent) != 0 {
		t.Errorf("a node that receives no messages reports %v as silent", silent)
	}
}

// A node of a large fleet that is cut off keeps to the last report: a machine that had
// been off for 12 s was named to callers again by nodes that were cut off meanwhile. The
// aggregators themselves are silent once only other nodes are heard.
func TestSilentNodesOfLargeFleetAreLeftOutWithoutReports(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	clk := testlib.NewClock(time.Unix(100, 0))
	nodes := []traffic.Node{{Name: "self", Peer: testlib.NewAddress(t)}}
	for i := range 19 { // too many for a full mesh; n0 and n1 are the aggregators
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: "127.0.0.1:9", MilliCores: 1000 - i})
	}
	fleet := roster.New(nodes)
	l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
	b, err := broadcaster.New(clk, clk, log, nodes[0], func() *roster.Roster { return fleet }, l, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = b.Run(ctx) })
	defer func() { cancel(); wg.Wait() }()
	sender, err := net.Dial("udp4", nodes[0].Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	send := func(m *broadcaster.Message) {
		t.Helper()
		body, err := packer.Pack(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sender.Write(append([]byte{0}, body...)); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the message", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			got := l.received[m.From]
			if m.Aggregated {
				got = l.total
			}
			return got != nil && got.SentAt == m.SentAt
		})
	}
	clk.Step(time.Minute)
	send(&broadcaster.Message{From: "n0", Aggregated: true, SilentNodes: []string{"n7"}, SentAt: 1})
	send(&broadcaster.Message{From: "n1", SentAt: 2})
	clk.Step(10 * time.Second)
	if got := b.SilentNodes(); !slices.Equal(got, []string{"n7"}) {
		t.Errorf("a node that has heard nothing for 10 s leaves out %v, want n7", got)
	}
	send(&broadcaster.Message{From: "n5", SentAt: 3})
	if got := b.SilentNodes(); !slices.Equal(got, []string{"n7", "n0", "n1"}) {
		t.Errorf("while the aggregators are silent, %v are left out, want n7, n0 and n1", got)
	}
	send(&broadcaster.Message{From: "n0", Aggregated: true, SentAt: 4})
	if got := b.SilentNodes(); !slices.Equal(got, []string{"n1"}) {
		t.Errorf("after a new report %v are left out, want n1", got)
	}
}

// A machine that replaces an aggregator becomes one itself before the other nodes send to
// it. Its first reports said that no node was silent, and nodes that were cut off right
// after it kept to that.
func TestNewAggregatorReportsNothingUntilItHearsMostNodes(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	clk := testlib.NewClock(time.Unix(100, 0))
	peer, err := net.ListenPacket("udp4", testlib.NewAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	nodes := []traffic.Node{{Name: "self", Peer: testlib.NewAddress(t), MilliCores: 2000}}
	for i := range 19 {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: peer.LocalAddr().String(), MilliCores: 1000 - i})
	}
	var fleet atomic.Pointer[roster.Roster]
	fleet.Store(roster.New(nodes))
	l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
	b, err := broadcaster.New(clk, clk, log, nodes[0], fleet.Load, l, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = b.Run(ctx) })
	defer func() { cancel(); wg.Wait() }()
	hear := func(from string, m broadcaster.Message) {
		t.Helper()
		m.From = from
		m.SentAt = clk.Now().UnixNano()
		body, err := packer.Pack(&m)
		if err != nil {
			t.Fatal(err)
		}
		to, err := net.ResolveUDPAddr("udp4", nodes[0].Peer)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := peer.WriteTo(append([]byte{0}, body...), to); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the message", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			got := l.received[from]
			if m.Aggregated {
				got = l.total
			}
			return got != nil && got.SentAt == m.SentAt
		})
	}
	// sends reports what the node sends in some rounds.
	sends := func() (total *broadcaster.Message) {
		t.Helper()
		buf := make([]byte, 64<<10)
		for range 10 {
			clk.Step(100 * time.Millisecond)
			if err := peer.SetReadDeadline(time.Now().Add(30 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			for {
				n, _, err := peer.ReadFrom(buf)
				if err != nil {
					break
				}
				var m broadcaster.Message
				if err := packer.New(buf[1:n]).Unpack(&m); err == nil && m.Aggregated {
					total = &m
				}
			}
		}
		return total
	}
	clk.Step(time.Minute)
	hear("n0", broadcaster.Message{Aggregated: true, SilentNodes: []string{"n7"}})
	hear("n1", broadcaster.Message{})
	if m := sends(); m != nil {
		t.Errorf("a node that hears 2 of 19 others reports %v as silent", m.SilentNodes)
	}
	if got := b.SilentNodes(); !slices.Equal(got, []string{"n7"}) {
		t.Errorf("%v are left out, want the last report", got)
	}
	for i := range 19 {
		if i != 7 && i != 8 {
			hear(fmt.Sprint("n", i), broadcaster.Message{})
		}
	}
	if got := b.SilentNodes(); !slices.Equal(got, []string{"n7", "n8"}) {
		t.Errorf("%v are left out by a node that hears all but n7 and n8", got)
	}
	// Two new machines become the aggregators, which have reported nothing yet.
	fleet.Store(roster.New(append([]traffic.Node{{Name: "x", MilliCores: 9000}, {Name: "y", MilliCores: 9000}}, nodes...)))
	clk.Step(200 * time.Millisecond)
	if got := b.SilentNodes(); !slices.Contains(got, "n8") {
		t.Errorf("%v are left out by a node that has ceased to be an aggregator, want n8 too", got)
	}
}

// Guards against dating proofs by the clock of an earlier incarnation: after a
// power loss a VM has another boot clock, while peers still echo times of its
// earlier one.
func TestEchoOfEarlierIncarnationIsIgnored(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	var nodes []traffic.Node
	for i := range 2 {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: testlib.NewAddress(t), BootID: 1})
	}
	fleet := roster.New(nodes)
	run := func(self traffic.Node, clk clock.Clock, booted time.Duration) (*recorder, func()) {
		l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
		b, err := broadcaster.New(clk, testlib.NewClock(time.Unix(0, int64(booted))), log, self, func() *roster.Roster { return fleet }, l, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = b.Run(ctx) })
		return l, func() { cancel(); wg.Wait() }
	}
	_, stopPeer := run(nodes[1], systemclock.New(), 500*time.Second)
	defer stopPeer()
	echoed := func(l *recorder) (echo int64, ok bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		m := l.received["n1"]
		if m == nil {
			return 0, false
		}
		return m.Echo, true
	}
	first, stop := run(nodes[0], systemclock.New(), 1000*time.Second)
	eventually(t, "an echo to the first incarnation", func() bool { echo, _ := echoed(first); return echo == int64(1000*time.Second) })
	stop()

	restarted := nodes[0]
	restarted.BootID = 2
	// Its clock stands still, so it sends nothing, and the peer still echoes
	// the earlier incarnation.
	second, stop := run(restarted, testlib.NewClock(time.Unix(0, 0)), 5*time.Second)
	defer stop()
	eventually(t, "a message to the second incarnation", func() bool { _, ok := echoed(second); return ok })
	if echo, _ := echoed(second); echo != 0 {
		t.Errorf("second incarnation, booted 5 s ago, received the echo %v", time.Duration(echo))
	}
}

// A peer of another release sends unreadable datagrams ten times a second.
func TestUnreadableDatagramsAreCountedAndLoggedOnce(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	sender, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	self := traffic.Node{Name: "n0", Peer: testlib.NewAddress(t), Protocol: 1}
	fleet := roster.New([]traffic.Node{self, {Name: "n1", Peer: sender.LocalAddr().String(), Protocol: 9, BootID: 5}})
	l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
	b, err := broadcaster.New(systemclock.New(), testlib.NewClock(time.Unix(50, 0)), log, self, func() *roster.Roster { return fleet }, l, scope)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = b.Run(ctx) })
	defer func() { cancel(); wg.Wait() }()
	to, err := net.ResolveUDPAddr("udp4", self.Peer)
	if err != nil {
		t.Fatal(err)
	}
	for _, datagram := range []string{"\x00\xc1", "\x00\x93\xa1x", "\x7fxyz"} {
		if _, err := sender.WriteTo([]byte(datagram), to); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "three unreadable datagrams", func() bool {
		n := int64(0)
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "unreadable_datagrams" {
				n += c.Value()
			}
		}
		return n == 3
	})
	lines := 0
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == "peerUnreadable" {
			lines++
			if e.Data["peer"] != "n1" || e.Data["protocol"] != 9 || e.Level != logrus.WarnLevel {
				t.Errorf("log line %v at level %s", e.Data, e.Level)
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d log lines, want one", lines)
	}
}
