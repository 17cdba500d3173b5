package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Pattern: many nodes that send within one round of reports, before anyone
// hears of it. A node in charge spreads their prompts; without one all choose
// the engine that holds the shared parts.
func TestCoordinatorSpreadsConcurrentPrompts(t *testing.T) {
	const nodes, each = 40, 2
	coordinator := newPlacer(1, engines(10, versionOne))
	coordinator.SetPlacingNodes(nodes)
	prefill := map[string]int{}
	for i := range nodes * each {
		q := prompt("hot", 1000+i)
		a, verdict := coordinator.Advise(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("n", i%nodes), uint64(i), q)
		if verdict != placer.Placed {
			t.Fatal("no advice")
		}
		node := newPlacer(uint64(i), engines(10, versionOne))
		c, ok := node.Follow(start, a, q)
		if !ok {
			t.Fatal("advice isn't followed")
		}
		prefill[c.Upstream.ID] += c.Misses
	}
	total, most := 0, 0
	for _, n := range prefill {
		total += n
		most = max(most, n)
	}
	if len(prefill) != 10 || most > 2*total/10 {
		t.Errorf("tokens to read by engine: %v", prefill)
	}
}

func TestAdviceCountsUntilReported(t *testing.T) {
	coordinator := newPlacer(2, engines(1, versionOne))
	inc := "e00@1"
	running := func(now time.Time) int { return coordinator.Status(now, inc).Running }
	for i := range 3 {
		if _, verdict := coordinator.Advise(start, "n", uint64(10+i), prompt("s", 100+i)); verdict != placer.Placed {
			t.Fatal("no advice")
		}
	}
	if got := running(start); got != 3 {
		t.Fatalf("%d requests count after three questions", got)
	}
	// The report shows the first two; the third is on its way.
	load := placer.Load{Upstream: placer.Key(inc), Running: 2, PrefillTokens: 50}
	coordinator.MergeReport(start, "n", placer.Report{Loads: []placer.Load{load}, Settled: 11})
	if got := running(start); got != 3 {
		t.Errorf("%d requests count with two reported and one on its way", got)
	}
	coordinator.MergeReport(start, "n", placer.Report{Loads: []placer.Load{load}, Settled: 12})
	if got := running(start); got != 2 {
		t.Errorf("%d requests count after the third question was dropped", got)
	}
	// A node that isn't heard any more doesn't count for ever.
	if got := running(start.Add(3 * time.Second)); got != 0 {
		t.Errorf("%d requests of a silent node count", got)
	}
}

func TestFollowRejectsUnavailableUpstreams(t *testing.T) {
	ups := engines(2, versionOne)
	q := prompt("s", 100)
	ask := func() placer.Advice {
		a, _ := newPlacer(3, ups[:1]).Advise(start, "n", 1, q)
		return a
	}
	draining := append([]traffic.Upstream(nil), ups...)
	draining[0].Draining = true
	excluded := *q
	excluded.Exclude = []string{"e00@1"}
	suspended := newPlacer(4, ups)
	suspended.Suspend("e00@1", start.Add(time.Second))
	tripped := newPlacer(4, ups)
	c, _ := tripped.Follow(start, ask(), q)
	tripped.RecordUnreachable(start, tripped.RecordSend(start, c, q))
	for name, x := range map[string]struct {
		node *placer.Placer
		q    *placer.Query
	}{
		"leaving":  {newPlacer(4, draining), q},
		"unknown":  {newPlacer(4, ups[1:]), q},
		"excluded": {newPlacer(4, ups), &excluded},
		"closed":   {suspended, q},
		"broken":   {tripped, q},
	} {
		if _, ok := x.node.Follow(start, ask(), x.q); ok {
			t.Errorf("%s: the advice is followed", name)
		}
	}
	if c, ok := newPlacer(4, ups).Follow(start, ask(), q); !ok || c.Upstream.ID != "e00" || c.SaveTo != cacheAddress || c.Misses < 6000 {
		t.Errorf("choice %+v, followed %v", c, ok)
	}
}

