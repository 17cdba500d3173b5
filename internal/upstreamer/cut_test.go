package upstreamer_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
)

// Guards against an upstream that stopped within its response and closed the connection,
// and whose response was taken for a whole one. Each response is cut after each byte.
func TestCutResponseIsNeverComplete(t *testing.T) {
	for name, c := range map[string]struct {
		head, body, want string
		untilClose       bool // the end of the connection ends the body
	}{
		"length":           {head: "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\n", body: "0123456789ab", want: "0123456789ab"},
		"chunks":           {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "b\r\n0123456789a\r\n1;e=f\r\nb\r\n0\r\nT: u\r\n\r\n", want: "0123456789ab"},
		"interim response": {head: "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", body: "ok", want: "ok"},
		"until close":      {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body: "ok", want: "ok", untilClose: true},
	} {
		for ending, end := range map[string]func(net.Conn){
			"closed": func(net.Conn) {},
			"reset":  func(conn net.Conn) { time.Sleep(time.Millisecond); testlib.Reset(conn) },
		} {
			for _, fresh := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, new connection %t", name, ending, fresh), func(t *testing.T) {
					t.Parallel()
					whole := c.head + c.body
					var sent atomic.Int64
					up := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
						_, _ = io.WriteString(conn, whole[:sent.Load()])
						end(conn)
						return false
					})
					u := upstreamer.New(systemclock.New())
					for cut := range len(whole) + 1 {
						sent.Store(int64(cut))
						a, outcome, err := u.Open(t.Context(), spec("http://"+up.Addr, fresh))
						if err != nil {
							if outcome != upstreamer.Broken {
								t.Errorf("cut after %q: outcome %d, %v", whole[:cut], outcome, err)
							}
							continue
						}
						body, err := io.ReadAll(a)
						a.Close()
						switch {
						case err != nil, string(body) == c.want && cut == len(whole) && !c.untilClose:
						case c.untilClose && cut >= len(c.head) && ending == "closed" && strings.HasPrefix(c.want, string(body)):
						default:
							t.Errorf("cut after %q: complete, with body %q", whole[:cut], body)
						}
					}
				})
			}
		}
	}
}

// Guards against a response whose body ends with its connection and looks complete
// although the connection was reset: the write of the request had met the reset, so that the
// read found an ordinary end.
func TestResetMetByWriteIsNoEndOfBody(t *testing.T) {
	for _, fresh := range []bool{false, true} {
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
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
				time.Sleep(5 * time.Millisecond)
				_ = conn.Close()
			})
			s := spec("http://"+l.Addr().String(), fresh)
			s.Body = make([]byte, 16<<20)
			a, outcome, err := upstreamer.New(systemclock.New()).Open(t.Context(), s)
			if err == nil {
				body, err := io.ReadAll(a)
				a.Close()
				if err == nil {
					t.Errorf("outcome %d, complete with body %q", outcome, body)
				}
			}
			upstream.Wait()
			_ = l.Close()
		}
	}
}
