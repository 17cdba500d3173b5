package detector_test

import (
	"testing"
	"time"
)

// Guards against BUDGET: when a rejection for seconds ends, several nodes of a large fleet run
// the deadly request before they hear that the first of these runs was lost.
func TestPlainRequestIsTriedByFewNodesOfLargeFleet(t *testing.T) {
	for seed := range uint64(40) {
		out := simulatePlain(plainLoad{nodes: 295, upstreams: 4, soundPerSecond: 2, poisonEvery: 10 * time.Millisecond, aggregated: true, seed: seed})
		if out.late > 3 {
			t.Errorf("seed %d: %d deadly requests were rejected, %d crashes, %d late", seed, out.rejected, out.crashes, out.late)
		}
	}
}
