package placer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// release is when a simulated run has its first event, or ends.
type release struct {
	at     time.Time
	choice placer.Choice
	isEnd  bool
}

type releases []release

func (r releases) Len() int           { return len(r) }
func (r releases) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r releases) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *releases) Push(x any)        { *r = append(*r, x.(release)) }
func (r *releases) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// promptKind is a kind of request in a simulated load.
type promptKind struct {
	perSecond      float64
	shared         []int // tokens of the parts that requests share
	sessions       int
	own            float64 // mean tokens of the part that they don't share
	output         float64 // mean output, in tokens
	maxOutput      int
	estimates      bool // callers send an estimate of the output
	offered, taken int
}

// logNormal returns a number with the given mean.
func logNormal(rnd *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
}

func (k *promptKind) next(rnd *rand.Rand, name string, n int) (q *placer.Query, output int) {
	own := int(logNormal(rnd, k.own, 1))
	parts := []traffic.Part{{ID: name, Tokens: k.shared[0]}, {ID: fmt.Sprint(name, rnd.IntN(k.sessions)), Tokens: k.shared[1]}, {ID: fmt.Sprint(name, "own", n), Tokens: own}}
	output = min(k.maxOutput, 1+int(logNormal(rnd, k.output, 0.7)))
	q = &placer.Query{
		Service: service, DataCentre: "a", CacheAddress: cacheAddress,
		Prompt: &traffic.Prompt{Model: model, Parts: parts, Tokens: k.shared[0] + k.shared[1] + own, MaxOutput: k.maxOutput},
	}
	if k.estimates {
		q.ExpectedOutput = 1 + int(float64(output)*math.Exp(0.5*rnd.NormFloat64()))
	}
	return q, output
}

const (
	prefillTokensPerMS = 36
	outputTokensPerMS  = 0.1 // at an engine with some thirty runs, between prefills
)

// playLoad offers Poisson arrivals of the kinds to 12 engines for 30 s, without repeats of
// refused requests.
func playLoad(seed uint64, kinds map[string]*promptKind) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	p := placer.New(placer.DefaultCosts(), rand.New(rand.NewPCG(seed, 5)))
	p.SetUpstreams(engines(12, versionOne), map[string]int{service: 98_299})
	p.SetPlacingNodes(1)
	total := kinds["long"].perSecond + kinds["short"].perSecond
	var running releases
	n := 0
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(time.Duration(rnd.ExpFloat64() / total * float64(time.Second))) {
		for len(running) > 0 && !running[0].at.After(now) {
			if r := heap.Pop(&running).(release); r.isEnd {
				p.RecordEnd(r.choice, true)
			} else {
				p.RecordFirstEvent(r.choice)
			}
		}
		name := "short"
		if rnd.Float64()*total < kinds["long"].perSecond {
			name = "long"
		}
		n++
		k := kinds[name]
		k.offered++
		q, output := k.next(rnd, name, n)
		c, ok := p.Pick(now, q)
		if !ok {
			continue
		}
		k.taken++
		c = p.RecordSend(now, c, q)
		first := now.Add(time.Duration((20 + c.QueueingDelayMS + float64(c.Misses)/prefillTokensPerMS) * float64(time.Millisecond)))
		heap.Push(&running, release{at: first, choice: c})
		heap.Push(&running, release{at: first.Add(time.Duration(float64(output) / outputTokensPerMS * float64(time.Millisecond))), choice: c, isEnd: true})
	}
}

// Guards against long prompts being starved by short ones that may generate much and rarely
// do: what these didn't take counted as taken, and what was left was too small for the long ones.
func TestShortPromptsLeaveMemoryToLongOnes(t *testing.T) {
	const least = 0.7 // of each kind
	for _, estimates := range []bool{true, false} {
		for seed := range uint64(5) {
			kinds := map[string]*promptKind{
				"long":  {perSecond: 18, shared: []int{2520, 3780}, sessions: 104, own: 2890, output: 52, maxOutput: 205, estimates: estimates},
				"short": {perSecond: 129, shared: []int{119, 79}, sessions: 176, own: 628, output: 290, maxOutput: 955, estimates: estimates},
			}
			playLoad(seed, kinds)
			for name, k := range kinds {
				share := float64(k.taken) / float64(k.offered)
				t.Logf("seed %d, estimates %t: %d of %d %s prompts were placed", seed, estimates, k.taken, k.offered, name)
				if share < least {
					t.Errorf("seed %d, estimates %t: %.3f of the %s prompts were placed, want %.1f at least", seed, estimates, share, name, least)
				}
			}
		}
	}
}
