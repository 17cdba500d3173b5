package planner_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
)

var opts = planner.Options{Nodes: 5, Upstreams: 11, Keys: 6, PlainRoutes: 3, StreamRoutes: 2, Length: 16 * time.Second}

func TestPlanIsDeterministic(t *testing.T) {
	a, b := planner.New(7, opts).Plan(), planner.New(7, opts).Plan()
	if !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Errorf("plans of one seed: %v and %v, want equal and not empty", a, b)
	}
	if reflect.DeepEqual(a, planner.New(8, opts).Plan()) {
		t.Error("two seeds give the same plan")
	}
}

// The plans of fifty seeds contain every type of fault, sorted by start and within
// the time of the soak, and bursts of faults.
func TestPlansCoverAllFaults(t *testing.T) {
	kinds := map[string]int{}
	overlapping := 0
	for seed := range uint64(50) {
		plan := planner.New(seed, opts).Plan()
		for i, s := range plan {
			kinds[fmt.Sprintf("%T", s.Fault)]++
			if s.At < 2*time.Second || s.At > opts.Length {
				t.Errorf("seed %d: %T starts at %v", seed, s.Fault, s.At)
			}
			if i > 0 && s.At < plan[i-1].At {
				t.Errorf("seed %d: faults aren't sorted by start", seed)
			}
			if i > 0 && s.At-plan[i-1].At < 400*time.Millisecond {
				overlapping++
			}
		}
	}
	if len(kinds) != 40 {
		t.Errorf("%d types of faults, want 40: %v", len(kinds), kinds)
	}
	if overlapping < 50 {
		t.Errorf("only %d faults start within 400 ms of the previous one", overlapping)
	}
}

// The seeds that failed before must keep drawing the faults under which they failed.
func TestRegressionSeedsKeepTheirFaults(t *testing.T) {
	for seed, want := range map[uint64]uint64{9: 0x4068078b1e5bf77f, 69: 0x3ae010dec23ae1ac, 119: 0x19e88554fb020105, 2: 0x2d2f3e5704ced94f, 8: 0xa1460fb1813cbace, 20: 0xfc5435fcccd8cd73, 28: 0xd0543eb99c8a208c, 23: 0xafa2642d70169aa8, 12: 0x8c138d08a7091611} {
		var plan string
		for _, s := range planner.New(seed, opts).Plan() {
			plan += fmt.Sprintf("%v %T%+v\n", s.At, s.Fault, s.Fault)
		}
		if got := xxhash.Sum64String(plan); got != want {
			t.Errorf("seed %d: hash %#x of the plan, want %#x:\n%s", seed, got, want, plan)
		}
	}
}
