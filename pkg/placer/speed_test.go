package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/profiler"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// unevenPool returns a Placer with n engines of which the first half had slow first events and late
// pauses, if it learns speeds.
func unevenPool(learn bool, n int) (*placer.Placer, time.Time) {
	p := placer.New(placer.DefaultCosts(), rand.New(rand.NewPCG(1, 5)))
	if learn {
		p.LearnSpeeds()
	}
	ups := make([]traffic.Upstream, n)
	for i := range ups {
		ups[i] = traffic.Upstream{ID: fmt.Sprint("e", i), Service: "llm", DataCentre: "a", Slots: 32, Models: map[string]int{"m": 1}}
	}
	p.SetUpstreams(ups, map[string]int{"llm": 100_000})
	now := time.Date(2026, 12, 6, 10, 0, 0, 0, time.UTC)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for i := range ups { // one message of samples for each
			var s placer.Samples
			key, slow := placer.Key(ups[i].Incarnation()), i < n/2
			first := 200
			if slow {
				first = 400
			}
			s.FirstEvents = append(s.FirstEvents, profiler.Sample{Upstream: key, Misses: 3000, FirstMS: first}, profiler.Sample{Upstream: key, Misses: 300, FirstMS: 110})
			s.Pauses = append(s.Pauses, profiler.PauseSample{Upstream: key, Output: 300, Late: slow})
			p.MergeSamples(now, s)
		}
	}
	return p, now
}

// Load: prompts for a pool in which half of the engines are slower. Guards against first events
// and pauses that are late since slow engines get as many prompts as fast ones.
func TestPromptsAvoidSlowEngines(t *testing.T) {
	for _, learn := range []bool{false, true} {
		p, now := unevenPool(learn, 8)
		slow := 0
		for i := range 400 {
			q := &placer.Query{Service: "llm", DataCentre: "a", Objective: 500 * time.Millisecond, Prompt: &traffic.Prompt{
				Model: "m", Tokens: 3000, MaxOutput: 600, Parts: []traffic.Part{{ID: fmt.Sprint(i), Tokens: 3000}},
			}}
			c, ok := p.Pick(now, q)
			if !ok {
				t.Fatal("no engine")
			}
			if c.Upstream.ID < "e4" {
				slow++
			}
		}
		if even := slow > 150 && slow < 250; learn && slow > 40 || !learn && !even {
			t.Errorf("learning %v: %d of 400 prompts go to the slow half of the engines", learn, slow)
		}
	}
}

// A loaded fast engine must not be preferred for ever: its queue has to count more than its speed.
func TestSlowEnginesTakeWhatFastOnesCannot(t *testing.T) {
	p, now := unevenPool(true, 8)
	slow := 0
	for i := range 64 {
		q := &placer.Query{Service: "llm", DataCentre: "a", Objective: 500 * time.Millisecond, Prompt: &traffic.Prompt{
			Model: "m", Tokens: 3000, MaxOutput: 60, Parts: []traffic.Part{{ID: fmt.Sprint(i), Tokens: 3000}},
		}}
		c, ok := p.Pick(now, q)
		if !ok {
			t.Fatal("no engine")
		}
		p.RecordSend(now, c, q)
		if c.Upstream.ID < "e4" {
			slow++
		}
	}
	if slow < 10 {
		t.Errorf("slow engines get %d of 64 prompts sent at once", slow)
	}
}

func BenchmarkPickWithLearnedSpeeds(b *testing.B) {
	p, now := unevenPool(true, 1400)
	q := &placer.Query{Service: "llm", DataCentre: "a", Objective: 500 * time.Millisecond, Prompt: &traffic.Prompt{
		Model: "m", Tokens: 3000, MaxOutput: 600, Parts: []traffic.Part{{ID: "p", Tokens: 3000}},
	}}
	b.ReportAllocs()
	for range b.N {
		p.Pick(now, q)
	}
}

// Guards against a malformed message whose samples outweigh those of all nodes.
func TestSamplesOfOneMessageAreBounded(t *testing.T) {
	p, now := unevenPool(true, 8)
	var s placer.Samples
	for range 10_000 {
		key := placer.Key((&traffic.Upstream{ID: "e0", Service: "llm"}).Incarnation())
		s.FirstEvents = append(s.FirstEvents, profiler.Sample{Upstream: key, Misses: 3000, FirstMS: 1})
		s.Pauses = append(s.Pauses, profiler.PauseSample{Upstream: key, Output: 3000})
	}
	p.MergeSamples(now, s)
	slow := 0
	for i := range 100 {
		q := &placer.Query{Service: "llm", DataCentre: "a", Objective: 500 * time.Millisecond, Prompt: &traffic.Prompt{
			Model: "m", Tokens: 3000, MaxOutput: 600, Parts: []traffic.Part{{ID: fmt.Sprint(i), Tokens: 3000}},
		}}
		c, ok := p.Pick(now.Add(time.Second), q)
		if !ok {
			t.Fatal("no engine")
		}
		if c.Upstream.ID == "e0" {
			slow++
		}
	}
	if slow > 25 {
		t.Errorf("%d of 100 prompts go to the slow engine of the samples", slow)
	}
}
