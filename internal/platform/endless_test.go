package platform_test

import (
	"io"
	"net"
	"testing"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against a platform, or a proxy before it, that sends without end: the node kept
// megabytes of a head, or took the beginning of a value for the whole.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	for name, c := range map[string]struct {
		start, piece string
		most         int // bytes that may be taken, with the buffers of two sockets
	}{
		"status line":                 {"HTTP/1.1 200 ", "OK", 12 << 20},
		"one field":                   {head + "A: ", "x", 12 << 20},
		"many fields":                 {head, "A: x\r\n", 12 << 20},
		"interim responses":           {"", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n", 12 << 20},
		"chunk length":                {chunked, "1", 12 << 20},
		"chunk extension":             {chunked + "1;", "x", 12 << 20},
		"trailer":                     {chunked + "2\r\n{}\r\n0\r\n", "A: x\r\n", 12 << 20},
		"body":                        {head + "Connection: close\r\n\r\n{\"version\":3,\"value\":\"", "eA==", 16 << 20},
		"body after a whole document": {head + "Connection: close\r\n\r\n{\"version\":3}", " ", 16 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			taken := make(chan int, 2)
			up := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
				_, _ = io.WriteString(conn, c.start)
				taken <- testlib.Flood(conn, c.piece, testlib.FloodBytes)
				return false
			})
			client := platform.New("http://"+up.Addr, platform.NewHTTPClient(), tally.NoopScope)
			if e, err := client.Get(t.Context(), platform.LineConfig, "k"); !errors.Is(err, platform.Unavailable) {
				t.Errorf("entry %+v, %v", e, err)
			}
			if rev, err := client.CompareAndSwap(t.Context(), platform.LineConfig, "k", nil, 1, ""); !errors.Is(err, platform.Uncertain) {
				t.Errorf("version %d, %v", rev, err)
			}
			if n := max(<-taken, <-taken); n > c.most {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}
