package retainer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/retainer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

var start = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

func rejection(left time.Duration, features ...uint64) traffic.Rejection {
	return traffic.Rejection{Features: features, Until: start.Add(left)}
}

func list(rejections ...traffic.Rejection) []traffic.Rejection { return rejections }

func TestNext(t *testing.T) {
	a, b := rejection(9*time.Minute, 1), rejection(8*time.Minute, 1, 2)
	many := make([]traffic.Rejection, 40)
	for i := range many {
		many[i] = rejection(time.Duration(100-i)*time.Second, uint64(i))
	}
	long := make([]uint64, 600)
	for name, c := range map[string]struct {
		before       []traffic.Rejection // held at the call before
		stored, held []traffic.Rejection
		next         []traffic.Rejection
		changed      bool
	}{
		"nothing":                       {},
		"found":                         {held: list(a), next: list(a), changed: true},
		"stored already":                {stored: list(a), held: list(a), next: list(a)},
		"a little longer":               {stored: list(a), held: list(rejection(9*time.Minute+time.Second, 1)), next: list(a)},
		"renewed":                       {stored: list(rejection(time.Minute, 1)), held: list(a), next: list(a), changed: true},
		"found by another node":         {stored: list(a), next: list(a)},
		"one by each node":              {stored: list(b), held: list(a), next: list(a, b), changed: true},
		"given up":                      {before: list(a), stored: list(a), changed: true},
		"given up, written later":       {before: list(a, b), stored: list(a, b), held: list(b), next: list(b), changed: true},
		"one feature is sound":          {before: list(b), stored: list(b), held: list(a), next: list(a), changed: true},
		"ended":                         {stored: list(rejection(0, 1))},
		"one ended, one found":          {stored: list(rejection(-time.Second, 2)), held: list(a), next: list(a), changed: true},
		"too many":                      {held: many, next: many[:32], changed: true},
		"too many, stored already":      {stored: many[:32], held: many, next: many[:32]},
		"too many features":             {held: list(a, rejection(time.Minute, long...), rejection(time.Second, long...)), next: list(a, rejection(time.Minute, long...)), changed: true},
		"held twice":                    {stored: list(a), held: list(rejection(9*time.Minute+time.Second, 1), rejection(8*time.Minute, 1)), next: list(a)},
		"stored twice":                  {stored: list(a, a), held: list(rejection(9*time.Minute+time.Second, 1)), next: list(a), changed: true},
		"one of another node is longer": {stored: list(a), held: list(rejection(time.Minute, 1)), next: list(a)},
	} {
		r := retainer.New()
		r.Next(start, nil, c.before)
		next, changed := r.Next(start, slices.Clone(c.stored), slices.Clone(c.held))
		equal := slices.EqualFunc(next, c.next, func(p, q traffic.Rejection) bool {
			return slices.Equal(p.Features, q.Features) && p.Until.Equal(q.Until)
		})
		if !equal || changed != c.changed {
			t.Errorf("%s: next %v, changed %t; want %v, %t", name, next, changed, c.next, c.changed)
		}
	}
}

// Guards against a store that keeps what a node has given up: a write that was uncertain took
// effect afterwards.
func TestRejectionGivenUpIsRemovedThoughItIsStoredLater(t *testing.T) {
	r, a := retainer.New(), rejection(time.Minute, 1)
	r.Next(start, nil, list(a))
	r.Next(start.Add(time.Second), nil, nil)
	if next, changed := r.Next(start.Add(2*time.Second), list(a), nil); len(next) > 0 || !changed {
		t.Errorf("next %v, changed %t; want none, true", next, changed)
	}
}
