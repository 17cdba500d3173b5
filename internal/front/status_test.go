package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against LOST: a response whose status is none closed the caller's connection
// without an answer.
func TestImpossibleStatusIsAnswered(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "199", "299", "600", "999", "1000", "-01", "2 0"} {
		for _, path := range []string{"/v1/services/orders/stock", "/v1/services/orders/commit", "/v1/chat/completions"} {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, config.Limits{}, func(conn net.Conn, _ testlib.Received) bool {
					fmt.Fprintf(conn, "HTTP/1.1 %s What\r\nContent-Length: 2\r\n\r\nok", status)
					return false
				})
				body := chatBody
				resp, got := testlib.SendParts(t, f.addr, 0, post(path, "X-Deadline-Seconds: 0.3", "Idempotency-Key: k", "Content-Length: "+strconv.Itoa(len(body)))+body)
				if resp == nil {
					t.Fatal("the connection was closed without an answer")
				}
				if n, _ := strconv.Atoi(status); n < http.StatusOK && resp.StatusCode < http.StatusInternalServerError {
					t.Errorf("status %d, %q", resp.StatusCode, got)
				}
			})
		}
	}
}
