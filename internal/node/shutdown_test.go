package node_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/standin/engine"
	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/standin/plainservice"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// entrySeconds is how long a node in shutdown still takes new requests.
const entrySeconds = 1.5

// newStoppingNode returns a fleet of two nodes, the first of which has begun its
// shutdown.
func newStoppingNode(t *testing.T) *deployment {
	t.Helper()
	d := deployWithLimits(t, 1, 2, config.Limits{EntrySeconds: entrySeconds, ChunkSeconds: 5, FirstByteSeconds: 20})
	if err := d.Nodes[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.eventually(func() bool {
		resp, err := http.Get("http://" + d.Nodes[0].Addr + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	return d
}

// Guards against LOST: requests that a node takes during its shutdown are cut off, since
// they last longer than it listens; among them one that may not be repeated.
func TestLateRequestsOfStoppingNodeAreAnswered(t *testing.T) {
	d := newStoppingNode(t)
	const tokens = 300 // 3 s
	d.service.SetFaults(plainservice.Faults{DelayMillis: 2 * entrySeconds * 1000})
	var wg sync.WaitGroup
	wg.Go(func() {
		chat := testlib.NewChat("shared", "late", tokens)
		r, err := d.caller(0).Chat(d.ctx, chat, nil)
		if want := engine.Completion(chat.MessagesJSON(), tokens); err != nil || r.Text != want || !r.Complete {
			t.Errorf("stream: status %d, complete %t, %d of %d bytes, error %v %+v", r.Status, r.Complete, len(r.Text), len(want), err, r.Error)
		}
	})
	for path, key := range map[string]string{"commit": "k1", "stock": ""} {
		wg.Go(func() {
			h := http.Header{}
			if key != "" {
				h.Set(wire.HeaderIdempotencyKey, key)
			}
			r, err := d.caller(0).Call(d.ctx, "/v1/services/orders/"+path, []byte("late "+path), h)
			if err != nil || r.Status != http.StatusOK || !strings.Contains(r.Body, "late "+path) {
				t.Errorf("%s: status %d, body error %+v, error %v", path, r.Status, r.Error, err)
			}
		})
	}
	wg.Wait()
	if n := len(d.service.Runs()); n != 2 {
		t.Errorf("%d runs of two requests", n)
	}
	if err := d.Nodes[0].Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards against an untrue refusal: a late request that may not be repeated, at a node
// that can't reach the platform during its shutdown.
func TestLateOrderOfStoppingNodeWithoutPlatformIsRefused(t *testing.T) {
	d := newStoppingNode(t)
	d.store.SetFaults(kvstore.Faults{Down: true})
	if r := d.placeOrder(0, "k1", "late"); !r.Error.NotRun {
		t.Errorf("status %d, body error %+v, want a refusal", r.Status, r.Error)
	}
	if err := d.Nodes[0].Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	time.Sleep(100 * time.Millisecond)
	if n := len(d.service.Runs()); n != 0 {
		t.Errorf("%d runs of a request that was reported as not run", n)
	}
}
