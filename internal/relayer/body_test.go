package relayer_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against bodies that keep their memory though they can't be sent again, and against
// the drop of one that is still needed.
func TestBodyIsDroppedOnceItCannotBeSentAgain(t *testing.T) {
	for path, want := range map[string]bool{"/unsafe/": true, "/safe/": false} {
		wait := 200 * time.Millisecond // to see that nothing happens
		if want {
			wait = time.Second
		}
		dropped := make(chan struct{})
		early := false
		b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
			writeHead(conn, r, "Content-Length: 2")
			select {
			case <-dropped:
				early = true
			case <-time.After(wait):
			}
			fmt.Fprint(conn, "ok")
			return true
		})
		r := &reply{}
		req := &relayer.Request{
			ID: "id", Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"),
			Timeout: unlimited, Arrived: time.Now(), ReleaseBody: func() { close(dropped) },
		}
		b.relay.Serve(t.Context(), req, r)
		if r.status != 200 || early != want || (req.Body == nil) != want {
			t.Errorf("%s: status %d, dropped while the response arrived: %t, want %t", path, r.status, early, want)
		}
	}
}
