package limiter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/limiter"
)

func newNode(f limiter.Fleet) *limiter.Limiter {
	l := limiter.New(start, rand.New(rand.NewPCG(1, 1)))
	l.SetLimits(start, []limiter.Limit{{Workspace: "w", Rate: 1000, Burst: 1000}})
	l.SetFleet(start, f)
	return l
}

// Guards against nodes that refuse nearly everything during an upgrade, while the aggregators run a
// release that sends no summaries.
func TestNodeAdmitsAllUntilAggregatorsSendSummaries(t *testing.T) {
	l := newNode(limiter.Fleet{Nodes: 90})
	for range 100 {
		if d := l.Allow(start.Add(time.Second), "w", 900); !d.OK {
			t.Fatalf("refused: %+v", d)
		}
	}
}

// Guards against use that is counted twice or not at all when a report is lost, a charge is
// returned, the peer restarts, or this node does.
func TestUsageOfPeerIsCountedOnce(t *testing.T) {
	const full = 1000
	now := start.Add(10 * time.Second)
	l := newNode(limiter.Fleet{Nodes: 2, ReceivesAll: true})
	id := workspaceID(t)
	usage := func(period uint32, admitted int64) limiter.Report {
		return limiter.Report{Periods: period, Usage: []limiter.Usage{{Workspace: id, Period: period, Admitted: admitted, Asked: 900, Requests: 1}}}
	}
	for i, c := range []struct {
		bootID uint64
		report limiter.Report
		level  float64
	}{
		{1, usage(7, 50_000), full}, // counted before this node started
		{1, usage(7, 50_300), full - 300},
		{1, usage(7, 50_300), full - 300}, // repeated
		{1, usage(7, 50_100), full - 100}, // returned
		{1, usage(8, 200), full - 300},    // a new period
		{2, usage(1, 400), full - 700},    // the peer has restarted
	} {
		l.MergeUsage(now, "peer", c.bootID, c.report)
		l.SetFleet(now, limiter.Fleet{Nodes: 2, ReceivesAll: true})
		if got := l.Allow(now, "w", 0).Level; got != c.level {
			t.Errorf("report %d: level %v, want %v", i, got, c.level)
		}
	}
}

// workspaceID returns the number of the workspace in reports.
func workspaceID(t *testing.T) uint32 {
	t.Helper()
	l := newNode(limiter.Fleet{Nodes: 1, ReceivesAll: true})
	l.Allow(start, "w", 1)
	usage := l.TakeUsage(start).Usage
	if len(usage) != 1 {
		t.Fatalf("usage %v", usage)
	}
	return usage[0].Workspace
}

// Guards against counting the whole use of an aggregator since its start: a new one first hears it
// by messages without the usage.
func TestUsageBeforeTheFirstReportIsNotCounted(t *testing.T) {
	now := start.Add(10 * time.Second)
	l := newNode(limiter.Fleet{Nodes: 2, ReceivesAll: true})
	l.MergeUsage(now, "peer", 1, limiter.Report{Periods: 7})
	l.MergeUsage(now, "peer", 1, limiter.Report{Periods: 7, Usage: []limiter.Usage{{Workspace: workspaceID(t), Period: 7, Admitted: 1e9, Asked: 1e9, Requests: 1e5}}})
	l.SetFleet(now, limiter.Fleet{Nodes: 2, ReceivesAll: true})
	if d := l.Allow(now, "w", 0); d.Level != 1000 {
		t.Errorf("level %v", d.Level)
	}
}

// Guards against a malformed request of a peer after which an aggregator refuses all requests of the
// workspace.
func TestCostThatIsNoNumberLeavesTheBucketIntact(t *testing.T) {
	for _, cost := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300, 1e300} {
		now := start.Add(10 * time.Second)
		l := newNode(limiter.Fleet{Nodes: 1, ReceivesAll: true})
		l.Grant(now, "w", cost)
		now = now.Add(30 * time.Second)
		if d := l.Allow(now, "w", 100); !d.OK || d.Level != 1000 {
			t.Errorf("30 s after a request of cost %v: %+v", cost, d)
		}
	}
}

