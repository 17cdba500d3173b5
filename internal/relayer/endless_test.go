package relayer_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

func writeHead(conn net.Conn, r testlib.Received, framing string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: x\r\n%s\r\n\r\n", r.Header.Get("Id"), framing)
}

// endlessBody starts a response whose body never ends.
func endlessBody(framing, piece string) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		writeHead(conn, r, framing)
		testlib.Flood(conn, piece, testlib.FloodBytes)
		return false
	}
}

var chunk = fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))

// Guards against forwarding the first megabytes of an endless response as if they
// were the complete response.
func TestEndlessResponseIsNotForwardedAsComplete(t *testing.T) {
	for name, script := range map[string]testlib.Script{
		"chunks":    endlessBody("Transfer-Encoding: chunked", chunk),
		"no length": endlessBody("Connection: close", "x"),
		"length":    endlessBody("Content-Length: 999999999", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, script)
			r := b.serve(t.Context(), "/unsafe/")
			if r.kind != failure.OutcomeUnknown || r.status != 0 {
				t.Errorf("status %d with %d bytes, kind %s", r.status, r.body.Len(), r.kind)
			}
			if n := b.sent(); n != 1 {
				t.Errorf("an unsafe request was sent %d times", n)
			}
			for range 6 { // the upstream chosen first is random
				b = newFixture(t, script, ok)
				if r := b.serve(t.Context(), "/safe/"); r.status != 200 || r.body.String() != "ok" {
					t.Errorf("status %d, kind %s, %d bytes", r.status, r.kind, r.body.Len())
				}
			}
		})
	}
}

// Guards against a stream whose line, event or comment never ends and is kept, and against
// framing without end, in the node's own memory.
func TestEndlessEventIsGivenUp(t *testing.T) {
	const chunked = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
	for name, c := range map[string]struct{ framing, start, piece string }{
		"line":              {"Content-Type: text/event-stream", "data: ", "x"},
		"event":             {"Content-Type: text/event-stream", "", "data: x\n"},
		"comment":           {"Content-Type: text/event-stream", "", ": x\n"},
		"bare returns":      {"Content-Type: text/event-stream", "", "data: x\r\r"},
		"event in chunks":   {chunked, "", "8\r\ndata: x\n\r\n"},
		"length of a chunk": {chunked, "", "1"},
		"extension":         {chunked, "1;", "x"},
		"trailer":           {chunked, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n", "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var taken atomic.Int64
			b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
				writeHead(conn, r, c.framing)
				fmt.Fprint(conn, c.start)
				taken.Store(int64(testlib.Flood(conn, c.piece, testlib.FloodBytes)))
				return false
			})
			b.setUnlimited()
			r := b.serveWithin(t.Context(), "/once/", unlimited)
			if r.status != 0 && !r.aborted || r.status == 0 && r.kind != failure.OutcomeUnknown {
				t.Errorf("status %d, kind %s, aborted %t after %d bytes", r.status, r.kind, r.aborted, r.body.Len())
			}
			if n := taken.Load(); n >= testlib.FloodBytes {
				t.Errorf("all %d bytes were read", n)
			}
		})
	}
}

