package planner_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
)

var scene = planner.Options{Nodes: 5, Upstreams: 11, Keys: 6, Length: 16 * time.Second}

func TestSameSeedSameFaults(t *testing.T) {
	a, b := planner.New(7, scene).Plan(), planner.New(7, scene).Plan()
	if !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Errorf("%v and %v", a, b)
	}
	if reflect.DeepEqual(a, planner.New(8, scene).Plan()) {
		t.Error("two seeds give the same faults")
	}
}

// Fifty seeds have every kind of fault, in their order and within the time, and
// some of them overlap.
func TestSeedsCoverAllFaults(t *testing.T) {
	kinds := map[string]int{}
	close := 0
	for seed := range uint64(50) {
		plan := planner.New(seed, scene).Plan()
		for i, s := range plan {
			kinds[fmt.Sprintf("%T", s.Fault)]++
			if s.At < 2*time.Second || s.At > scene.Length {
				t.Errorf("seed %d: %T at %v", seed, s.Fault, s.At)
			}
			if i > 0 && s.At < plan[i-1].At {
				t.Errorf("seed %d: faults aren't in order", seed)
			}
			if i > 0 && s.At-plan[i-1].At < 400*time.Millisecond {
				close++
			}
		}
	}
	if len(kinds) != 16 {
		t.Errorf("%d kinds of faults: %v", len(kinds), kinds)
	}
	if close < 50 {
		t.Errorf("only %d faults come at the heels of another one", close)
	}
}
