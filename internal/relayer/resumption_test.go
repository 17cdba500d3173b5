package relayer_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// chunked returns a body as chunks.
func chunked(body string) string {
	if body == "" {
		return "0\r\n\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// Guards against the response of the next engine in the middle of a stream that had
// begun: an error, its header, events that the caller has already or that belong to
// another run, or an end that looks complete.
func TestResponseOfNextEngineDoesNotCorruptStream(t *testing.T) {
	const (
		events = "Content-Type: text/event-stream\r\n"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
		rest   = "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"
	)
	for name, c := range map[string]struct {
		status, header, body string
		whole                bool // the stream may end as complete
	}{
		"the rest":                         {"200 OK", events + chunks, chunked(rest), true},
		"the rest without length":          {"200 OK", events + "\r\n", rest, true},
		"the rest after a comment":         {"200 OK", events + chunks, chunked(": on\n\n" + rest), true},
		"nothing is left":                  {"200 OK", events + chunks, chunked(""), true},
		"nothing, without length":          {"200 OK", events + "\r\n", "", false},
		"comments, without length":         {"200 OK", events + "\r\n", ": on\n\n", false},
		"ends within an event":             {"200 OK", events + "\r\n", "id: 4\ndata: e4\n\nid: 5\nda", false},
		"ends within the first event":      {"200 OK", events + "\r\n", "id: 4\nda", false},
		"chunks end within an event":       {"200 OK", events + chunks, chunked("id: 4\ndata: e4\n\nid: 5\nda"), false},
		"no last chunk":                    {"200 OK", events + chunks, "5\r\nid: 4\r\n", false},
		"server error":                     {"500 Oops", "Content-Length: 3\r\n\r\n", "bad", false},
		"server error as events":           {"500 Oops", events + chunks, chunked("event: error\ndata: bad\n\n"), false},
		"server error with the rest":       {"500 Oops", events + chunks, chunked(rest), false},
		"server error without length":      {"500 Oops", "\r\n", "bad", false},
		"bad request":                      {"400 Bad", "Content-Length: 3\r\n\r\n", "bad", false},
		"refusal":                          {"503 Full", "Not-Run: 1\r\nContent-Length: 3\r\n\r\n", "bad", false},
		"refusal as events":                {"503 Full", "Not-Run: 1\r\n" + events + chunks, chunked(rest), false},
		"other upstream":                   {"421 Other", "By: u9\r\nContent-Length: 0\r\n\r\n", "", false},
		"other content type":               {"200 OK", "Content-Type: application/json\r\nContent-Length: 3\r\n\r\n", "bad", false},
		"no content type":                  {"200 OK", chunks, chunked(rest), false},
		"no content":                       {"204 None", "\r\n", "", false},
		"other success":                    {"206 Part", events + chunks, chunked(rest), false},
		"redirect":                         {"302 There", "Location: /\r\nContent-Length: 0\r\n\r\n", "", false},
		"from the start":                   {"200 OK", events + chunks, chunked(wholeStream), false},
		"one event again":                  {"200 OK", events + chunks, chunked("id: 3\ndata: e3\n\n" + rest), false},
		"one event again, without length":  {"200 OK", events + "\r\n", "id: 3\ndata: e3\n\n" + rest, false},
		"the rest of an event":             {"200 OK", events + chunks, chunked("data: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"), false},
		"the rest of a line":               {"200 OK", events + chunks, chunked("e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"), false},
		"error event":                      {"200 OK", events + chunks, chunked("event: error\ndata: bad\n\n"), false},
		"a header within the body":         {"200 OK", events + chunks, chunked("HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\nbad\n\n"), false},
		"bytes that are no response":       {"", "", "bad\r\n\r\n", false},
		"a response of another request":    {"200 OK", "Id: other\r\n" + events + chunks, chunked(rest), false},
		"a response without stamp":         {"200 OK", "Unstamped: 1\r\n" + events + chunks, chunked(rest), false},
		"an error without stamp":           {"500 Oops", "Unstamped: 1\r\nContent-Length: 3\r\n\r\n", "bad", false},
		"more bytes after the last chunk":  {"200 OK", events + chunks, chunked(rest) + "HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\nbad", true},
		"longer than its length":           {"200 OK", events + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rest)), rest + "id: 7\ndata: e7\n\n", true},
		"shorter than its length":          {"200 OK", events + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rest)+1), rest, false},
		"nothing within its length":        {"200 OK", events + "Content-Length: 9\r\n\r\n", "", false},
		"connection closed":                {},
		"late copy of the first response":  {"200 OK", events + chunks, chunked("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"), false},
		"events of another run, no number": {"200 OK", events + chunks, chunked("id: x\ndata: ex\n\n"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(conn net.Conn, r testlib.Received) bool {
				if r.Header.Get("After") == "" {
					return streaming(3)(conn, r)
				}
				if c.status != "" {
					head := "HTTP/1.1 " + c.status + "\r\n"
					if !strings.Contains(c.header, "Id: other") {
						head += "Id: " + r.Header.Get("Id") + "\r\n"
					}
					if !strings.Contains(c.header, "Unstamped") {
						head += "Mark: x\r\n"
					}
					_, _ = io.WriteString(conn, head+c.header)
				}
				_, _ = io.WriteString(conn, c.body)
				return false
			}
			b := newFixture(t, script, script)
			r := serveStream(t, b, "/stream/", 2*time.Second)
			got := r.body.String()
			if r.starts != 1 || r.status != 200 || !strings.HasPrefix(wholeStream, strings.ReplaceAll(got, ": on\n\n", "")) {
				t.Errorf("the caller received %d responses, status %d, %q", r.starts, r.status, got)
			}
			if !r.aborted != c.whole {
				t.Errorf("aborted %t after %q", r.aborted, got)
			}
		})
	}
}

