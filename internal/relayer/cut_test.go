package relayer_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against MIXED and ORDER: an upstream stopped within the head or the body of its
// response and closed, and its caller got a response that looks complete.
func TestResponseCutAtAnyByteIsNeverComplete(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: id\r\nMark: x\r\n"
		stream  = "Content-Type: text/event-stream\r\n"
		events  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	for name, c := range map[string]struct {
		path, response, body string
		untilClose           bool
	}{
		"length":                {path: "/unsafe/", response: head + "Content-Length: 2\r\n\r\nok", body: "ok"},
		"chunks":                {path: "/unsafe/", response: head + chunked + "1\r\no\r\n1;e\r\nk\r\n0\r\nT: u\r\n\r\n", body: "ok"},
		"until close":           {path: "/unsafe/", response: head + "\r\nok", body: "ok", untilClose: true},
		"stream, length":        {path: "/once/", response: head + stream + "Content-Length: 30\r\n\r\n" + events, body: events},
		"stream, chunks":        {path: "/once/", response: head + stream + chunked + "12\r\n" + events[:18] + "\r\nc\r\n" + events[18:] + "\r\n0\r\n\r\n", body: events},
		"stream, until close":   {path: "/once/", response: head + stream + "\r\n" + events, body: events, untilClose: true},
		"stream, interim first": {path: "/once/", response: "HTTP/1.1 100 Continue\r\n\r\n" + head + stream + chunked + "1e\r\n" + events + "\r\n0\r\n\r\n", body: events},
	} {
		for ending, end := range map[string]func(net.Conn){
			"closed": func(net.Conn) {},
			"reset":  func(conn net.Conn) { time.Sleep(time.Millisecond); testlib.Reset(conn) },
		} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				bodyStart := strings.LastIndex(c.response, "\r\n\r\n") + 4
				for cut := range len(c.response) + 1 {
					b := newFixture(t, func(conn net.Conn, _ testlib.Received) bool {
						_, _ = io.WriteString(conn, c.response[:cut])
						end(conn)
						return false
					})
					r := b.serve(t.Context(), c.path)
					complete := r.status != 0 && !r.aborted
					got := r.body.String()
					switch {
					case cut == len(c.response) && ending == "closed":
						if !complete || got != c.body {
							t.Errorf("whole response: kind %s, aborted %t, body %q", r.kind, r.aborted, got)
						}
					case !complete, got == c.body && !c.untilClose && ending == "reset" && cut == len(c.response):
					case c.untilClose && cut >= bodyStart && ending == "closed" && (c.path == "/unsafe/" || strings.HasSuffix(got, "\n\n")):
						// the end of the connection is the end of the body
					default:
						t.Errorf("cut after %q: complete, with body %q", c.response[:cut], got)
					}
					if n := b.sent(); n != 1 {
						t.Errorf("cut after %q: sent %d times", c.response[:cut], n)
					}
				}
			})
		}
	}
}
