package checker_test

import (
	"fmt"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
)

// Guards against a checker that misses windows in which more ran than the limit allows, or counts
// retries.
func TestLimits(t *testing.T) {
	limit := checker.Limit{Workspace: "a", Rate: 10, Burst: 20} // 118 within 8 s
	for _, c := range []struct {
		name     string
		requests int
		runs     int // of each request
		seconds  float64
		want     int
	}{
		{"within the limit", 118, 1, 7, 0},
		{"one too many", 119, 1, 7, 1},
		{"retries", 118, 2, 7, 0},
		{"spread over more than a window", 119, 1, 8.5, 0},
	} {
		h := &checker.History{Limits: []checker.Limit{limit}}
		for i := range c.requests * c.runs {
			id := fmt.Sprint("r", i%c.requests)
			h.Runs = append(h.Runs, checker.Run{ID: id, Workspace: "a", StartedAt: at(10 + c.seconds*float64(i%c.requests)/float64(c.requests))})
			h.Runs = append(h.Runs, checker.Run{ID: id, Workspace: "b", StartedAt: at(10)})
		}
		got := 0
		for _, v := range checker.New(checker.Bounds{}).Check(h) {
			if v.Rule == "limit" {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.want)
		}
	}
}
