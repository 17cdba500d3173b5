package front_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// mutate changes s at random: bytes are replaced, left out or repeated.
func mutate(rnd *rand.Rand, s string) string {
	b := []byte(s)
	const alphabet = "\x00\r\n :;,01269azTC\xff-+\t{\"}"
	for range 1 + rnd.IntN(3) {
		i := rnd.IntN(len(b))
		j := min(len(b), i+1+rnd.IntN(12))
		switch rnd.IntN(4) {
		case 0:
			b[i] = alphabet[rnd.IntN(len(alphabet))]
		case 1:
			b = append(b[:i:i], b[j:]...)
		case 2:
			b = append(b[:j:j], b[i:]...)
		case 3:
			b = append(b[:i:i], append([]byte{alphabet[rnd.IntN(len(alphabet))]}, b[i:]...)...)
		}
		if len(b) == 0 {
			return ""
		}
	}
	return string(b)
}

// Guards against LOST: what an upstream sends closes the caller's connection without an
// answer. Whole responses are changed at random.
func TestSpoiltResponsesAreAnswered(t *testing.T) {
	const rounds = 25 // each takes a node
	events := "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\nid: 1\ndata: {\"a\":2,\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\ndata: [DONE]\n\n"
	for name, c := range map[string]struct{ path, body, response string }{
		"service":      {"/v1/services/orders/stock", "x", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nok"},
		"once":         {"/v1/services/orders/commit", "x", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"completion":   {"/v1/chat/completions", chatBody, "HTTP/1.1 200 OK\r\nX-Incarnation: a\r\nContent-Length: 58\r\n\r\n{\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":100000}}}"},
		"stream":       {"/v1/chat/completions", streamBody, streamHead + chunkedEnd + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)},
		"until close":  {"/v1/chat/completions", streamBody, streamHead + "\r\n" + events},
		"not run":      {"/v1/chat/completions", streamBody, "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"},
		"error answer": {"/v1/chat/completions", chatBody, "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(3, 2))
			for range rounds {
				spoilt := mutate(rnd, c.response)
				f := newFixture(t, config.Limits{ChunkSeconds: 0.3, FirstByteSeconds: 0.3}, func(conn net.Conn, _ testlib.Received) bool {
					_, _ = io.WriteString(conn, spoilt)
					return false
				})
				resp, _ := testlib.SendParts(t, f.addr, 0, post(c.path, "X-Deadline-Seconds: 0.3", "Idempotency-Key: k", "Connection: close", "Content-Length: "+strconv.Itoa(len(c.body)))+c.body)
				if resp == nil {
					t.Errorf("upstream sent %q: the connection was closed without an answer", spoilt)
				}
				f.stop()
				for _, e := range f.lines.AllEntries() {
					if e.Data["event"] == "handlerPanic" {
						t.Errorf("upstream sent %q: %v", spoilt, e.Data)
					}
				}
			}
		})
	}
}
