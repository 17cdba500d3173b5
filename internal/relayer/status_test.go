package relayer_test

import (
	"fmt"
	"net"
	"strconv"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against LOST: a response whose status is none reached the server, which panics on
// it and closes the caller's connection without an answer.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "199", "1000", "-01", "2 0"} {
		for _, path := range []string{"/safe/", "/unsafe/", "/once/"} {
			b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %s What\r\nId: %s\r\nMark: x\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"))
				return false
			})
			if r := b.serve(t.Context(), path); r.starts != 1 || r.status != 0 {
				t.Errorf("%s: %d responses, status %s", strconv.Quote(status), r.starts, strconv.Itoa(r.status))
			}
		}
	}
}
