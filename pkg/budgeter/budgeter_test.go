package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// In every window, the retries of the fleet stay within the ratio of the
// requests plus the allowance, however many retries the nodes request.
func TestFleetStaysWithinItsBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: rapid.Float64Range(20, 220).Draw(t, "allowance")}
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		fleet := make([]*budgeter.Budgeter, nodes)
		for i := range fleet {
			fleet[i] = budgeter.New(limits)
		}
		var requests, retries []time.Time
		now := start
		for range 4000 {
			now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
			b := fleet[rnd.IntN(nodes)]
			b.RecordRequest(now)
			requests = append(requests, now)
			for range rnd.IntN(3) {
				if b.Allow(now, nodes) {
					retries = append(retries, now)
				}
			}
		}
		for at := start; at.Before(now); at = at.Add(250 * time.Millisecond) {
			got := countWithin(retries, at, limits.Window)
			bound := limits.Ratio*float64(countWithin(requests, at, limits.Window)) + limits.Allowance
			if float64(got) > bound {
				t.Fatalf("%d retries in the window from %v, bound %.1f", got, at.Sub(start), bound)
			}
		}
	})
}

func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func TestAvailableSpendsNothing(t *testing.T) {
	b := budgeter.New(budgeter.Limits{Ratio: 0, Window: 10 * time.Second, Allowance: 2})
	for range 10 {
		if !b.Available(start, 1) {
			t.Fatal("Available has spent the budget")
		}
	}
	if !b.Allow(start, 1) || b.Available(start, 1) {
		t.Fatal("want one of two retries allowed and the rest kept as a margin")
	}
}
