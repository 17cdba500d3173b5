package front_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against MIXED and ORDER: an engine that stopped within the head or the body of its
// response, and a caller that got a response that looks complete. An answer of a service
// without length or chunks is the exception: its end is the end of the connection.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const (
		events     = "id: 0\ndata: {\"a\":1}\n\nid: 1\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"
		completion = `{"choices":[{"text":"a"}]}`
		ok         = "HTTP/1.1 200 OK\r\nX-Incarnation: a\r\n"
	)
	chunked := func(s string) string {
		return fmt.Sprintf("%sa\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", chunkedEnd, s[:10], len(s)-10, s[10:])
	}
	for name, c := range map[string]struct {
		path, body, response, want string
		step                       int // cuts are this many bytes apart, as each takes a node
	}{
		"stream, chunks":          {"/v1/chat/completions", streamBody, streamHead + chunked(events), "[DONE]", 3},
		"stream, until close":     {"/v1/chat/completions", streamBody, streamHead + "\r\n" + events, "[DONE]", 3},
		"completion, chunks":      {"/v1/chat/completions", chatBody, ok + chunked(completion), completion, 3},
		"completion, until close": {"/v1/chat/completions", chatBody, ok + "\r\n" + completion, completion, 1},
		"service, length":         {"/v1/services/orders/stock", "x", ok + "Content-Length: 2\r\n\r\nok", "ok", 3},
	} {
		for ending, end := range map[string]func(net.Conn){
			"closed": func(net.Conn) {},
			"reset":  func(conn net.Conn) { time.Sleep(time.Millisecond); testlib.Reset(conn) },
		} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				for cut := len(c.response); cut >= 0; cut -= c.step {
					f := newFixture(t, config.Limits{ChunkSeconds: 1, FirstByteSeconds: 1}, func(conn net.Conn, _ testlib.Received) bool {
						_, _ = io.WriteString(conn, c.response[:cut])
						end(conn)
						return false
					})
					deadline := "0.3" // ends the attempts after a cut
					if cut == len(c.response) {
						deadline = "30"
					}
					resp, got := testlib.SendParts(t, f.addr, 0, post(c.path, "X-Deadline-Seconds: "+deadline, "Content-Length: "+strconv.Itoa(len(c.body)))+c.body)
					f.stop()
					complete := resp != nil && resp.StatusCode == 200 && strings.Contains(got, c.want) &&
						(c.want != "[DONE]" || strings.Contains(got, `{"a":1}`) && strings.Contains(got, `{"a":2}`))
					failed := resp != nil && (resp.StatusCode >= 500 || resp.StatusCode == 410 || strings.Contains(got, "event: error"))
					switch {
					case cut == len(c.response) && ending == "closed" && complete, failed && cut < len(c.response):
					case cut == len(c.response) && ending == "reset" && (complete || failed):
					// All events and the end mark have come, or all of the document.
					case complete && strings.Contains(c.response[:cut], "[DONE]\n\n"), complete && strings.Contains(c.response[:cut], completion):
					default:
						t.Errorf("cut after %q: response %v, body %q", c.response[:cut], resp, got)
					}
				}
			})
		}
	}
}
