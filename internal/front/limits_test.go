package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against requests without an answer: a connection that a caller had opened in advance
// was closed, beside the first request on it, after the time limit of a header, of which no
// byte had been sent.
func TestUnusedConnectionIsKept(t *testing.T) {
	f := newFixture(t, config.Limits{HeaderSeconds: 0.2}, answer)
	resp, body := testlib.SendParts(t, f.addr, 500*time.Millisecond, "", post("/v1/services/orders/stock", "Content-Length: 1")+"x")
	if resp == nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("response %v, %q", resp, body)
	}
}

// Guards against requests without an answer: one whose header arrived late or in part was
// closed without a response and without a trace in the log.
func TestLateHeaderIsAnswered(t *testing.T) {
	f := newFixture(t, config.Limits{HeaderSeconds: 0.2}, answer)
	const begun = "POST /v1/services/orders/stock HTTP/1.1\r\nHost: h\r\n"
	var line *logrus.Entry
	resp, body := testlib.SendPartsAfter(t, f.addr, func() {
		// In a process that was paused, the rest may otherwise be there before the time limit is noticed.
		await(t, "the log line of the late header", func() bool {
			for _, e := range f.lines.AllEntries() {
				if e.Data["event"] == "headerUnread" {
					line = e
				}
			}
			return line != nil
		})
		time.Sleep(300 * time.Millisecond)
	}, begun, "Content-Length: 0\r\n\r\n")
	if resp == nil || resp.StatusCode != http.StatusRequestTimeout || !resp.Close || !strings.Contains(body, `"kind":"requestTimeout"`) {
		t.Errorf("response %v, %q", resp, body)
	}
	if line.Data["bytes"] != len(begun) || fmt.Sprint(line.Data["error"]) != closer.ErrHeaderLate.Error() {
		t.Errorf("line of the late header: %v", line.Data)
	}
}

// Guards against requests without an answer: the refusal of a long body was lost since the
// connection was reset while its caller sent on.
func TestRefusalArrivesAfterLongBody(t *testing.T) {
	const pieces, pieceBytes = 64, 128 << 10
	length := fmt.Sprintf("Content-Length: %d", pieces*pieceBytes)
	for _, c := range []struct {
		name, head string
		limit      int64
		status     int
	}{
		{"length", post("/v1/services/orders/stock", length), 1 << 20, 413},
		{"chunks", post("/v1/services/orders/stock", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n", pieces*pieceBytes), 1 << 20, 413},
		{"unknown path", post("/v2/x", length), pieces * pieceBytes, 404},
		{"key that is gone", strings.Replace(post("/v1/services/orders/stock", length), testlib.Key, "gone", 1), pieces * pieceBytes, 401},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, config.Limits{BodyBytes: c.limit}, answer)
			testlib.SendBody(t, f.addr, c.head, pieces, pieceBytes, 100*time.Millisecond, c.status)
		})
	}
}

// Guards against requests without an answer: a body that was sent too slowly to be read before
// its refusal wasn't read after it either.
func TestRefusalArrivesAfterSlowBody(t *testing.T) {
	const pieces, pieceBytes = 30, 1 << 10
	for name, head := range map[string]string{
		"length": post("/v2/x", fmt.Sprintf("Content-Length: %d", pieces*pieceBytes)),
		"chunks": post("/v2/x", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n", pieces*pieceBytes),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, config.Limits{BodyBytes: 1 << 20}, answer)
			testlib.SendBody(t, f.addr, head, pieces, pieceBytes, 100*time.Millisecond, http.StatusNotFound)
		})
	}
}

// Guards against a refusal whose end comes only once the rest of the body has been read, for up
// to a minute.
func TestRefusalIsCompleteBeforeBodyEnds(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		f := newFixture(t, config.Limits{}, answer)
		head := strings.Replace(post("/v2/x", "Content-Length: 1000000"), "HTTP/1.1", proto, 1)
		begun := time.Now()
		resp, body := testlib.SendParts(t, f.addr, 0, head)
		if resp == nil || resp.StatusCode != http.StatusNotFound || !resp.Close || !strings.Contains(body, `"kind":"unknownRoute"`) {
			t.Errorf("%s: response %v, %q", proto, resp, body)
		}
		if d := time.Since(begun); d > 3*time.Second {
			t.Errorf("%s: the refusal took %v", proto, d)
		}
	}
}
