package front

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against streams that are cut: a caller that reads steadily was cut off within a long
// event, which takes longer on its link than a caller may stop reading.
func TestSlowReaderGetsLongEvent(t *testing.T) {
	const (
		eventBytes   = 1 << 20
		writeSeconds = 0.5
	)
	f := &Front{clk: systemclock.New(), limits: config.Limits{WriteSeconds: writeSeconds}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run := &runner{f: f, w: w, controller: http.NewResponseController(w), buf: []byte(strings.Repeat("a", eventBytes))}
		run.flush()
	}))
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		}
	}
	server.Start()
	defer server.Close()
	if n := testlib.ReadSlowly(t, server.Listener.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", eventBytes, 3*config.Seconds(writeSeconds)); n < eventBytes {
		t.Errorf("%d bytes arrived", n)
	}
}
