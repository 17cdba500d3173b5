package relayer_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Guards against a healthy upstream that gets no requests since the node had no memory left
// for its responses.
func TestLackOfMemoryIsNoFailureOfUpstream(t *testing.T) {
	large := strings.Repeat("x", 6<<20)
	b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
		writeHead(conn, r, fmt.Sprintf("Content-Length: %d", len(large)))
		_, err := fmt.Fprint(conn, large)
		return err == nil
	})
	held := b.memory.Response() // all that responses may hold
	for held.Reserve(1<<20) == nil {
	}
	defer held.Release()
	for range 3 {
		if r := b.serve(t.Context(), "/unsafe/"); r.kind != failure.OutcomeUnknown {
			t.Fatalf("status %d, kind %s", r.status, r.kind)
		}
	}
	if !b.relay.Status("u0@1").Reachable {
		t.Error("the circuit breaker of the upstream has tripped")
	}
}
