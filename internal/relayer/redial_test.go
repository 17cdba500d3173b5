package relayer_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// slowPatience is how long a request of the slow route waits for an upstream.
const slowPatience = time.Second

// newUnreachableFixture returns a relayer whose only upstream listens at addr once the test makes
// it.
func newUnreachableFixture(t *testing.T) (f *fixture, addr string) {
	t.Helper()
	f, addr = newFixture(t), testlib.NewAddress(t)
	f.relay.SetUpstreams([]traffic.Upstream{{ID: "u", StartedMS: 1, Service: "s", Address: addr, DataCentre: "a", Slots: 8}}, nil)
	return f, addr
}

// Guards against a refusal for which a caller waits long while the only upstream is well: a
// connection to it had failed once, and the request didn't try it again.
func TestOnlyUpstreamIsTriedAgainAfterFailedConnection(t *testing.T) {
	t.Parallel()
	f, addr := newUnreachableFixture(t)
	ended := make(chan *reply)
	go func() { ended <- f.serveWithin(t.Context(), "/slow/x", 3*time.Second) }()
	time.Sleep(slowPatience / 4)
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "x")
		_, _ = io.WriteString(w, "ok") // the test sees a response that is missing
	})}
	served := make(chan error)
	go func() { served <- srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close(); <-served })
	if r := <-ended; r.status != http.StatusOK {
		t.Errorf("status %d, kind %s", r.status, r.kind)
	}
}

// Guards against a request that is sent to an upstream that is gone again and again, until its
// deadline.
func TestUnreachableUpstreamIsGivenUpInTime(t *testing.T) {
	t.Parallel()
	f, _ := newUnreachableFixture(t)
	begun := time.Now()
	r := f.serveWithin(t.Context(), "/slow/x", 3*time.Second)
	if d := time.Since(begun); r.kind != failure.NoUpstream || d > 2*slowPatience {
		t.Errorf("kind %s after %v, want %s within %v", r.kind, d, failure.NoUpstream, 2*slowPatience)
	}
	attempts := 0
	for _, e := range f.hook.AllEntries() {
		if e.Data["event"] == "attemptNotSent" {
			attempts++
		}
	}
	if most := int(slowPatience/(250*time.Millisecond)) + 1; attempts < 2 || attempts > most {
		t.Errorf("%d attempts, want 2 to %d", attempts, most)
	}
}
