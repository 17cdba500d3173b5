package front_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against MIXED: a caller that had closed its sending side counts as gone, and got
// an empty 200, or a stream whose framing ends as that of a complete one.
func TestCallerTakenForGoneGetsNoSuccess(t *testing.T) {
	for name, c := range map[string]struct {
		path, body, proto string
	}{
		"service":                  {"/v1/services/orders/stock", "x", "HTTP/1.1"},
		"completion":               {"/v1/chat/completions", chatBody, "HTTP/1.1"},
		"stream":                   {"/v1/chat/completions", streamBody, "HTTP/1.1"},
		"stream, no framing":       {"/v1/chat/completions", streamBody, "HTTP/1.0"},
		"service, no framing":      {"/v1/services/orders/stock", "x", "HTTP/1.0"},
		"stream that has begun":    {"/v1/chat/completions", streamBody, "HTTP/1.1"},
		"begun stream, no framing": {"/v1/chat/completions", streamBody, "HTTP/1.0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, config.Limits{}, func(conn net.Conn, _ testlib.Received) bool {
				if strings.Contains(name, "begun") {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Incarnation: a\r\n\r\nid: 0\ndata: {\"choices\":[]}\n\n")
				}
				_, _ = conn.Read(make([]byte, 1)) // until the node gives up
				return false
			})
			head := strings.Replace(post(c.path, "Content-Length: "+strconv.Itoa(len(c.body))), "HTTP/1.1", c.proto, 1)
			resp, body := testlib.SendParts(t, f.addr, 150*time.Millisecond, head+c.body, testlib.CloseSending)
			// Without framing, only the end mark tells whether a stream is complete.
			if strings.Contains(name, "begun") && c.proto == "HTTP/1.0" && !strings.Contains(body, "[DONE]") {
				return
			}
			if resp != nil && resp.StatusCode < 400 {
				t.Errorf("status %d, complete with body %q", resp.StatusCode, body)
			}
		})
	}
}

// Guards against requests without an answer: a caller that closes its sending side after a whole
// request counts as gone, and got none.
func TestCallerThatClosedItsSendingSideIsAnswered(t *testing.T) {
	for _, c := range []struct{ path, body string }{
		{"/v1/services/orders/stock", "x"}, {"/v1/chat/completions", chatBody}, {"/v1/chat/completions", streamBody},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			f := newFixture(t, config.Limits{}, func(conn net.Conn, _ testlib.Received) bool {
				_, _ = conn.Read(make([]byte, 1)) // until the node gives up
				return false
			})
			head := strings.Replace(post(c.path, "Content-Length: "+strconv.Itoa(len(c.body))), "HTTP/1.1", proto, 1)
			resp, body := testlib.SendParts(t, f.addr, 50*time.Millisecond, head+c.body, testlib.CloseSending)
			if resp == nil || resp.StatusCode != 499 || !resp.Close || !strings.Contains(body, `"kind":"callerGone"`) {
				t.Errorf("%s %s: response %v, %q", proto, c.path, resp, body)
			}
		}
	}
}
