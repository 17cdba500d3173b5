package relayer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// answering returns a script that answers with a status line and further header lines.
func answering(status, header string) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"), header)
		return err == nil
	}
}

// Guards against DRAIN: requests reached an upstream after it had said in a response that it
// was leaving.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	for name, script := range map[string]testlib.Script{
		"response":    answering("200 OK", "Mark: x\r\nLeaving: 1\r\n"),
		"failure":     answering("500 Oops", "Mark: x\r\nLeaving: 1\r\n"),
		"not run":     answering("503 Full", "Not-Run: 1\r\nLeaving: 1\r\n"),
		"misdirected": answering("421 Other", "By: u0\r\nLeaving: 1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, script, ok)
			for range 40 {
				if r := b.serve(t.Context(), "/safe/"); r.status != 200 {
					t.Errorf("status %d, kind %s", r.status, r.kind)
				}
			}
			if n := len(b.ups[0].Received()); n > 1 {
				t.Errorf("%d requests reached the upstream", n)
			}
			if leaving := b.relay.TakeReport().Leaving; len(leaving) != 1 || leaving[0] != placer.Key("u0@1") {
				t.Errorf("reported as leaving: %v", leaving)
			}
			if leaving := b.relay.TakeReport().Leaving; len(leaving) != 0 {
				t.Errorf("reported again: %v", leaving)
			}
		})
	}
}

// Another upstream that has taken over the address speaks for itself alone.
func TestOtherUpstreamAtAddressDoesNotSpeakForTheChosenOne(t *testing.T) {
	b := newFixture(t, answering("421 Other", "By: stranger\r\nLeaving: 1\r\n"))
	b.serve(t.Context(), "/safe/")
	if leaving := b.relay.TakeReport().Leaving; len(leaving) != 0 {
		t.Errorf("reported as leaving: %v", leaving)
	}
}

// Guards against BUDGET: requests reached an upstream in the time for which it had turned this
// node away.
func TestUpstreamThatTurnedNodeAwayIsLeftAlone(t *testing.T) {
	b := newFixture(t, answering("503 Full", "Not-Run: 1\r\nTurn-Away: 30\r\n"), ok)
	for range 40 {
		if r := b.serve(t.Context(), "/safe/"); r.status != 200 {
			t.Errorf("status %d, kind %s", r.status, r.kind)
		}
	}
	if n := len(b.ups[0].Received()); n > 1 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// The pattern: a whole service turns the node away. Waiting requests are refused at once, and
// told when to come back.
func TestRequestIsRefusedAtOnceWhenAllUpstreamsTurnNodeAway(t *testing.T) {
	b := newFixture(t, answering("503 Full", "Not-Run: 1\r\nTurn-Away: 30\r\n"), answering("503 Full", "Not-Run: 1\r\nTurn-Away: 40\r\n"))
	b.serve(t.Context(), "/slow/")
	sent := b.sent()
	for range 5 {
		began := time.Now()
		r := b.serve(context.Background(), "/slow/") // may wait for a second
		if r.kind != failure.NoUpstream || r.after < 29*time.Second || r.after > 32*time.Second {
			t.Errorf("kind %s, retry after %v", r.kind, r.after)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	}
	if b.sent() != sent || sent > 2 {
		t.Errorf("%d requests were sent, %d before", b.sent(), sent)
	}
}

// Guards against DRAIN: all upstreams of a service have said that they are leaving; none of them
// is used as a last resort, and the request is refused as not run.
func TestServiceWhoseUpstreamsAllLeaveIsNotServed(t *testing.T) {
	script := answering("200 OK", "Mark: x\r\nLeaving: 1\r\n")
	b := newFixture(t, script, script)
	for range 2 {
		if r := b.serve(t.Context(), "/safe/"); r.status != 200 {
			t.Errorf("status %d, kind %s", r.status, r.kind)
		}
	}
	for range 5 {
		if r := b.serve(t.Context(), "/safe/"); r.kind != failure.NoUpstream || r.after <= 0 {
			t.Errorf("status %d, kind %s, retry after %v", r.status, r.kind, r.after)
		}
	}
	if b.sent() != 2 {
		t.Errorf("%d requests were sent", b.sent())
	}
}

// Guards against REFUSED: a request that has run at an upstream isn't refused as not run, though
// all others have turned this node away.
func TestRequestThatHasRunIsNotRefusedAsTurnedAway(t *testing.T) {
	for path, want := range map[string]failure.Kind{"/safe/": failure.UpstreamFailed, "/unsafe/": failure.OutcomeUnknown} {
		away := answering("503 Full", "Not-Run: 1\r\nTurn-Away: 30\r\n")
		for range 8 { // the upstream that is asked first is random
			b := newFixture(t, resetting, away)
			r := b.serve(t.Context(), path)
			if len(b.ups[0].Received()) == 1 && r.kind != want {
				t.Errorf("%s: status %d, kind %s after the request has run", path, r.status, r.kind)
			}
		}
	}
}