// measureHeap serves n requests at once, each of which receives up to most bytes of
// an endless response. It returns how many bytes the node holds once all of them
// have arrived or their attempts have ended.
func measureHeap(t *testing.T, path, head, piece string, n, most int) int {
	t.Helper()
	hold := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(n)
	var sent sync.Map // IDs of the requests that have reached an upstream
	script := func(conn net.Conn, r testlib.Received) bool {
		_, again := sent.LoadOrStore(r.Header.Get("Id"), true)
		writeHead(conn, r, head)
		for sent := 0; sent < most; sent += len(piece) {
			if _, err := conn.Write([]byte(piece)); err != nil {
				break
			}
		}
		if !again {
			arrived.Done()
		}
		<-hold
		return false
	}
	b := newFixture(t, script, script, script)
	c := catalog(2, "key")
	for i := range c.Routes { // no request may end before it has been sent, however busy the machine is
		c.Routes[i].Timeout, c.Routes[i].LatencyObjective = unlimited, unlimited
	}
	b.fleet.set(c, b.boot.Elapsed())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var ended sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for i := range n {
		ended.Go(func() {
			req := &relayer.Request{
				ID: fmt.Sprint(i), Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"), Timeout: unlimited, Arrived: time.Now(),
			}
			// Beside other processes, connections fail, and then upstreams that have broken off
			// others get no new requests for a while.
			for reached := false; !reached && ctx.Err() == nil; _, reached = sent.Load(req.ID) {
				b.relay.Serve(ctx, req, &reply{})
			}
		})
	}
	arrived.Wait()
	held := math.MaxInt
	for range 5 { // some bytes are still in the sockets, and some memory isn't swept yet
		time.Sleep(30 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held = min(held, int(after.HeapAlloc)-int(before.HeapAlloc))
	}
	cancel()
	ended.Wait()
	close(hold)
	return held
}

// Guards against a node of 112 MB that is killed for its memory use because several
// endless responses arrive at once, each of them within its own limit.
func TestConcurrentEndlessResponsesStayWithinMemory(t *testing.T) {
	const most = 40 << 20 // what responses may buffer together, and as much again for the rest
	if held := measureHeap(t, "/unsafe/", "Transfer-Encoding: chunked", chunk, 16, 8<<20); held > most {
		t.Errorf("16 responses hold %d bytes", held)
	}
	event := fmt.Sprintf("%x\r\ndata: %s\r\n", len("data: ")+16<<10, strings.Repeat("x", 16<<10))
	if held := measureHeap(t, "/once/", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked", event, 24*3, 900<<10); held > most {
		t.Errorf("72 streams hold %d bytes", held)
	}
}

// Guards against limits that truncate valid responses, and against buffer
// reservations that aren't released.
func TestLargeResponsesAreForwardedInFull(t *testing.T) {
	long := strings.Repeat("x", 5<<20)
	events := strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 600<<10)+"\n\n", 4)
	b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
		if r.URL.Path == "/once/" {
			writeHead(conn, r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked")
			fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(events), events)
			return true
		}
		writeHead(conn, r, fmt.Sprintf("Content-Length: %d", len(long)))
		fmt.Fprint(conn, long)
		return true
	})
	for range 6 {
		if r := b.serve(t.Context(), "/unsafe/"); r.status != 200 || r.body.String() != long {
			t.Errorf("status %d, kind %s, %d bytes", r.status, r.kind, r.body.Len())
		}
		if r := b.serve(t.Context(), "/once/"); r.body.String() != events || r.aborted {
			t.Errorf("aborted %t after %d bytes", r.aborted, r.body.Len())
		}
	}
}

// Guards against a request that isn't sent to the next upstream before its deadline
// because the node reads the endless or silent body of a refusal.
func TestEndlessRefusalBodyDoesNotBlockNextSend(t *testing.T) {
	for name, rest := range map[string]func(net.Conn){
		"without end": func(conn net.Conn) { testlib.Flood(conn, chunk, testlib.FloodBytes) },
		"silent":      func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) },
		"trickling": func(conn net.Conn) {
			for {
				if _, err := fmt.Fprint(conn, "1\r\nx\r\n"); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 6 { // the upstream chosen first is random
				b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
					fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
					rest(conn)
					return false
				}, ok)
				if r := b.serve(t.Context(), "/unsafe/"); r.status != 200 || r.body.String() != "ok" {
					t.Fatalf("status %d, kind %s", r.status, r.kind)
				}
			}
		})
	}
}

// Guards against a stream that counts as active because bytes arrive, although no
// event is ever completed: it must resume at another engine within the allowed
// pause, not end at the caller's deadline.
func TestStreamWithoutCompleteEventsIsResumedElsewhere(t *testing.T) {
	var calls atomic.Int32
	script := func(conn net.Conn, r testlib.Received) bool {
		if calls.Add(1) > 1 {
			return streaming(0)(conn, r)
		}
		streamHead(conn, r)
		event(conn, 1)
		for {
			if _, err := fmt.Fprint(conn, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	b := newFixture(t, script, script)
	r := &reply{}
	b.relay.Serve(t.Context(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/stream/", Path: "/stream/", Host: "h", Key: "key", Body: []byte("body"),
		Timeout: 2500 * time.Millisecond, Arrived: time.Now(),
	}, r)
	if r.body.String() != wholeStream || r.aborted {
		t.Errorf("aborted %t after %q", r.aborted, r.body.String())
	}
}
