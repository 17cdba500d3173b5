package front_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against a healthy upstream that gets no requests since the node had no memory left
// for its responses.
func TestLackOfMemoryIsNoFailureOfUpstream(t *testing.T) {
	const tries = 4
	large := strings.Repeat("x", 1<<20)
	f := newFixture(t, config.Limits{MemoryMB: 1}, func(conn net.Conn, r testlib.Received) bool {
		body := "ok"
		if r.ContentLength == int64(len("large!")) {
			body = large
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	call := func(key, body string) int {
		resp, _ := testlib.SendParts(t, f.addr, 0, post("/v1/services/orders/commit", "X-Deadline-Seconds: 30", "Idempotency-Key: "+key, "Content-Length: "+strconv.Itoa(len(body)))+body)
		if resp == nil {
			t.Fatal("the connection was closed without an answer")
		}
		return resp.StatusCode
	}
	for i := range tries {
		if status := call(fmt.Sprint("k", i), "large!"); status != 502 {
			t.Errorf("status %d of a response without memory, want 502", status)
		}
	}
	if status := call("last", "small"); status != 200 {
		t.Errorf("status %d, want 200 from the upstream", status)
	}
}
