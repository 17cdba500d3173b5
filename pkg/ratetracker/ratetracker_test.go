package ratetracker_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
)

func ExampleTracker() {
	t, now := ratetracker.New(), time.Unix(0, 0)
	t.Record(now, 7, 1.5)
	s, ok := t.Find(now.Add(time.Second), 7)
	fmt.Println(s.Rate, s.AgeMS, ok)
	t.Record(now.Add(2*time.Second), 7, ratetracker.Unlimited)
	_, ok = t.Find(now.Add(2*time.Second), 7)
	fmt.Println(ok)
	// Output:
	// 1.5 1000 true
	// false
}

// Guards against LIMIT: a node that has heard an older statement, or a malformed one, forgets the
// rate that an upstream has named since.
func TestMergeKeepsTheLatestStatement(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name string
		s    ratetracker.Statement
		want float64 // ratetracker.Unlimited for none
	}{
		{"older", ratetracker.Statement{Upstream: 1, Rate: 9, AgeMS: 1001}, 2},
		{"older end", ratetracker.Statement{Upstream: 1, Rate: ratetracker.Unlimited, AgeMS: 1001}, 2},
		{"newer", ratetracker.Statement{Upstream: 1, Rate: 9, AgeMS: 999}, 9},
		{"newer end", ratetracker.Statement{Upstream: 1, Rate: ratetracker.Unlimited, AgeMS: 999}, ratetracker.Unlimited},
		{"of another upstream", ratetracker.Statement{Upstream: 2, Rate: 9}, 2},
		{"none", ratetracker.Statement{Upstream: 1, Rate: 0}, 0.1},
		{"no number", ratetracker.Statement{Upstream: 1, Rate: math.NaN()}, 2},
		{"infinite", ratetracker.Statement{Upstream: 1, Rate: math.Inf(1)}, 2},
		{"from the future", ratetracker.Statement{Upstream: 1, Rate: 9, AgeMS: -5}, 2},
	} {
		tr := ratetracker.New()
		tr.Record(now.Add(-time.Second), 1, 2)
		changed := tr.Merge(now, []ratetracker.Statement{c.s})
		s, ok := tr.Find(now, 1)
		if ok != (c.want >= 0) || ok && s.Rate != c.want {
			t.Errorf("%s: rate %v, limited %t, want %v", c.name, s.Rate, ok, c.want)
		}
		if want := c.want != 2 || c.s.Upstream != 1; changed != want {
			t.Errorf("%s: changed %t", c.name, changed)
		}
	}
}

// Guards against messages between nodes that grow with the number of upstreams in need, or without end.
func TestChangesAreToldForAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	tr := ratetracker.New()
	for i := range uint32(200) {
		tr.Record(now, i, 3)
	}
	if n := len(tr.Changes(now)); n != 64 {
		t.Errorf("%d statements in a message, want 64", n)
	}
	now = now.Add(3 * time.Second)
	tr.Record(now, 5, 3)                       // again
	tr.Record(now, 6, ratetracker.Unlimited)   // no longer
	tr.Record(now, 999, ratetracker.Unlimited) // never was
	if s := tr.Changes(now); len(s) != 1 || s[0].Upstream != 6 || s[0].Rate != ratetracker.Unlimited {
		t.Errorf("statements %v, want the end of one limit", s)
	}
	if n := len(tr.Limited(now)); n != 199 {
		t.Errorf("%d upstreams are limited, want 199", n)
	}
}
