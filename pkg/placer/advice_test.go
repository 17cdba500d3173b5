package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against an overloaded engine when many nodes send prompts of one session
// between two traffic reports: without a coordinator, each node picks the engine that
// has the shared parts cached.
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
			t.Fatal("advice was not followed")
		}
		prefill[c.Upstream.ID] += c.Misses
	}
	total, most := 0, 0
	for _, n := range prefill {
		total += n
		most = max(most, n)
	}
	if len(prefill) != 10 || most > 2*total/10 {
		t.Errorf("prefill tokens by engine are not spread: %v", prefill)
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
		t.Fatalf("%d requests counted after three questions, want 3", got)
	}
	// The report includes the first two requests; the third is on its way.
	load := placer.Load{Upstream: placer.Key(inc), Running: 2, PrefillTokens: 50}
	coordinator.MergeReport(start, "n", placer.Report{Loads: []placer.Load{load}, Settled: 11})
	if got := running(start); got != 3 {
		t.Errorf("%d requests counted with two reported and one on its way, want 3", got)
	}
	coordinator.MergeReport(start, "n", placer.Report{Loads: []placer.Load{load}, Settled: 12})
	if got := running(start); got != 2 {
		t.Errorf("%d requests counted after the third question was dropped, want 2", got)
	}
	// The load of a node that stopped reporting expires.
	if got := running(start.Add(3 * time.Second)); got != 0 {
		t.Errorf("%d requests of a silent node counted, want 0", got)
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
			t.Errorf("%s: advice was followed", name)
		}
	}
	if c, ok := newPlacer(4, ups).Follow(start, ask(), q); !ok || c.Upstream.ID != "e00" || c.SaveTo != cacheAddress || c.Misses < 6000 {
		t.Errorf("choice %+v, followed %v", c, ok)
	}
}

// Guards against each node losing a request to an engine that accepts connections
// but doesn't respond: two nodes with an open breaker exclude it for all.
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
		t.Error("an engine is excluded by the report of a single node, whose link may be bad")
	}
	coordinator.MergeReport(start, "b", placer.Report{Tripped: []uint32{failing}})
	if isAdvised() {
		t.Error("an engine tripped at two nodes is advised")
	}
	// Nodes that are cut off report all engines.
	all := []uint32{placer.Key("e00@1"), failing, placer.Key("e02@1")}
	coordinator.MergeReport(start, "a", placer.Report{Tripped: all})
	coordinator.MergeReport(start, "b", placer.Report{Tripped: all})
	if !isAdvised() {
		t.Error("an engine is excluded by the reports of nodes that reach no engine")
	}
}

// Guards against lasting overload after a burst of more prompts than the engines
// have memory for: the excess evicts cached parts, which then need prefill again, so
// that the fleet stays overloaded after the burst.
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
		t.Errorf("%d prompts of 9,300 tokens were placed on three engines of 90,000", placed)
	}
	if v := ask(); v != placer.NoCapacity {
		t.Errorf("verdict %d for a prompt beyond the memory, want NoCapacity", v)
	}
	coordinator.MergeReport(start, "n", placer.Report{Settled: question})
	if v := ask(); v != placer.Placed {
		t.Errorf("verdict %d after the other prompts ended, want Placed", v)
	}
	if _, v := newPlacer(8, nil).Advise(start, "n", 1, prompt("s", 10)); v != placer.Unanswered {
		t.Errorf("verdict %d of a node without engines, want Unanswered", v)
	}
	// An idle engine takes a prompt even if it exceeds the memory for requests.
	if c, ok := newPlacer(9, engines(1, versionOne)).Pick(start, prompt("large", 70_000)); !ok {
		t.Errorf("no idle engine was found for a large prompt: %+v", c)
	}
}

// Guards against an engine that accepts requests and never responds. Its requests end
// when their callers give up, so that it looks idle and attracts more.
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
		t.Error("an engine that was active 50 ms ago is excluded")
	}
	coordinator.MergeReport(start, "a", waitingReport(2000, 2500))
	if n := countAdvised(start); n != 0 {
		t.Errorf("%d requests went to an engine that has been silent for 2.5 s", n)
	}
	later := start.Add(1500 * time.Millisecond)
	coordinator.MergeReport(later, "a", placer.Report{})
	if n := countAdvised(later); n > 1 {
		t.Errorf("%d trial requests went to an engine that was silent, want at most 1", n)
	}
	// Activity seen by any node closes the breaker.
	coordinator.MergeReport(later, "a", waitingReport(0, 1))
	if n := countAdvised(later.Add(time.Millisecond)); n < 2 {
		t.Errorf("%d requests went to an engine that is active again, want at least 2", n)
	}
}

// The coordinator answers thousands of questions per second.
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

// Guards against a coordinator of hundreds of nodes that forgets within seconds where
// sessions are cached, because it remembers a fixed number of parts.
func TestCoordinatorRemembersSessionsOfThousandsOfPromptsPerSecond(t *testing.T) {
	const perSecond, sessions = 4000, 20_000
	const interval = sessions / perSecond * time.Second // between two prompts of a session
	coordinator := newPlacer(11, engines(240, versionOne))
	at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second / perSecond) }
	ask := func(i int) placer.Advice {
		node := fmt.Sprint("n", i%295)
		q := prompt(fmt.Sprint("s", i%sessions), 100)
		q.Prompt.Parts[2].ID = fmt.Sprint("own", i)
		a, verdict := coordinator.Advise(at(i), node, uint64(i), q)
		if verdict != placer.Placed {
			t.Fatalf("no advice for prompt %d", i)
		}
		coordinator.MergeReport(at(i), node, placer.Report{Settled: uint64(i)}) // it has ended
		return a
	}
	for i := range sessions {
		ask(i)
	}
	const unknown = 3780 + 100 // all but the part that all sessions share
	known := 0
	const sample = 500
	for i := range sample {
		if a := ask(sessions + i); a.Misses < unknown*4/5 {
			known++
		}
	}
	if known < sample*9/10 {
		t.Errorf("of %d sessions that were used %v ago, the coordinator knows where %d are cached", sample, interval, known)
	}
}

// The coordinator leaves out a cache store that is down, of which the asking node may
// not know.
func TestAdviceWithoutCacheStore(t *testing.T) {
	ups := engines(2, versionOne)
	asked := prompt("s", 100)
	without := *asked
	without.CacheAddress = ""
	a, _ := newPlacer(12, ups).Advise(start, "n", 1, &without)
	if c, ok := newPlacer(13, ups).Follow(start, a, asked); !ok || c.Source != "" || c.SaveTo != "" {
		t.Errorf("source %q, saved to %q, followed %t; want neither", c.Source, c.SaveTo, ok)
	}
	a, _ = newPlacer(12, ups).Advise(start, "n", 1, asked)
	if c, ok := newPlacer(13, ups).Follow(start, a, asked); !ok || c.Source != cacheAddress {
		t.Errorf("source %q, followed %t; want the cache store", c.Source, ok)
	}
}
