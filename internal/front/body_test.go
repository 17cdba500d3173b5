package front_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

func post(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testlib.Key + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func answer(conn net.Conn, _ testlib.Received) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// Guards against callers that don't send: their requests, what is reserved for them, and a
// graceful shutdown lasted for as long as their connections.
func TestUnreadableBodyIsRefused(t *testing.T) {
	const (
		path     = "/v1/services/orders/stock"
		chunked  = "Transfer-Encoding: chunked"
		deadline = "X-Deadline-Seconds: 0.15"
	)
	for _, c := range []struct {
		name  string
		parts []string
		want  int
		kind  string
	}{
		{"ends early", []string{post(path, "Content-Length: 5"), "ab", testlib.CloseSending}, 400, "badRequest"},
		{"ends within a chunk", []string{post(path, chunked), "5\r\nab", testlib.CloseSending}, 400, "badRequest"},
		{"ends within the trailer", []string{post(path, chunked), "2\r\nab\r\n0\r\nA: b", testlib.CloseSending}, 400, "badRequest"},
		{"malformed length of a chunk", []string{post(path, chunked), "zz\r\nab\r\n"}, 400, "badRequest"},
		{"stalls", []string{post(path, "Content-Length: 5", deadline), "ab"}, 408, "requestTimeout"},
		{"stalls within a chunk", []string{post(path, chunked, deadline), "5\r\nab"}, 408, "requestTimeout"},
		{"stalls before the trailer ends", []string{post(path, chunked, deadline), "2\r\nab\r\n0\r\n"}, 408, "requestTimeout"},
		{"stalls after an invitation to send", []string{post(path, "Content-Length: 5", "Expect: 100-continue", deadline)}, 408, "requestTimeout"},
		{"is too long in chunks", []string{post(path, chunked), "1001\r\n" + strings.Repeat("a", 4097) + "\r\n"}, 413, "tooLarge"},
		{"is too long and stalls", []string{post(path, "Content-Length: 4097"), "ab"}, 413, "tooLarge"},
		{"stalls without a key", []string{"POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", "ab"}, 401, "unauthorized"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			f := newFixture(t, config.Limits{BodyBytes: 4096}, func(conn net.Conn, r testlib.Received) bool {
				runs.Add(1)
				return answer(conn, r)
			})
			resp, body := testlib.SendParts(t, f.addr, 10*time.Millisecond, c.parts...)
			switch {
			case resp == nil:
				t.Error("the connection was closed without an answer")
			case resp.StatusCode != c.want || !resp.Close || !strings.Contains(body, fmt.Sprintf(`"kind":%q`, c.kind)):
				t.Errorf("status %d, close %t, %s", resp.StatusCode, resp.Close, body)
			}
			f.stop()
			if n := runs.Load(); n != 0 {
				t.Errorf("%d runs of a request that wasn't read to its end", n)
			}
		})
	}
}
