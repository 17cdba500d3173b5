package front_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against GONE: a request whose body waited for memory was sent though its caller had
// left meanwhile.
func TestRequestThatWaitedForMemoryIsNotSentAfterItsCallerLeft(t *testing.T) {
	const (
		holders, leaving = 6, 20
		bodyBytes        = 60 << 10 // with those of the holders, the memory is full
	)
	var warming, holding sync.WaitGroup
	warming.Add(leaving)
	holding.Add(holders)
	release := make(chan struct{})
	f := newFixture(t, config.Limits{MemoryMB: 1}, func(conn net.Conn, r testlib.Received) bool {
		if bytes.HasPrefix(r.Bytes, []byte("w")) {
			warming.Done()
			warming.Wait()
		}
		if bytes.HasPrefix(r.Bytes, []byte("h")) {
			holding.Done()
			<-release
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	request := func(path, key, fill string) string {
		return post("/v1/services/orders"+path, "Idempotency-Key: "+key, fmt.Sprint("Content-Length: ", bodyBytes)) + strings.Repeat(fill, bodyBytes)
	}
	var wg sync.WaitGroup
	for range leaving { // connections to the upstream that are open already save the time to open one
		wg.Go(func() {
			if resp, _ := testlib.SendParts(t, f.addr, 0, post("/v1/services/orders/stock", "Content-Length: 1")+"w"); resp == nil || resp.StatusCode != 200 {
				t.Errorf("response %v", resp)
			}
		})
	}
	wg.Wait()
	for i := range holders {
		wg.Go(func() {
			testlib.SendParts(t, f.addr, 0, request("/stock", fmt.Sprint("held", i), "h")) // there may be no memory for the response
		})
	}
	holding.Wait()
	for i := range leaving {
		conn, err := net.Dial("tcp4", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		path := []string{"/stock", "/commit"}[i%2]
		if _, err := io.WriteString(conn, request(path, fmt.Sprint("left", i), "l")); err != nil {
			t.Fatal(err)
		}
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	wg.Wait()
	time.Sleep(300 * time.Millisecond) // the requests end
	arrived := map[string]int{}
	for _, r := range f.up.Received() {
		if bytes.HasPrefix(r.Bytes, []byte("l")) {
			arrived[r.URL.Path]++
		}
	}
	if len(arrived) > 0 {
		t.Errorf("requests that reached the upstream after their callers had left: %v of %d", arrived, leaving)
	}
}

// Guards against GONE: a request that may run only once was sent though its caller had left while
// its claim was being written, and ran without anybody waiting for the response.
func TestRequestIsNotSentIfItsCallerLeavesWhileItIsClaimed(t *testing.T) {
	f := newFixture(t, config.Limits{}, func(conn net.Conn, _ testlib.Received) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	const request = "Idempotency-Key: k1"
	f.store.SetFaults(kvstore.Faults{DelayMillis: 200})
	conn, err := net.Dial("tcp4", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, post("/v1/services/orders/commit", request, "Content-Length: 1")+"x"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the end of the request", func() bool {
		for _, e := range f.lines.AllEntries() {
			if event := e.Data["event"]; event == "callerGone" || event == "requestDone" {
				return true
			}
		}
		return false
	})
	if f.attempts() > 0 {
		t.Errorf("the upstream got the request of a caller that had left")
	}
	// The claim is released, so that the caller may send the request again.
	f.store.SetFaults(kvstore.Faults{})
	resp, _ := testlib.SendParts(t, f.addr, 0, post("/v1/services/orders/commit", request, "Content-Length: 1")+"x")
	if resp == nil || resp.StatusCode != 200 || f.attempts() != 1 {
		t.Errorf("response %v of the repeated request", resp)
	}
}

// attempts returns how many requests but those for load reports the upstream has received.
func (f *fixture) attempts() (n int) {
	for _, r := range f.up.Received() {
		if r.URL.Path != "/load" {
			n++
		}
	}
	return n
}
