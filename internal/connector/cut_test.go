package connector_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against MIXED: an upstream stopped within its response and closed the connection,
// and what had come was taken for the whole response. Each response is cut after each byte.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
	for name, c := range map[string]struct {
		head, body, want string
		// untilClose is set if the end of the connection ends the body.
		untilClose bool
	}{
		"length":                   {head: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n", body: "0123456789ab", want: "0123456789ab"},
		"length, bare line breaks": {head: "HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n\n", body: "ok", want: "ok"},
		"empty":                    {head: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"},
		"no content":               {head: "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n"},
		"chunks":                   {head: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", body: "b\r\n0123456789a\r\n1\r\nb\r\n0\r\n\r\n", want: "0123456789ab"},
		"extensions and trailer":   {head: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n", body: "2;e=f\r\nok\r\n0;g\r\nT: u\r\n\r\n", want: "ok"},
		"folded line":              {head: "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nId: a\r\nContent-Length: 2\r\n\r\n", body: "ok", want: "ok"},
		"interim response":         {head: interim + "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n", body: "ok", want: "ok"},
		"until close":              {head: "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", body: "ok", want: "ok", untilClose: true},
		"until close, announced":   {head: interim + "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n", body: "ok", want: "ok", untilClose: true},
		"HTTP/1.0":                 {head: "HTTP/1.0 200 OK\r\nId: a\r\n\r\n", body: "ok", want: "ok", untilClose: true},
	} {
		for ending, end := range map[string]func(net.Conn){
			"closed": func(net.Conn) {},
			"reset":  func(conn net.Conn) { time.Sleep(time.Millisecond); testlib.Reset(conn) },
		} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				whole := c.head + c.body
				var sent atomic.Int64
				u := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
					_, _ = io.WriteString(conn, whole[:sent.Load()])
					end(conn)
					return false
				})
				conns := connector.New(systemclock.New())
				for cut := range len(whole) + 1 {
					sent.Store(int64(cut))
					call := newCall(u, "a")
					call.New = true
					body, outcome, err := do(conns, call)
					inBody := cut >= len(c.head)
					switch {
					case err != nil && cut == len(whole) && ending == "closed":
						t.Errorf("whole response: %v", err)
					case err != nil && outcome == connector.NotSent:
						t.Errorf("cut after %q: not sent: %v", whole[:cut], err)
					case err != nil, body == c.want && cut == len(whole) && !c.untilClose:
					case c.untilClose && inBody && ending == "closed" && strings.HasPrefix(c.want, body):
					case !c.untilClose && body == c.want && len(c.want) == 0 && inBody:
					default:
						t.Errorf("cut after %q: complete, with body %q", whole[:cut], body)
					}
				}
			})
		}
	}
}

// Guards against MIXED: a response whose body ends with its connection looked complete
// although the connection was reset: the write of the request had met the reset, so that the
// read found an ordinary end.
func TestResetMetByWriteIsNoEndOfBody(t *testing.T) {
	for range 20 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var upstream sync.WaitGroup
		upstream.Go(func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			// A part of the body is read, which comes with more of it. The rest stays unread,
			// so that the upstream's end is a reset.
			_, _ = io.ReadFull(conn, make([]byte, 1<<10))
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond)
			_ = conn.Close()
		})
		body, outcome, err := do(connector.New(systemclock.New()), &connector.Call{
			Address: l.Addr().String(), Incarnation: "u@1", Method: "POST", Target: "/p", Host: "h",
			Body: make([]byte, 16<<20), FirstByteTimeout: 2 * time.Second,
			Matches: func(h connector.Header) bool { return h.Get("Id") == "a" },
		})
		if err == nil {
			t.Errorf("outcome %d, complete with body %q", outcome, body)
		}
		upstream.Wait()
		_ = l.Close()
	}
}
