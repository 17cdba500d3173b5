package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// Guards against extra attempts at a full service: the load of other nodes has to count,
// and slots of upstreams that take no requests must not.
func TestUsageCountsTheLoadOfAllNodes(t *testing.T) {
	ups := engines(4, versionOne)
	ups[3].Draining = true
	p := placer.New(placer.DefaultCosts(), rand.New(rand.NewPCG(1, 5)))
	p.SetUpstreams(ups, map[string]int{service: 90_000})
	pickAndSend(t, p, start, prompt("a", 0)) // 6300 tokens of prompt and half of 10 of output
	p.MergeReport(start, "n1", placer.Report{Loads: []placer.Load{{Upstream: placer.Key(ups[0].Incarnation()), Running: 95, MemoryTokens: 61_195}}})
	slots, memory := p.Usage(start, service)
	if want := 96.0 / (3 * 64); slots != want {
		t.Errorf("%v of the slots in use, want %v", slots, want)
	}
	if want := 67_500.0 / (3 * 45_000); memory != want {
		t.Errorf("%v of the memory in use, want %v", memory, want)
	}
	if slots, memory = p.Usage(start.Add(time.Second), "none"); slots != 0 || memory != 0 {
		t.Errorf("an unknown service is in use: %v, %v", slots, memory)
	}
}
