package placer_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// Guards against crashes that were taken for lost connections: a peer that was killed or cut
// off had runs at the upstream, as far as its last report says.
func TestOldReportsAndAdviceAreNoSignOfLife(t *testing.T) {
	const maxAge = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		reported bool
		age      time.Duration
		advised  bool
		own      bool
		want     bool
	}{
		"nothing known":    {},
		"recent report":    {reported: true, age: maxAge, want: true},
		"old report":       {reported: true, age: maxAge + time.Millisecond},
		"pending advice":   {advised: true},
		"run of this node": {own: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			ups := engines(1, versionOne)
			key := placer.Key(ups[0].Incarnation())
			p := newPlacer(1, ups)
			if tc.reported {
				p.MergeReport(start, "n", placer.Report{Loads: []placer.Load{{Upstream: key, Running: 1}}})
			}
			if tc.advised {
				p.Advise(start, "n", 1, prompt("s", 10))
			}
			if tc.own {
				pickAndSend(t, p, start, prompt("s", 10))
			}
			if got := p.RunsRequests(start.Add(tc.age), key, maxAge); got != tc.want {
				t.Errorf("got %t", got)
			}
		})
	}
}
