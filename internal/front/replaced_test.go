package front_test

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
)

// waiting returns how many requests wait for admission.
func (f *fixture) waiting(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + f.addr + "/v1/status")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var s struct{ Waiting int }
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s.Waiting
}

// Guards against proper requests that are refused: they waited for a slot while all
// upstreams of their service were replaced, and knew only the former ones.
func TestWaitingRequestsAreServedByNewUpstreams(t *testing.T) {
	t.Parallel()
	const waiting = 4
	release := make(chan struct{})
	var busy atomic.Int32
	f := newFixture(t, config.Limits{}, func(conn net.Conn, r testlib.Received) bool {
		if r.URL.Path == "/busy" {
			busy.Add(1)
			<-release
		}
		return answer(conn, r)
	})
	var requests sync.WaitGroup
	defer requests.Wait()
	defer close(release)
	service := func(upstream string, slots int) declare.Declaration {
		return f.declaration().
			WithService("bills", declare.Repeatable("/busy", config.Standard), declare.Repeatable("/list", config.Standard)).
			WithUpstream(declare.BackEnd(upstream, "vm", "http://"+f.up.Addr, "bills", slots))
	}
	f.declare(t, service("former", 1))
	await(t, "the former upstream in force", func() bool { return f.inForce() == 2 })
	requests.Go(func() {
		testlib.SendParts(t, f.addr, 0, post("/v1/services/bills/busy", "Content-Length: 1")+"x")
	})
	await(t, "a request at the former upstream", func() bool { return busy.Load() == 1 })
	statuses := make(chan int, waiting)
	for range waiting {
		requests.Go(func() {
			status := 0
			if resp, _ := testlib.SendParts(t, f.addr, 0, post("/v1/services/bills/list", "Content-Length: 1")+"x"); resp != nil {
				status = resp.StatusCode
			}
			statuses <- status
		})
	}
	await(t, "requests that wait for a slot", func() bool { return f.waiting(t) == waiting })
	f.declare(t, service("new", 64))
	for range waiting {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d of a request that waited, want %d", status, http.StatusOK)
		}
	}
}