// Pattern: engines that take connections and stay silent. Each node would lose
// a request to find that out.
func TestUpstreamTrippedAtTwoNodesIsNotAdvised(t *testing.T) {
	ups := engines(3, versionOne)
	coordinator := newPlacer(5, ups)
	failing := placer.Key("e01@1")
	isAdvised := func() bool {
		defer coordinator.MergeReport(start, "n", placer.Report{Settled: 100})
		for i := range 9 {
			a, verdict := coordinator.Advise(start, "n", uint64(i), prompt(fmt.Sprint("s", i), 5000))
			if verdict != placer.Placed {
				t.Fatal("no advice")
			}
			if a.Upstream == failing {
				return true
			}
		}
		return false
	}
	coordinator.MergeReport(start, "a", placer.Report{Tripped: []uint32{failing}})
	if !isAdvised() {
		t.Error("the word of one node, whose link may be bad, keeps all away")
	}
	coordinator.MergeReport(start, "b", placer.Report{Tripped: []uint32{failing}})
	if isAdvised() {
		t.Error("an engine that failed at two nodes is advised")
	}
	// Nodes that are cut off accuse everyone.
	all := []uint32{placer.Key("e00@1"), failing, placer.Key("e02@1")}
	coordinator.MergeReport(start, "a", placer.Report{Tripped: all})
	coordinator.MergeReport(start, "b", placer.Report{Tripped: all})
	if !isAdvised() {
		t.Error("nodes that reach nobody keep all away from an engine")
	}
}

// Pattern: more prompts than the engines have memory for. What they would take
// in beyond it pushes out the cached parts, which then are read again, and the
// fleet stays overloaded also when the burst is over.
func TestFullEnginesGetNoMorePrompts(t *testing.T) {
	coordinator := newPlacer(7, engines(3, versionOne)) // of 90,000 tokens each
	placed, question := 0, uint64(0)
	ask := func() placer.Verdict {
		question++
		_, v := coordinator.Advise(start, "n", question, prompt(fmt.Sprint("s", question), 3000))
		return v
	}
	for ask() == placer.Placed {
		placed++
	}
	if tokens := placed * 9300; tokens < 90_000 || tokens > 3*60_000 {
		t.Errorf("%d prompts of 9,300 tokens were placed", placed)
	}
	if v := ask(); v != placer.NoCapacity {
		t.Errorf("verdict %d for a prompt beyond", v)
	}
	coordinator.MergeReport(start, "n", placer.Report{Settled: question})
	if v := ask(); v != placer.Placed {
		t.Errorf("verdict %d after the others' end", v)
	}
	if _, v := newPlacer(8, nil).Advise(start, "n", 1, prompt("s", 10)); v != placer.Unanswered {
		t.Errorf("verdict %d of a node that knows no engine", v)
	}
	// One prompt is taken also where it is larger than that room.
	if c, ok := newPlacer(9, engines(1, versionOne)).Pick(start, prompt("large", 70_000)); !ok {
		t.Errorf("an idle engine refuses a large prompt: %+v", c)
	}
}

// Pattern: engines that take requests and give no sign of life. Their requests
// die with their callers' patience, and then they look idle.
func TestSilentEngineGetsOneTrialRequestAtATime(t *testing.T) {
	coordinator := newPlacer(10, engines(2, versionOne))
	key := placer.Key("e00@1")
	waitingReport := func(oldestWaitMS, activityAgeMS int64) placer.Report {
		return placer.Report{Loads: []placer.Load{{Upstream: key, Running: 1, PrefillTokens: 10, OldestWaitMS: oldestWaitMS, ActivityAgeMS: activityAgeMS}}}
	}
	countAdvised := func(now time.Time) (n int) {
		for i := range 12 {
			a, _ := coordinator.Advise(now, "n", uint64(i), prompt(fmt.Sprint("s", now.UnixMilli(), i), 100))
			if a.Upstream == key {
				n++
			}
		}
		coordinator.MergeReport(now, "n", placer.Report{Settled: 100})
		return n
	}
	coordinator.MergeReport(start, "a", waitingReport(2000, 50))
	if countAdvised(start) == 0 {
		t.Error("an engine that was heard 50 ms ago is kept from work")
	}
	coordinator.MergeReport(start, "a", waitingReport(2000, 2500))
	if n := countAdvised(start); n != 0 {
		t.Errorf("%d requests went to an engine that is silent for 2.5 s", n)
	}
	later := start.Add(1500 * time.Millisecond)
	coordinator.MergeReport(later, "a", placer.Report{})
	if n := countAdvised(later); n > 1 {
		t.Errorf("%d requests try an engine that was silent", n)
	}
	// A sign of life to anyone opens it again.
	coordinator.MergeReport(later, "a", waitingReport(0, 1))
	if n := countAdvised(later.Add(time.Millisecond)); n < 2 {
		t.Errorf("%d requests went to an engine that is back", n)
	}
}

// Pattern: thousands of questions a second at the node in charge.
func BenchmarkAdviseAmongEngines(b *testing.B) {
	for _, n := range []int{90, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			coordinator := newPlacer(6, engines(n, versionOne))
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(2 * time.Millisecond)
				coordinator.Advise(now, "n", uint64(i), prompt(fmt.Sprint("s", i%800), 1000+i%977))
				if i%50 == 0 {
					coordinator.MergeReport(now, "n", placer.Report{Settled: uint64(i)})
				}
			}
		})
	}
}
