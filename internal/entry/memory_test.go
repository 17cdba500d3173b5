package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

// bodyEngine is an upstream that keeps no body. It responds to requests for /r/long
// once release is closed, and to those for /r/endless without end.
type bodyEngine struct {
	release chan struct{}
	mu      sync.Mutex
	ran     map[string]bool // by request ID
}

func (e *bodyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(translate.HeaderRequestID)
	e.mu.Lock()
	e.ran[id] = true
	e.mu.Unlock()
	if r.URL.Path == "/r/long" {
		<-e.release
	}
	w.Header().Set(translate.HeaderRequestID, id)
	w.Header().Set(translate.HeaderStamp, "s")
	for err := error(nil); r.URL.Path == "/r/endless" && err == nil; {
		_, err = w.Write(make([]byte, 16<<10))
	}
	_, _ = io.WriteString(w, "ok") // the test sees a response that is missing
}

func (e *bodyEngine) hasRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// newBodyFixture returns a node of memoryMB with one route to an engine.
func newBodyFixture(t *testing.T, memoryMB float64, bodyBytes int64) (*fixture, *bodyEngine) {
	t.Helper()
	b := newFixtureWithMemory(t, 8, memoryMB)
	e := &bodyEngine{release: make(chan struct{}), ran: map[string]bool{}}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	ops := operator.New(b.store)
	err := ops.Configure(&traffic.Catalog{
		Version: 1, Limits: traffic.Limits{BodyBytes: bodyBytes}, Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: traffic.Safe, MaxAttempts: 1, Timeout: time.Minute, LatencyObjective: time.Minute,
			Public: true, Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	err = ops.Register(&traffic.Upstream{ID: "u", StartedMS: 1, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 400}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.log.await(t, "event=upstreamSeen")
	b.log.await(t, "event=configTaken")
	return b, e
}

// writeHead writes the header of a request whose body has the given framing.
func writeHead(conn net.Conn, id, path, framing string) {
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 60000\r\n%s\r\n\r\n",
		path, translate.HeaderRequestID, id, translate.HeaderDeadline, framing)
}

// exchange sends a request, in chunks or with a length, and returns the status of its
// response, 0 if there is none, and whether the response has a Retry-After.
func (b *fixture) exchange(id, path string, body []byte, chunked bool) (status int, retryAfter bool) {
	conn, err := net.Dial("tcp4", b.callers)
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	if chunked {
		writeHead(conn, id, path, "Transfer-Encoding: chunked")
		w := httputil.NewChunkedWriter(conn)
		for piece := range slices.Chunk(body, 16<<10) {
			_, err = w.Write(piece)
		}
		_ = w.Close()
		_, _ = io.WriteString(conn, "\r\n")
	} else {
		writeHead(conn, id, path, fmt.Sprintf("Content-Length: %d", len(body)))
		_, err = conn.Write(body)
	}
	if err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get("Retry-After") != ""
}

// Guards against LOST: the bodies of the requests in flight took more memory than the
// process has, the platform killed it, and all connections were closed without a response.
func TestBodiesOfAllRequestsStayWithinMemory(t *testing.T) {
	const (
		memoryMB  = 112
		bodyBytes = 4 << 20
		long      = 42
		short     = 200
		// The limit of the garbage collector is 0.6 of the memory; a node without
		// traffic needs a fifth of that.
		most = memoryMB << 20 / 2
	)
	b, e := newBodyFixture(t, memoryMB, bodyBytes)
	body := make([]byte, bodyBytes)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	type result struct {
		status     int
		retryAfter bool
	}
	results := make([]result, long)
	var longEnded, shortEnded sync.WaitGroup
	for i := range long {
		longEnded.Go(func() {
			results[i].status, results[i].retryAfter = b.exchange(fmt.Sprintf("long-%d", i), "/r/long", body, i%2 == 0)
		})
	}
	for i := range short {
		shortEnded.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			if status, _ := b.exchange(fmt.Sprintf("short-%d", i), "/r/short", body[:1700], i%2 == 0); status != http.StatusOK {
				t.Errorf("short request %d: status %d", i, status)
			}
		})
	}
	shortEnded.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > most {
		t.Errorf("%d bodies of %d bytes hold %d bytes of memory, want at most %d", long, bodyBytes, held, most)
	}
	close(e.release)
	longEnded.Wait()
	served := 0
	for i, r := range results {
		ran := e.hasRun(fmt.Sprintf("long-%d", i))
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status != http.StatusServiceUnavailable || !r.retryAfter || ran:
			t.Errorf("long request %d: status %d, Retry-After %t, ran %t", i, r.status, r.retryAfter, ran)
		}
	}
	if served == 0 {
		t.Error("no long request was served")
	}
}

