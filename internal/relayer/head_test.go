package relayer_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against a node that is killed for its memory use because many upstreams stall
// within heads of many short fields, each head within its size limit.
func TestUnfinishedHeadsStayWithinMemory(t *testing.T) {
	const (
		n    = 64
		most = 24 << 20
	)
	var fields strings.Builder
	for i := 0; fields.Len() < 31<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	hold := make(chan struct{})
	var arrived, ended sync.WaitGroup
	arrived.Add(n)
	script := func(conn net.Conn, r testlib.Received) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: x\r\n%s", r.Header.Get("Id"), fields.String())
		arrived.Done()
		<-hold
		return false
	}
	b := newFixture(t, script, script, script)
	b.setUnlimited()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	for range n {
		ended.Go(func() { b.serveWithin(ctx, "/unsafe/", unlimited) })
	}
	arrived.Wait()
	held := math.MaxInt
	for range 5 {
		time.Sleep(30 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held = min(held, int(after.HeapAlloc)-int(before.HeapAlloc))
	}
	cancel()
	close(hold)
	ended.Wait()
	if held > most {
		t.Errorf("%d heads hold %d bytes", n, held)
	}
}
