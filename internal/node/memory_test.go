package node_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/standin/plainservice"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// peakMemory returns the largest resident size of a process in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	var kb int64
	if _, err := fmt.Sscanf(rest, "%d kB", &kb); err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

// Guards against an entry that is killed for its memory: the bodies of the requests in
// flight and their responses were bounded one by one, but not together.
func TestBodiesOfAllRequestsStayWithinMemory(t *testing.T) {
	const (
		memoryMB = 128
		large    = 42
		small    = 50
	)
	d := deployWithLimits(t, 1, 1, config.Limits{EntrySeconds: 0.5, FirstByteSeconds: 10, MemoryMB: memoryMB})
	body := bytes.Repeat([]byte("x"), 3<<20) // the service echoes it
	d.service.SetFaults(plainservice.Faults{DelayMillis: 3000})
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range large {
		wg.Go(func() {
			resp, err := d.caller(0).Post(d.ctx, "/v1/services/orders/stock", body, nil)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "") {
				t.Errorf("large request: status %d, header %v", resp.StatusCode, resp.Header)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	for i := range small {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			chat := testlib.NewChat("shared", fmt.Sprint(i), 4)
			r, err := d.caller(0).Chat(d.ctx, chat, nil)
			d.requireComplete(r, err, chat)
		})
	}
	wg.Wait()
	ran := 0
	for _, r := range d.service.Runs() {
		if len(r.Body) == len(body) {
			ran++
		}
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 || ran > statuses[http.StatusOK] {
		t.Errorf("statuses of the large requests: %v; %d ran", statuses, ran)
	}
	if os.Getenv(testlib.RaceVariable) != "" {
		return // the race detector needs several times the memory
	}
	peak := peakMemory(t, d.Nodes[0].PID())
	t.Logf("the process took %d MB of %d", peak>>20, memoryMB)
	if peak > memoryMB<<20*8/10 {
		t.Error("that is more than 0.8")
	}
}

// Guards against senders that stall and keep their request, and against refusals that wait
// for a body that nobody needs.
func TestStalledBodiesAreGivenUp(t *testing.T) {
	d := deploy(t, 1, 1)
	for _, c := range []struct {
		name, key, framing string
		status             int
	}{
		{"time limit", testlib.Key, wire.HeaderDeadline + ": 0.3\r\nContent-Length: 100", http.StatusRequestTimeout},
		{"time limit, in chunks", testlib.Key, wire.HeaderDeadline + ": 0.3\r\nTransfer-Encoding: chunked", http.StatusRequestTimeout},
		{"unknown key", "guess", "Content-Length: 1000000", http.StatusUnauthorized},
		{"unknown key, in chunks", "guess", "Transfer-Encoding: chunked", http.StatusUnauthorized},
		{"too long", testlib.Key, "Content-Length: 5000000", http.StatusRequestEntityTooLarge},
	} {
		conn, err := net.Dial("tcp4", d.Nodes[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/services/orders/stock HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n1", c.key, c.framing)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second)) // fails only on a closed connection
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%s: status %d, want %d; closes the connection: %t", c.name, resp.StatusCode, c.status, resp.Close)
		}
	}
}
