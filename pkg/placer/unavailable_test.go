package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

var unavailableStart = time.Unix(1_800_000_000, 0)

func upstreams(ids ...string) []traffic.Upstream {
	var out []traffic.Upstream
	for _, id := range ids {
		out = append(out, traffic.Upstream{ID: id, StartedMS: 1, Service: "s", Address: id + ":1", DataCentre: "a", Slots: 4})
	}
	return out
}

func placerOf(ids ...string) *placer.Placer { return newPlacer(1, upstreams(ids...)) }

func plain() *placer.Query { return &placer.Query{Service: "s", DataCentre: "a"} }

// Guards against DRAIN: an upstream that has said that it is leaving gets no request, whatever
// the registry says, until another incarnation is there.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	p := placerOf("u0", "u1")
	now := unavailableStart
	if !p.RecordLeaving("u0@1") || p.RecordLeaving("u0@1") || p.RecordLeaving("unknown@1") {
		t.Error("must report the first time only")
	}
	for range 50 {
		if c, ok := p.Pick(now, plain()); !ok || c.Incarnation() != "u1@1" {
			t.Fatalf("picked %v", c.Upstream)
		}
	}
	if p.MaySend(now, "u0@1") {
		t.Error("a request that was placed before may still be sent")
	}
	p.Resume("u0@1") // after an order
	p.SetUpstreams(upstreams("u1"), nil)
	p.SetUpstreams(upstreams("u0"), nil) // the registry had lost it for a while
	if c, ok := p.Pick(now.Add(time.Hour), plain()); ok {
		t.Errorf("picked %v as a last resort", c.Upstream)
	}
	again := upstreams("u0")
	again[0].StartedMS = 2
	p.SetUpstreams(again, nil)
	if _, ok := p.Pick(now, plain()); !ok {
		t.Error("another incarnation isn't used")
	}
}

// Guards against BUDGET: an upstream that wants no requests for a time gets none, also as a
// last resort, and gets them afterwards.
func TestUpstreamIsLeftAloneForAsLongAsItAsks(t *testing.T) {
	p := placerOf("u0")
	now := unavailableStart
	p.RecordTurnAway(now, "u0@1", 2*time.Second)
	p.RecordTurnAway(now, "u0@1", time.Second) // a shorter one doesn't end it
	for _, after := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		if _, ok := p.Pick(now.Add(after), plain()); ok || p.MaySend(now.Add(after), "u0@1") {
			t.Errorf("used after %v", after)
		}
	}
	if until, all := p.AllTurnedAway(now, plain()); !all || until.Sub(now) < 2*time.Second || until.Sub(now) > 2500*time.Millisecond {
		t.Errorf("turned away for %v, %t", until.Sub(now), all)
	}
	if _, ok := p.Pick(now.Add(2500*time.Millisecond), plain()); !ok {
		t.Error("not used afterwards")
	}
}

func TestTurnAwayIsBounded(t *testing.T) {
	p := placerOf("u0")
	p.RecordTurnAway(unavailableStart, "u0@1", 24*time.Hour)
	if _, ok := p.Pick(unavailableStart.Add(6*time.Minute), plain()); !ok {
		t.Error("a faulty value puts the upstream out of service")
	}
}

func TestNotAllUpstreamsHaveTurnedAway(t *testing.T) {
	now := unavailableStart
	p := placerOf("u0", "u1", "u2")
	p.RecordTurnAway(now, "u0@1", time.Second)
	p.RecordLeaving("u1@1")
	if _, all := p.AllTurnedAway(now, plain()); all {
		t.Error("u2 takes requests")
	}
	q := plain()
	q.Exclude = []string{"u2@1"}
	if until, all := p.AllTurnedAway(now, q); !all || until.Before(now.Add(time.Second)) {
		t.Errorf("until %v, all %t", until, all)
	}
}

// The coordinator doesn't place requests on upstreams that are unavailable to the asking node.
func TestAdviceAvoidsUnavailableUpstreams(t *testing.T) {
	node, coordinator := placerOf("u0", "u1"), placerOf("u0", "u1")
	now := unavailableStart
	node.RecordTurnAway(now, "u0@1", time.Minute)
	q := plain()
	q.Unavailable = node.Unavailable(now, q.Service)
	for i := range 50 {
		a, v := coordinator.Advise(now, "n", uint64(i), q)
		if v != placer.Placed || a.Upstream != placer.Key("u1@1") {
			t.Fatalf("advice %+v, verdict %d", a, v)
		}
	}
	node.RecordTurnAway(now, "u1@1", time.Minute)
	q.Unavailable = node.Unavailable(now, q.Service)
	if _, v := coordinator.Advise(now, "n", 99, q); v != placer.NoCapacity {
		t.Errorf("verdict %d without an upstream", v)
	}
}

// Guards against BUDGET: the registry loses an upstream for a while, and its request to be
// left alone was forgotten.
func TestTurnAwayOutlivesAGapInTheRegistry(t *testing.T) {
	p := placerOf("u0", "u1")
	now := unavailableStart
	p.RecordTurnAway(now, "u0@1", 10*time.Second)
	p.SetUpstreams(upstreams("u1"), nil)
	p.SetUpstreams(upstreams("u0"), nil)
	if c, ok := p.Pick(now.Add(5*time.Second), plain()); ok || p.MaySend(now.Add(5*time.Second), "u0@1") {
		t.Errorf("picked %v", c.Upstream)
	}
	if _, ok := p.Pick(now.Add(11*time.Second), plain()); !ok {
		t.Error("not used afterwards")
	}
}

// Guards against a list that is full of the upstreams of other services.
func TestUnavailableListsTheServiceAlone(t *testing.T) {
	ups := upstreams("u0")
	for i := range 200 {
		u := upstreams(fmt.Sprint("other", i))[0]
		u.Service = "other"
		ups = append(ups, u)
	}
	p := newPlacer(1, ups)
	for _, u := range ups {
		p.RecordTurnAway(unavailableStart, u.Incarnation(), time.Minute)
	}
	if got := p.Unavailable(unavailableStart, "s"); len(got) != 1 || got[0] != placer.Key("u0@1") {
		t.Errorf("listed %v", got)
	}
}

// Each question to the placement coordinator has the list.
func BenchmarkUnavailable(b *testing.B) {
	var ids []string
	for i := range 1400 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	for name, turned := range map[string]int{"none": 0, "50": 50} {
		b.Run(name, func(b *testing.B) {
			p := placerOf(ids...)
			for _, id := range ids[:turned] {
				p.RecordTurnAway(unavailableStart, id+"@1", time.Minute)
			}
			for b.Loop() {
				_ = p.Unavailable(unavailableStart, "s")
			}
		})
	}
}
