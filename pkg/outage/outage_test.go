package outage_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/outage"
)

// Guards against limits that count on during an outage, or that begin anew for failures which
// are none.
func TestStoreIsInReachSinceTheLastOutage(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	const never = -1
	for _, c := range []struct {
		name            string
		reported        float64   // end of an outage that a peer reports last, 0 for none
		failed          []float64 // times of failed reads, in seconds
		succeeded       []float64
		at, wantSeconds float64
	}{
		{name: "no read yet", at: 5, wantSeconds: never},
		{name: "no failure", succeeded: []float64{1, 2}, at: 5, wantSeconds: never},
		{name: "one failure", failed: []float64{1}, at: 3, wantSeconds: never},
		{name: "one failure, then success", failed: []float64{1}, succeeded: []float64{3}, at: 9, wantSeconds: never},
		{name: "failures with successes between them", failed: []float64{1, 2, 3}, succeeded: []float64{1.4, 2.4, 3.4}, at: 9, wantSeconds: never},
		{name: "two failures at once", failed: []float64{1, 1.1}, succeeded: []float64{1.4}, at: 9, wantSeconds: never},
		{name: "outage goes on", failed: []float64{1, 2, 3}, at: 9, wantSeconds: 9},
		{name: "outage has ended", failed: []float64{1, 2, 3}, succeeded: []float64{4, 5}, at: 9, wantSeconds: 4},
		{name: "a single failure after an outage", failed: []float64{1, 2, 6}, succeeded: []float64{4, 6.4}, at: 9, wantSeconds: 4},
		{name: "second outage", failed: []float64{1, 2, 6, 7}, succeeded: []float64{4, 8}, at: 9, wantSeconds: 8},
		{name: "peer's outage before the first read", succeeded: []float64{5, 6}, reported: 4, at: 9, wantSeconds: 4},
		{name: "peer noticed its end later", succeeded: []float64{5, 6}, reported: 6.5, at: 9, wantSeconds: 6.5},
		{name: "peer's outage without one here", succeeded: []float64{1, 2, 3, 4, 5}, reported: 4, at: 9, wantSeconds: never},
		{name: "peer's earlier outage", failed: []float64{1, 2}, succeeded: []float64{3}, reported: 2.5, at: 9, wantSeconds: 3},
		{name: "peer's outage before any read", reported: 2, at: 9, wantSeconds: never},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
			var o outage.Outage
			failed, succeeded := c.failed, c.succeeded
			for len(failed)+len(succeeded) > 0 {
				if len(succeeded) == 0 || len(failed) > 0 && failed[0] < succeeded[0] {
					o, failed = o.WithFailure(at(failed[0])), failed[1:]
				} else {
					o, succeeded = o.WithSuccess(at(succeeded[0])), succeeded[1:]
				}
			}
			if c.reported != 0 {
				o = o.WithReport(at(c.reported))
			}
			var want time.Time
			if c.wantSeconds != never {
				want = at(c.wantSeconds)
			}
			if got := o.InReachSince(at(c.at)); !got.Equal(want) {
				t.Errorf("in reach since %v, want %v", got, want)
			}
		})
	}
}
