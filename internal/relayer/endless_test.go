package relayer_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// endless is what a test's upstream pours out at most: far more than any bound
// and the buffers of two sockets.
const endless = 48 << 20

func wholeHead(conn net.Conn, r testlib.Received, framing string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: x\r\n%s\r\n\r\n", r.Header.Get("Id"), framing)
}

// pouring begins an answer whose body has no end.
func pouring(framing, piece string) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		wholeHead(conn, r, framing)
		testlib.Pour(conn, piece, endless)
		return false
	}
}

var chunk = fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))

// Guards against the first megabytes of an answer without end that are passed
// on as a whole answer.
func TestAnswerWithoutEndDoesNotLookComplete(t *testing.T) {
	for name, script := range map[string]testlib.Script{
		"chunks":    pouring("Transfer-Encoding: chunked", chunk),
		"no length": pouring("Connection: close", "x"),
		"length":    pouring("Content-Length: 999999999", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, script)
			r := b.serve(t.Context(), "/unsafe/")
			if r.kind != failure.OutcomeUnknown || r.status != 0 {
				t.Errorf("status %d with %d bytes, kind %s", r.status, r.body.Len(), r.kind)
			}
			if n := b.sent(); n != 1 {
				t.Errorf("an unsafe request was sent %d times", n)
			}
			for range 6 { // whichever is chosen first
				b = newBench(t, script, ok)
				if r := b.serve(t.Context(), "/safe/"); r.status != 200 || r.body.String() != "ok" {
					t.Errorf("status %d, kind %s, %d bytes", r.status, r.kind, r.body.Len())
				}
			}
		})
	}
}
