package relayer_test

import (
	"net"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against TWICE: a request that may run once only ran again after a change of the
// configuration had given its path another route in the meantime.
func TestRequestRunsOnceIfOneOfItsRoutesDemandsIt(t *testing.T) {
	unsafe, safe, once := func(r *traffic.Route) { r.Kind = traffic.Unsafe }, func(*traffic.Route) {}, func(r *traffic.Route) { r.MaxAttempts = 1 }
	for name, c := range map[string]struct {
		before, after func(r *traffic.Route)
		script        testlib.Script
		status        int
		kind          failure.Kind
	}{
		"unsafe, then safe; server error":           {unsafe, safe, failing, 500, failure.None},
		"one attempt, then two; server error":       {once, safe, failing, 500, failure.None},
		"safe, then unsafe; server error":           {safe, unsafe, failing, 500, failure.None},
		"unsafe, then safe; connection reset":       {unsafe, safe, resetting, 0, failure.OutcomeUnknown},
		"safe, then unsafe; connection reset":       {safe, unsafe, resetting, 0, failure.OutcomeUnknown},
		"two attempts, then one; connection reset":  {safe, once, resetting, 0, failure.UpstreamFailed},
		"safe, then unsafe; response without stamp": {safe, unsafe, unstamped, 0, failure.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, nil, nil)
			set := func(version uint64, change func(r *traffic.Route)) {
				cat := catalog(version, "key")
				change(&cat.Routes[0])
				b.fleet.set(cat, b.boot.Elapsed())
			}
			set(1, c.before)
			for _, u := range b.ups {
				u.SetScript(func(conn net.Conn, r testlib.Received) bool {
					set(2, c.after)
					return c.script(conn, r)
				})
			}
			r := b.serve(t.Context(), "/safe/")
			if r.status != c.status || r.kind != c.kind || b.sent() != 1 {
				t.Errorf("status %d, kind %s after %d sends", r.status, r.kind, b.sent())
			}
		})
	}
}