// Guards against a stream that is resumed after an event without an ID: the next engine
// would begin anew, or after an earlier event.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	for name, begin := range map[string]string{
		"no IDs":              "data: e1\n\ndata: e2\n\n",
		"none on the last":    "id: 1\ndata: e1\n\ndata: e2\n\n",
		"none in the middle":  "id: 1\ndata: e1\n\ndata: e2\n\nid: 3\ndata: e3\n\n",
		"an empty one":        "id: 1\ndata: e1\n\nid:\ndata: e2\n\n",
		"one within the data": "id: 1\ndata: e1\n\ndata: id: 2\ndata: \n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			attempts := make(chan string, 9)
			script := func(conn net.Conn, r testlib.Received) bool {
				attempts <- r.Header.Get("After")
				streamHead(conn, r)
				if len(attempts) > 1 {
					_, _ = io.WriteString(conn, chunked("id: 9\ndata: e9\n\n"))
					return false
				}
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(begin), begin)
				time.Sleep(10 * time.Millisecond)
				testlib.Reset(conn)
				return false
			}
			b := newFixture(t, script, script)
			r := serveStream(t, b, "/stream/", 2*time.Second)
			want, resumed := begin, strings.HasSuffix(begin, "id: 3\ndata: e3\n\n")
			if resumed { // the last event has an ID
				want += "id: 9\ndata: e9\n\n"
			}
			if r.aborted == resumed || r.body.String() != want {
				t.Errorf("aborted %t after %q", r.aborted, r.body.String())
			}
		})
	}
}

// Guards against a stream that broke off before its first event and looks complete, since
// it has neither a length nor chunks.
func TestStreamWithoutEventsOrFramingIsIncomplete(t *testing.T) {
	for path, complete := range map[string]bool{"/stream/": true, "/once/": false} {
		attempts := make(chan bool, 9)
		script := func(conn net.Conn, r testlib.Received) bool {
			attempts <- true
			if len(attempts) > 1 {
				return streaming(0)(conn, r)
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: x\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
			return false
		}
		b := newFixture(t, script, script)
		r := serveStream(t, b, path, 2*time.Second)
		if got := r.body.String(); complete && (got != wholeStream || r.status != 200) || !complete && (got != "" || r.status != 0 || r.kind != failure.OutcomeUnknown) {
			t.Errorf("%s: status %d, kind %s, aborted %t, %q", path, r.status, r.kind, r.aborted, got)
		}
	}
}
