package front_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Incarnation: a\r\n"
	chunkedEnd = "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against an upstream that sends without end, in a head or a body, and a node that
// keeps it all, or that passes the beginning on as the whole.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	block := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct {
		path, start, piece string
	}{
		"status line":       {"/v1/services/orders/stock", "HTTP/1.1 200 ", "OK"},
		"no line":           {"/v1/services/orders/stock", "", "x"},
		"one field":         {"/v1/services/orders/stock", head + "A: ", "x"},
		"many fields":       {"/v1/services/orders/stock", head, "A: x\r\n"},
		"interim responses": {"/v1/services/orders/stock", "", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
		"chunk length":      {"/v1/services/orders/stock", head + chunkedEnd, "1"},
		"chunk extension":   {"/v1/services/orders/stock", head + chunkedEnd + "1;", "x"},
		"tiny chunks":       {"/v1/services/orders/stock", head + chunkedEnd, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer line":      {"/v1/services/orders/stock", head + chunkedEnd + "2\r\nok\r\n0\r\n", "x"},
		"trailer fields":    {"/v1/services/orders/stock", head + chunkedEnd + "2\r\nok\r\n0\r\n", "A: x\r\n"},
		"chunks":            {"/v1/services/orders/stock", head + chunkedEnd, fmt.Sprintf("%x\r\n%s\r\n", len(block), block)},
		"no length":         {"/v1/services/orders/stock", head + "Connection: close\r\n\r\n", block},
		"length":            {"/v1/services/orders/stock", head + "Content-Length: 99999999999\r\n\r\n", block},
		"completion":        {"/v1/chat/completions", head + "Connection: close\r\n\r\n", block},
		"line of a stream":  {"stream", streamHead + "\r\ndata: ", "x"},
		"event of a stream": {"stream", streamHead + "\r\n", "data: x\n"},
		"comment lines":     {"stream", streamHead + "\r\n", ": x\n"},
		"no event stream":   {"stream", head + "\r\n", block},
		"events":            {"stream", streamHead + "\r\n", "events"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var taken atomic.Int64
			f := newFixture(t, config.Limits{ChunkSeconds: 5, FirstByteSeconds: 5}, func(conn net.Conn, _ testlib.Received) bool {
				_, _ = io.WriteString(conn, c.start)
				if c.piece == "events" {
					for id := 0; taken.Load() < testlib.FloodBytes; id++ {
						n, err := fmt.Fprintf(conn, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", id, block)
						if taken.Add(int64(n)); err != nil {
							break
						}
					}
					return false
				}
				taken.Add(int64(testlib.Flood(conn, c.piece, testlib.FloodBytes)))
				return false
			})
			path, body := c.path, "x"
			switch path {
			case "stream":
				path, body = "/v1/chat/completions", streamBody
			case "/v1/chat/completions":
				body = chatBody
			}
			resp, got := testlib.SendParts(t, f.addr, 0, post(path, "X-Deadline-Seconds: 3", "Content-Length: "+strconv.Itoa(len(body)))+body)
			switch {
			case resp == nil:
				t.Error("no answer")
			case resp.StatusCode >= 500, resp.StatusCode == 200 && strings.Contains(got, "event: error"):
			default:
				t.Errorf("status %d with %d bytes", resp.StatusCode, len(got))
			}
			if n := taken.Load(); n >= testlib.FloodBytes {
				t.Errorf("all %d bytes were read", n)
			}
		})
	}
}

// Guards against a node that keeps the text of a stream without end, in case another engine
// has to go on.
func TestTextOfEndlessStreamsStaysWithinMemory(t *testing.T) {
	const (
		streams = 4
		most    = 32 << 20
	)
	text := strings.Repeat("x", 64<<10)
	var sent atomic.Int64
	hold := make(chan struct{})
	f := newFixture(t, config.Limits{ChunkSeconds: 30, FirstByteSeconds: 5}, func(conn net.Conn, _ testlib.Received) bool {
		_, _ = io.WriteString(conn, streamHead+"\r\n")
		for id := range 512 { // 32 MB
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", id, text); err != nil {
				break
			}
		}
		sent.Add(1)
		<-hold
		return false
	})
	t.Cleanup(func() { close(hold) })
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range streams {
		conn, err := net.Dial("tcp4", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_, _ = io.WriteString(conn, post("/v1/chat/completions", "Content-Length: "+strconv.Itoa(len(streamBody)))+streamBody)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for end := time.Now().Add(30 * time.Second); sent.Load() < streams; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the node doesn't read")
		}
	}
	time.Sleep(100 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int(after.HeapAlloc) - int(before.HeapAlloc); held > most {
		t.Errorf("%d streams hold %d bytes", streams, held)
	}
}