// Guards against senders that claim long bodies, send a part and stall: each held what it
// claimed, and the node had no memory for others.
func TestStalledBodiesLeaveMemoryToOthers(t *testing.T) {
	const (
		memoryMB  = 112
		bodyBytes = 4 << 20
		stalled   = 100
		arrived   = 2 << 10
		most      = memoryMB << 20 / 8
	)
	b, e := newBodyFixture(t, memoryMB, bodyBytes)
	close(e.release)
	body := make([]byte, bodyBytes)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range stalled {
		conn, err := net.Dial("tcp4", b.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			writeHead(conn, fmt.Sprintf("stalled-%d", i), "/r/long", "Transfer-Encoding: chunked")
			fmt.Fprintf(conn, "%x\r\n%s", bodyBytes, body[:arrived])
			continue
		}
		writeHead(conn, fmt.Sprintf("stalled-%d", i), "/r/long", fmt.Sprintf("Content-Length: %d", bodyBytes))
		_, _ = conn.Write(body[:arrived]) // the requests below show what the node holds
	}
	for i := range 20 {
		if status, _ := b.exchange(fmt.Sprintf("short-%d", i), "/r/short", body[:1700], i%2 == 0); status != http.StatusOK {
			t.Errorf("short request %d: status %d", i, status)
		}
	}
	if status, _ := b.exchange("long", "/r/long", body, false); status != http.StatusOK {
		t.Errorf("long request: status %d", status)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > most {
		t.Errorf("%d stalled bodies hold %d bytes, want at most %d", stalled, held, most)
	}
}

// Guards against a node that is killed for its memory while bodies of the largest size,
// stalled ones and endless responses come at once, each kind within its own bound.
func TestBodiesAndEndlessResponsesStayWithinMemory(t *testing.T) {
	const (
		memoryMB  = 112
		bodyBytes = 4 << 20
		most      = memoryMB << 20 / 2
	)
	b, e := newBodyFixture(t, memoryMB, bodyBytes)
	body := make([]byte, bodyBytes)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 50 {
		conn, err := net.Dial("tcp4", b.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		writeHead(conn, fmt.Sprintf("stalled-%d", i), "/r/long", fmt.Sprintf("Content-Length: %d", bodyBytes))
		_, _ = conn.Write(body[:2<<10]) // the requests below show what the node holds
	}
	stop := make(chan struct{})
	var others, small sync.WaitGroup
	repeat := func(name, path string, body []byte) {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if status, _ := b.exchange(fmt.Sprint(name, "-", n), path, body, n%2 == 0); status == 0 {
					t.Errorf("%s: no answer", name)
					return
				}
			}
		})
	}
	for i := range 20 {
		repeat(fmt.Sprint("long-", i), "/r/long", body)
		repeat(fmt.Sprint("endless-", i), "/r/endless", body[:1])
	}
	for i := range 100 {
		small.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			if status, _ := b.exchange(fmt.Sprint("short-", i), "/r/short", body[:1700], i%2 == 0); status != http.StatusOK {
				t.Errorf("short request %d: status %d", i, status)
			}
		})
	}
	for range 8 {
		time.Sleep(300 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > most {
			t.Errorf("bodies and responses hold %d bytes, want at most %d", held, most)
		}
	}
	small.Wait()
	close(stop)
	close(e.release)
	others.Wait()
}