// Guards against a malformed summary that stays in the bucket of a node that becomes an aggregator.
func TestMalformedSummaryIsNotTakenOver(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, s := range []limiter.Shortage{
		{Level: nan, Asked: 1},
		{Level: -inf, Asked: 1},
		{Level: inf, Asked: 1},
		{Level: 1, Asked: nan},
		{Level: 1, Asked: inf},
		{Level: 1, Asked: -1},
	} {
		s.Workspace = workspaceID(t)
		l := newNode(limiter.Fleet{Nodes: 90, Summarized: true})
		now := start.Add(time.Second)
		l.Follow(now, []limiter.Shortage{s})
		if d := l.Allow(now, "w", 1); !d.OK || d.Fraction != 1 || d.Level != 1000 {
			t.Errorf("a node that follows %+v: %+v", s, d)
		}
		l.SetFleet(now, limiter.Fleet{Nodes: 1, ReceivesAll: true, Summarized: true})
		now = now.Add(30 * time.Second)
		l.SetFleet(now, limiter.Fleet{Nodes: 1, ReceivesAll: true, Summarized: true})
		if d := l.Allow(now, "w", 1); !d.OK || d.Level != 1000 {
			t.Errorf("30 s after a new aggregator has taken over %+v: %+v", s, d)
		}
	}
}

// Guards against a wrong counter of a peer that blocks a workspace for hours.
func TestWrongUsageOfPeerBlocksForSecondsOnly(t *testing.T) {
	id := workspaceID(t)
	for _, admitted := range []int64{math.MaxInt64, math.MinInt64, 1 << 40, -1 << 40} {
		now := start.Add(10 * time.Second)
		l := newNode(limiter.Fleet{Nodes: 2, ReceivesAll: true})
		report := func(admitted int64) limiter.Report {
			return limiter.Report{Periods: 2, Usage: []limiter.Usage{{Workspace: id, Period: 2, Admitted: admitted, Asked: 1, Requests: 1}}}
		}
		l.MergeUsage(now, "peer", 1, limiter.Report{Periods: 1})
		l.MergeUsage(now, "peer", 1, report(0))
		l.MergeUsage(now, "peer", 1, report(admitted))
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			l.MergeUsage(now, "peer", 1, report(admitted))
			l.SetFleet(now, limiter.Fleet{Nodes: 2, ReceivesAll: true})
			l.Summary(now)
		}
		if d := l.Allow(now, "w", 100); !d.OK || d.Level > 1000 {
			t.Errorf("40 s after a peer has counted %d: %+v", admitted, d)
		}
	}
}

// Guards against use that is charged twice by a node that becomes an aggregator again: by the level
// that it takes over, and by the report of a peer that it last heard as an aggregator.
func TestUsageWhileNotAggregatorIsNotCounted(t *testing.T) {
	report := func(admitted int64) limiter.Report {
		return limiter.Report{Periods: 1, Usage: []limiter.Usage{{Workspace: workspaceID(t), Period: 1, Admitted: admitted, Asked: uint64(admitted), Requests: 1}}}
	}
	aggregator, other := limiter.Fleet{Nodes: 2, ReceivesAll: true, Summarized: true}, limiter.Fleet{Nodes: 2, Summarized: true}
	now := start.Add(10 * time.Second)
	l := newNode(aggregator)
	l.SetLimits(start, []limiter.Limit{{Workspace: "w", Rate: 10, Burst: 1000}})
	l.MergeUsage(now, "peer", 1, report(100))
	l.SetFleet(now, aggregator)
	l.SetFleet(now, other)
	now = now.Add(10 * time.Second)
	l.SetFleet(now, other)
	l.Follow(now, nil)
	l.SetFleet(now, aggregator)
	l.MergeUsage(now, "peer", 1, report(9000))
	l.SetFleet(now, aggregator)
	l.MergeUsage(now, "peer", 1, report(9200))
	const refill = 20
	now = now.Add(2 * time.Second) // until it relies on the level
	if d := l.Allow(now, "w", 0); d.Level < 500-200 || d.Level > 500-200+refill {
		t.Errorf("level %v, want half of the burst less 200 and a refill of at most %d", d.Level, refill)
	}
}
