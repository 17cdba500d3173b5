package front

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against LOST: a panic while a request was handled closed the caller's
// connection without an answer.
func TestPanicIsAnswered(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	metrics := meter.New()
	defer metrics.Close()
	f := &Front{log: log, meter: metrics}
	server := httptest.NewServer(f.recoverer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		panic("broken handler")
	})))
	defer server.Close()
	resp, err := http.Get(server.URL + "/")
	if err != nil {
		t.Fatalf("connection ended without a response: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusInternalServerError || err != nil || !strings.Contains(string(body), "internal") {
		t.Errorf("response %d %q, %v", resp.StatusCode, body, err)
	}
	if e := lines.AllEntries(); len(e) == 0 || e[0].Data["event"] != "handlerPanic" || e[0].Data["stack"] == nil {
		t.Errorf("log lines of the panic: %v", e)
	}
	begun, err := http.Get(server.URL + "/begun")
	if err != nil {
		t.Fatal(err)
	}
	defer begun.Body.Close()
	if body, err := io.ReadAll(begun.Body); err == nil {
		t.Errorf("a response that a panic cut looks complete: %q", body)
	}
}

// Guards against MIXED: a handler that returned without a response gave its caller an empty
// 200.
func TestMissingResponseIsNoSuccess(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	metrics := meter.New()
	defer metrics.Close()
	f := &Front{log: log, meter: metrics}
	server := httptest.NewServer(f.recoverer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	resp, err := http.Get(server.URL + "/")
	if err != nil {
		t.Fatalf("connection ended without a response: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("status %d", resp.StatusCode)
	}
	if e := lines.AllEntries(); len(e) == 0 || e[0].Data["event"] != "handlerPanic" {
		t.Errorf("log lines: %v", e)
	}
}

// Guards against requests without an answer: that to a request whose handler panicked was lost
// since the connection was reset while its caller sent the body.
func TestPanicBesideLongBodyIsAnswered(t *testing.T) {
	const pieces, pieceBytes = 64, 128 << 10
	log, _ := logtest.NewNullLogger()
	metrics := meter.New()
	defer metrics.Close()
	f := &Front{clk: systemclock.New(), log: log, meter: metrics}
	server := httptest.NewServer(f.recoverer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken handler") })))
	defer server.Close()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*pieceBytes)
	testlib.SendBody(t, server.Listener.Addr().String(), head, pieces, pieceBytes, 20*time.Millisecond, http.StatusInternalServerError)
}
