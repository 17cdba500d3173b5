package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
)

// Guards against a soak that overlooks LIMIT.
func TestRates(t *testing.T) {
	start := time.Unix(100, 0)
	// history has a request to one upstream every 200 ms, by two nodes in turn.
	history := func(rate float64, length time.Duration, disturbances ...checker.Disturbance) *checker.History {
		h := &checker.History{Disturbances: disturbances}
		for at, i := time.Duration(0), 0; at < length; at, i = at+200*time.Millisecond, i+1 {
			id, sent := fmt.Sprint(i), start.Add(at)
			h.Requests = append(h.Requests, checker.Request{ID: id, Node: i % 2, SentAt: sent, EndedAt: sent.Add(50 * time.Millisecond), Status: 200, Complete: true, Stamped: true})
			h.Runs = append(h.Runs, checker.Run{ID: id, Upstream: "u", StartedAt: sent.Add(10 * time.Millisecond), Rate: rate, Complete: true})
		}
		return h
	}
	for _, c := range []struct {
		name string
		h    *checker.History
		want int
	}{
		{"twice the rate", history(2, 10*time.Second), 1}, // 20 in 4 s, 17 allowed
		{"within the tolerance", history(2.5, 10*time.Second), 0},
		{"no rate named", history(0, 10*time.Second), 0},
		{"before the bound", history(1, 4*time.Second), 0},
		{"one node cut off", history(2, 10*time.Second, checker.Disturbance{Node: 1, From: start.Add(time.Second), To: start.Add(2 * time.Second)}), 0},
		{"store down", history(2, 10*time.Second, checker.Disturbance{Node: -1, StoreOnly: true, From: start, To: start.Add(9 * time.Second)}), 1},
	} {
		got := 0
		for _, v := range checker.New(checker.Bounds{Settle: 3 * time.Second}).Check(c.h) {
			if v.Rule == "limit" {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.want)
		}
	}
}
