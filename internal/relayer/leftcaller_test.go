package relayer_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Guards against GONE: a caller leaves while its request waits for an upstream, between two
// attempts, or right before the send, and the request's context doesn't tell yet.
func TestNothingIsSentOnceTheCallerIsDisconnected(t *testing.T) {
	refuse := func(conn net.Conn, _ testlib.Received) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 503 x\r\nId: id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	hangUp := func(net.Conn, testlib.Received) bool { return false }
	for _, c := range []struct {
		name  string
		first testlib.Script
		// leavesAt is how many sends have begun when the caller leaves.
		leavesAt, want int
	}{
		{"before its first attempt", ok, 0, 0},
		{"right before the send", ok, 1, 0},
		{"after a refusal", refuse, 2, 1},
		{"after a broken attempt", hangUp, 2, 1},
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				b := newFixture(t, c.first, c.first)
				var sends atomic.Int32
				b.dialect.onAppend = func() { sends.Add(1) }
				r := &reply{}
				b.relay.Serve(t.Context(), &relayer.Request{
					ID: "id", Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"), Timeout: 2 * time.Second, Arrived: time.Now(),
					Disconnected: func() bool { return int(sends.Load()) >= c.leavesAt },
				}, r)
				if got := b.sent(); got != c.want {
					t.Errorf("%d sends, want %d", got, c.want)
				}
				if sent := c.leavesAt <= int(sends.Load()); sent && r.kind != failure.CallerGone {
					t.Errorf("the request ended with %v", r.kind)
				}
			})
		}
	}
}
